#ifndef KF_STORE_SYNC_INTERNAL_H
#define KF_STORE_SYNC_INTERNAL_H

#include "kf/peering_codec.h"
#include "kf/platform_store.h"

#include "change_feed.h"
#include "store_sync.h"

enum { HTTP_OK = 200 };

struct store_sync {
	http_client_t *client;
	applier_t *applier;
	kf_eventlog_t *log;
	kf_replica_t *replica;
	kf_sync_t sync;
	kf_addr_t store;
	uint16_t peer_port;
	uint32_t source_ip; /* of the current pull */
	void (*pull_failed)(void *ctx, uint32_t ip);
	void *ctx;
	bool stale;	 /* the current listing may be stale */
	char *after_key; /* of the page being listed; NULL: the first one */
	kf_platform_list_part_t list_part;
	bool has_upstreams; /* all of a listing have been applied */
	uint64_t watch_era; /* of the position that the watch was sent with */
	/* Of the current listing. */
	uint32_t list_pages;
	uint64_t list_era;
	uint64_t newest_page_revision;
	bool store_lost; /* store_lost was logged last */
	/* Of the line reads_store logged last. */
	bool own_read_logged;
	int64_t logged_contact_us;
	int64_t next_expiry_us;
	unsigned random_state;
	store_sync_stats_t stats;
	/* Valid while changes from another VM are applied. */
	int64_t now_us;
	kf_changes_head_t pulled;
	bool pulled_is_old;
	change_feed_t feed;
	bool lost_items; /* the replica has items that a restore has lost */
	int64_t items_lost_us; /* when that was last seen */
};

/* Starts a call whose answer done gets; a path of NULL is a failed call. */
void store_sync_request(store_sync_t *s, kf_sync_call_t call, kf_addr_t host,
    const char *path, uint32_t timeout_ms, http_done_fn *done);
/* Counts failures; logs the first failure and the first success after it. */
void store_sync_record_result(
    store_sync_t *s, kf_sync_call_t call, const http_answer_t *answer, bool ok);
void store_sync_finish_call(
    store_sync_t *s, kf_sync_call_t call, kf_sync_outcome_t outcome);
void store_sync_apply_change(
    store_sync_t *s, kf_source_t source, const kf_item_change_t *change);
/* The callbacks of a kf_platform_reader_t for answers of the store. */
void store_sync_apply_store_change(void *ctx, const kf_item_change_t *change);
void store_sync_on_item_refused(void *ctx, const char *key);

uint64_t store_sync_era_of(const http_answer_t *answer);
/* Ends a call whose answer is of an older era than expected: it is late, or
 * comes from a part of the store that is behind. */
void store_sync_refuse_old_era(store_sync_t *s, kf_sync_call_t call,
    const http_answer_t *answer, uint64_t expected);
/* Ends a call whose answer shows that the store was restored: it is listed. */
void store_sync_leave_era(
    store_sync_t *s, kf_sync_call_t call, const http_answer_t *answer);
/* Logs that the replica has moved to another era than before. */
void store_sync_record_era(
    store_sync_t *s, uint64_t era_before, const char *source);

/* Lists the store, by pages; stale as in kf_platform_list_path. */
void store_sync_begin_listing(store_sync_t *s, bool stale);

/* Applies the changes pulled from another VM; an http_done_fn. */
void store_sync_on_pull(void *ctx, uint32_t tag, const http_answer_t *answer);

#endif
