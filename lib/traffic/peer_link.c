#include <string.h>

#include "traffic_internal.h"

/* Adds the MAC to a message and sends it to a shard of another VM. */
static void
peer_seal_and_send(kf_traffic_t *t, kf_addr_t to, kf_peer_msg *msg)
{
	size_t len;

	msg->from.vm = t->config.self.vm;
	msg->from.incarnation = t->config.self.incarnation;
	if (kf_peer_seal(msg, t->keys, t->now.wall_ms / 1000, t->peer_buf,
		sizeof(t->peer_buf), &len) == KF_OK)
		t->config.ops.send_peer(
		    t->config.ops.ctx, to, t->peer_buf, len);
}

static void
report_forward(kf_traffic_t *t, const packet_t *pkt, const kf_view_vm_t *vm)
{
	kf_decision_t decision = {
		.event = KF_EVENT_FORWARD,
		.service = pkt->service->name,
		.vm = vm->name,
		.caller = pkt->route.caller,
		.flow = pkt->token.flow,
		.xid = pkt->call.xid,
		.proc = pkt->call.proc,
		.revision = t->view->decl->revision,
	};

	t->config.ops.decision(t->config.ops.ctx, &decision);
}

static void
fill_forward(kf_peer_forward *f, const kf_route_t *route, uint8_t *token,
    uint8_t *data, size_t len)
{
	f->caller_ip = route->caller.ip;
	f->caller_port = route->caller.port;
	f->service_ip = route->service.ip;
	f->service_port = route->service.port;
	f->fabric_ip = route->fabric.ip;
	f->fabric_port = route->fabric.port;
	f->token.token_val = (char *)token;
	f->token.token_len = KF_TOKEN_BYTES;
	f->datagram.datagram_val = (char *)data;
	f->datagram.datagram_len = (u_int)len;
}

/* Forwards a caller's datagram, with its token, to the VM that handles it. */
void
peer_forward(kf_traffic_t *t, const packet_t *pkt, const kf_view_vm_t *vm)
{
	kf_peer_msg msg = { .body.type = KF_PEER_FORWARD };
	kf_peer_forward *f = &msg.body.kf_peer_body_u.forward;
	uint8_t token[KF_TOKEN_BYTES];

	if (pkt->len > KF_PEER_MAX_PAYLOAD) {
		packet_drop(t, pkt, KF_REASON_MALFORMED);
		return;
	}
	memcpy(token, pkt->token_bytes, sizeof(token));
	fill_forward(f, &pkt->route, token, (uint8_t *)pkt->data, pkt->len);
	f->flags = pkt->may_have_run ? KF_FORWARD_MAY_HAVE_RUN : 0;
	f->hops = pkt->hops + 1;
	kf_counters_add(&t->counters, KF_COUNT_FORWARDED, 1);
	report_forward(t, pkt, vm);
	peer_seal_and_send(
	    t, kf_view_shard_addr(vm, pkt->token.upstream), &msg);
}

/* Forwards a request held by this VM to another VM, with the given token. */
void
peer_forward_request(kf_traffic_t *t, const request_t *req,
    const kf_token_t *token, const kf_view_vm_t *vm)
{
	kf_peer_msg msg = { .body.type = KF_PEER_FORWARD };
	kf_peer_forward *f = &msg.body.kf_peer_body_u.forward;
	uint8_t sealed[KF_TOKEN_BYTES];
	kf_rpc_call_t call = {
		.xid = req->id.xid,
		.prog = req->prog,
		.vers = req->vers,
		.proc = req->proc,
		.args = req->args,
		.args_len = req->args_len,
	};
	size_t len;

	if (kf_token_seal(token, t->keys, t->now.wall_ms / 1000,
		req->route.caller.ip, sealed) != KF_OK)
		return;
	if (!req->new_flow) {
		call.cred.flavor = KF_RPC_AUTH_SHORT;
		call.cred.len = KF_TOKEN_BYTES;
		call.cred.body = sealed;
	}
	len = kf_rpc_call_write(&call, t->buf, DATAGRAM_MAX_BYTES);
	if (len == 0)
		return;
	fill_forward(f, &req->route, sealed, t->buf, len);
	f->hops = req->hops + 1;
	f->flags = req->may_have_run ? KF_FORWARD_MAY_HAVE_RUN : 0;
	kf_counters_add(&t->counters, KF_COUNT_FORWARDED, 1);
	peer_seal_and_send(t, kf_view_shard_addr(vm, token->upstream), &msg);
}

/* Asks the backup to record that this VM may dispatch the request. */
void
peer_send_intent(kf_traffic_t *t, request_t *req)
{
	kf_peer_msg msg = { .body.type = KF_PEER_INTENT };
	kf_peer_intent *intent = &msg.body.kf_peer_body_u.intent;
	const kf_view_vm_t *vm = kf_view_vm(t->view, req->token.backup);

	req->intent_sent_us = t->now.mono_us;
	if (vm == NULL || vm->peer_addr.port == 0)
		return;
	intent->flow = req->id.flow;
	intent->xid = req->id.xid;
	intent->generation = req->id.generation;
	intent->upstream = req->token.upstream;
	kf_counters_add(&t->counters, KF_COUNT_INTENTS_SENT, 1);
	peer_seal_and_send(
	    t, kf_view_shard_addr(vm, req->token.upstream), &msg);
}

void
peer_send_intent_answer(
    kf_traffic_t *t, kf_vm_id_t to, const kf_peer_intent *intent, bool ack)
{
	kf_peer_msg msg = {
		.body.type = ack ? KF_PEER_INTENT_ACK : KF_PEER_INTENT_NACK,
	};
	const kf_view_vm_t *vm = kf_view_vm(t->view, to);

	if (vm == NULL || vm->peer_addr.port == 0)
		return;
	if (ack)
		msg.body.kf_peer_body_u.ack = *intent;
	else
		msg.body.kf_peer_body_u.nack = *intent;
	peer_seal_and_send(t, kf_view_shard_addr(vm, intent->upstream), &msg);
}

/* Sends a message to a shard of a VM, unless vm is NULL or has no address. */
void
peer_send_message(
    kf_traffic_t *t, const kf_view_vm_t *vm, uint32_t shard, kf_peer_msg *msg)
{
	kf_addr_t addr;

	if (vm == NULL || vm->peer_addr.port == 0)
		return;
	addr = vm->peer_addr;
	addr.port = (uint16_t)(addr.port + shard);
	peer_seal_and_send(t, addr, msg);
}

static void
send_to_vm(kf_traffic_t *t, kf_vm_id_t to, uint32_t shard, kf_peer_msg *msg)
{
	peer_send_message(t, kf_view_vm(t->view, to), shard, msg);
}

void
peer_send_end(kf_traffic_t *t, const lease_t *lease, bool fenced)
{
	kf_peer_msg msg = { .body.type = KF_PEER_END };
	kf_vm_id_t to = { lease->key.vm, lease->key.incarnation };

	msg.body.kf_peer_body_u.end = (kf_peer_end){
		.shard = t->config.shard,
		.fenced = fenced,
	};
	send_to_vm(t, to, lease->key.shard, &msg);
}

void
peer_send_lease(kf_traffic_t *t, const lease_t *lease)
{
	kf_peer_msg msg = { .body.type = KF_PEER_LEASE };
	kf_vm_id_t to = { lease->key.vm, lease->key.incarnation };

	msg.body.kf_peer_body_u.lease = (kf_peer_lease){
		.sequence = lease->sequence,
		.shard = t->config.shard,
	};
	send_to_vm(t, to, lease->key.shard, &msg);
}

void
peer_send_lease_ack(
    kf_traffic_t *t, kf_vm_id_t to, const kf_peer_lease *request, u_int state)
{
	kf_peer_msg msg = { .body.type = KF_PEER_LEASE_ACK };

	msg.body.kf_peer_body_u.lease_ack = (kf_peer_lease){
		.sequence = request->sequence,
		.shard = t->config.shard,
		.state = state,
	};
	send_to_vm(t, to, request->shard, &msg);
}

void
peer_send_done(kf_traffic_t *t, const request_t *req, kf_verdict_t verdict,
    kf_reason_t reason, const uint8_t *stored, size_t len)
{
	kf_peer_msg msg = { .body.type = KF_PEER_DONE };
	kf_peer_done *done = &msg.body.kf_peer_body_u.done;
	const kf_view_vm_t *vm = kf_view_vm(t->view, req->token.backup);

	if (vm == NULL || vm->peer_addr.port == 0 || vm->liveness == KF_VM_GONE)
		return;
	done->flow = req->id.flow;
	done->xid = req->id.xid;
	done->generation = req->id.generation;
	done->verdict = (u_int)verdict;
	done->reason = (u_int)reason;
	/*
	 * A reply that does not fit is left out; the backup then answers copies
	 * as may have run.
	 */
	if (len <= KF_PEER_MAX_PAYLOAD) {
		done->reply.reply_val = (char *)stored;
		done->reply.reply_len = (u_int)len;
	}
	peer_seal_and_send(
	    t, kf_view_shard_addr(vm, req->token.upstream), &msg);
}

static bool
same_vm(kf_vm_id_t id, const kf_peer_id *peer)
{
	return id.vm == peer->vm && id.incarnation == peer->incarnation;
}

static void
on_intent_answer(kf_traffic_t *t, const kf_peer_msg *msg, bool ack)
{
	const kf_peer_intent *intent = ack ? &msg->body.kf_peer_body_u.ack
					   : &msg->body.kf_peer_body_u.nack;
	request_t *req;

	req = request_find(t, intent->flow, intent->xid);
	/* A late answer may belong to an earlier request with this xid. */
	if (req == NULL || req->needs_no_ack || req->acked ||
	    req->id.generation != intent->generation ||
	    req->state == REQUEST_ABANDONED ||
	    !same_vm(req->token.backup, &msg->from))
		return;
	if (ack)
		owner_on_ack(t, req);
	else
		owner_on_fenced(t, req);
}

static void
on_forward(kf_traffic_t *t, const kf_peer_forward *f)
{
	packet_t pkt = {
		.route = {
			.caller = { f->caller_ip, (uint16_t)f->caller_port },
			.service = { f->service_ip, (uint16_t)f->service_port },
			.fabric = { f->fabric_ip, (uint16_t)f->fabric_port },
		},
		.data = (const uint8_t *)f->datagram.datagram_val,
		.len = f->datagram.datagram_len,
		.hops = f->hops,
		.may_have_run = (f->flags & KF_FORWARD_MAY_HAVE_RUN) != 0,
	};
	kf_reason_t reason;

	reason = packet_parse(t, &pkt);
	/*
	 * The message's token replaces that of the call: the sender may have
	 * issued a new one.
	 */
	if (reason != KF_REASON_MALFORMED && reason != KF_REASON_NO_SERVICE)
		reason = packet_set_token(t, &pkt,
		    (const uint8_t *)f->token.token_val, f->token.token_len);
	pkt.new_flow =
	    pkt.has_token && pkt.token.flow == packet_flow_hash(&pkt);
	if (reason != KF_REASON_NONE)
		packet_drop(t, &pkt, reason);
	else
		ingress_route(t, &pkt);
}

void
kf_traffic_on_peer(kf_traffic_t *t, kf_time_t now, kf_addr_t from,
    const uint8_t *data, size_t len)
{
	kf_peer_msg msg;
	kf_vm_id_t id;

	(void)from;
	t->now = now;
	kf_counters_add(&t->counters, KF_COUNT_PEER_PACKETS, 1);
	if (t->view == NULL)
		return;
	if (kf_peer_open(data, len, t->keys, now.wall_ms / 1000, &msg) !=
	    KF_OK) {
		kf_counters_add(&t->counters, KF_COUNT_PEER_REJECTED, 1);
		return;
	}
	id = (kf_vm_id_t){ msg.from.vm, msg.from.incarnation };
	switch (msg.body.type) {
	case KF_PEER_FORWARD:
		on_forward(t, &msg.body.kf_peer_body_u.forward);
		break;
	case KF_PEER_INTENT:
		backup_on_intent(t, id, &msg.body.kf_peer_body_u.intent);
		break;
	case KF_PEER_INTENT_ACK:
		on_intent_answer(t, &msg, true);
		break;
	case KF_PEER_INTENT_NACK:
		on_intent_answer(t, &msg, false);
		break;
	case KF_PEER_DONE:
		backup_on_done(t, id, &msg.body.kf_peer_body_u.done);
		break;
	case KF_PEER_LEASE:
		lease_on_request(t, id, &msg.body.kf_peer_body_u.lease);
		break;
	case KF_PEER_END:
		lease_on_end(t, id, &msg.body.kf_peer_body_u.end);
		break;
	case KF_PEER_HANDOVER:
		handover_receive_part(t, id, &msg.body.kf_peer_body_u.handover);
		break;
	case KF_PEER_HANDOVER_ACK:
		handover_on_ack(t, id, &msg.body.kf_peer_body_u.handover_ack);
		break;
	case KF_PEER_LEASE_ACK:
		lease_on_ack(t, id, &msg.body.kf_peer_body_u.lease_ack);
		break;
	default:
		break;
	}
	kf_peer_free(&msg);
}
