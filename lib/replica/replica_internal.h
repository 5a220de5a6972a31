#ifndef KF_REPLICA_INTERNAL_H
#define KF_REPLICA_INTERNAL_H

#include "kf/replica.h"

struct kf_replica {
	kf_replica_changed_fn *changed;
	void *ctx;
	kf_item_t **items; /* sorted by key */
	size_t count;
	size_t cap;
	uint64_t era;
	uint64_t era_start; /* see kf_replica_era_start */
	uint64_t revision;
	uint64_t compacted_revision; /* removals up to it may be missing */
	/* Of the listing in progress, or else of the last one. */
	uint64_t listing_revision[KF_SOURCE_COUNT]; /* of its oldest page */
	uint64_t page_revision[KF_SOURCE_COUNT];    /* of its latest page */
	/* A listing of another era is in progress, and its items; NULL if
	 * memory was short. */
	bool collecting[KF_SOURCE_COUNT];
	kf_replica_t *next_era[KF_SOURCE_COUNT];
};

void replica_item_delete(kf_item_t *item);

/* Collects the items of a listing of another era apart from those in use. */
kf_status_t replica_collect_era(
    kf_replica_t *r, kf_source_t source, kf_store_position_t position);

kf_status_t replica_collect_item(kf_replica_t *r, kf_source_t source,
    const char *key, const uint8_t *value, size_t len, uint64_t revision,
    int64_t now_us);

/* Ends such a listing: moves the replica to the era if that is higher. */
kf_status_t replica_end_era_listing(
    kf_replica_t *r, kf_source_t source, int64_t now_us);

#endif
