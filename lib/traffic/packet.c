#include <string.h>

#include <xxhash.h>

#include "traffic_internal.h"

/*
 * Returns true if callers may call the program.  The control program of
 * upstreams is for balancers only.
 */
static bool
packet_program_served(const packet_t *pkt)
{
	if (pkt->call.prog == KF_UPSTREAM_PROG)
		return false;
	return pkt->service->program == 0 ||
	    pkt->service->program == pkt->call.prog;
}

/* Parses the call and finds its service and token. */
kf_reason_t
packet_parse(kf_traffic_t *t, packet_t *pkt)
{
	if (kf_rpc_call_parse(pkt->data, pkt->len, &pkt->call) != KF_OK)
		return KF_REASON_MALFORMED;
	pkt->service =
	    kf_declaration_service_at(t->view->decl, pkt->route.service);
	if (pkt->service == NULL)
		return KF_REASON_NO_SERVICE;
	if (!packet_program_served(pkt))
		return KF_REASON_NO_SERVICE;
	pkt->proc = kf_service_procedure(pkt->service, pkt->call.proc);
	pkt->new_flow = pkt->call.cred.flavor != KF_RPC_AUTH_SHORT;
	if (pkt->new_flow)
		return KF_REASON_NONE;
	return packet_set_token(
	    t, pkt, pkt->call.cred.body, pkt->call.cred.len);
}

/*
 * Opens a token and makes it the packet's.  A token with an unknown key gives
 * KF_REASON_NO_CONFIG, so that the packet is dropped and not refused: this VM
 * may not have received the key yet, and another VM may run the request.
 */
kf_reason_t
packet_set_token(
    kf_traffic_t *t, packet_t *pkt, const uint8_t *token, size_t len)
{
	kf_status_t status;

	status = kf_token_open(token, len, t->keys, t->now.wall_ms / 1000,
	    pkt->route.caller.ip, &pkt->token);
	if (status == KF_ERR_NOT_FOUND)
		return KF_REASON_NO_CONFIG;
	pkt->expired = status == KF_ERR_EXPIRED;
	if (status != KF_OK && (!pkt->expired || pkt->token.flow == 0))
		return pkt->expired ? KF_REASON_TOKEN_EXPIRED
				    : KF_REASON_TOKEN_BAD;
	if (pkt->token.service != pkt->service->id)
		return KF_REASON_TOKEN_SERVICE;
	memcpy(pkt->token_bytes, token, KF_TOKEN_BYTES);
	pkt->has_token = true;
	return KF_REASON_NONE;
}

/*
 * Returns the flow id of a call without a token.  It is the same for all copies
 * of the call on every VM.
 */
uint64_t
packet_flow_hash(const packet_t *pkt)
{
	uint32_t key[4] = { pkt->route.caller.ip, pkt->route.caller.port,
		pkt->call.xid, pkt->service->id };
	uint64_t hash = XXH3_64bits(key, sizeof(key));

	return hash == 0 ? 1 : hash;
}

void
packet_report_decision(
    kf_traffic_t *t, const packet_t *pkt, kf_event_t event, kf_reason_t reason)
{
	kf_decision_t decision = {
		.event = event,
		.reason = reason,
		.service = pkt->service == NULL ? NULL : pkt->service->name,
		.caller = pkt->route.caller,
		.flow = pkt->token.flow,
		.xid = pkt->call.xid,
		.proc = pkt->call.proc,
		.revision = t->view == NULL ? 0 : t->view->decl->revision,
	};

	if (reason != KF_REASON_NONE)
		kf_counters_add_reason(&t->counters, reason);
	t->config.ops.decision(t->config.ops.ctx, &decision);
}

void
packet_drop(kf_traffic_t *t, const packet_t *pkt, kf_reason_t reason)
{
	kf_counters_add(&t->counters, KF_COUNT_DROPPED, 1);
	packet_report_decision(t, pkt, KF_EVENT_DROP, reason);
}

void
packet_refuse(kf_traffic_t *t, const packet_t *pkt, kf_reason_t reason)
{
	kf_counters_add(&t->counters, KF_COUNT_REFUSED, 1);
	reply_send_denied(t, &pkt->route, pkt->call.xid, reason);
	packet_report_decision(t, pkt, KF_EVENT_REFUSE, reason);
}

void
packet_answer_unknown(kf_traffic_t *t, const packet_t *pkt, kf_reason_t reason)
{
	kf_counters_add(&t->counters, KF_COUNT_MAY_HAVE_RUN, 1);
	reply_send_unknown(t, &pkt->route, pkt->call.xid);
	packet_report_decision(t, pkt, KF_EVENT_UNKNOWN, reason);
}
