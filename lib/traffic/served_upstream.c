#include <stdlib.h>

#include "traffic_internal.h"

served_upstream_t *
served_upstream_find(kf_traffic_t *t, uint32_t id)
{
	return apr_hash_get(t->served_upstreams, &id, sizeof(id));
}

static void
served_upstream_configure(kf_traffic_t *t, served_upstream_t *s, uint32_t index)
{
	const kf_upstream_t *u = &t->view->decl->upstreams[index];

	s->index = index;
	s->service = t->view->decl->services[u->service].id;
	s->addr = u->addr;
	kf_upstream_state_set_draining(s->state, u->draining);
	kf_admission_set_upstream(
	    t->admission, t->now.mono_us, u->id, u->slots);
}

/* Returns true if an earlier owner reported that slow start has ended. */
static bool
slow_start_has_ended(const kf_view_digest_t *digest)
{
	return digest->incarnation != 0 && !(digest->flags & KF_DIGEST_COLD);
}

/* Returns the state of an upstream, created on first use, or NULL. */
served_upstream_t *
served_upstream_get(kf_traffic_t *t, uint32_t index)
{
	const kf_upstream_t *u;
	served_upstream_t *s;

	if (index == KF_VIEW_NONE)
		return NULL;
	u = &t->view->decl->upstreams[index];
	s = served_upstream_find(t, u->id);
	if (s != NULL)
		return s;
	s = calloc(1, sizeof(*s));
	if (s == NULL)
		return NULL;
	s->id = u->id;
	s->state = kf_upstream_state_new(NULL, t->now.mono_us, t->config.paths);
	if (s->state == NULL) {
		free(s);
		return NULL;
	}
	table_add(t->served_upstreams, &s->id, sizeof(s->id), s);
	served_upstream_configure(t, s, index);
	if (slow_start_has_ended(&t->view->upstreams[index].digest))
		kf_upstream_state_end_slow_start(s->state, t->now.mono_us);
	return s;
}

void
served_upstream_delete(served_upstream_t *s)
{
	kf_upstream_state_delete(s->state);
	free(s);
}

bool
served_upstream_owned(const kf_traffic_t *t, const served_upstream_t *s)
{
	const kf_view_upstream_t *vu;

	if (s->index == KF_VIEW_NONE)
		return false;
	vu = &t->view->upstreams[s->index];
	return vu->owner != KF_VIEW_NONE && vu->owner == t->view->self_index &&
	    kf_view_shard(&t->view->vms[vu->owner], s->id) == t->config.shard;
}

bool
served_upstream_usable(const kf_traffic_t *t, const served_upstream_t *s)
{
	return kf_upstream_state_availability(s->state, t->now.mono_us) ==
	    KF_UPSTREAM_USABLE;
}

/* Returns true if the current view allows new requests of a service here. */
bool
served_upstream_accepts(
    const kf_traffic_t *t, const served_upstream_t *s, uint32_t service)
{
	return s->index != KF_VIEW_NONE && s->service == service &&
	    !t->view->decl->upstreams[s->index].draining;
}

/* Returns true if at most half of the service's upstreams would be ejected. */
static bool
served_upstream_may_eject(kf_traffic_t *t, const served_upstream_t *s)
{
	const kf_view_service_t *service;
	uint32_t others;

	if (s->index == KF_VIEW_NONE)
		return true;
	service =
	    &t->view->services[t->view->decl->upstreams[s->index].service];
	others = service->ejected;
	if (t->view->upstreams[s->index].digest.flags & KF_DIGEST_EJECTED)
		others--;
	return (others + 1) * 2 <= service->upstreams;
}

static void
served_upstream_report_decision(
    kf_traffic_t *t, const served_upstream_t *s, kf_event_t event)
{
	const kf_upstream_t *u = kf_declaration_upstream(t->view->decl, s->id);
	kf_decision_t decision = {
		.event = event,
		.upstream = u == NULL ? NULL : u->name,
		.revision = t->view->decl->revision,
	};

	t->config.ops.decision(t->config.ops.ctx, &decision);
}

/* Reports and counts a change between ejected and not ejected. */
static void
served_upstream_check_ejected(kf_traffic_t *t, served_upstream_t *s)
{
	kf_upstream_availability_t availability =
	    kf_upstream_state_availability(s->state, t->now.mono_us);
	bool ejected = availability == KF_UPSTREAM_EJECTED ||
	    availability == KF_UPSTREAM_PROBE_ONLY;

	if (ejected == s->ejected)
		return;
	s->ejected = ejected;
	if (ejected)
		kf_counters_add(&t->counters, KF_COUNT_EJECTIONS, 1);
	served_upstream_report_decision(
	    t, s, ejected ? KF_EVENT_EJECT : KF_EVENT_RESTORE);
}

void
served_upstream_on_failure(kf_traffic_t *t, served_upstream_t *s, uint32_t path,
    int64_t sent_us, kf_upstream_failure_t failure)
{
	kf_upstream_state_on_failure(s->state, (int)path, t->now.mono_us,
	    sent_us, failure, served_upstream_may_eject(t, s));
	served_upstream_check_ejected(t, s);
}

static void
served_upstream_send_probe(kf_traffic_t *t, served_upstream_t *s)
{
	kf_rpc_call_t call = {
		.prog = KF_UPSTREAM_PROG,
		.vers = KF_UPSTREAM_VERS,
		.proc = KF_UPSTREAM_PROC_STATUS,
	};
	int64_t due_us;
	size_t len;
	int path;

	if (!kf_upstream_state_next_probe(
		s->state, t->now.mono_us, &path, &due_us))
		return;
	if (path == KF_UPSTREAM_FRESH_PATH)
		t->config.ops.reset_path(
		    t->config.ops.ctx, s->id, (uint32_t)path);
	s->probe_xid = dispatch_next_xid(t);
	s->probe_path = path;
	call.xid = s->probe_xid;
	len = kf_rpc_call_write(&call, t->buf, DATAGRAM_MAX_BYTES);
	kf_upstream_state_on_probe_sent(s->state, path, t->now.mono_us);
	t->config.ops.send_upstream(
	    t->config.ops.ctx, s->id, s->addr, (uint32_t)path, t->buf, len);
}

void
served_upstream_on_probe(
    kf_traffic_t *t, served_upstream_t *s, const kf_rpc_reply_t *reply)
{
	kf_load_report_t report;

	s->probe_xid = 0;
	if (reply->reply_stat == KF_RPC_MSG_ACCEPTED &&
	    reply->accept_stat == KF_RPC_SUCCESS &&
	    kf_load_report_read_bytes(
		reply->results, reply->results_len, &report) == KF_OK)
		kf_upstream_state_on_report(s->state, &report, t->now.mono_us);
	kf_upstream_state_on_probe_result(s->state, s->probe_path,
	    t->now.mono_us, true, served_upstream_may_eject(t, s));
	served_upstream_check_ejected(t, s);
}

/*
 * Gives a silent path a new source port.  The requests on it, which get no
 * reply any more, are retried or reported as may have run.
 */
static void
served_upstream_replace_path(kf_traffic_t *t, served_upstream_t *s, int path)
{
	request_t *req, *next;

	kf_counters_add(&t->counters, KF_COUNT_PATHS_REPLACED, 1);
	served_upstream_report_decision(t, s, KF_EVENT_PATH_REPLACED);
	t->config.ops.reset_path(t->config.ops.ctx, s->id, (uint32_t)path);
	kf_upstream_state_on_path_replaced(s->state, path, t->now.mono_us);
	request_sweep_begin(t);
	for (req = t->requests; req != NULL; req = next) {
		if (!req->deleted && req->state == REQUEST_DISPATCHED &&
		    req->upstream == s->id && req->path == (uint32_t)path)
			dispatch_on_reply_lost(t, req);
		next = req->next;
	}
	request_sweep_end(t);
}

static void
on_removed_from_queue(void *ctx, void *request)
{
	kf_traffic_t *t = ctx;
	request_t *req = request;

	req->requeue_next = t->requests_to_requeue;
	t->requests_to_requeue = req;
}

/*
 * Empties the queue of an upstream that no longer accepts the service's
 * requests or that another VM owns now.  The requests are started again only
 * when all entries are updated to the view.  The admission library does not
 * allow calls from its callback either.
 */
static void
served_upstream_empty_queue(
    kf_traffic_t *t, served_upstream_t *s, uint32_t service)
{
	if (served_upstream_accepts(t, s, service) &&
	    served_upstream_owned(t, s))
		return;
	kf_admission_remove_upstream(
	    t->admission, s->id, on_removed_from_queue, t);
	if (s->index != KF_VIEW_NONE)
		served_upstream_configure(t, s, s->index);
}

static void
served_upstream_requeue(kf_traffic_t *t)
{
	request_t *req;

	while ((req = t->requests_to_requeue) != NULL) {
		t->requests_to_requeue = req->requeue_next;
		owner_start(t, req);
	}
}

/* Creates entries for the upstreams that this shard owns. */
static void
served_upstream_add_owned(kf_traffic_t *t)
{
	const kf_declaration_t *decl = t->view->decl;
	uint32_t i;

	for (i = 0; i < decl->upstream_count; i++) {
		const kf_view_upstream_t *vu = &t->view->upstreams[i];

		if (vu->owner == t->view->self_index &&
		    kf_view_shard(&t->view->vms[vu->owner],
			decl->upstreams[i].id) == t->config.shard)
			served_upstream_get(t, i);
	}
}

/* Applies the declaration and the owners in a new view. */
void
served_upstream_update(kf_traffic_t *t)
{
	apr_hash_index_t *hi;
	uint32_t index, service;

	for (hi = apr_hash_first(NULL, t->served_upstreams); hi != NULL;
	     hi = apr_hash_next(hi)) {
		served_upstream_t *s = apr_hash_this_val(hi);

		index = place_upstream_index(t, s->id);
		service = s->service;
		if (index != KF_VIEW_NONE)
			served_upstream_configure(t, s, index);
		s->index = index;
		served_upstream_empty_queue(t, s, service);
	}
	served_upstream_add_owned(t);
	served_upstream_requeue(t);
}

static void
served_upstream_tick_one(kf_traffic_t *t, served_upstream_t *s)
{
	int path;

	kf_upstream_state_tick(
	    s->state, t->now.mono_us, served_upstream_may_eject(t, s));
	served_upstream_check_ejected(t, s);
	path = kf_upstream_state_silent_path(s->state, t->now.mono_us);
	if (path != KF_UPSTREAM_NO_PATH)
		served_upstream_replace_path(t, s, path);
	if (served_upstream_owned(t, s) || s->active > 0)
		served_upstream_send_probe(t, s);
	dispatch_queued(t, s->id);
}

/*
 * Runs the timers of all upstreams.  The entries are copied to a list first, as
 * the table may change when requests move to another upstream.
 */
void
served_upstream_tick(kf_traffic_t *t)
{
	unsigned int count = apr_hash_count(t->served_upstreams), n = 0, i;
	apr_hash_index_t *hi;
	served_upstream_t **list;

	list = calloc(count + 1, sizeof(served_upstream_t *));
	if (list == NULL)
		return;
	for (hi = apr_hash_first(NULL, t->served_upstreams); hi != NULL;
	     hi = apr_hash_next(hi))
		list[n++] = apr_hash_this_val(hi);
	for (i = 0; i < n; i++) {
		served_upstream_t *s = list[i];

		if (s->index == KF_VIEW_NONE && s->active == 0) {
			apr_hash_set(
			    t->served_upstreams, &s->id, sizeof(s->id), NULL);
			served_upstream_delete(s);
		} else
			served_upstream_tick_one(t, s);
	}
	free(list);
}

static uint32_t
digest_flags(uint32_t state_flags, const kf_admission_load_t *load)
{
	uint32_t flags = 0;

	if (state_flags & KF_UPSTREAM_DIGEST_EJECTED)
		flags |= KF_DIGEST_EJECTED;
	if (state_flags & KF_UPSTREAM_DIGEST_DRAINING)
		flags |= KF_DIGEST_DRAINING;
	if (state_flags & KF_UPSTREAM_DIGEST_SLOW_START)
		flags |= KF_DIGEST_COLD;
	if (load->limit < load->slots)
		flags |= KF_DIGEST_OVERLOADED;
	return flags;
}

void
kf_traffic_each_upstream(
    kf_traffic_t *t, kf_time_t now, kf_traffic_upstream_fn *fn, void *ctx)
{
	apr_hash_index_t *hi;

	if (t->view == NULL)
		return;
	for (hi = apr_hash_first(NULL, t->served_upstreams); hi != NULL;
	     hi = apr_hash_next(hi)) {
		served_upstream_t *s = apr_hash_this_val(hi);
		kf_traffic_upstream_t out = { .id = s->id };
		kf_upstream_digest_t digest;
		size_t cls;

		kf_upstream_state_digest(s->state, now.mono_us, &digest);
		kf_admission_load(t->admission, s->id, &out.load);
		out.owned = served_upstream_owned(t, s);
		out.digest.incarnation = digest.incarnation;
		out.digest.load = out.load.in_flight;
		for (cls = 0; cls < KF_CLASS_COUNT; cls++)
			out.digest.load += out.load.queued[cls];
		out.digest.flags = digest_flags(digest.flags, &out.load);
		out.digest.heard_us = now.mono_us;
		fn(ctx, &out);
	}
}
