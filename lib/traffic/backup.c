#include "traffic_internal.h"

/*
 * Serves a request as the backup of an owner that seems dead.  The fence stops
 * the owner from dispatching further requests in case it was only paused.
 */
void
backup_take_over(kf_traffic_t *t, packet_t *pkt)
{
	kf_request_id_t id = {
		.flow = pkt->token.flow,
		.xid = pkt->call.xid,
		.generation = pkt->token.generation,
	};
	const uint8_t *stored;
	request_t *req;
	size_t len;

	if (!kf_flow_fenced(t->flows, pkt->token.owner) &&
	    !lease_may_fence(t, pkt->token.owner, pkt->token.upstream)) {
		packet_drop(t, pkt, KF_REASON_OWNER_LOST);
		return;
	}
	if (kf_flow_fence(t->flows, t->now.mono_us, pkt->token.owner) !=
	    KF_OK) {
		packet_drop(t, pkt, KF_REASON_OVERLOAD);
		return;
	}
	switch (kf_flow_take_over(
	    t->flows, t->now.mono_us, pkt->token.owner, &id, &stored, &len)) {
	case KF_FLOW_NEW:
		break;
	case KF_FLOW_ANSWERED:
		owner_send_stored_outcome(t, pkt, stored, len);
		return;
	case KF_FLOW_REFUSED:
		packet_refuse(t, pkt, KF_REASON_OWNER_LOST);
		return;
	case KF_FLOW_IN_DOUBT:
	case KF_FLOW_STALE:
		packet_answer_unknown(t, pkt, KF_REASON_IN_DOUBT);
		return;
	case KF_FLOW_FULL:
		packet_drop(t, pkt, KF_REASON_OVERLOAD);
		return;
	default:
		packet_drop(t, pkt, KF_REASON_DUPLICATE);
		return;
	}
	req = request_new(t, pkt);
	if (req == NULL) {
		kf_flow_finish(t->flows, t->now.mono_us, &id, KF_MAY_HAVE_RUN,
		    KF_REASON_OVERLOAD, NULL, 0);
		packet_drop(t, pkt, KF_REASON_OVERLOAD);
		return;
	}
	req->recorded = true;
	req->needs_no_ack = true;
	kf_counters_add(&t->counters, KF_COUNT_TAKEOVERS, 1);
	request_report_decision(
	    t, req, KF_EVENT_TAKEOVER, KF_REASON_OWNER_LOST, NULL);
	if (pkt->expired)
		owner_refuse(t, req, KF_REASON_TOKEN_EXPIRED);
	else
		owner_start(t, req);
}

void
backup_on_intent(kf_traffic_t *t, kf_vm_id_t from, const kf_peer_intent *intent)
{
	kf_request_id_t id = {
		.flow = intent->flow,
		.xid = intent->xid,
		.generation = intent->generation,
	};
	kf_status_t status;

	status = kf_flow_record_intent(
	    t->flows, t->now.mono_us, from, &id, intent->upstream);
	if (status == KF_OK)
		peer_send_intent_answer(t, from, intent, true);
	else if (status == KF_ERR_CONFLICT) {
		kf_counters_add(&t->counters, KF_COUNT_INTENTS_REFUSED, 1);
		peer_send_intent_answer(t, from, intent, false);
	}
}

void
backup_on_done(kf_traffic_t *t, kf_vm_id_t from, const kf_peer_done *done)
{
	kf_request_id_t id = {
		.flow = done->flow,
		.xid = done->xid,
		.generation = done->generation,
	};

	if (done->verdict >= KF_VERDICT_COUNT)
		return;
	kf_flow_record_done(t->flows, t->now.mono_us, from, &id,
	    (kf_verdict_t)done->verdict, (const uint8_t *)done->reply.reply_val,
	    done->reply.reply_len);
}
