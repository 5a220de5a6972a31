#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kf/clock.h"
#include "kf/platform_published.h"
#include "kf/platform_store.h"

#include "store_sync_internal.h"

enum {
	EXPIRY_INTERVAL_US = 5000000,
	/* Entries of upstreams have some hundred bytes.  Longer ones are
	 * checked before they are held. */
	LONG_ENTRY_BYTES = 4096,
};

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
	change_feed_free(&s->feed);
	free(s->after_key);
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

void
store_sync_finish_call(
    store_sync_t *s, kf_sync_call_t call, kf_sync_outcome_t outcome)
{
	kf_sync_call_done(&s->sync, call, outcome,
	    kf_replica_position(s->replica), jitter(s), s->now_us);
	applier_record_contact(s->applier, s->sync.contact_us);
}

void
store_sync_record_result(
    store_sync_t *s, kf_sync_call_t call, const http_answer_t *answer, bool ok)
{
	kf_store_position_t at = kf_replica_position(s->replica);

	if (!ok)
		s->stats.failures[call]++;
	if (ok == !s->store_lost)
		return;
	s->store_lost = !ok;
	kf_eventlog_write(s->log, ok ? KF_LOG_INFO : KF_LOG_WARN,
	    ok ? "store_regained" : "store_lost",
	    "call=%s status=%ld reason=\"%s\" took_us=%lld era=%llu "
	    "revision=%llu",
	    kf_sync_call_name(call), answer->status,
	    ok				    ? ""
		: answer->error != NULL	    ? answer->error
		: answer->status != HTTP_OK ? "refused"
					    : kf_status_message(),
	    (long long)answer->took_us, (unsigned long long)at.era,
	    (unsigned long long)at.revision);
}

uint64_t
store_sync_era_of(const http_answer_t *answer)
{
	return kf_platform_store_era(
	    http_answer_header(answer, KF_PLATFORM_ERA_HEADER));
}

void
store_sync_refuse_old_era(store_sync_t *s, kf_sync_call_t call,
    const http_answer_t *answer, uint64_t expected)
{
	kf_status_set(KF_ERR_STALE, "answer of era %llu is older than %llu",
	    (unsigned long long)store_sync_era_of(answer),
	    (unsigned long long)expected);
	store_sync_record_result(s, call, answer, false);
	store_sync_finish_call(s, call, KF_SYNC_FAILED);
}

void
store_sync_leave_era(
    store_sync_t *s, kf_sync_call_t call, const http_answer_t *answer)
{
	kf_store_position_t at = kf_replica_position(s->replica);

	kf_eventlog_write(s->log, KF_LOG_WARN, "store_restored",
	    "call=%s store_era=%llu era=%llu revision=%llu",
	    kf_sync_call_name(call),
	    (unsigned long long)store_sync_era_of(answer),
	    (unsigned long long)at.era, (unsigned long long)at.revision);
	store_sync_finish_call(s, call, KF_SYNC_HISTORY_GONE);
}

/* Logs that the replica has moved to another era. */
void
store_sync_record_era(store_sync_t *s, uint64_t era_before, const char *source)
{
	kf_store_position_t at = kf_replica_position(s->replica);

	if (at.era == era_before)
		return;
	s->lost_items = true;
	s->items_lost_us = s->now_us;
	kf_eventlog_write(s->log, KF_LOG_INFO, "store_era",
	    "era=%llu before=%llu era_start=%llu revision=%llu source=%s",
	    (unsigned long long)at.era, (unsigned long long)era_before,
	    (unsigned long long)kf_replica_era_start(s->replica),
	    (unsigned long long)at.revision, source);
}

/* Returns true for a long value that is no entry of an upstream. */
static bool
is_useless_entry(const kf_item_change_t *change)
{
	kf_upstream_info_t info;

	return !change->removed && change->len > LONG_ENTRY_BYTES &&
	    kf_platform_item_kind(change->key) == KF_PUBLISHED_UPSTREAM &&
	    kf_platform_upstream_decode(
		change->key, change->value, change->len, &info) != KF_OK;
}

/*
 * Applies a change to the replica.  Whatever other programs write to the store
 * takes no memory here, nor in the messages to other VMs.
 */
void
store_sync_apply_change(
    store_sync_t *s, kf_source_t source, const kf_item_change_t *change)
{
	kf_item_change_t held = *change;

	if (kf_platform_item_kind(change->key) == KF_PUBLISHED_OTHER)
		return;
	if (is_useless_entry(change))
		held.len = 0;
	if (kf_replica_apply(s->replica, source, &held, s->now_us) != KF_OK)
		applier_refuse(s->applier, change->key, change->revision);
}

/* An item of the store that cannot be read; the replica does not hold it. */
void
store_sync_on_item_refused(void *ctx, const char *key)
{
	store_sync_t *s = ctx;

	applier_refuse(s->applier, key, 0);
}

void
store_sync_apply_store_change(void *ctx, const kf_item_change_t *change)
{
	store_sync_apply_change(ctx, KF_SOURCE_STORE, change);
}

void
store_sync_request(store_sync_t *s, kf_sync_call_t call, kf_addr_t host,
    const char *path, uint32_t timeout_ms, http_done_fn *done)
{
	s->stats.calls[call]++;
	if (path != NULL &&
	    http_client_get(s->client, host, path, timeout_ms, (uint32_t)call,
		done, s) == KF_OK)
		return;
	kf_eventlog_write(s->log, KF_LOG_ERROR, "call_failed",
	    "call=%s reason=\"%s\"", kf_sync_call_name(call),
	    kf_status_message());
	store_sync_finish_call(s, call, KF_SYNC_FAILED);
}

/*
 * Ends the watch if its answer is of another era than the replica, or if a pull
 * has moved the replica to another era since it was sent: the answer then
 * continues from a revision of the era before.
 */
static bool
check_watch_era(store_sync_t *s, const http_answer_t *answer)
{
	uint64_t own = kf_replica_position(s->replica).era;

	if (s->watch_era != own) {
		kf_status_set(KF_ERR_STALE, "watch was sent in era %llu",
		    (unsigned long long)s->watch_era);
		store_sync_record_result(s, KF_SYNC_WATCH, answer, false);
		store_sync_finish_call(s, KF_SYNC_WATCH, KF_SYNC_FAILED);
		return false;
	}
	if ((answer->status != HTTP_OK &&
		answer->status != KF_PLATFORM_HTTP_HISTORY_GONE) ||
	    store_sync_era_of(answer) == own)
		return true;
	if (store_sync_era_of(answer) < own)
		store_sync_refuse_old_era(s, KF_SYNC_WATCH, answer, own);
	else
		store_sync_leave_era(s, KF_SYNC_WATCH, answer);
	return false;
}

static void
on_watch(void *ctx, uint32_t tag, const http_answer_t *answer)
{
	store_sync_t *s = ctx;
	const kf_platform_reader_t reader = {
		.change = store_sync_apply_store_change,
		.refused = store_sync_on_item_refused,
		.ctx = s,
	};
	kf_platform_answer_t changes = { 0 };
	kf_status_t status = KF_ERR_IO;

	(void)tag;
	s->now_us = kf_clock_now().mono_us;
	if (!check_watch_era(s, answer))
		return;
	if (answer->too_long) {
		/* Pages of a listing are short, whatever has changed. */
		store_sync_record_result(s, KF_SYNC_WATCH, answer, false);
		store_sync_finish_call(s, KF_SYNC_WATCH, KF_SYNC_HISTORY_GONE);
		return;
	}
	if (answer->status == KF_PLATFORM_HTTP_HISTORY_GONE) {
		kf_eventlog_write(s->log, KF_LOG_WARN, "history_gone",
		    "era=%llu revision=%llu",
		    (unsigned long long)kf_replica_position(s->replica).era,
		    (unsigned long long)kf_replica_position(s->replica)
			.revision);
		store_sync_finish_call(s, KF_SYNC_WATCH, KF_SYNC_HISTORY_GONE);
		return;
	}
	if (answer->status == HTTP_OK) {
		/* The end of an outage is recorded before the changes are
		 * applied, because removals depend on it. */
		applier_record_contact(s->applier, s->now_us);
		applier_begin_batch(s->applier);
		status = kf_platform_watch_decode(
		    answer->body, answer->len, &changes, &reader);
		kf_platform_answer_free(&changes);
		applier_end_batch(s->applier);
	}
	store_sync_record_result(s, KF_SYNC_WATCH, answer, status == KF_OK);
	if (status == KF_OK)
		kf_replica_advance(s->replica, changes.revision);
	store_sync_finish_call(s, KF_SYNC_WATCH,
	    status != KF_OK	     ? KF_SYNC_FAILED
		: changes.count == 0 ? KF_SYNC_UNCHANGED
				     : KF_SYNC_OK);
}

static void
start_store_call(store_sync_t *s, const kf_sync_actions_t *actions)
{
	char path[KF_PLATFORM_PATH_BYTES];

	if (actions->call == KF_SYNC_LIST) {
		store_sync_begin_listing(s, actions->stale);
		return;
	}
	kf_replica_listing_cancel(s->replica, KF_SOURCE_STORE);
	s->watch_era = kf_replica_position(s->replica).era;
	kf_platform_watch_path(
	    path, kf_replica_position(s->replica).revision, actions->wait_ms);
	store_sync_request(
	    s, KF_SYNC_WATCH, s->store, path, actions->timeout_ms, on_watch);
}

/*
 * Logs the first of a series of reads by a VM that does not watch the store: no
 * VM has told it of a contact recent enough.
 */
static void
log_own_read(store_sync_t *s, const kf_peering_view_t *view, int64_t now_us)
{
	kf_store_position_t at = kf_replica_position(s->replica);
	bool is_own = view->contact_us <= s->sync.contact_us;

	if (view->rank == 0 || !s->sync.caught_up ||
	    (s->own_read_logged &&
		(is_own || view->contact_us == s->logged_contact_us)))
		return;
	s->own_read_logged = true;
	s->logged_contact_us = view->contact_us;
	kf_eventlog_write(s->log, KF_LOG_INFO, "reads_store",
	    "rank=%u contact_age_ms=%lld era=%llu revision=%llu ahead_era=%llu "
	    "ahead_revision=%llu",
	    view->rank, (long long)kf_age_ms(view->contact_us, now_us),
	    (unsigned long long)at.era, (unsigned long long)at.revision,
	    (unsigned long long)view->ahead.era,
	    (unsigned long long)view->ahead.revision);
}

/*
 * Gives up the items that a restore of the store has lost, once their writers
 * had the time to write them again and a contact shows that they did not.
 */
static void
release_lost(store_sync_t *s, const kf_peering_view_t *view)
{
	if (!s->lost_items ||
	    view->contact_us < s->items_lost_us + KF_TARGET_MISSING_GRACE_US)
		return;
	applier_begin_batch(s->applier);
	s->lost_items =
	    kf_replica_release_lost(s->replica,
		view->contact_us - KF_TARGET_MISSING_GRACE_US, s->now_us) > 0;
	applier_end_batch(s->applier);
}

void
store_sync_run(store_sync_t *s, const kf_peering_view_t *view, int64_t now_us)
{
	kf_sync_peers_t peers = {
		.rank = view->rank,
		.contact_us = view->contact_us,
		.heard_us = view->heard_us,
		.ahead = view->ahead,
		.ahead_ip = view->ahead_ip,
	};
	kf_store_position_t at = kf_replica_position(s->replica);
	kf_sync_actions_t actions;
	char path[HTTP_PATH_BYTES];

	s->now_us = now_us;
	release_lost(s, view);
	applier_record_contact(s->applier, view->contact_us);
	actions = kf_sync_start_due_calls(&s->sync, &peers, now_us);
	if (actions.pull) {
		kf_addr_t peer = { .ip = view->ahead_ip, .port = s->peer_port };

		snprintf(path, sizeof(path), "/changes?after=%llu&era=%llu",
		    (unsigned long long)at.revision,
		    (unsigned long long)at.era);
		s->source_ip = peer.ip;
		store_sync_request(s, KF_SYNC_PULL, peer, path,
		    KF_SYNC_PULL_TIMEOUT_MS, store_sync_on_pull);
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

kf_store_position_t
store_sync_position(const store_sync_t *s)
{
	return kf_replica_position(s->replica);
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

uint8_t *
store_sync_changes(store_sync_t *s, kf_store_position_t after, size_t *len)
{
	return change_feed_encode(&s->feed, s->replica, after, len);
}
