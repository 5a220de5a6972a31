#include <string.h>

#include "traffic_internal.h"

/*
 * Whether requests under this token may be dispatched without an
 * acknowledgement: there is no backup, or it ended before it could have fenced
 * this VM.
 */
bool
owner_alone(const kf_traffic_t *t, const kf_token_t *token)
{
	return token->backup.vm == 0 ||
	    lease_cannot_have_fenced(t, token->backup, token->upstream);
}

/* Sends the stored outcome of a request to the sender of a copy of it. */
void
owner_send_stored(
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
	/* The new owner may have ended in turn; its backup then decides. */
	if (packet_set_token(t, &moved, stored + 1, len - 1) == KF_REASON_NONE)
		ingress_route(t, &moved);
	else
		packet_answer_unknown(t, pkt, KF_REASON_IN_DOUBT);
}

/* The backup that has fenced this VM decides about the copy as well. */
static void
owner_send_in_doubt(
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
 * Classifies a non-idempotent request by the flow's records.  Returns true if
 * it is new and may go on.
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
		owner_send_stored(t, pkt, stored, len);
		return false;
	case KF_FLOW_REFUSED:
		packet_refuse(t, pkt, kf_flow_reason(t->flows, &id));
		return false;
	case KF_FLOW_IN_DOUBT:
		owner_send_in_doubt(t, pkt, &id);
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

/* Ends the record of a request that there is no memory for. */
static void
owner_forget(kf_traffic_t *t, const packet_t *pkt)
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
 * Refuses or starts a request that the backup knows of, or need not.  Nothing
 * else is done with it earlier: it would hold a slot while its backup is
 * silent, and without a record the backup would run a late copy of a request
 * that was refused.
 */
static void
owner_go(kf_traffic_t *t, request_t *req)
{
	if (req->refuse_reason != KF_REASON_NONE)
		owner_refuse(t, req, req->refuse_reason);
	else
		owner_start(t, req);
}

/* Whether the owner that a token names can still run its requests. */
static bool
owner_lives(const kf_traffic_t *t, const kf_token_t *token)
{
	return kf_view_vm(t->view, token->owner) != NULL &&
	    lease_liveness(t, token->owner, token->upstream) < KF_VM_DEAD;
}

/*
 * Sends a copy of an idempotent request after the request, if it moved to an
 * owner that lives.  A copy follows once: the new owner may send it back.
 */
static bool
owner_follow_move(kf_traffic_t *t, const packet_t *pkt)
{
	const uint8_t *token;
	bool may_have_run;
	packet_t moved;

	token = recent_moved(t, pkt->token.flow, pkt->call.xid, &may_have_run);
	if (token == NULL || pkt->followed)
		return false;
	moved = *pkt;
	moved.new_flow = false;
	moved.followed = true;
	moved.may_have_run |= may_have_run;
	if (packet_set_token(t, &moved, token, KF_TOKEN_BYTES) !=
		KF_REASON_NONE ||
	    !owner_lives(t, &moved.token))
		return false;
	ingress_route(t, &moved);
	return true;
}

/*
 * Returns true if an idempotent request may go on: this VM remembers neither
 * that it refused the request nor where it went.
 */
static bool
owner_check_recent(kf_traffic_t *t, const packet_t *pkt)
{
	kf_reason_t reason;

	if (owner_follow_move(t, pkt))
		return false;
	reason = recent_refusal(t, pkt->token.flow, pkt->call.xid);
	if (reason == KF_REASON_NONE)
		return true;
	packet_refuse(t, pkt, reason);
	return false;
}

/* Handles a request whose token names this VM as the owner of its flow. */
void
owner_handle(kf_traffic_t *t, packet_t *pkt)
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
		owner_forget(t, pkt);
		packet_drop(t, pkt, KF_REASON_OVERLOAD);
		return;
	}
	req->recorded = !pkt->proc.idempotent;
	if (!req->recorded && recent_ran(t, req->id.flow, req->id.xid))
		req->may_have_run = true;
	req->alone = pkt->proc.idempotent || owner_alone(t, &pkt->token);
	if (pkt->expired && req->recorded)
		req->refuse_reason = KF_REASON_TOKEN_EXPIRED;
	if (req->alone) {
		owner_go(t, req);
		return;
	}
	req->state = REQUEST_WAIT_ACK;
	peer_send_intent(t, req);
}

/*
 * Whether this shard serves a request for an upstream.  Normally that is the
 * upstream's owner; but an owner that this VM has fenced can run nothing for
 * which this VM is the backup, and would only send the request back.
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
 * Sends a request to its upstream's queue, or to the upstream's owner.  Called
 * again when a view has taken the request out of its queue.
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
		owner_replace(t, req, KF_VIEW_NONE);
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

/* Gives the request and its flow to another upstream. */
void
owner_replace(kf_traffic_t *t, request_t *req, uint32_t exclude)
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
	serving_t *s;

	s = serving_get(t, place_upstream_index(t, req->upstream));
	if (s == NULL) {
		owner_refuse(t, req, KF_REASON_NO_UPSTREAM);
		return;
	}
	if (req->attempts == 0)
		kf_admission_first_try(t->admission);
	req->state = REQUEST_QUEUED;
	switch (kf_admission_offer(t->admission, t->now.mono_us, &offer)) {
	case KF_ADMIT_DISPATCH:
		dispatch_start(t, req);
		break;
	case KF_ADMIT_QUEUED:
		break;
	case KF_ADMIT_DEADLINE:
		owner_refuse(t, req, KF_REASON_DEADLINE);
		break;
	default:
		owner_refuse(t, req, KF_REASON_OVERLOAD);
		break;
	}
}

/*
 * Whether a copy of an idempotent request may run at another VM.  Copies go to
 * the owner in the token, unless some VM held it for dead a moment ago.
 */
static bool
owner_copy_elsewhere(const kf_traffic_t *t)
{
	return t->now.mono_us < t->unstable_until_us;
}

/*
 * Refuses a request as not run, or drops an idempotent one of which a copy may
 * have run: the caller then sends it again.
 */
void
owner_refuse(kf_traffic_t *t, request_t *req, kf_reason_t reason)
{
	if (!req->recorded && !req->may_have_run && owner_copy_elsewhere(t)) {
		request_end_without_reply(t, req, reason);
		return;
	}
	request_refuse(t, req, reason);
}

/* The backup has recorded the request, or need not. */
void
owner_acked(kf_traffic_t *t, request_t *req)
{
	req->acked = true;
	if (req->state == REQUEST_WAIT_ACK)
		owner_go(t, req);
}

/* The backup has fenced this VM, so it decides about the request. */
void
owner_fenced(kf_traffic_t *t, request_t *req)
{
	const kf_view_vm_t *vm = kf_view_vm(t->view, req->token.backup);

	t->fenced = true;
	if (vm != NULL && vm->peer_addr.port != 0)
		peer_forward_request(t, req, &req->token, vm);
	request_end_without_reply(t, req, KF_REASON_FENCED);
}
