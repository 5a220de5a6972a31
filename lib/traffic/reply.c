#include <string.h>

#include "traffic_internal.h"

/* Returns the auth_stat for a refusal; callers take any as "not run". */
static uint32_t
reason_auth_stat(kf_reason_t reason)
{
	switch (reason) {
	case KF_REASON_NO_FLOW:
		return KF_RPC_AUTH_TOOWEAK;
	case KF_REASON_TOKEN_BAD:
	case KF_REASON_TOKEN_EXPIRED:
	case KF_REASON_TOKEN_SERVICE:
	case KF_REASON_OWNER_LOST:
		return KF_RPC_AUTH_REJECTEDCRED;
	default:
		return KF_RPC_AUTH_FAILED;
	}
}

static void
reply_send(
    kf_traffic_t *t, const kf_route_t *route, const kf_rpc_reply_t *reply)
{
	size_t len;

	len = kf_rpc_reply_write(reply, t->buf, sizeof(t->buf));
	if (len > 0)
		t->config.ops.send_caller(
		    t->config.ops.ctx, route, t->buf, len);
}

void
reply_send_denied(
    kf_traffic_t *t, const kf_route_t *route, uint32_t xid, kf_reason_t reason)
{
	kf_rpc_reply_t reply = {
		.xid = xid,
		.reply_stat = KF_RPC_MSG_DENIED,
		.reject_stat = 1,
		.auth_stat = reason_auth_stat(reason),
	};

	reply_send(t, route, &reply);
}

void
reply_send_unknown(kf_traffic_t *t, const kf_route_t *route, uint32_t xid)
{
	kf_rpc_reply_t reply = {
		.xid = xid,
		.reply_stat = KF_RPC_MSG_ACCEPTED,
		.accept_stat = KF_RPC_SYSTEM_ERR,
	};

	reply_send(t, route, &reply);
}

/* Answers a call to a program that the service does not offer. */
void
reply_send_no_program(kf_traffic_t *t, const packet_t *pkt)
{
	kf_rpc_reply_t reply = {
		.xid = pkt->call.xid,
		.reply_stat = KF_RPC_MSG_ACCEPTED,
		.accept_stat = KF_RPC_PROG_UNAVAIL,
	};

	reply_send(t, &pkt->route, &reply);
}

/*
 * Writes the verifier body that unmodified RPC client libraries expect: an
 * opaque_auth, here with the token, which they send as credential from then on.
 */
static kf_status_t
write_verifier(kf_traffic_t *t, const kf_token_t *token, uint32_t caller_ip,
    uint8_t body[KF_TOKEN_VERIFIER_BYTES])
{
	kf_put_u32(body, KF_RPC_AUTH_SHORT);
	kf_put_u32(body + 4, KF_TOKEN_BYTES);
	return kf_token_seal(
	    token, t->keys, t->now.wall_ms / 1000, caller_ip, body + 8);
}

static void
set_verifier(kf_traffic_t *t, const kf_token_t *token, uint32_t caller_ip,
    uint8_t body[KF_TOKEN_VERIFIER_BYTES], kf_rpc_auth_t *verf)
{
	*verf = (kf_rpc_auth_t){ 0 };
	if (write_verifier(t, token, caller_ip, body) != KF_OK)
		return;
	verf->flavor = KF_RPC_AUTH_SHORT;
	verf->len = KF_TOKEN_VERIFIER_BYTES;
	verf->body = body;
}

void
reply_send_null(kf_traffic_t *t, const packet_t *pkt, const kf_token_t *token)
{
	uint8_t body[KF_TOKEN_VERIFIER_BYTES];
	kf_rpc_reply_t reply = {
		.xid = pkt->call.xid,
		.reply_stat = KF_RPC_MSG_ACCEPTED,
		.accept_stat = KF_RPC_SUCCESS,
	};

	set_verifier(t, token, pkt->route.caller.ip, body, &reply.verf);
	reply_send(t, &pkt->route, &reply);
}

/* Writes an upstream's reply into t->buf for the caller, with its token. */
size_t
reply_build(kf_traffic_t *t, const request_t *req,
    const kf_rpc_reply_t *upstream_reply, const kf_token_t *token)
{
	uint8_t body[KF_TOKEN_VERIFIER_BYTES];
	kf_rpc_reply_t reply = *upstream_reply;

	reply.xid = req->id.xid;
	if (reply.reply_stat == KF_RPC_MSG_ACCEPTED)
		set_verifier(t, token, req->route.caller.ip, body, &reply.verf);
	return kf_rpc_reply_write(&reply, t->buf, REPLY_MAX_BYTES);
}
