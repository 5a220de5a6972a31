#include <string.h>

#include "traffic_internal.h"

enum {
	/* A slot stays taken this long after the deadline without a reply. */
	ABANDONED_SLOT_US = 1000000,
};

/* The xid of the next call to an upstream; never 0, see serving_t. */
uint32_t
dispatch_next_xid(kf_traffic_t *t)
{
	if (++t->next_xid == 0)
		t->next_xid = 1;
	return t->next_xid;
}

/* The request has a slot of its upstream. */
void
dispatch_start(kf_traffic_t *t, request_t *req)
{
	serving_t *s = serving_find(t, req->upstream);

	req->has_slot = true;
	req->slot_us = t->now.mono_us;
	if (s != NULL)
		s->active++;
	dispatch_send(t, req);
}

static size_t
dispatch_write(kf_traffic_t *t, const request_t *req, const serving_t *s)
{
	uint8_t sys_body[32], info_body[KF_CALL_INFO_BYTES];
	int64_t left_ms = (req->deadline_us - t->now.mono_us) / 1000;
	kf_rpc_sys_t sys = { .uid = req->token.uid, .gid = req->token.gid };
	kf_call_info_t info = {
		.deadline_ms = left_ms > 0 ? (uint32_t)left_ms : 0,
		.vm = t->config.self.vm,
		.vm_incarnation = t->config.self.incarnation,
		.flow = req->id.flow,
		.upstream_incarnation = kf_upstream_state_incarnation(s->state),
	};
	kf_rpc_call_t call = {
		.xid = req->upstream_xid,
		.prog = req->prog,
		.vers = req->vers,
		.proc = req->proc,
		.cred = { .flavor = KF_RPC_AUTH_SYS, .body = sys_body },
		.verf = { .flavor = KF_FLAVOR_CALL_INFO,
		    .len = sizeof(info_body),
		    .body = info_body },
		.args = req->args,
		.args_len = req->args_len,
	};

	call.cred.len = (uint32_t)kf_rpc_sys_write(&sys,
	    (uint32_t)(t->now.wall_ms / 1000), sys_body, sizeof(sys_body));
	kf_call_info_write(&info, info_body);
	return kf_rpc_call_write(&call, t->buf, DATAGRAM_MAX_BYTES);
}

void
dispatch_send(kf_traffic_t *t, request_t *req)
{
	serving_t *s = serving_find(t, req->upstream);
	size_t len;
	int path;

	if (t->now.mono_us >= req->deadline_us) {
		dispatch_release(t, req, -1);
		owner_refuse(t, req, KF_REASON_DEADLINE);
		return;
	}
	/* A view may have come between the slot and the acknowledgement. */
	if (s == NULL || !serving_accepts(t, s, req->service)) {
		dispatch_release(t, req, -1);
		owner_replace(t, req, KF_VIEW_NONE);
		return;
	}
	req->upstream_xid = dispatch_next_xid(t);
	len = dispatch_write(t, req, s);
	if (len == 0) {
		dispatch_release(t, req, -1);
		owner_refuse(t, req, KF_REASON_MALFORMED);
		return;
	}
	path = kf_upstream_state_pick_path(s->state, t->now.mono_us);
	req->path = (uint32_t)path;
	req->state = REQUEST_DISPATCHED;
	req->sent_us = t->now.mono_us;
	req->attempts++;
	apr_hash_set(t->by_xid, &req->upstream_xid, sizeof(uint32_t), req);
	kf_upstream_state_on_sent(s->state, path, t->now.mono_us);
	kf_counters_add(&t->counters, KF_COUNT_DISPATCHED, 1);
	request_report_decision(
	    t, req, KF_EVENT_DISPATCH, KF_REASON_NONE, NULL);
	t->config.ops.send_upstream(
	    t->config.ops.ctx, s->id, s->addr, req->path, t->buf, len);
}

/*
 * Dispatches queued requests while the upstream has free slots.  A request that
 * cannot be sent gives its slot back, which leads here again; the outer call
 * goes on then, so that a long queue does not take a deep stack.
 */
void
dispatch_pump(kf_traffic_t *t, uint32_t upstream)
{
	uint32_t outer = t->pumping;
	request_t *req;

	if (outer == upstream)
		return;
	t->pumping = upstream;
	while ((req = kf_admission_next(
		    t->admission, t->now.mono_us, upstream)) != NULL)
		dispatch_start(t, req);
	t->pumping = outer;
}

/* Gives back the request's slot, if it has one. */
void
dispatch_release(kf_traffic_t *t, request_t *req, int64_t service_us)
{
	serving_t *s;

	if (!req->has_slot)
		return;
	req->has_slot = false;
	s = serving_find(t, req->upstream);
	if (s != NULL)
		s->active--;
	if (apr_hash_get(t->by_xid, &req->upstream_xid, sizeof(uint32_t)) ==
	    req)
		apr_hash_set(
		    t->by_xid, &req->upstream_xid, sizeof(uint32_t), NULL);
	kf_admission_release(
	    t->admission, t->now.mono_us, req->upstream, req->cls, service_us);
	dispatch_pump(t, req->upstream);
}

/* Tells the upstream that nobody waits for the request any more. */
void
dispatch_cancel(kf_traffic_t *t, const request_t *req)
{
	serving_t *s = serving_find(t, req->upstream);
	uint8_t args[8];
	kf_rpc_call_t call = {
		.xid = dispatch_next_xid(t),
		.prog = KF_UPSTREAM_PROG,
		.vers = KF_UPSTREAM_VERS,
		.proc = KF_UPSTREAM_PROC_CANCEL,
		.args = args,
		.args_len = sizeof(args),
	};
	size_t len;

	if (s == NULL)
		return;
	kf_put_u32(args, req->upstream_xid);
	kf_put_u32(args + 4, t->config.self.vm);
	len = kf_rpc_call_write(&call, t->buf, DATAGRAM_MAX_BYTES);
	t->config.ops.send_upstream(
	    t->config.ops.ctx, s->id, s->addr, req->path, t->buf, len);
}

static bool
retry_allowed(kf_traffic_t *t, const request_t *req)
{
	return req->attempts < ATTEMPTS_MAX &&
	    t->now.mono_us < req->deadline_us &&
	    kf_admission_retry_allowed(t->admission);
}

/* The upstream said that it did not run the request. */
void
dispatch_not_run(kf_traffic_t *t, request_t *req, kf_reason_t reason)
{
	uint32_t index = place_upstream_index(t, req->upstream);

	dispatch_release(t, req, -1);
	if (!retry_allowed(t, req)) {
		owner_refuse(t, req, reason);
		return;
	}
	kf_counters_add(&t->counters, KF_COUNT_RETRIED, 1);
	request_report_decision(t, req, KF_EVENT_RETRY, reason, NULL);
	owner_replace(t, req, index);
}

static void
dispatch_retry_elsewhere(kf_traffic_t *t, request_t *req)
{
	uint32_t index = place_upstream_index(t, req->upstream);

	dispatch_release(t, req, -1);
	kf_counters_add(&t->counters, KF_COUNT_RETRIED, 1);
	req->may_have_run = true;
	request_report_decision(
	    t, req, KF_EVENT_RETRY, KF_REASON_UPSTREAM_LOST, NULL);
	owner_replace(t, req, index);
}

/* No reply will come; an idempotent request is tried again. */
void
dispatch_lost(kf_traffic_t *t, request_t *req)
{
	if (req->idempotent && retry_allowed(t, req))
		dispatch_retry_elsewhere(t, req);
	else
		request_answer_unknown(t, req, KF_REASON_UPSTREAM_LOST);
}

/*
 * The deadline has passed without a reply.  The caller is told, but the slot
 * stays taken, because the upstream may still be working on the request.
 */
static void
dispatch_deadline(kf_traffic_t *t, request_t *req)
{
	serving_t *s = serving_find(t, req->upstream);

	dispatch_cancel(t, req);
	if (s != NULL)
		serving_failed(
		    t, s, req->path, req->sent_us, KF_UPSTREAM_TIMEOUT);
	request_record_outcome(
	    t, req, KF_MAY_HAVE_RUN, KF_REASON_DEADLINE, NULL, 0);
	kf_counters_add(&t->counters, KF_COUNT_MAY_HAVE_RUN, 1);
	reply_send_unknown(t, &req->route, req->id.xid);
	request_report_decision(
	    t, req, KF_EVENT_UNKNOWN, KF_REASON_DEADLINE, NULL);
	req->state = REQUEST_ABANDONED;
}

/*
 * An upstream that has ended without an ICMP error leaves its requests without
 * a reply.  An idempotent one is tried elsewhere while there is time.
 */
static bool
attempt_overdue(kf_traffic_t *t, const request_t *req)
{
	const kf_service_t *service;

	if (!req->idempotent || t->now.mono_us - req->sent_us < req->attempt_us)
		return false;
	service = kf_declaration_service(t->view->decl, req->service);
	return service != NULL &&
	    place_has_alternative(t, service, req->token.share_point,
		place_upstream_index(t, req->upstream)) &&
	    retry_allowed(t, req);
}

/* The slot is given back, so the upstream is told to stop. */
static void
dispatch_attempt_timeout(kf_traffic_t *t, request_t *req)
{
	serving_t *s = serving_find(t, req->upstream);

	dispatch_cancel(t, req);
	if (s != NULL)
		serving_failed(
		    t, s, req->path, req->sent_us, KF_UPSTREAM_TIMEOUT);
	dispatch_retry_elsewhere(t, req);
}

static void
dispatch_wait_ack(kf_traffic_t *t, request_t *req)
{
	if (owner_alone(t, &req->token)) {
		req->alone = true;
		owner_acked(t, req);
	} else if (t->now.mono_us - req->intent_us >= INTENT_RETRY_US)
		peer_send_intent(t, req);
}

/*
 * The backup has not acknowledged the request in time.  A silent backup may
 * answer again, so the request is forgotten and a copy of it starts anew; one
 * that is gone may have run it.
 */
static void
dispatch_no_ack(kf_traffic_t *t, request_t *req)
{
	if (lease_liveness(t, req->token.backup, req->token.upstream) ==
	    KF_VM_GONE)
		request_answer_unknown(t, req, KF_REASON_IN_DOUBT);
	else
		request_discard(t, req);
}

static void
dispatch_timeout(kf_traffic_t *t, request_t *req)
{
	bool late = t->now.mono_us >= req->deadline_us;

	switch (req->state) {
	case REQUEST_DISPATCHED:
		if (late)
			dispatch_deadline(t, req);
		else if (attempt_overdue(t, req))
			dispatch_attempt_timeout(t, req);
		break;
	case REQUEST_WAIT_ACK:
		if (late)
			dispatch_no_ack(t, req);
		else
			dispatch_wait_ack(t, req);
		break;
	case REQUEST_ABANDONED:
		if (t->now.mono_us >= req->deadline_us + ABANDONED_SLOT_US) {
			dispatch_release(t, req, -1);
			request_delete(t, req);
		}
		break;
	default:
		break;
	}
}

void
dispatch_timeouts(kf_traffic_t *t)
{
	request_t *req, *next;

	if (t->view == NULL)
		return;
	request_sweep_begin(t);
	for (req = t->requests; req != NULL; req = next) {
		if (!req->deleted)
			dispatch_timeout(t, req);
		next = req->next;
	}
	request_sweep_end(t);
}

static void
dispatch_denied(
    kf_traffic_t *t, request_t *req, serving_t *s, const kf_rpc_reply_t *reply)
{
	if (reply->reject_stat == 1 &&
	    reply->auth_stat == KF_RPC_AUTH_REJECTEDVERF) {
		serving_failed(t, s, req->path, req->sent_us,
		    KF_UPSTREAM_WRONG_INCARNATION);
		dispatch_not_run(t, req, KF_REASON_UPSTREAM_LOST);
	} else if (reply->reject_stat == 1 &&
	    reply->auth_stat == KF_RPC_AUTH_FAILED) {
		kf_upstream_state_on_answer(s->state, (int)req->path,
		    t->now.mono_us, t->now.mono_us - req->sent_us);
		kf_admission_shed(t->admission, t->now.mono_us, s->id);
		dispatch_not_run(t, req, KF_REASON_UPSTREAM_SHED);
	} else {
		dispatch_release(t, req, t->now.mono_us - req->slot_us);
		request_answer(t, req, reply);
	}
}

/* The caller has been told that the outcome is unknown, which stays true. */
static void
dispatch_late_denial(kf_traffic_t *t, request_t *req)
{
	dispatch_release(t, req, -1);
	request_report_decision(
	    t, req, KF_EVENT_DROP, KF_REASON_LATE_REPLY, NULL);
	request_delete(t, req);
}

static void
dispatch_reply(
    kf_traffic_t *t, request_t *req, serving_t *s, const kf_rpc_reply_t *reply)
{
	kf_load_report_t report;

	if (reply->reply_stat == KF_RPC_MSG_DENIED) {
		if (req->state == REQUEST_DISPATCHED)
			dispatch_denied(t, req, s, reply);
		else
			dispatch_late_denial(t, req);
		return;
	}
	kf_upstream_state_on_answer(s->state, (int)req->path, t->now.mono_us,
	    t->now.mono_us - req->sent_us);
	if (kf_load_report_read(&reply->verf, &report) == KF_OK)
		kf_upstream_state_on_report(s->state, &report, t->now.mono_us);
	dispatch_release(t, req, t->now.mono_us - req->slot_us);
	/* An answer after the deadline replaces the unknown outcome. */
	request_answer(t, req, reply);
}

void
kf_traffic_on_upstream(kf_traffic_t *t, kf_time_t now, uint32_t upstream,
    uint32_t path, const uint8_t *data, size_t len)
{
	kf_rpc_reply_t reply;
	packet_t late = { 0 };
	serving_t *s;
	request_t *req;

	(void)path;
	t->now = now;
	kf_counters_add(&t->counters, KF_COUNT_UPSTREAM_PACKETS, 1);
	s = serving_find(t, upstream);
	if (s == NULL || kf_rpc_reply_parse(data, len, &reply) != KF_OK) {
		packet_drop(t, &late, KF_REASON_MALFORMED);
		return;
	}
	if (s->probe_xid != 0 && reply.xid == s->probe_xid) {
		serving_on_probe(t, s, &reply);
		return;
	}
	req = apr_hash_get(t->by_xid, &reply.xid, sizeof(uint32_t));
	if (req == NULL || req->upstream != upstream) {
		late.call.xid = reply.xid;
		packet_drop(t, &late, KF_REASON_LATE_REPLY);
		return;
	}
	dispatch_reply(t, req, s, &reply);
}

/*
 * An unreachable port means that the process is gone: requests on this path
 * get no reply.
 */
void
kf_traffic_on_upstream_error(
    kf_traffic_t *t, kf_time_t now, uint32_t upstream, uint32_t path)
{
	serving_t *s;
	request_t *req, *next;

	t->now = now;
	s = serving_find(t, upstream);
	if (s == NULL || t->view == NULL)
		return;
	serving_failed(t, s, path, t->now.mono_us, KF_UPSTREAM_UNREACHABLE);
	request_sweep_begin(t);
	for (req = t->requests; req != NULL; req = next) {
		if (!req->deleted && req->state == REQUEST_DISPATCHED &&
		    req->upstream == upstream && req->path == path)
			dispatch_lost(t, req);
		next = req->next;
	}
	request_sweep_end(t);
}
