#include <string.h>

#include "traffic_internal.h"

enum {
	/*
	 * Time after the deadline for which a request without a reply still
	 * holds its slot.
	 */
	ABANDONED_SLOT_US = 1000000,
};

/* Returns the xid of the next call to an upstream; never 0. */
uint32_t
dispatch_next_xid(kf_traffic_t *t)
{
	if (++t->next_xid == 0)
		t->next_xid = 1;
	return t->next_xid;
}

/* Dispatches a request that has been given a slot of its upstream. */
void
dispatch_start(kf_traffic_t *t, request_t *req)
{
	served_upstream_t *s = served_upstream_find(t, req->upstream);

	req->has_slot = true;
	req->slot_taken_us = t->now.mono_us;
	if (s != NULL)
		s->active++;
	dispatch_send(t, req);
}

static size_t
dispatch_write_call(
    kf_traffic_t *t, const request_t *req, const served_upstream_t *s)
{
	uint8_t sys_body[32], info_body[KF_CALL_INFO_BYTES];
	int64_t left_ms = (req->deadline_us - t->now.mono_us) / 1000;
	kf_rpc_auth_sys_t sys = { .uid = req->token.uid,
		.gid = req->token.gid };
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

	call.cred.len = (uint32_t)kf_rpc_auth_sys_write(&sys,
	    (uint32_t)(t->now.wall_ms / 1000), sys_body, sizeof(sys_body));
	kf_call_info_write(&info, info_body);
	return kf_rpc_call_write(&call, t->buf, DATAGRAM_MAX_BYTES);
}

void
dispatch_send(kf_traffic_t *t, request_t *req)
{
	served_upstream_t *s = served_upstream_find(t, req->upstream);
	size_t len;
	int path;

	if (t->now.mono_us >= req->deadline_us) {
		dispatch_release(t, req, -1);
		owner_refuse(t, req, KF_REASON_DEADLINE);
		return;
	}
	/* The view may have changed since the request was admitted. */
	if (s == NULL || !served_upstream_accepts(t, s, req->service)) {
		dispatch_release(t, req, -1);
		owner_replace_upstream(t, req, KF_VIEW_NONE);
		return;
	}
	req->upstream_xid = dispatch_next_xid(t);
	len = dispatch_write_call(t, req, s);
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
 * cannot be sent releases its slot, which calls this function again.  The inner
 * call returns at once and the outer one continues, so that a long queue does
 * not overflow the stack.
 */
void
dispatch_queued(kf_traffic_t *t, uint32_t upstream)
{
	uint32_t outer = t->dispatching_upstream;
	request_t *req;

	if (outer == upstream)
		return;
	t->dispatching_upstream = upstream;
	while ((req = kf_admission_dispatch_next(
		    t->admission, t->now.mono_us, upstream)) != NULL)
		dispatch_start(t, req);
	t->dispatching_upstream = outer;
}

/* Releases the request's slot, if it has one. */
void
dispatch_release(kf_traffic_t *t, request_t *req, int64_t service_us)
{
	served_upstream_t *s;

	if (!req->has_slot)
		return;
	req->has_slot = false;
	s = served_upstream_find(t, req->upstream);
	if (s != NULL)
		s->active--;
	if (apr_hash_get(t->by_xid, &req->upstream_xid, sizeof(uint32_t)) ==
	    req)
		apr_hash_set(
		    t->by_xid, &req->upstream_xid, sizeof(uint32_t), NULL);
	kf_admission_release(
	    t->admission, t->now.mono_us, req->upstream, req->cls, service_us);
	dispatch_queued(t, req->upstream);
}

/* Tells the upstream to cancel the request. */
void
dispatch_cancel(kf_traffic_t *t, const request_t *req)
{
	served_upstream_t *s = served_upstream_find(t, req->upstream);
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
	    kf_admission_take_retry(t->admission);
}

/* Retries or refuses a request that the upstream did not run. */
void
dispatch_on_not_run(kf_traffic_t *t, request_t *req, kf_reason_t reason)
{
	uint32_t index = place_upstream_index(t, req->upstream);

	dispatch_release(t, req, -1);
	if (!retry_allowed(t, req)) {
		owner_refuse(t, req, reason);
		return;
	}
	kf_counters_add(&t->counters, KF_COUNT_RETRIED, 1);
	request_report_decision(t, req, KF_EVENT_RETRY, reason, NULL);
	owner_replace_upstream(t, req, index);
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
	owner_replace_upstream(t, req, index);
}

/* Handles the loss of a reply: an idempotent request is retried. */
void
dispatch_on_reply_lost(kf_traffic_t *t, request_t *req)
{
	if (req->idempotent && retry_allowed(t, req))
		dispatch_retry_elsewhere(t, req);
	else
		request_answer_unknown(t, req, KF_REASON_UPSTREAM_LOST);
}

/*
 * Handles a deadline that passed without a reply.  The caller is told that the
 * request may have run.  The slot is kept, because the upstream may still be
 * working on the request.
 */
static void
dispatch_on_deadline(kf_traffic_t *t, request_t *req)
{
	served_upstream_t *s = served_upstream_find(t, req->upstream);

	dispatch_cancel(t, req);
	if (s != NULL)
		served_upstream_on_failure(
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
 * Returns true if an idempotent request has waited long enough for a reply and
 * can be retried at another upstream before its deadline.  An upstream whose
 * end caused no ICMP error is noticed only in this way.
 */
static bool
attempt_overdue(kf_traffic_t *t, const request_t *req)
{
	const kf_service_t *service;

	if (!req->idempotent ||
	    t->now.mono_us - req->sent_us < req->attempt_timeout_us)
		return false;
	service = kf_declaration_service(t->view->decl, req->service);
	return service != NULL &&
	    place_has_alternative(t, service, req->token.share_point,
		place_upstream_index(t, req->upstream)) &&
	    retry_allowed(t, req);
}

/* Cancels an attempt before its slot is released, and retries elsewhere. */
static void
dispatch_on_attempt_timeout(kf_traffic_t *t, request_t *req)
{
	served_upstream_t *s = served_upstream_find(t, req->upstream);

	dispatch_cancel(t, req);
	if (s != NULL)
		served_upstream_on_failure(
		    t, s, req->path, req->sent_us, KF_UPSTREAM_TIMEOUT);
	dispatch_retry_elsewhere(t, req);
}

static void
dispatch_recheck_ack(kf_traffic_t *t, request_t *req)
{
	if (owner_needs_no_ack(t, &req->token)) {
		req->needs_no_ack = true;
		owner_on_ack(t, req);
	} else if (t->now.mono_us - req->intent_sent_us >= INTENT_RETRY_US)
		peer_send_intent(t, req);
}

/*
 * Handles a deadline that passed without an INTENT_ACK.  If the backup has
 * ended, it may have run the request.  If it is only silent, it may answer
 * again, so the request is dropped and a copy of it is treated as new.
 */
static void
dispatch_on_ack_timeout(kf_traffic_t *t, request_t *req)
{
	if (lease_liveness(t, req->token.backup, req->token.upstream) ==
	    KF_VM_GONE)
		request_answer_unknown(t, req, KF_REASON_IN_DOUBT);
	else
		request_discard(t, req);
}

static void
dispatch_check_timeout(kf_traffic_t *t, request_t *req)
{
	bool late = t->now.mono_us >= req->deadline_us;

	switch (req->state) {
	case REQUEST_DISPATCHED:
		if (late)
			dispatch_on_deadline(t, req);
		else if (attempt_overdue(t, req))
			dispatch_on_attempt_timeout(t, req);
		break;
	case REQUEST_WAIT_ACK:
		if (late)
			dispatch_on_ack_timeout(t, req);
		else
			dispatch_recheck_ack(t, req);
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
dispatch_check_timeouts(kf_traffic_t *t)
{
	request_t *req, *next;

	if (t->view == NULL)
		return;
	request_sweep_begin(t);
	for (req = t->requests; req != NULL; req = next) {
		if (!req->deleted)
			dispatch_check_timeout(t, req);
		next = req->next;
	}
	request_sweep_end(t);
}

static void
dispatch_on_denial(kf_traffic_t *t, request_t *req, served_upstream_t *s,
    const kf_rpc_reply_t *reply)
{
	if (reply->reject_stat == 1 &&
	    reply->auth_stat == KF_RPC_AUTH_REJECTEDVERF) {
		served_upstream_on_failure(t, s, req->path, req->sent_us,
		    KF_UPSTREAM_WRONG_INCARNATION);
		dispatch_on_not_run(t, req, KF_REASON_UPSTREAM_LOST);
	} else if (reply->reject_stat == 1 &&
	    reply->auth_stat == KF_RPC_AUTH_FAILED) {
		kf_upstream_state_on_answer(s->state, (int)req->path,
		    t->now.mono_us, t->now.mono_us - req->sent_us);
		kf_admission_on_upstream_shed(
		    t->admission, t->now.mono_us, s->id);
		dispatch_on_not_run(t, req, KF_REASON_UPSTREAM_SHED);
	} else {
		dispatch_release(t, req, t->now.mono_us - req->slot_taken_us);
		request_answer(t, req, reply);
	}
}

/* Drops a denial after the deadline: the caller was told "may have run". */
static void
dispatch_on_late_denial(kf_traffic_t *t, request_t *req)
{
	dispatch_release(t, req, -1);
	request_report_decision(
	    t, req, KF_EVENT_DROP, KF_REASON_LATE_REPLY, NULL);
	request_delete(t, req);
}

static void
dispatch_on_reply(kf_traffic_t *t, request_t *req, served_upstream_t *s,
    const kf_rpc_reply_t *reply)
{
	kf_load_report_t report;

	if (reply->reply_stat == KF_RPC_MSG_DENIED) {
		if (req->state == REQUEST_DISPATCHED)
			dispatch_on_denial(t, req, s, reply);
		else
			dispatch_on_late_denial(t, req);
		return;
	}
	kf_upstream_state_on_answer(s->state, (int)req->path, t->now.mono_us,
	    t->now.mono_us - req->sent_us);
	if (kf_load_report_read(&reply->verf, &report) == KF_OK)
		kf_upstream_state_on_report(s->state, &report, t->now.mono_us);
	dispatch_release(t, req, t->now.mono_us - req->slot_taken_us);
	/* A reply after the deadline replaces the recorded unknown outcome. */
	request_answer(t, req, reply);
}

void
kf_traffic_on_upstream(kf_traffic_t *t, kf_time_t now, uint32_t upstream,
    uint32_t path, const uint8_t *data, size_t len)
{
	kf_rpc_reply_t reply;
	packet_t late = { 0 };
	served_upstream_t *s;
	request_t *req;

	(void)path;
	t->now = now;
	kf_counters_add(&t->counters, KF_COUNT_UPSTREAM_PACKETS, 1);
	s = served_upstream_find(t, upstream);
	if (s == NULL || kf_rpc_reply_parse(data, len, &reply) != KF_OK) {
		packet_drop(t, &late, KF_REASON_MALFORMED);
		return;
	}
	if (s->probe_xid != 0 && reply.xid == s->probe_xid) {
		served_upstream_on_probe(t, s, &reply);
		return;
	}
	req = apr_hash_get(t->by_xid, &reply.xid, sizeof(uint32_t));
	if (req == NULL || req->upstream != upstream) {
		late.call.xid = reply.xid;
		packet_drop(t, &late, KF_REASON_LATE_REPLY);
		return;
	}
	dispatch_on_reply(t, req, s, &reply);
}

/*
 * Handles an unreachable port: the upstream's process has ended, so requests on
 * this path get no reply.
 */
void
kf_traffic_on_upstream_error(
    kf_traffic_t *t, kf_time_t now, uint32_t upstream, uint32_t path)
{
	served_upstream_t *s;
	request_t *req, *next;

	t->now = now;
	s = served_upstream_find(t, upstream);
	if (s == NULL || t->view == NULL)
		return;
	served_upstream_on_failure(
	    t, s, path, t->now.mono_us, KF_UPSTREAM_UNREACHABLE);
	request_sweep_begin(t);
	for (req = t->requests; req != NULL; req = next) {
		if (!req->deleted && req->state == REQUEST_DISPATCHED &&
		    req->upstream == upstream && req->path == path)
			dispatch_on_reply_lost(t, req);
		next = req->next;
	}
	request_sweep_end(t);
}
