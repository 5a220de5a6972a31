#include <stdlib.h>
#include <string.h>

#include "kf/clock.h"

#include "store_sync_internal.h"

static void request_list(store_sync_t *s);

static void
log_listing_lost(store_sync_t *s)
{
	kf_eventlog_write(s->log, KF_LOG_ERROR, "item_lost",
	    "key=listing reason=\"%s\"", kf_status_message());
}

static void
begin_list_page(void *ctx, uint64_t revision)
{
	store_sync_t *s = ctx;

	if (s->list_pages++ == 0) {
		s->newest_page_revision = revision;
		if (kf_replica_listing_begin(s->replica, KF_SOURCE_STORE,
			(kf_store_position_t){ s->list_era, revision }) !=
		    KF_OK)
			log_listing_lost(s);
		return;
	}
	if (revision > s->newest_page_revision)
		s->newest_page_revision = revision;
	kf_replica_listing_page(s->replica, KF_SOURCE_STORE, revision);
}

static void
end_listing(store_sync_t *s)
{
	uint64_t era = kf_replica_position(s->replica).era;
	kf_status_t status =
	    kf_replica_listing_end(s->replica, KF_SOURCE_STORE, s->now_us);

	store_sync_record_era(s, era, "store");
	kf_eventlog_write(s->log, KF_LOG_INFO, "listed",
	    "pages=%u stale=%s oldest_page=%llu newest_page=%llu era=%llu "
	    "revision=%llu",
	    s->list_pages, s->stale ? "yes" : "no",
	    (unsigned long long)kf_replica_listing_revision(
		s->replica, KF_SOURCE_STORE),
	    (unsigned long long)s->newest_page_revision,
	    (unsigned long long)kf_replica_position(s->replica).era,
	    (unsigned long long)kf_replica_position(s->replica).revision);
	store_sync_finish_call(s, KF_SYNC_LIST,
	    status == KF_OK		 ? KF_SYNC_OK
		: status == KF_ERR_STALE ? KF_SYNC_BEHIND
					 : KF_SYNC_FAILED);
}

/*
 * Ends the listing if the page is of another era than the listing or is older
 * than the replica.  A listing that may be stale does not replace items of an
 * older era.
 */
static bool
check_page_era(store_sync_t *s, const http_answer_t *answer)
{
	kf_store_position_t at = kf_replica_position(s->replica);
	uint64_t era = store_sync_era_of(answer), expected = at.era;

	if (s->list_pages > 0 && s->list_era > at.era)
		expected = s->list_era;
	if (era < expected) {
		store_sync_refuse_old_era(s, KF_SYNC_LIST, answer, expected);
		return false;
	}
	if (s->list_pages > 0 ? era > s->list_era
			      : era > at.era && at.revision != 0 && s->stale) {
		store_sync_leave_era(s, KF_SYNC_LIST, answer);
		return false;
	}
	s->list_era = era;
	return true;
}

/*
 * Continues the listing after the last key of a page.  A page that ends where
 * it began would be listed again and again.
 */
static kf_status_t
advance_listing(store_sync_t *s, kf_platform_answer_t *page)
{
	if (s->after_key != NULL && strcmp(s->after_key, page->last_key) == 0)
		return kf_status_set(KF_ERR_INVALID,
		    "page ends with the key '%.60s' after which it begins",
		    s->after_key);
	free(s->after_key);
	s->after_key = page->last_key;
	page->last_key = NULL;
	return KF_OK;
}

static void
begin_list_part(store_sync_t *s, kf_platform_list_part_t part)
{
	s->list_part = part;
	free(s->after_key);
	s->after_key = NULL;
	request_list(s);
}

static kf_status_t
apply_list_page(
    store_sync_t *s, const http_answer_t *answer, kf_platform_answer_t *page)
{
	const kf_platform_reader_t reader = {
		.begin = begin_list_page,
		.change = store_sync_apply_store_change,
		.refused = store_sync_on_item_refused,
		.ctx = s,
	};
	kf_status_t status;

	if (answer->status != HTTP_OK)
		return KF_ERR_IO;
	status =
	    kf_platform_list_decode(answer->body, answer->len, page, &reader);
	return status == KF_OK && page->more ? advance_listing(s, page)
					     : status;
}

static void
handle_list_page(store_sync_t *s, const http_answer_t *answer)
{
	kf_platform_answer_t page = { 0 };
	kf_status_t status;

	if (answer->status == HTTP_OK && !check_page_era(s, answer))
		return;
	status = apply_list_page(s, answer, &page);
	kf_platform_answer_free(&page);
	store_sync_record_result(s, KF_SYNC_LIST, answer, status == KF_OK);
	if (status != KF_OK) {
		store_sync_finish_call(s, KF_SYNC_LIST, KF_SYNC_FAILED);
		return;
	}
	if (page.more) {
		request_list(s);
		return;
	}
	/* Items of another era are applied only when the listing has ended. */
	if (s->list_era == kf_replica_position(s->replica).era)
		s->has_upstreams = true;
	if (s->list_part + 1 < KF_PLATFORM_LIST_PARTS)
		begin_list_part(s, s->list_part + 1);
	else
		end_listing(s);
}

static void
on_list(void *ctx, uint32_t tag, const http_answer_t *answer)
{
	store_sync_t *s = ctx;

	(void)tag;
	s->now_us = kf_clock_now().mono_us;
	applier_begin_batch(s->applier);
	handle_list_page(s, answer);
	applier_end_batch(s->applier);
}

static void
request_list(store_sync_t *s)
{
	char *path =
	    kf_platform_list_path(s->list_part, s->after_key, s->stale);

	store_sync_request(
	    s, KF_SYNC_LIST, s->store, path, KF_SYNC_LIST_TIMEOUT_MS, on_list);
	free(path);
}

void
store_sync_begin_listing(store_sync_t *s, bool stale)
{
	s->stale = stale;
	s->list_pages = 0;
	begin_list_part(s, 0);
}
