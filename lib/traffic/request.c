#include <stdlib.h>
#include <string.h>

#include "traffic_internal.h"

enum {
	REQUEST_KEY_BYTES = sizeof(uint64_t) + sizeof(uint32_t),
	/* Limit of requests held at once, in any state. */
	REQUESTS_MAX = 65536,
};

/* The table's key is the flow id followed by the xid. */
_Static_assert(offsetof(kf_request_id_t, xid) == sizeof(uint64_t),
    "flow and xid must be adjacent");

request_t *
request_find(const kf_traffic_t *t, uint64_t flow, uint32_t xid)
{
	kf_request_id_t id = { .flow = flow, .xid = xid };

	return apr_hash_get(t->by_id, &id, REQUEST_KEY_BYTES);
}

request_t *
request_new(kf_traffic_t *t, const packet_t *pkt)
{
	request_t *req;

	if (t->request_count >= REQUESTS_MAX)
		return NULL;
	req = calloc(1, sizeof(*req) + pkt->call.args_len);
	if (req == NULL)
		return NULL;
	req->id.flow = pkt->token.flow;
	req->id.xid = pkt->call.xid;
	req->id.generation = pkt->token.generation;
	req->route = pkt->route;
	req->token = pkt->token;
	req->reply_token = pkt->token;
	req->hops = pkt->hops;
	req->service = pkt->service->id;
	req->prog = pkt->call.prog;
	req->vers = pkt->call.vers;
	req->proc = pkt->call.proc;
	req->cls = pkt->proc.cls;
	req->idempotent = pkt->proc.idempotent;
	req->new_flow = pkt->new_flow;
	req->may_have_run = pkt->may_have_run;
	req->upstream = pkt->token.upstream;
	req->attempt_timeout_us = pkt->service->deadline_ms * 1000 / 2;
	req->deadline_us = t->now.mono_us + pkt->service->deadline_ms * 1000;
	req->args_len = pkt->call.args_len;
	if (req->args_len > 0)
		memcpy(req->args, pkt->call.args, req->args_len);
	req->next = t->requests;
	if (req->next != NULL)
		req->next->prev = req;
	t->requests = req;
	t->request_count++;
	apr_hash_set(t->by_id, &req->id, REQUEST_KEY_BYTES, req);
	kf_counters_add(&t->counters, KF_COUNT_REQUESTS, 1);
	return req;
}

/*
 * Unlinks and frees a request.  During a sweep over the list it is freed only
 * at the end, so that the sweep can continue from it.
 */
void
request_delete(kf_traffic_t *t, request_t *req)
{
	if (request_find(t, req->id.flow, req->id.xid) == req)
		apr_hash_set(t->by_id, &req->id, REQUEST_KEY_BYTES, NULL);
	if (apr_hash_get(t->by_xid, &req->upstream_xid, sizeof(uint32_t)) ==
	    req)
		apr_hash_set(
		    t->by_xid, &req->upstream_xid, sizeof(uint32_t), NULL);
	if (req->next != NULL)
		req->next->prev = req->prev;
	if (req->prev != NULL)
		req->prev->next = req->next;
	else
		t->requests = req->next;
	t->request_count--;
	if (!t->sweeping) {
		free(req);
		return;
	}
	req->deleted = true;
	req->prev = t->deleted;
	t->deleted = req;
}

void
request_sweep_begin(kf_traffic_t *t)
{
	t->sweeping = true;
}

void
request_sweep_end(kf_traffic_t *t)
{
	request_t *req;

	t->sweeping = false;
	while ((req = t->deleted) != NULL) {
		t->deleted = req->prev;
		free(req);
	}
}

void
request_report_decision(kf_traffic_t *t, const request_t *req, kf_event_t event,
    kf_reason_t reason, const char *vm)
{
	const kf_declaration_t *decl = t->view->decl;
	const kf_service_t *service;
	const kf_upstream_t *upstream;
	kf_decision_t decision = {
		.event = event,
		.reason = reason,
		.vm = vm,
		.caller = req->route.caller,
		.flow = req->id.flow,
		.xid = req->id.xid,
		.proc = req->proc,
		.revision = decl->revision,
	};

	service = kf_declaration_service(decl, req->service);
	upstream = kf_declaration_upstream(decl, req->upstream);
	decision.service = service == NULL ? NULL : service->name;
	decision.upstream = upstream == NULL ? NULL : upstream->name;
	if (reason != KF_REASON_NONE)
		kf_counters_add_reason(&t->counters, reason);
	t->config.ops.decision(t->config.ops.ctx, &decision);
}

/* Records the outcome of a request in the flow table and at the backup. */
void
request_record_outcome(kf_traffic_t *t, request_t *req, kf_verdict_t verdict,
    kf_reason_t reason, const uint8_t *stored, size_t len)
{
	if (!req->recorded)
		return;
	kf_flow_finish(
	    t->flows, t->now.mono_us, &req->id, verdict, reason, stored, len);
	if (!req->needs_no_ack)
		peer_send_done(t, req, verdict, reason, stored, len);
}

/* Builds the token of the reply: renewed, with the flow's next generation. */
static void
request_build_reply_token(kf_traffic_t *t, request_t *req, kf_token_t *token)
{
	const kf_service_t *service;
	placement_t place;
	uint32_t next;

	*token = req->reply_token;
	service = kf_declaration_service(t->view->decl, req->service);
	/*
	 * Place a new flow again for its later calls: the hash that placed its
	 * first call balances less well.
	 */
	if (req->new_flow && token->generation != GENERATION_KEPT_UPSTREAM &&
	    service != NULL &&
	    place_new_flow(t, service, KF_VIEW_NONE, &place) == KF_OK &&
	    place_fill_token(t, service, &place, token) == KF_OK)
		return;
	/* Two calls may have the same hash, so it cannot stay the flow id. */
	if (req->new_flow)
		token->flow = place_new_flow_id(t);
	/* A late reply must not return the caller to an old generation. */
	if (token->flow == req->id.flow) {
		next = kf_flow_next_generation(t->flows, token->flow);
		if (next > token->generation)
			token->generation = next;
	}
	place_renew_token(t, token);
}

/* Sends the upstream's reply to the caller and ends the request. */
void
request_answer(kf_traffic_t *t, request_t *req, const kf_rpc_reply_t *reply)
{
	kf_token_t token;
	size_t len;

	request_build_reply_token(t, req, &token);
	len = reply_build(t, req, reply, &token);
	if (len == 0) {
		request_answer_unknown(t, req, KF_REASON_MALFORMED);
		return;
	}
	kf_counters_add(&t->counters, KF_COUNT_ANSWERED, 1);
	t->config.ops.send_caller(t->config.ops.ctx, &req->route, t->buf, len);
	if (req->recorded) {
		memmove(t->buf + 1, t->buf, len);
		t->buf[0] = STORED_REPLY;
		request_record_outcome(
		    t, req, KF_ANSWERED, KF_REASON_NONE, t->buf, len + 1);
	}
	if (!req->recorded)
		recent_add_may_have_run(t, req->id.flow, req->id.xid);
	request_report_decision(t, req, KF_EVENT_ANSWER, KF_REASON_NONE, NULL);
	request_delete(t, req);
}

/*
 * Forwards the request to the owner that token names and ends it here.  From
 * then on a recorded request counts as dispatched, and copies of it are
 * forwarded with the stored token.
 */
void
request_move(kf_traffic_t *t, request_t *req, const kf_token_t *token)
{
	uint8_t stored[1 + KF_TOKEN_BYTES];
	const kf_view_vm_t *vm;

	vm = kf_view_vm(t->view, token->owner);
	stored[0] = STORED_MOVED;
	if (vm == NULL || vm->peer_addr.port == 0 ||
	    kf_token_seal(token, t->keys, t->now.wall_ms / 1000,
		req->route.caller.ip, stored + 1) != KF_OK) {
		request_refuse(t, req, KF_REASON_NO_UPSTREAM);
		return;
	}
	request_record_outcome(
	    t, req, KF_ANSWERED, KF_REASON_NONE, stored, sizeof(stored));
	if (!req->recorded) {
		recent_add_move(t, req, stored + 1);
		recent_add_may_have_run(t, req->id.flow, req->id.xid);
	}
	request_report_decision(
	    t, req, KF_EVENT_MOVE, KF_REASON_NONE, vm->name);
	peer_forward_request(t, req, token, vm);
	request_delete(t, req);
}

/*
 * Refuses a request as not run.  If an earlier attempt got no reply, that
 * attempt may have run, and the reply is that the outcome is unknown.  Requests
 * are refused before dispatch, so this one must not hold a slot.
 */
void
request_refuse(kf_traffic_t *t, request_t *req, kf_reason_t reason)
{
	if (req->may_have_run) {
		request_answer_unknown(t, req, reason);
		return;
	}
	request_record_outcome(t, req, KF_NOT_RUN, reason, NULL, 0);
	if (!req->recorded)
		recent_add_refusal(t, req->id.flow, req->id.xid, reason);
	kf_counters_add(&t->counters, KF_COUNT_REFUSED, 1);
	reply_send_denied(t, &req->route, req->id.xid, reason);
	request_report_decision(t, req, KF_EVENT_REFUSE, reason, NULL);
	request_delete(t, req);
}

/* Tells the caller that the request may have run, and ends it. */
void
request_answer_unknown(kf_traffic_t *t, request_t *req, kf_reason_t reason)
{
	dispatch_release(t, req, -1);
	request_record_outcome(t, req, KF_MAY_HAVE_RUN, reason, NULL, 0);
	if (!req->recorded)
		recent_add_may_have_run(t, req->id.flow, req->id.xid);
	kf_counters_add(&t->counters, KF_COUNT_MAY_HAVE_RUN, 1);
	reply_send_unknown(t, &req->route, req->id.xid);
	request_report_decision(t, req, KF_EVENT_UNKNOWN, reason, NULL);
	request_delete(t, req);
}

/*
 * Drops a request that was neither dispatched nor answered, with its record, so
 * that a later copy counts as new.
 */
void
request_discard(kf_traffic_t *t, request_t *req)
{
	dispatch_release(t, req, -1);
	if (req->recorded)
		kf_flow_unregister(t->flows, &req->id);
	kf_counters_add(&t->counters, KF_COUNT_DROPPED, 1);
	request_report_decision(
	    t, req, KF_EVENT_DROP, KF_REASON_DEADLINE, NULL);
	request_delete(t, req);
}

/*
 * Ends a request without a reply, as another VM decides about it or may run a
 * copy of it.
 */
void
request_end_without_reply(kf_traffic_t *t, request_t *req, kf_reason_t reason)
{
	dispatch_release(t, req, -1);
	if (req->recorded)
		kf_flow_finish(t->flows, t->now.mono_us, &req->id,
		    KF_MAY_HAVE_RUN, reason, NULL, 0);
	request_report_decision(t, req, KF_EVENT_DROP, reason, NULL);
	request_delete(t, req);
}
