#include "kf/clock.h"

#include "store_sync_internal.h"

/* Refuses changes of an older era, which this VM has left during the pull. */
static bool
begin_pulled_changes(void *ctx, const kf_changes_head_t *head)
{
	store_sync_t *s = ctx;
	uint64_t era = kf_replica_position(s->replica).era;

	s->pulled = *head;
	s->pulled_is_old = head->position.era < era ||
	    (head->position.era > era && !head->listing);
	if (s->pulled_is_old)
		return false;
	kf_replica_listing_cancel(s->replica, KF_SOURCE_PEER);
	if (head->listing) {
		kf_replica_listing_begin(
		    s->replica, KF_SOURCE_PEER, head->position);
		kf_replica_listing_era_start(
		    s->replica, KF_SOURCE_PEER, head->era_start);
	}
	return true;
}

/* Ends the changes that have been applied. */
static kf_status_t
end_pulled_changes(store_sync_t *s)
{
	uint64_t era = kf_replica_position(s->replica).era;
	kf_status_t status;

	if (s->pulled_is_old)
		return kf_status_set(KF_ERR_STALE,
		    "changes of era %llu are not those of era %llu",
		    (unsigned long long)s->pulled.position.era,
		    (unsigned long long)era);
	if (!s->pulled.listing) {
		kf_replica_advance(s->replica, s->pulled.position.revision);
		return KF_OK;
	}
	status = kf_replica_listing_end(s->replica, KF_SOURCE_PEER, s->now_us);
	store_sync_record_era(s, era, "peer");
	/* Newer local items are kept. */
	return status == KF_ERR_STALE ? KF_OK : status;
}

static void
apply_pulled_change(void *ctx, const kf_item_change_t *change)
{
	store_sync_apply_change(ctx, KF_SOURCE_PEER, change);
}

static void
record_pull_failure(store_sync_t *s, const http_answer_t *answer)
{
	kf_addr_t source = { .ip = s->source_ip, .port = s->peer_port };
	char text[KF_ADDR_TEXT_BYTES];

	s->stats.failures[KF_SYNC_PULL]++;
	kf_eventlog_write(s->log, KF_LOG_WARN, "pull_failed",
	    "peer=%s status=%ld reason=\"%s\"", kf_addr_format(source, text),
	    answer->status,
	    answer->error != NULL ? answer->error : kf_status_message());
	s->pull_failed(s->ctx, s->source_ip);
}

void
store_sync_on_pull(void *ctx, uint32_t tag, const http_answer_t *answer)
{
	store_sync_t *s = ctx;
	kf_status_t status = KF_ERR_IO;

	(void)tag;
	s->now_us = kf_clock_now().mono_us;
	applier_begin_batch(s->applier);
	if (answer->status == HTTP_OK)
		status = kf_changes_decode((const uint8_t *)answer->body,
		    answer->len, begin_pulled_changes, apply_pulled_change, s);
	if (status == KF_OK)
		status = end_pulled_changes(s);
	applier_end_batch(s->applier);
	if (status != KF_OK)
		record_pull_failure(s, answer);
	store_sync_finish_call(
	    s, KF_SYNC_PULL, status == KF_OK ? KF_SYNC_OK : KF_SYNC_FAILED);
	if (kf_sync_cancel_listing(&s->sync, s->now_us))
		http_client_cancel(s->client, KF_SYNC_LIST);
}
