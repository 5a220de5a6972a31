#ifndef KF_REPLICA_H
#define KF_REPLICA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/position.h"
#include "kf/status.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_replica - local copy of the items in the platform's store
 *
 * DESCRIPTION
 *	Takes listings and single changes, from the store or from another VM,
 *	in any order and more than once.  An item never returns to an older
 *	revision, and a change or listing older than its removal does not
 *	restore a removed item, with or without a tombstone.  All changes up to
 *	the revision of kf_replica_position are in the replica.
 *
 *	All of this holds within one era of the store.  A listing of another
 *	era is collected apart, and the items in use stay as they are until it
 *	is complete.  If the era is higher, the end of the listing moves the
 *	replica to it: items that differ are reported as from_backup, and items
 *	that it lacks as removed and lost, because their writers write them
 *	again soon.  A listing of a lower era changes nothing.
 */

enum {
	/* 200 characters of four bytes: the platform does not say in which
	 * encoding its limit of 200 bytes holds. */
	KF_KEY_MAX_BYTES = 800,
	/*
	 * Removed items are kept as tombstones for this time, which is longer
	 * than any stale read, or any partitioned VM whose data are still
	 * accepted, lags behind.
	 */
	KF_REPLICA_TOMBSTONE_KEEP_US = 120000000,
};

/* Where changes come from.  Each source may have a listing in progress. */
typedef enum kf_source {
	KF_SOURCE_STORE = 0,
	KF_SOURCE_PEER,
	KF_SOURCE_COUNT
} kf_source_t;

/* A change received from the store or from another VM. */
typedef struct kf_item_change {
	const char *key;
	const uint8_t *value; /* NULL if removed */
	size_t len;
	uint64_t revision;
	bool removed;
} kf_item_change_t;

typedef void kf_item_change_fn(void *ctx, const kf_item_change_t *change);

typedef struct kf_item {
	char *key;
	uint8_t *value; /* followed by a NUL byte; NULL if removed */
	size_t len;
	uint64_t revision;
	bool removed;
	int64_t removed_us;
	/* Not written since the store was restored: the value is that of the
	 * backup and may be older than one known before. */
	bool from_backup;
	/* Removed only because a restored store lacks it. */
	bool lost;
	bool listed[KF_SOURCE_COUNT]; /* in the current listing of the source */
} kf_item_t;

/* Called for each item that changes. */
typedef void kf_replica_changed_fn(
    void *ctx, const kf_item_t *item, int64_t now_us);

typedef struct kf_replica kf_replica_t;

kf_replica_t *kf_replica_new(kf_replica_changed_fn *changed, void *ctx);
void kf_replica_delete(kf_replica_t *replica);

/* Position up to which all changes are in the replica; revision 0: no data. */
kf_store_position_t kf_replica_position(const kf_replica_t *replica);

/*
 * Revision at which the store's current era began: that of the first listing
 * that this VM knows of, so that items written before it count as part of the
 * backup.  Items above it were written in this era.
 */
uint64_t kf_replica_era_start(const kf_replica_t *replica);

/*
 * Store or remove an item, unless the replica has it at this revision or a
 * newer one.
 */
kf_status_t kf_replica_put(kf_replica_t *replica, kf_source_t source,
    const char *key, const uint8_t *value, size_t len, uint64_t revision,
    int64_t now_us);
kf_status_t kf_replica_remove(
    kf_replica_t *replica, const char *key, uint64_t revision, int64_t now_us);

/* Puts or removes an item, as the change says. */
kf_status_t kf_replica_apply(kf_replica_t *replica, kf_source_t source,
    const kf_item_change_t *change, int64_t now_us);

/* Records that all changes up to revision have been applied. */
void kf_replica_advance(kf_replica_t *replica, uint64_t revision);

/*
 * Bracket the items of a listing: begin, put each item, end.  A listing may
 * come in pages, which are no snapshot: begin takes the revision of the first
 * page, and page comes before the items of each further one.  Changes after the
 * oldest page may be missing, so the listing has that page's revision.  The end
 * removes items that are not in the listing and not newer than this revision;
 * it returns KF_ERR_STALE if the replica has a higher position.
 */
kf_status_t kf_replica_listing_begin(
    kf_replica_t *replica, kf_source_t source, kf_store_position_t position);
void kf_replica_listing_page(
    kf_replica_t *replica, kf_source_t source, uint64_t revision);
/* Revision of the listing in progress, or else of the last one. */
uint64_t kf_replica_listing_revision(
    const kf_replica_t *replica, kf_source_t source);
kf_status_t kf_replica_listing_end(
    kf_replica_t *replica, kf_source_t source, int64_t now_us);
/*
 * Lowers the revision at which the era of the listing in progress began, for a
 * source that knows it.
 */
void kf_replica_listing_era_start(
    kf_replica_t *replica, kf_source_t source, uint64_t revision);
/*
 * Drops the collected items of a listing that has not ended.  A listing that
 * began in an era that the replica has left must not be continued.
 */
void kf_replica_listing_cancel(kf_replica_t *replica, kf_source_t source);

/*
 * Reports the items that were lost up to until_us as removed.  The caller has
 * made sure that their writers had the time to write them again and that the
 * replica holds the store's state since then.  Returns the number of items that
 * are still lost.
 */
size_t kf_replica_release_lost(
    kf_replica_t *replica, int64_t until_us, int64_t now_us);

/*
 * True if the replica still holds all changes after a revision, removals
 * included.
 */
bool kf_replica_has_changes_after(const kf_replica_t *replica, uint64_t after);

/* Items sorted by key, with tombstones of removed ones. */
size_t kf_replica_count(const kf_replica_t *replica);
const kf_item_t *kf_replica_at(const kf_replica_t *replica, size_t i);

/* Deletes tombstones older than KF_REPLICA_TOMBSTONE_KEEP_US. */
void kf_replica_expire(kf_replica_t *replica, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
