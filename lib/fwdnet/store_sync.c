#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kf/clock.h"
#include "kf/peering_codec.h"
#include "kf/platform_store.h"

#include "store_sync.h"

enum {
	HTTP_OK = 200,
	EXPIRY_INTERVAL_US = 5000000,
};

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
	bool stale; /* the current listing may be stale */
	char after_key[KF_PLATFORM_KEY_BYTES];
	kf_platform_list_part_t list_part;
	bool has_upstreams; /* all of a listing have been applied */
	/* Of the current listing. */
	uint32_t list_pages;
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
	uint64_t pulled_revision;
	bool pulled_listing;
	/* Cache of the last full listing sent to another VM, so that it is not
	 * compressed again for each of several VMs that start together. */
	uint8_t *listing;
	size_t listing_len;
	uint64_t listing_revision;
};

static void request_list(store_sync_t *s);

static double
jitter(store_sync_t *s)
{
	return (double)rand_r(&s->random_state) / RAND_MAX;
}

store_sync_t *
store_sync_new(http_client_t *client, applier_t *applier, kf_eventlog_t *log,
    const store_sync_config_t *config)
{
	store_sync_t *s;

	s = calloc(1, sizeof(*s));
	if (s == NULL)
		return NULL;
	s->client = client;
	s->applier = applier;
	s->log = log;
	s->store = config->store;
	s->peer_port = config->peer_port;
	s->pull_failed = config->pull_failed;
	s->ctx = config->ctx;
	s->random_state = (unsigned)kf_clock_now().mono_us;
	s->replica = kf_replica_new(applier_apply, applier);
	if (s->replica == NULL) {
		free(s);
		return NULL;
	}
	kf_sync_init(&s->sync, config->bound_us, config->ask_peers, jitter(s),
	    kf_clock_now().mono_us);
	return s;
}

void
store_sync_delete(store_sync_t *s)
{
	if (s == NULL)
		return;
	kf_replica_delete(s->replica);
	free(s->listing);
	free(s);
}

void
store_sync_set_store(store_sync_t *s, kf_addr_t store)
{
	s->store = store;
}

void
store_sync_set_bound(store_sync_t *s, int64_t bound_us)
{
	kf_sync_set_bound(&s->sync, bound_us);
}

static void
finish_call(store_sync_t *s, kf_sync_call_t call, kf_sync_outcome_t outcome)
{
	kf_sync_call_done(&s->sync, call, outcome,
	    kf_replica_revision(s->replica), jitter(s), s->now_us);
	applier_record_contact(s->applier, s->sync.contact_us);
}

/* Counts failures; logs the first failure and the first success after it. */
static void
record_store_result(
    store_sync_t *s, kf_sync_call_t call, const http_answer_t *answer, bool ok)
{
	if (!ok)
		s->stats.failures[call]++;
	if (ok == !s->store_lost)
		return;
	s->store_lost = !ok;
	kf_eventlog_write(s->log, ok ? KF_LOG_INFO : KF_LOG_WARN,
	    ok ? "store_regained" : "store_lost",
	    "call=%s status=%ld reason=\"%s\" took_us=%lld revision=%llu",
	    kf_sync_call_name(call), answer->status,
	    ok				    ? ""
		: answer->error != NULL	    ? answer->error
		: answer->status != HTTP_OK ? "refused"
					    : kf_status_message(),
	    (long long)answer->took_us,
	    (unsigned long long)kf_replica_revision(s->replica));
}

static void
apply_change(
    store_sync_t *s, kf_source_t source, const kf_item_change_t *change)
{
	if (kf_replica_apply(s->replica, source, change, s->now_us) != KF_OK)
		kf_eventlog_write(s->log, KF_LOG_ERROR, "item_lost",
		    "key=%s reason=\"%s\"", change->key, kf_status_message());
}

static void
apply_store_change(void *ctx, const kf_item_change_t *change)
{
	apply_change(ctx, KF_SOURCE_STORE, change);
}

static void
begin_list_page(void *ctx, uint64_t revision)
{
	store_sync_t *s = ctx;

	if (s->list_pages++ == 0) {
		s->newest_page_revision = revision;
		kf_replica_listing_begin(s->replica, KF_SOURCE_STORE, revision);
		return;
	}
	if (revision > s->newest_page_revision)
		s->newest_page_revision = revision;
	kf_replica_listing_page(s->replica, KF_SOURCE_STORE, revision);
}

static void
end_listing(store_sync_t *s)
{
	kf_status_t status =
	    kf_replica_listing_end(s->replica, KF_SOURCE_STORE, s->now_us);

	kf_eventlog_write(s->log, KF_LOG_INFO, "listed",
	    "pages=%u stale=%s oldest_page=%llu newest_page=%llu revision=%llu",
	    s->list_pages, s->stale ? "yes" : "no",
	    (unsigned long long)kf_replica_listing_revision(
		s->replica, KF_SOURCE_STORE),
	    (unsigned long long)s->newest_page_revision,
	    (unsigned long long)kf_replica_revision(s->replica));
	finish_call(
	    s, KF_SYNC_LIST, status == KF_OK ? KF_SYNC_OK : KF_SYNC_BEHIND);
}

static void
handle_list_page(store_sync_t *s, const http_answer_t *answer)
{
	kf_platform_answer_t page = { 0 };
	kf_status_t status = KF_ERR_IO;

	if (answer->status == HTTP_OK)
		status = kf_platform_list_decode(answer->body, answer->len,
		    &page, begin_list_page, apply_store_change, s);
	record_store_result(s, KF_SYNC_LIST, answer, status == KF_OK);
	if (status != KF_OK) {
		finish_call(s, KF_SYNC_LIST, KF_SYNC_FAILED);
		return;
	}
	if (page.more && page.last_key[0] != '\0') {
		snprintf(
		    s->after_key, sizeof(s->after_key), "%s", page.last_key);
		request_list(s);
		return;
	}
	s->has_upstreams = true;
	if (++s->list_part < KF_PLATFORM_LIST_PARTS) {
		s->after_key[0] = '\0';
		request_list(s);
		return;
	}
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
request(store_sync_t *s, kf_sync_call_t call, kf_addr_t host, const char *path,
    uint32_t timeout_ms, http_done_fn *done)
{
	s->stats.calls[call]++;
	if (http_client_get(s->client, host, path, timeout_ms, (uint32_t)call,
		done, s) == KF_OK)
		return;
	kf_eventlog_write(s->log, KF_LOG_ERROR, "call_failed",
	    "call=%s reason=\"%s\"", kf_sync_call_name(call),
	    kf_status_message());
	finish_call(s, call, KF_SYNC_FAILED);
}

static void
request_list(store_sync_t *s)
{
	char path[KF_PLATFORM_PATH_BYTES];

	kf_platform_list_path(path, s->list_part, s->after_key, s->stale);
	request(
	    s, KF_SYNC_LIST, s->store, path, KF_SYNC_LIST_TIMEOUT_MS, on_list);
}

static void
on_watch(void *ctx, uint32_t tag, const http_answer_t *answer)
{
	store_sync_t *s = ctx;
	kf_platform_answer_t changes = { 0 };
	kf_status_t status = KF_ERR_IO;

	(void)tag;
	s->now_us = kf_clock_now().mono_us;
	if (answer->status == KF_PLATFORM_HTTP_HISTORY_GONE) {
		kf_eventlog_write(s->log, KF_LOG_WARN, "history_gone",
		    "revision=%llu",
		    (unsigned long long)kf_replica_revision(s->replica));
		finish_call(s, KF_SYNC_WATCH, KF_SYNC_HISTORY_GONE);
		return;
	}
	if (answer->status == HTTP_OK) {
		/* The end of an outage is recorded before the changes are
		 * applied, because removals depend on it. */
		applier_record_contact(s->applier, s->now_us);
		applier_begin_batch(s->applier);
		status = kf_platform_watch_decode(
		    answer->body, answer->len, &changes, apply_store_change, s);
		applier_end_batch(s->applier);
	}
	record_store_result(s, KF_SYNC_WATCH, answer, status == KF_OK);
	if (status == KF_OK)
		kf_replica_advance(s->replica, changes.revision);
	finish_call(s, KF_SYNC_WATCH,
	    status != KF_OK	     ? KF_SYNC_FAILED
		: changes.count == 0 ? KF_SYNC_UNCHANGED
				     : KF_SYNC_OK);
}

static void
begin_pulled_changes(void *ctx, uint64_t revision, bool listing)
{
	store_sync_t *s = ctx;

	s->pulled_revision = revision;
	s->pulled_listing = listing;
	if (listing)
		kf_replica_listing_begin(s->replica, KF_SOURCE_PEER, revision);
}

static void
apply_pulled_change(void *ctx, const kf_item_change_t *change)
{
	apply_change(ctx, KF_SOURCE_PEER, change);
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

static void
on_pull(void *ctx, uint32_t tag, const http_answer_t *answer)
{
	store_sync_t *s = ctx;
	kf_status_t status = KF_ERR_IO;

	(void)tag;
	s->now_us = kf_clock_now().mono_us;
	applier_begin_batch(s->applier);
	if (answer->status == HTTP_OK)
		status = kf_changes_decode((const uint8_t *)answer->body,
		    answer->len, begin_pulled_changes, apply_pulled_change, s);
	if (status == KF_OK && s->pulled_listing &&
	    kf_replica_listing_end(s->replica, KF_SOURCE_PEER, s->now_us) ==
		KF_ERR_STALE)
		status = KF_OK; /* newer local items are kept */
	else if (status == KF_OK)
		kf_replica_advance(s->replica, s->pulled_revision);
	applier_end_batch(s->applier);
	if (status != KF_OK)
		record_pull_failure(s, answer);
	finish_call(
	    s, KF_SYNC_PULL, status == KF_OK ? KF_SYNC_OK : KF_SYNC_FAILED);
	if (kf_sync_cancel_listing(&s->sync, s->now_us))
		http_client_cancel(s->client, KF_SYNC_LIST);
}

static void
start_store_call(store_sync_t *s, const kf_sync_actions_t *actions)
{
	char path[KF_PLATFORM_PATH_BYTES];

	if (actions->call == KF_SYNC_LIST) {
		s->stale = actions->stale;
		s->after_key[0] = '\0';
		s->list_part = 0;
		s->list_pages = 0;
		request_list(s);
		return;
	}
	kf_platform_watch_path(
	    path, kf_replica_revision(s->replica), actions->wait_ms);
	request(
	    s, KF_SYNC_WATCH, s->store, path, actions->timeout_ms, on_watch);
}

/*
 * Logs the first of a series of reads by a VM that does not watch the store: no
 * VM has told it of a contact recent enough.
 */
static void
log_own_read(store_sync_t *s, const kf_peering_view_t *view, int64_t now_us)
{
	bool is_own = view->contact_us <= s->sync.contact_us;

	if (view->rank == 0 || !s->sync.caught_up ||
	    (s->own_read_logged &&
		(is_own || view->contact_us == s->logged_contact_us)))
		return;
	s->own_read_logged = true;
	s->logged_contact_us = view->contact_us;
	kf_eventlog_write(s->log, KF_LOG_INFO, "reads_store",
	    "rank=%u contact_age_ms=%lld revision=%llu ahead_revision=%llu",
	    view->rank, (long long)kf_age_ms(view->contact_us, now_us),
	    (unsigned long long)kf_replica_revision(s->replica),
	    (unsigned long long)view->ahead_revision);
}

void
store_sync_run(store_sync_t *s, const kf_peering_view_t *view, int64_t now_us)
{
	kf_sync_peers_t peers = {
		.rank = view->rank,
		.contact_us = view->contact_us,
		.heard_us = view->heard_us,
		.ahead_revision = view->ahead_revision,
		.ahead_ip = view->ahead_ip,
	};
	kf_sync_actions_t actions;
	char path[HTTP_PATH_BYTES];

	s->now_us = now_us;
	applier_record_contact(s->applier, view->contact_us);
	actions = kf_sync_start_due_calls(&s->sync, &peers, now_us);
	if (actions.pull) {
		kf_addr_t peer = { .ip = view->ahead_ip, .port = s->peer_port };

		snprintf(path, sizeof(path), "/changes?after=%llu",
		    (unsigned long long)kf_replica_revision(s->replica));
		s->source_ip = peer.ip;
		request(s, KF_SYNC_PULL, peer, path, KF_SYNC_PULL_TIMEOUT_MS,
		    on_pull);
	}
	if (actions.store) {
		log_own_read(s, view, now_us);
		start_store_call(s, &actions);
	}
	if (now_us >= s->next_expiry_us) {
		kf_replica_expire(s->replica, now_us);
		s->next_expiry_us = now_us + EXPIRY_INTERVAL_US;
	}
}

void
store_sync_restart(store_sync_t *s, int64_t now_us)
{
	http_client_abort(s->client);
	kf_sync_restart(&s->sync, now_us);
}

bool
store_sync_can_forward(const store_sync_t *s)
{
	return s->has_upstreams ||
	    (s->sync.listed && s->applier->routes != NULL);
}

bool
store_sync_ready(const store_sync_t *s)
{
	return kf_sync_ready(&s->sync) && s->applier->routes != NULL;
}

int64_t
store_sync_due_us(const store_sync_t *s, int64_t now_us)
{
	return kf_sync_next_call_us(&s->sync, now_us);
}

uint64_t
store_sync_revision(const store_sync_t *s)
{
	return kf_replica_revision(s->replica);
}

int64_t
store_sync_contact_us(const store_sync_t *s)
{
	return s->sync.contact_us;
}

const store_sync_stats_t *
store_sync_stats(const store_sync_t *s)
{
	return &s->stats;
}

/* Encodes all items, or those that have changed after a revision. */
static uint8_t *
encode_changes(const store_sync_t *s, bool listing, uint64_t after, size_t *len)
{
	size_t i, count = 0, known = kf_replica_count(s->replica);
	kf_item_change_t *items;
	uint8_t *data;

	items = calloc(known + 1, sizeof(*items));
	if (items == NULL)
		return NULL;
	for (i = 0; i < known; i++) {
		const kf_item_t *item = kf_replica_at(s->replica, i);

		if (listing ? item->removed : item->revision <= after)
			continue;
		items[count++] = (kf_item_change_t){
			.key = item->key,
			.revision = item->revision,
			.removed = item->removed,
			.value = item->value,
			.len = item->len,
		};
	}
	data = kf_changes_encode(
	    kf_replica_revision(s->replica), listing, items, count, len);
	free(items);
	return data;
}

static bool
update_listing(store_sync_t *s)
{
	uint64_t revision = kf_replica_revision(s->replica);

	if (s->listing != NULL && s->listing_revision == revision)
		return true;
	free(s->listing);
	s->listing = encode_changes(s, true, 0, &s->listing_len);
	s->listing_revision = revision;
	return s->listing != NULL;
}

uint8_t *
store_sync_changes(store_sync_t *s, uint64_t after, size_t *len)
{
	uint8_t *copy;

	if (kf_replica_has_changes_after(s->replica, after))
		return encode_changes(s, false, after, len);
	if (!update_listing(s))
		return NULL;
	copy = malloc(s->listing_len);
	if (copy == NULL)
		return NULL;
	memcpy(copy, s->listing, s->listing_len);
	*len = s->listing_len;
	return copy;
}
