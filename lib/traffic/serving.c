#include <stdlib.h>

#include "traffic_internal.h"

serving_t *
serving_find(kf_traffic_t *t, uint32_t id)
{
	return apr_hash_get(t->serving, &id, sizeof(id));
}

static void
serving_bind(kf_traffic_t *t, serving_t *s, uint32_t index)
{
	const kf_upstream_t *u = &t->view->decl->upstreams[index];

	s->index = index;
	s->service = t->view->decl->services[u->service].id;
	s->addr = u->addr;
	kf_upstream_state_set_draining(s->state, u->draining);
	kf_admission_set_upstream(
	    t->admission, t->now.mono_us, u->id, u->slots);
}

/* Whether an earlier owner saw the upstream past its slow start. */
static bool
serving_was_warm(const kf_view_digest_t *digest)
{
	return digest->incarnation != 0 && !(digest->flags & KF_DIGEST_COLD);
}

/* Returns the state of an upstream, made on first use; NULL without memory. */
serving_t *
serving_get(kf_traffic_t *t, uint32_t index)
{
	const kf_upstream_t *u;
	serving_t *s;

	if (index == KF_VIEW_NONE)
		return NULL;
	u = &t->view->decl->upstreams[index];
	s = serving_find(t, u->id);
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
	table_add(t->serving, &s->id, sizeof(s->id), s);
	serving_bind(t, s, index);
	if (serving_was_warm(&t->view->upstreams[index].digest))
		kf_upstream_state_set_warm(s->state, t->now.mono_us);
	return s;
}

void
serving_delete(serving_t *s)
{
	kf_upstream_state_delete(s->state);
	free(s);
}

bool
serving_owned(const kf_traffic_t *t, const serving_t *s)
{
	const kf_view_upstream_t *vu;

	if (s->index == KF_VIEW_NONE)
		return false;
	vu = &t->view->upstreams[s->index];
	return vu->owner != KF_VIEW_NONE && vu->owner == t->view->self_index &&
	    kf_view_shard(&t->view->vms[vu->owner], s->id) == t->config.shard;
}

bool
serving_usable(const kf_traffic_t *t, const serving_t *s)
{
	return kf_upstream_state_usable(s->state, t->now.mono_us) ==
	    KF_UPSTREAM_USABLE;
}

/* Whether the view in force lets requests of a service start here. */
bool
serving_accepts(const kf_traffic_t *t, const serving_t *s, uint32_t service)
{
	return s->index != KF_VIEW_NONE && s->service == service &&
	    !t->view->decl->upstreams[s->index].draining;
}

/* At most half of a service's upstreams may be ejected at once. */
static bool
serving_may_eject(kf_traffic_t *t, const serving_t *s)
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
serving_decision(kf_traffic_t *t, const serving_t *s, kf_event_t event)
{
	const kf_upstream_t *u = kf_declaration_upstream(t->view->decl, s->id);
	kf_decision_t decision = {
		.event = event,
		.upstream = u == NULL ? NULL : u->name,
		.revision = t->view->decl->revision,
	};

	t->config.ops.decision(t->config.ops.ctx, &decision);
}

/* Logs a change between ejected and not ejected. */
static void
serving_check_ejected(kf_traffic_t *t, serving_t *s)
{
	kf_upstream_use_t use =
	    kf_upstream_state_usable(s->state, t->now.mono_us);
	bool ejected =
	    use == KF_UPSTREAM_EJECTED || use == KF_UPSTREAM_PROBE_ONLY;

	if (ejected == s->ejected)
		return;
	s->ejected = ejected;
	if (ejected)
		kf_counters_add(&t->counters, KF_COUNT_EJECTIONS, 1);
	serving_decision(t, s, ejected ? KF_EVENT_EJECT : KF_EVENT_RESTORE);
}

void
serving_failed(kf_traffic_t *t, serving_t *s, uint32_t path, int64_t sent_us,
    kf_upstream_failure_t failure)
{
	kf_upstream_state_on_failure(s->state, (int)path, t->now.mono_us,
	    sent_us, failure, serving_may_eject(t, s));
	serving_check_ejected(t, s);
}

static void
serving_probe(kf_traffic_t *t, serving_t *s)
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
serving_on_probe(kf_traffic_t *t, serving_t *s, const kf_rpc_reply_t *reply)
{
	kf_load_report_t report;

	s->probe_xid = 0;
	if (reply->reply_stat == KF_RPC_MSG_ACCEPTED &&
	    reply->accept_stat == KF_RPC_SUCCESS &&
	    kf_load_report_read_bytes(
		reply->results, reply->results_len, &report) == KF_OK)
		kf_upstream_state_on_report(s->state, &report, t->now.mono_us);
	kf_upstream_state_on_probe_result(s->state, s->probe_path,
	    t->now.mono_us, true, serving_may_eject(t, s));
	serving_check_ejected(t, s);
}

/* Requests on a silent path get no reply; the path gets a new source port. */
static void
serving_replace_path(kf_traffic_t *t, serving_t *s, int path)
{
	request_t *req, *next;

	kf_counters_add(&t->counters, KF_COUNT_PATHS_REPLACED, 1);
	serving_decision(t, s, KF_EVENT_PATH_REPLACED);
	t->config.ops.reset_path(t->config.ops.ctx, s->id, (uint32_t)path);
	kf_upstream_state_on_path_replaced(s->state, path, t->now.mono_us);
	request_sweep_begin(t);
	for (req = t->requests; req != NULL; req = next) {
		if (!req->deleted && req->state == REQUEST_DISPATCHED &&
		    req->upstream == s->id && req->path == (uint32_t)path)
			dispatch_lost(t, req);
		next = req->next;
	}
	request_sweep_end(t);
}

static void
on_queue_removed(void *ctx, void *request)
{
	kf_traffic_t *t = ctx;
	request_t *req = request;

	req->requeue_next = t->requeue;
	t->requeue = req;
}

/*
 * Empties the queue of an upstream that may not get the requests in it, or
 * that another VM owns now.  They are handled when every entry agrees with the
 * view; the admission library also allows no calls from its callback.
 */
static void
serving_empty_queue(kf_traffic_t *t, serving_t *s, uint32_t service)
{
	if (serving_accepts(t, s, service) && serving_owned(t, s))
		return;
	kf_admission_remove_upstream(t->admission, s->id, on_queue_removed, t);
	if (s->index != KF_VIEW_NONE)
		serving_bind(t, s, s->index);
}

static void
serving_requeue(kf_traffic_t *t)
{
	request_t *req;

	while ((req = t->requeue) != NULL) {
		t->requeue = req->requeue_next;
		owner_start(t, req);
	}
}

/* Creates the entries of the upstreams that this shard owns. */
static void
serving_add_owned(kf_traffic_t *t)
{
	const kf_declaration_t *decl = t->view->decl;
	uint32_t i;

	for (i = 0; i < decl->upstream_count; i++) {
		const kf_view_upstream_t *vu = &t->view->upstreams[i];

		if (vu->owner == t->view->self_index &&
		    kf_view_shard(&t->view->vms[vu->owner],
			decl->upstreams[i].id) == t->config.shard)
			serving_get(t, i);
	}
}

/* Adopts the view's declaration and ownership. */
void
serving_update(kf_traffic_t *t)
{
	apr_hash_index_t *hi;
	uint32_t index, service;

	for (hi = apr_hash_first(NULL, t->serving); hi != NULL;
	     hi = apr_hash_next(hi)) {
		serving_t *s = apr_hash_this_val(hi);

		index = place_upstream_index(t, s->id);
		service = s->service;
		if (index != KF_VIEW_NONE)
			serving_bind(t, s, index);
		s->index = index;
		serving_empty_queue(t, s, service);
	}
	serving_add_owned(t);
	serving_requeue(t);
}

static void
serving_tick_one(kf_traffic_t *t, serving_t *s)
{
	int path;

	kf_upstream_state_tick(
	    s->state, t->now.mono_us, serving_may_eject(t, s));
	serving_check_ejected(t, s);
	path = kf_upstream_state_silent_path(s->state, t->now.mono_us);
	if (path != KF_UPSTREAM_NO_PATH)
		serving_replace_path(t, s, path);
	if (serving_owned(t, s) || s->active > 0)
		serving_probe(t, s);
	dispatch_pump(t, s->id);
}

/*
 * The table may change while requests move, so the entries are listed first.
 */
void
serving_tick(kf_traffic_t *t)
{
	unsigned int count = apr_hash_count(t->serving), n = 0, i;
	apr_hash_index_t *hi;
	serving_t **list;

	list = calloc(count + 1, sizeof(serving_t *));
	if (list == NULL)
		return;
	for (hi = apr_hash_first(NULL, t->serving); hi != NULL;
	     hi = apr_hash_next(hi))
		list[n++] = apr_hash_this_val(hi);
	for (i = 0; i < n; i++) {
		serving_t *s = list[i];

		if (s->index == KF_VIEW_NONE && s->active == 0) {
			apr_hash_set(t->serving, &s->id, sizeof(s->id), NULL);
			serving_delete(s);
		} else
			serving_tick_one(t, s);
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
	for (hi = apr_hash_first(NULL, t->serving); hi != NULL;
	     hi = apr_hash_next(hi)) {
		serving_t *s = apr_hash_this_val(hi);
		kf_traffic_upstream_t out = { .id = s->id };
		kf_upstream_digest_t digest;
		size_t cls;

		kf_upstream_state_digest(s->state, now.mono_us, &digest);
		kf_admission_load(t->admission, s->id, &out.load);
		out.owned = serving_owned(t, s);
		out.digest.incarnation = digest.incarnation;
		out.digest.load = out.load.in_flight;
		for (cls = 0; cls < KF_CLASS_COUNT; cls++)
			out.digest.load += out.load.queued[cls];
		out.digest.flags = digest_flags(digest.flags, &out.load);
		out.digest.heard_us = now.mono_us;
		fn(ctx, &out);
	}
}
