#include <string.h>

#include "traffic_internal.h"

/*
 * Returns true if requests with this token may be dispatched without an
 * INTENT_ACK: there is no backup, or it ended before it could have fenced this
 * VM.
 */
bool
owner_needs_no_ack(const kf_traffic_t *t, const kf_token_t *token)
{
	return token->backup.vm == 0 ||
	    lease_cannot_have_fenced(t, token->backup, token->upstream);
}

/* Answers or routes a copy of a request by the request's stored outcome. */
void
owner_send_stored_outcome(
    kf_traffic_t *t, const packet_t *pkt, const uint8_t *stored, size_t len)
{
	packet_t moved = *pkt;

	if (len < 1) {
		packet_drop(t, pkt, KF_REASON_DUPLICATE);
		return;
	}
	kf_counters_add(&t->counters, KF_COUNT_REPLAYED, 1);
	if (stored[0] == STORED_REPLY) {
		t->config.ops.send_caller(
		    t->config.ops.ctx, &pkt->route, stored + 1, len - 1);
		packet_report_decision(t, pkt, KF_EVENT_REPLAY, KF_REASON_NONE);
		return;
	}
	/*
	 * The copy is routed like any packet: if the new owner has ended as
	 * well, it goes to the backup of the new owner.
	 */
	if (packet_set_token(t, &moved, stored + 1, len - 1) == KF_REASON_NONE)
		ingress_route(t, &moved);
	else
		packet_answer_unknown(t, pkt, KF_REASON_IN_DOUBT);
}

/*
 * Handles a copy of a request whose outcome is unknown here.  If the backup has
 * fenced this VM, it also decides about the copy.
 */
static void
owner_handle_in_doubt(
    kf_traffic_t *t, const packet_t *pkt, const kf_request_id_t *id)
{
	const kf_view_vm_t *vm = kf_view_vm(t->view, pkt->token.backup);

	if (kf_flow_reason(t->flows, id) == KF_REASON_FENCED && vm != NULL &&
	    vm->liveness < KF_VM_DEAD && vm->peer_addr.port != 0 &&
	    pkt->hops < FORWARD_HOPS_MAX)
		peer_forward(t, pkt, vm);
	else
		packet_answer_unknown(t, pkt, KF_REASON_IN_DOUBT);
}

/*
 * Looks a non-idempotent request up in the flow table.  Returns true if the
 * request is new; any other is answered or dropped here.
 */
static bool
owner_check_record(kf_traffic_t *t, const packet_t *pkt)
{
	kf_request_id_t id = {
		.flow = pkt->token.flow,
		.xid = pkt->call.xid,
		.generation = pkt->token.generation,
	};
	const uint8_t *stored;
	size_t len;

	switch (kf_flow_begin(t->flows, t->now.mono_us, &id, &stored, &len)) {
	case KF_FLOW_NEW:
		return true;
	case KF_FLOW_ANSWERED:
		owner_send_stored_outcome(t, pkt, stored, len);
		return false;
	case KF_FLOW_REFUSED:
		packet_refuse(t, pkt, kf_flow_reason(t->flows, &id));
		return false;
	case KF_FLOW_IN_DOUBT:
		owner_handle_in_doubt(t, pkt, &id);
		return false;
	case KF_FLOW_STALE:
		packet_answer_unknown(t, pkt, KF_REASON_IN_DOUBT);
		return false;
	case KF_FLOW_FULL:
		packet_drop(t, pkt, KF_REASON_OVERLOAD);
		return false;
	default:
		packet_drop(t, pkt, KF_REASON_DUPLICATE);
		return false;
	}
}

/* Closes the record of a request that failed for lack of memory. */
static void
owner_end_record(kf_traffic_t *t, const packet_t *pkt)
{
	kf_request_id_t id = {
		.flow = pkt->token.flow,
		.xid = pkt->call.xid,
		.generation = pkt->token.generation,
	};

	if (!pkt->proc.idempotent)
		kf_flow_finish(t->flows, t->now.mono_us, &id, KF_MAY_HAVE_RUN,
		    KF_REASON_OVERLOAD, NULL, 0);
}

/*
 * Refuses or starts a request once the backup has acknowledged it or need not.
 * It must not start earlier, or it would hold a slot while its backup is
 * silent.  It must not be refused earlier, or the backup, without a record of
 * it, would run a late copy.
 */
static void
owner_refuse_or_start(kf_traffic_t *t, request_t *req)
{
	if (req->refuse_reason != KF_REASON_NONE)
		owner_refuse(t, req, req->refuse_reason);
	else
		owner_start(t, req);
}

/* Returns true if the owner in the token is known and neither dead nor gone. */
static bool
owner_is_alive(const kf_traffic_t *t, const kf_token_t *token)
{
	return kf_view_vm(t->view, token->owner) != NULL &&
	    lease_liveness(t, token->owner, token->upstream) < KF_VM_DEAD;
}

/*
 * Routes a copy of an idempotent request to the owner that the request moved
 * to, if that owner is alive.  A copy is routed so only once, because the new
 * owner may send it back.
 */
static bool
owner_follow_move(kf_traffic_t *t, const packet_t *pkt)
{
	const uint8_t *token;
	bool may_have_run;
	packet_t moved;

	token =
	    recent_find_move(t, pkt->token.flow, pkt->call.xid, &may_have_run);
	if (token == NULL || pkt->followed_move)
		return false;
	moved = *pkt;
	moved.new_flow = false;
	moved.followed_move = true;
	moved.may_have_run |= may_have_run;
	if (packet_set_token(t, &moved, token, KF_TOKEN_BYTES) !=
		KF_REASON_NONE ||
	    !owner_is_alive(t, &moved.token))
		return false;
	ingress_route(t, &moved);
	return true;
}

/*
 * Looks an idempotent request up among the recent ones.  Returns true if it was
 * neither moved nor refused; otherwise it is handled here.
 */
static bool
owner_check_recent(kf_traffic_t *t, const packet_t *pkt)
{
	kf_reason_t reason;

	if (owner_follow_move(t, pkt))
		return false;
	reason = recent_find_refusal(t, pkt->token.flow, pkt->call.xid);
	if (reason == KF_REASON_NONE)
		return true;
	packet_refuse(t, pkt, reason);
	return false;
}

/* Handles a request whose token names this VM as the owner. */
void
owner_handle_packet(kf_traffic_t *t, packet_t *pkt)
{
	request_t *req;

	req = request_find(t, pkt->token.flow, pkt->call.xid);
	if (req != NULL &&
	    (pkt->proc.idempotent || req->state != REQUEST_ABANDONED)) {
		packet_drop(t, pkt, KF_REASON_DUPLICATE);
		return;
	}
	if (!(pkt->proc.idempotent ? owner_check_recent(t, pkt)
				   : owner_check_record(t, pkt)))
		return;
	req = request_new(t, pkt);
	if (req == NULL) {
		owner_end_record(t, pkt);
		packet_drop(t, pkt, KF_REASON_OVERLOAD);
		return;
	}
	req->recorded = !pkt->proc.idempotent;
	if (!req->recorded && recent_may_have_run(t, req->id.flow, req->id.xid))
		req->may_have_run = true;
	req->needs_no_ack =
	    pkt->proc.idempotent || owner_needs_no_ack(t, &pkt->token);
	if (pkt->expired && req->recorded)
		req->refuse_reason = KF_REASON_TOKEN_EXPIRED;
	if (req->needs_no_ack) {
		owner_refuse_or_start(t, req);
		return;
	}
	req->state = REQUEST_WAIT_ACK;
	peer_send_intent(t, req);
}

/*
 * Returns true if this shard queues and dispatches a request for an upstream.
 * Normally the upstream's owner does.  An owner that this VM has fenced as its
 * backup cannot run the request and would send it back, so this VM does.  A
 * request that has reached FORWARD_HOPS_MAX is served where it is.
 */
static bool
owner_serves(const kf_traffic_t *t, const request_t *req, uint32_t index)
{
	const kf_view_upstream_t *vu = &t->view->upstreams[index];
	const kf_view_vm_t *vm = &t->view->vms[vu->owner];
	uint32_t id = t->view->decl->upstreams[index].id;

	if (req->hops >= FORWARD_HOPS_MAX)
		return true;
	if (vu->owner == t->view->self_index)
		return kf_view_shard(vm, id) == t->config.shard;
	return req->recorded && vu->backup == t->view->self_index &&
	    kf_view_shard(&t->view->vms[vu->backup], id) == t->config.shard &&
	    kf_flow_fenced(t->flows, vm->id);
}

/*
 * Queues a request for its upstream, or forwards it to the upstream's owner.
 * Called again when a new view has removed the request from its queue.
 */
void
owner_start(kf_traffic_t *t, request_t *req)
{
	const kf_service_t *service;
	kf_token_t token = req->reply_token;

	service = kf_declaration_service(t->view->decl, req->service);
	if (service == NULL) {
		owner_refuse(t, req, KF_REASON_NO_SERVICE);
		return;
	}
	if (!place_may_keep_upstream(t, service, &token)) {
		owner_replace_upstream(t, req, KF_VIEW_NONE);
		return;
	}
	if (owner_serves(t, req, place_upstream_index(t, token.upstream))) {
		req->upstream = token.upstream;
		owner_admit(t, req);
		return;
	}
	place_renew_token(t, &token);
	request_move(t, req, &token);
}

/* Moves the request and its flow to another upstream. */
void
owner_replace_upstream(kf_traffic_t *t, request_t *req, uint32_t exclude)
{
	const kf_service_t *service;
	kf_token_t token = req->token;
	placement_t place;

	service = kf_declaration_service(t->view->decl, req->service);
	if (service == NULL ||
	    place_at_point(
		t, service, req->token.share_point, exclude, &place) != KF_OK ||
	    place_fill_token(t, service, &place, &token) != KF_OK) {
		owner_refuse(t, req, KF_REASON_NO_UPSTREAM);
		return;
	}
	kf_counters_add(&t->counters, KF_COUNT_FLOWS_MOVED, 1);
	if (owner_serves(t, req, place.upstream)) {
		req->upstream = token.upstream;
		req->reply_token = token;
		request_report_decision(
		    t, req, KF_EVENT_MOVE, KF_REASON_NONE, NULL);
		owner_admit(t, req);
	} else
		request_move(t, req, &token);
}

void
owner_admit(kf_traffic_t *t, request_t *req)
{
	kf_admission_request_t offer = {
		.upstream = req->upstream,
		.cls = req->cls,
		.deadline_us = req->deadline_us,
		.bytes = (uint32_t)(sizeof(*req) + req->args_len),
		.request = req,
	};
	served_upstream_t *s;

	s = served_upstream_get(t, place_upstream_index(t, req->upstream));
	if (s == NULL) {
		owner_refuse(t, req, KF_REASON_NO_UPSTREAM);
		return;
	}
	if (req->attempts == 0)
		kf_admission_on_first_try(t->admission);
	req->state = REQUEST_QUEUED;
	switch (kf_admission_offer(t->admission, t->now.mono_us, &offer)) {
	case KF_ADMIT_DISPATCHED:
		dispatch_start(t, req);
		break;
	case KF_ADMIT_QUEUED:
		break;
	case KF_ADMIT_REFUSED_DEADLINE:
		owner_refuse(t, req, KF_REASON_DEADLINE);
		break;
	default:
		owner_refuse(t, req, KF_REASON_OVERLOAD);
		break;
	}
}

/*
 * Returns true if a copy of an idempotent request may run at another VM.
 * Copies go to the owner in the token, unless another VM considered that owner
 * dead a moment ago.
 */
static bool
owner_copy_may_run_elsewhere(const kf_traffic_t *t)
{
	return t->now.mono_us < t->routes_unstable_until_us;
}

/*
 * Refuses a request as not run.  An idempotent request of which a copy may run
 * at another VM is dropped instead, so that the caller sends it again.
 */
void
owner_refuse(kf_traffic_t *t, request_t *req, kf_reason_t reason)
{
	if (!req->recorded && !req->may_have_run &&
	    owner_copy_may_run_elsewhere(t)) {
		request_end_without_reply(t, req, reason);
		return;
	}
	request_refuse(t, req, reason);
}

/* Continues a request that the backup has recorded or need not record. */
void
owner_on_ack(kf_traffic_t *t, request_t *req)
{
	req->acked = true;
	if (req->state == REQUEST_WAIT_ACK)
		owner_refuse_or_start(t, req);
}

/* Passes a request on to the backup, which has fenced this VM. */
void
owner_on_fenced(kf_traffic_t *t, request_t *req)
{
	const kf_view_vm_t *vm = kf_view_vm(t->view, req->token.backup);

	t->fenced = true;
	if (vm != NULL && vm->peer_addr.port != 0)
		peer_forward_request(t, req, &req->token, vm);
	request_end_without_reply(t, req, KF_REASON_FENCED);
}
