#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kf/call_info.h"

#include "rig.h"

enum {
	PEER_IP = 0x7f090001,
	PEER_PORT = 7100,
	CALLER_IP = 0x0a000000,
	START_US = 60000000,
	MAX_FLOWS = 400000,
	MAX_REPLY_BYTES = 64 << 20,
	TOKEN_LIFETIME_S = 3600,
};

static kf_vm_id_t
vm_id(uint32_t index)
{
	return (kf_vm_id_t){ .vm = 1000 + index, .incarnation = 1 };
}

static void
store_datagram(datagram_t *d, const uint8_t *data, size_t len)
{
	if (len > sizeof(d->data))
		abort();
	memcpy(d->data, data, len);
	d->len = len;
}

static void
send_caller(void *ctx, const kf_route_t *route, const uint8_t *data, size_t len)
{
	rig_vm_t *vm = ctx;

	(void)route;
	store_datagram(&vm->rig->to_caller, data, len);
	vm->rig->callers_sent++;
}

static void
send_peer(void *ctx, kf_addr_t to, const uint8_t *data, size_t len)
{
	rig_vm_t *vm = ctx;
	rig_t *rig = vm->rig;

	if (rig->pending_count == RIG_PENDING_MAX)
		abort();
	rig->senders[rig->pending_count] = vm->index;
	rig->pending[rig->pending_count].to = to;
	store_datagram(&rig->pending[rig->pending_count++], data, len);
}

static void
send_upstream(void *ctx, uint32_t upstream, kf_addr_t to, uint32_t path,
    const uint8_t *data, size_t len)
{
	rig_vm_t *vm = ctx;

	(void)upstream;
	(void)to;
	vm->rig->path = path;
	store_datagram(&vm->rig->to_upstream, data, len);
}

static void
reset_path(void *ctx, uint32_t upstream, uint32_t path)
{
	(void)ctx;
	(void)upstream;
	(void)path;
}

static void
on_decision(void *ctx, const kf_decision_t *decision)
{
	(void)ctx;
	(void)decision;
}

static void
core_new(rig_vm_t *vm, const kf_conf_t *conf, uint64_t seed)
{
	int64_t horizon_s = TOKEN_LIFETIME_S + KF_RETRANSMIT_HORIZON_S;
	kf_traffic_config_t config = {
		.self = vm_id(vm->index),
		.zone = conf->zones[0],
		.seed = seed + vm->index,
		.policy = KF_POLICY_STRIDE,
		.paths = 4,
		.token_lifetime_s = TOKEN_LIFETIME_S,
		.flow_limits = {
			.max_flows = MAX_FLOWS,
			.max_reply_bytes = MAX_REPLY_BYTES,
			.idle_expiry_us = horizon_s * 1000000,
			.reply_expiry_us =
			    (int64_t)KF_RETRANSMIT_HORIZON_S * 1000000,
		},
		.ops = {
			.ctx = vm,
			.send_caller = send_caller,
			.send_peer = send_peer,
			.send_upstream = send_upstream,
			.reset_path = reset_path,
			.decision = on_decision,
		},
	};

	kf_admission_config_init(&config.admission);
	vm->core = kf_traffic_new(&config);
	if (vm->core == NULL)
		abort();
}

static kf_view_t *
view_new(rig_t *rig, const kf_conf_t *conf, uint32_t self)
{
	kf_view_vm_t vms[RIG_VMS];
	kf_view_input_t input = {
		.self = vm_id(self),
		.settled = true,
		.decl = rig->decl,
		.declaration_version = 1,
		.keys = conf->keys,
		.vms = vms,
		.vm_count = RIG_VMS,
	};
	kf_view_t *view;
	uint32_t i;

	for (i = 0; i < RIG_VMS; i++) {
		vms[i] = (kf_view_vm_t){
			.id = vm_id(i),
			.zone = conf->zones[0],
			.peer_addr = { PEER_IP + i, PEER_PORT },
			.shards = 1,
			.liveness = KF_VM_ALIVE,
		};
		snprintf(vms[i].name, sizeof(vms[i].name), "vm-%u", i + 1);
	}
	view = kf_view_new(&input);
	if (view == NULL)
		abort();
	return view;
}

/* VMs have the same indexes here and in the view, which sorts them by id. */
static void
set_roles(rig_t *rig, const kf_view_t *view)
{
	rig->owner = view->upstreams[0].owner;
	rig->backup = view->upstreams[0].backup;
	while (rig->non_owner == rig->owner || rig->non_owner == rig->backup)
		rig->non_owner++;
}

rig_t *
rig_new(const kf_conf_t *conf, uint64_t seed)
{
	rig_t *rig = calloc(1, sizeof(*rig));
	kf_view_t *view;
	uint32_t i, tick;

	if (rig == NULL)
		abort();
	rig->keys = conf->keys;
	rig->decl = kf_conf_variant(conf, NULL, NULL);
	rig->service = &kf_declref_get(rig->decl)->services[0];
	rig->upstream = kf_declref_get(rig->decl)->upstreams[0].id;
	rig->now = (kf_time_t){ START_US, KF_CONF_WALL_MS };
	for (i = 0; i < RIG_VMS; i++) {
		rig->vms[i].rig = rig;
		rig->vms[i].index = i;
		core_new(&rig->vms[i], conf, seed);
		view = view_new(rig, conf, i);
		kf_traffic_on_view(rig->vms[i].core, rig->now, view);
		if (i == 0)
			set_roles(rig, view);
		kf_view_release(view);
	}
	/*
	 * Wait until the owners have their leases.  Probes get no reply here,
	 * so this must be shorter than the probe timeout.
	 */
	for (tick = 0; tick < 10; tick++) {
		rig->now.mono_us += KF_TRAFFIC_TICK_MS * 1000;
		for (i = 0; i < RIG_VMS; i++) {
			kf_traffic_on_tick(rig->vms[i].core, rig->now);
			rig_deliver(rig);
		}
	}
	return rig;
}

void
rig_delete(rig_t *rig)
{
	uint32_t i;

	for (i = 0; i < RIG_VMS; i++)
		kf_traffic_delete(rig->vms[i].core);
	kf_declref_release(rig->decl);
	free(rig);
}

void
rig_deliver(rig_t *rig)
{
	datagram_t d;
	uint32_t sender, to;

	while (rig->pending_count > 0) {
		sender = rig->senders[0];
		d = rig->pending[0];
		rig->pending_count--;
		memmove(&rig->senders[0], &rig->senders[1],
		    rig->pending_count * sizeof(rig->senders[0]));
		memmove(&rig->pending[0], &rig->pending[1],
		    rig->pending_count * sizeof(rig->pending[0]));
		to = d.to.ip - PEER_IP;
		if (to < RIG_VMS)
			kf_traffic_on_peer(rig->vms[to].core, rig->now,
			    (kf_addr_t){ PEER_IP + sender, PEER_PORT }, d.data,
			    d.len);
	}
}

void
rig_answer(rig_t *rig)
{
	static const uint8_t results[16];
	uint8_t body[KF_LOAD_REPORT_BYTES], buf[256];
	kf_load_report_t report = { .incarnation = 1, .slots = 3 };
	kf_rpc_reply_t reply = {
		.xid = kf_get_u32(rig->to_upstream.data),
		.reply_stat = KF_RPC_MSG_ACCEPTED,
		.accept_stat = KF_RPC_SUCCESS,
		.verf = { .flavor = KF_FLAVOR_LOAD_REPORT,
		    .len = sizeof(body),
		    .body = body },
		.results = results,
		.results_len = sizeof(results),
	};
	size_t len;

	kf_load_report_write(&report, body);
	len = kf_rpc_reply_write(&reply, buf, sizeof(buf));
	kf_traffic_on_upstream(rig->vms[rig->owner].core, rig->now,
	    rig->upstream, rig->path, buf, len);
}

kf_route_t
rig_route(const rig_t *rig, uint32_t caller)
{
	return (kf_route_t){ .caller = { CALLER_IP + caller, 700 },
		.service = rig->service->addr };
}

void
rig_token(rig_t *rig, uint32_t caller, uint8_t token[KF_TOKEN_BYTES])
{
	kf_rpc_call_t call = {
		.xid = 1, .prog = rig->service->program, .vers = 1
	};
	kf_route_t route = rig_route(rig, caller);
	kf_rpc_reply_t reply;
	kf_token_t opened;
	uint8_t buf[128];
	size_t len = kf_rpc_call_write(&call, buf, sizeof(buf));

	do {
		rig->now.mono_us++;
		kf_traffic_on_caller(
		    rig->vms[rig->non_owner].core, rig->now, &route, buf, len);
		if (kf_rpc_reply_parse(rig->to_caller.data, rig->to_caller.len,
			&reply) != KF_OK ||
		    reply.verf.len != KF_TOKEN_VERIFIER_BYTES)
			abort();
		memcpy(token, reply.verf.body + 8, KF_TOKEN_BYTES);
		if (kf_token_open(token, KF_TOKEN_BYTES, rig->keys,
			rig->now.wall_ms / 1000, route.caller.ip,
			&opened) != KF_OK)
			abort();
	} while (opened.upstream != rig->upstream);
}
