#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <xxhash.h>

#include "traffic_internal.h"

enum {
	/*
	 * Longer than it takes all VMs to adopt a view and callers to
	 * retransmit.
	 */
	UNSTABLE_PERIOD_US = 5000000,
};

static const char *const event_names[KF_EVENT_COUNT] = {
	[KF_EVENT_PLACE] = "place",
	[KF_EVENT_MOVE] = "move",
	[KF_EVENT_FORWARD] = "forward",
	[KF_EVENT_DISPATCH] = "dispatch",
	[KF_EVENT_RETRY] = "retry",
	[KF_EVENT_ANSWER] = "answer",
	[KF_EVENT_REFUSE] = "refuse",
	[KF_EVENT_UNKNOWN] = "unknown",
	[KF_EVENT_DROP] = "drop",
	[KF_EVENT_REPLAY] = "replay",
	[KF_EVENT_TAKEOVER] = "takeover",
	[KF_EVENT_EJECT] = "eject",
	[KF_EVENT_RESTORE] = "restore",
	[KF_EVENT_PATH_REPLACED] = "path_replaced",
};

const char *
kf_event_name(kf_event_t event)
{
	if ((unsigned)event >= KF_EVENT_COUNT)
		return "unknown_event";
	return event_names[event];
}

static unsigned int
hash_key(const char *key, apr_ssize_t *len)
{
	return (unsigned int)XXH3_64bits(key, (size_t)*len);
}

/*
 * Adds an entry to a hash table.  The value parameter of apr_hash_set is const,
 * so that the static analyser would report the value as leaked.
 */
void
table_add(apr_hash_t *table, const void *key, size_t len, void *value)
{
	apr_hash_set(table, key, (apr_ssize_t)len, value);
}

static void
on_queue_refused(void *ctx, void *request, kf_reason_t reason)
{
	kf_traffic_t *t = ctx;
	request_t *req = request;

	owner_refuse(t, req, reason);
}

static kf_status_t
traffic_init(kf_traffic_t *t)
{
	if (apr_pool_create(&t->pool, NULL) != APR_SUCCESS)
		return KF_ERR_NO_MEMORY;
	t->by_id = apr_hash_make_custom(t->pool, hash_key);
	t->by_xid = apr_hash_make_custom(t->pool, hash_key);
	t->served_upstreams = apr_hash_make_custom(t->pool, hash_key);
	t->adoptions = apr_hash_make_custom(t->pool, hash_key);
	t->leases = apr_hash_make_custom(t->pool, hash_key);
	t->random.state = t->config.seed;
	t->balance =
	    kf_balance_new(t->config.policy, kf_random_next(&t->random));
	kf_share_sequence_init(&t->shares, &t->random);
	t->next_xid = (uint32_t)kf_random_next(&t->random);
	t->config.admission.on_refused = on_queue_refused;
	t->config.admission.ctx = t;
	t->admission = kf_admission_new(&t->config.admission);
	t->flows = kf_flow_table_new(&t->config.flow_limits);
	t->recent_requests = recent_new();
	if (t->recent_requests == NULL || t->balance == NULL ||
	    t->admission == NULL || t->flows == NULL)
		return KF_ERR_NO_MEMORY;
	return KF_OK;
}

kf_traffic_t *
kf_traffic_new(const kf_traffic_config_t *config)
{
	kf_traffic_t *t;

	t = calloc(1, sizeof(*t));
	if (t == NULL)
		return NULL;
	t->config = *config;
	if (traffic_init(t) != KF_OK) {
		kf_traffic_delete(t);
		return NULL;
	}
	return t;
}

void
kf_traffic_delete(kf_traffic_t *t)
{
	apr_hash_index_t *hi;

	if (t == NULL)
		return;
	while (t->requests != NULL)
		request_delete(t, t->requests);
	if (t->pool != NULL) {
		for (hi = apr_hash_first(t->pool, t->served_upstreams);
		     hi != NULL; hi = apr_hash_next(hi))
			served_upstream_delete(apr_hash_this_val(hi));
		lease_delete_all(t);
		handover_delete(t);
		apr_pool_destroy(t->pool);
	}
	kf_balance_delete(t->balance);
	kf_admission_delete(t->admission);
	kf_flow_table_delete(t->flows);
	kf_view_release(t->view);
	kf_keyring_delete(t->keys);
	free(t->candidates);
	free(t->recent_requests);
	free(t);
}

/*
 * Starts a period during which copies of a request may be at other VMs, because
 * views have changed or this process was paused.
 */
static void
traffic_mark_unstable(kf_traffic_t *t)
{
	t->routes_unstable_until_us = t->now.mono_us + UNSTABLE_PERIOD_US;
}

/*
 * Returns true if two views may route copies of a request to different VMs.
 */
static bool
view_routing_differs(const kf_view_t *a, const kf_view_t *b)
{
	uint32_t i;

	if (a->decl != b->decl || a->vm_count != b->vm_count)
		return true;
	for (i = 0; i < a->vm_count; i++) {
		if (a->vms[i].id.vm != b->vms[i].id.vm ||
		    a->vms[i].id.incarnation != b->vms[i].id.incarnation ||
		    a->vms[i].liveness != b->vms[i].liveness ||
		    a->vms[i].leaving != b->vms[i].leaving)
			return true;
	}
	return false;
}

/* Counts the VMs that place flows; at least 1. */
static uint32_t
count_live_vms(const kf_view_t *view)
{
	uint32_t i, count = 0;

	for (i = 0; i < view->vm_count; i++) {
		if (view->vms[i].liveness == KF_VM_ALIVE ||
		    view->vms[i].liveness == KF_VM_SUSPECT)
			count++;
	}
	return count > 0 ? count : 1;
}

/*
 * Replaces the copy of the keys and, for a new declaration, the state that is
 * sized by it.  Returns false if memory is short; the old view then stays.
 */
static bool
traffic_prepare_view(kf_traffic_t *t, const kf_view_t *view)
{
	bool new_decl = t->view == NULL || t->view->decl != view->decl;
	kf_candidate_t *candidates = NULL;
	kf_keyring_t *keys;

	keys = kf_keyring_copy(view->keys);
	if (new_decl)
		candidates =
		    calloc(view->decl->upstream_count + 1, sizeof(*candidates));
	if (keys == NULL || (new_decl && candidates == NULL) ||
	    (new_decl && kf_balance_update(t->balance, view->decl) != KF_OK)) {
		kf_keyring_delete(keys);
		free(candidates);
		return false;
	}
	kf_keyring_delete(t->keys);
	t->keys = keys;
	if (new_decl) {
		free(t->candidates);
		t->candidates = candidates;
	}
	return true;
}

void
kf_traffic_on_view(kf_traffic_t *t, kf_time_t now, kf_view_t *view)
{
	t->now = now;
	if (!traffic_prepare_view(t, view))
		return;
	if (t->view == NULL || view_routing_differs(t->view, view))
		traffic_mark_unstable(t);
	if (t->view == NULL || !t->view->settled)
		t->views_settled_since_us = now.mono_us;
	t->placing_vm_count = count_live_vms(view);
	kf_view_retain(view);
	kf_view_release(t->view);
	t->view = view;
	lease_update(t);
	served_upstream_update(t);
}

void
kf_traffic_on_tick(kf_traffic_t *t, kf_time_t now)
{
	t->now = now;
	kf_admission_tick(t->admission, now.mono_us);
	dispatch_check_timeouts(t);
	kf_flow_expire(t->flows, now.mono_us);
	recent_tick(t);
	if (t->view != NULL) {
		lease_tick(t);
		handover_tick(t);
		served_upstream_tick(t);
	}
}

void
kf_traffic_on_pause(kf_traffic_t *t, kf_time_t now)
{
	t->now = now;
	traffic_mark_unstable(t);
}

void
kf_traffic_on_shutdown(kf_traffic_t *t, kf_time_t now)
{
	t->now = now;
	t->shutting_down = true;
}

bool
kf_traffic_shutdown_complete(const kf_traffic_t *t)
{
	return t->shutdown_complete;
}

bool
kf_traffic_fenced(const kf_traffic_t *t)
{
	return t->fenced;
}

uint32_t
kf_traffic_in_progress(const kf_traffic_t *t)
{
	return t->request_count;
}

const kf_counters_t *
kf_traffic_counters(const kf_traffic_t *t)
{
	return &t->counters;
}

kf_flow_stats_t
kf_traffic_flow_stats(const kf_traffic_t *t)
{
	return kf_flow_table_stats(t->flows);
}
