#include <stdlib.h>
#include <string.h>

#include "kf/bench_fleet.h"
#include "kf/rpc.h"

#include "load.h"

enum {
	FLOWS = LOAD_CALLERS,
	ESTABLISH_US = 32000000,
	ESTABLISH_STEP_US = 50,
	XID_NONE = -1,
	CALLER_US = 1000,
	CALLER_IP = 0x0a000000,
	CALLER_PORT = 700,
	ARGS_BYTES = 64,
};

typedef struct flow {
	uint8_t token[KF_TOKEN_BYTES];
	bool has_token;
	int64_t xid; /* of the pending request, or XID_NONE */
} flow_t;

/* FIFO ring of the flows without a pending request. */
typedef struct idle {
	uint32_t flows[FLOWS];
	uint32_t head;
	uint32_t count;
} idle_t;

typedef struct traffic_sim {
	load_t *load;
	kf_fleet_t *fleet;
	flow_t flows[KF_CLASS_COUNT][FLOWS];
	idle_t idle[KF_CLASS_COUNT];
	kf_random_t random;
	uint64_t not_sent; /* requests without an idle flow */
} traffic_sim_t;

/* The xid is the request number, which matches replies to requests. */
static void
send_call(traffic_sim_t *sim, uint32_t cls, uint32_t index, uint32_t xid,
    uint32_t proc)
{
	const load_class_t *c = &sim->load->classes[cls];
	const kf_service_t *service =
	    &kf_declref_get(sim->load->decl)->services[c->service];
	flow_t *flow = &sim->flows[cls][index];
	uint8_t args[ARGS_BYTES] = { 0 }, sys_body[32], buf[512];
	kf_rpc_auth_sys_t sys = { .uid = 1000, .gid = 100 };
	kf_rpc_call_t call = {
		.xid = xid,
		.prog = service->program,
		.vers = 1,
		.proc = proc,
		.args = args,
		.args_len = sizeof(args),
	};
	kf_route_t route = {
		.caller = { CALLER_IP + cls * FLOWS + index, CALLER_PORT },
		.service = service->addr,
	};
	size_t len;

	kf_put_u64(args, xid);
	if (flow->has_token)
		call.cred = (kf_rpc_auth_t){ .flavor = KF_RPC_AUTH_SHORT,
			.len = KF_TOKEN_BYTES,
			.body = flow->token };
	else
		call.cred = (kf_rpc_auth_t){ .flavor = KF_RPC_AUTH_SYS,
			.len = (uint32_t)kf_rpc_auth_sys_write(
			    &sys, 0, sys_body, sizeof(sys_body)),
			.body = sys_body };
	len = kf_rpc_call_write(&call, buf, sizeof(buf));
	kf_fleet_call(sim->fleet, kf_random_below(&sim->random, LOAD_VMS),
	    &route, buf, len);
}

static void
idle_add(idle_t *idle, uint32_t flow)
{
	idle->flows[(idle->head + idle->count++) % FLOWS] = flow;
}

static uint32_t
idle_take(idle_t *idle)
{
	uint32_t flow = idle->flows[idle->head];

	idle->head = (idle->head + 1) % FLOWS;
	idle->count--;
	return flow;
}

/* Establishes a flow; xid UINT32_MAX is not a request number. */
static void
on_establish(void *ctx, const kf_sim_event_t *ev)
{
	traffic_sim_t *sim = ctx;
	uint32_t index = (uint32_t)ev->number;

	sim->flows[ev->upstream][index].xid = XID_NONE;
	idle_add(&sim->idle[ev->upstream], index);
	send_call(sim, ev->upstream, index, UINT32_MAX, 0);
}

static void
offer(void *ctx, uint32_t cls, uint64_t number)
{
	traffic_sim_t *sim = ctx;
	uint32_t index;

	if (sim->idle[cls].count == 0) {
		sim->not_sent++;
		return;
	}
	index = idle_take(&sim->idle[cls]);
	sim->flows[cls][index].xid = (int64_t)number;
	send_call(
	    sim, cls, index, (uint32_t)number, sim->load->classes[cls].proc);
}

static void
store_token(flow_t *flow, const kf_rpc_auth_t *verf)
{
	if (verf->flavor != KF_RPC_AUTH_SHORT ||
	    verf->len != KF_TOKEN_VERIFIER_BYTES)
		return;
	memcpy(flow->token, verf->body + 8, KF_TOKEN_BYTES);
	flow->has_token = true;
}

static void
on_reply(void *ctx, const kf_route_t *route, const uint8_t *data, size_t len)
{
	traffic_sim_t *sim = ctx;
	uint32_t index = route->caller.ip - CALLER_IP;
	flow_t *flow = &sim->flows[index / FLOWS][index % FLOWS];
	kf_rpc_reply_t reply;

	if (kf_rpc_reply_parse(data, len, &reply) != KF_OK)
		return;
	if (flow->xid == (int64_t)reply.xid) {
		flow->xid = XID_NONE;
		idle_add(&sim->idle[index / FLOWS], index % FLOWS);
	}
	if (reply.reply_stat == KF_RPC_MSG_DENIED) {
		load_ended(sim->load, reply.xid, LOAD_REFUSED);
		return;
	}
	store_token(flow, &reply.verf);
	load_ended(sim->load, reply.xid,
	    reply.accept_stat == KF_RPC_SUCCESS ? LOAD_ANSWERED : LOAD_UNKNOWN);
}

static int64_t
service_us(void *ctx, uint32_t upstream, uint32_t prog, uint32_t proc)
{
	traffic_sim_t *sim = ctx;
	const kf_declaration_t *decl = kf_declref_get(sim->load->decl);
	uint32_t cls;

	(void)upstream;
	for (cls = 0; cls < KF_CLASS_COUNT; cls++) {
		const load_class_t *c = &sim->load->classes[cls];

		if (decl->services[c->service].program == prog &&
		    c->proc == proc)
			return load_service_us(sim->load, cls);
	}
	return 1;
}

static void
establish(traffic_sim_t *sim)
{
	kf_sim_event_t ev = { .fn = on_establish, .ctx = sim };
	uint32_t cls, i;

	for (cls = 0; cls < KF_CLASS_COUNT; cls++) {
		for (i = 0; i < sim->load->callers; i++) {
			ev.at_us =
			    ESTABLISH_US + (int64_t)i * ESTABLISH_STEP_US;
			ev.upstream = cls;
			ev.number = i;
			kf_schedule_add(sim->load->schedule, &ev);
		}
	}
}

void
traffic_run(load_t *load, const kf_conf_t *conf)
{
	traffic_sim_t *sim = calloc(1, sizeof(*sim));
	kf_fleet_config_t config = {
		.conf = conf,
		.decl = load->decl,
		.vms = LOAD_VMS,
		.seed = load->seed,
		.link_us = load->link_us,
		.caller_us = CALLER_US,
		.policy = KF_POLICY_STRIDE,
		.ctx = sim,
		.service_us = service_us,
		.on_reply = on_reply,
	};

	if (sim == NULL)
		abort();
	sim->load = load;
	sim->random.state = load->seed + 1;
	sim->fleet = kf_fleet_new(&config, load->schedule);
	establish(sim);
	load->ctx = sim;
	load->offer = offer;
	load_run(load);
	load->not_sent = sim->not_sent;
	kf_fleet_delete(sim->fleet);
	free(sim);
}
