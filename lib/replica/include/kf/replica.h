#ifndef KF_REPLICA_H
#define KF_REPLICA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/status.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_replica - items of the platform's store with their revisions
 *
 * DESCRIPTION
 *	Takes listings and single changes, from the store or from another VM,
 *	in any order and more than once.  An item never goes back to an older
 *	revision, and a removed item does not return with one.  The replica is
 *	complete up to kf_replica_revision.
 */

enum {
	KF_KEY_MAX_BYTES = 200,
	/* Removed items are remembered for longer than a stale read or a cut
	 * off VM can be behind and still be believed. */
	KF_REPLICA_REMOVED_KEEP_US = 120000000,
};

/* Where changes come from; each source has a listing of its own. */
typedef enum kf_source {
	KF_SOURCE_STORE = 0,
	KF_SOURCE_PEER,
	KF_SOURCE_COUNT
} kf_source_t;

/* A change as the store or another VM tells it. */
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
	bool listed[KF_SOURCE_COUNT]; /* in the listing under way */
} kf_item_t;

/* Called for each item that changes. */
typedef void kf_replica_changed_fn(
    void *ctx, const kf_item_t *item, int64_t now_us);

typedef struct kf_replica kf_replica_t;

kf_replica_t *kf_replica_new(kf_replica_changed_fn *changed, void *ctx);
void kf_replica_delete(kf_replica_t *replica);

/* Revision up to which every change is known; 0: nothing is known. */
uint64_t kf_replica_revision(const kf_replica_t *replica);

kf_status_t kf_replica_put(kf_replica_t *replica, kf_source_t source,
    const char *key, const uint8_t *value, size_t len, uint64_t revision,
    int64_t now_us);
kf_status_t kf_replica_remove(
    kf_replica_t *replica, const char *key, uint64_t revision, int64_t now_us);

/* Puts or removes. */
kf_status_t kf_replica_apply(kf_replica_t *replica, kf_source_t source,
    const kf_item_change_t *change, int64_t now_us);

/* Every change up to revision has been put. */
void kf_replica_advance(kf_replica_t *replica, uint64_t revision);

/*
 * A listing in pages: begin, put each item, end.  Items that are absent and
 * not newer than the first page's revision are removed.  KF_ERR_STALE if the
 * replica is ahead of the listing.
 */
void kf_replica_listing_begin(
    kf_replica_t *replica, kf_source_t source, uint64_t revision);
kf_status_t kf_replica_listing_end(
    kf_replica_t *replica, kf_source_t source, int64_t now_us);

/* True if the changes after a revision are all remembered. */
bool kf_replica_has_changes(const kf_replica_t *replica, uint64_t after);

/* Items in the order of their keys, removed ones included. */
size_t kf_replica_count(const kf_replica_t *replica);
const kf_item_t *kf_replica_at(const kf_replica_t *replica, size_t i);

/* Forgets old removals. */
void kf_replica_expire(kf_replica_t *replica, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
