#include <stdlib.h>
#include <string.h>

#include "kf/bench_fleet.h"
#include "kf/rpc.h"

#include "scenario.h"

enum {
	CALLER_US = 1000,
	SERVICE_US = 2000,
	RETRANSMIT_US = 500000,
	GIVE_UP_US = 10000000,
	ARGS_BYTES = 32,
	PROC_IDEMPOTENT = 1,
	PROC_NON_IDEMPOTENT = 2,
	NON_IDEMPOTENT_INTERVAL = 5, /* one request in 5 is not idempotent */
	SUSPECT_US = 1500000,
	DEAD_US = 3000000,
	/* Two port-unreachable errors a second after the last heartbeat. */
	UNREACHABLE_US = 1500000,
	/* The platform removes a dead VM from its list late. */
	DELISTED_US = 10000000,
	CALLER_IP = 0x0a000000,
	CALLER_PORT = 700,
};

typedef enum flow_state {
	FLOW_IDLE = 0,
	FLOW_ESTABLISHING,
	FLOW_CALLING,
} flow_state_t;

typedef struct token_flow {
	flow_state_t state;
	uint8_t token[KF_TOKEN_BYTES];
	bool has_token;
	bool broken;
	bool in_doubt;
	uint32_t call;	   /* number of the last request */
	uint32_t last_run; /* number of the last request run */
	uint32_t packets;  /* sent, with retransmissions */
	int64_t give_up_us;
	uint32_t upstream;
	uint32_t at_event; /* upstream before the event */
} token_flow_t;

typedef struct token_sim {
	const scenario_t *scenario;
	kf_schedule_t *schedule;
	kf_fleet_t *fleet;
	const kf_service_t *service;
	token_flow_t *flows;
	kf_random_t random;
	outcome_t out;
} token_sim_t;

static uint32_t
procedure_of(const token_flow_t *flow, uint32_t index)
{
	if (flow->state == FLOW_ESTABLISHING)
		return 0;
	return (index + flow->call) % NON_IDEMPOTENT_INTERVAL == 0
	    ? PROC_NON_IDEMPOTENT
	    : PROC_IDEMPOTENT;
}

static void
send_packet(token_sim_t *sim, uint32_t index)
{
	token_flow_t *flow = &sim->flows[index];
	uint8_t args[ARGS_BYTES] = { 0 }, sys_body[32], buf[512];
	kf_rpc_auth_sys_t sys = { .uid = 1000 + index, .gid = 100 };
	kf_rpc_call_t call = {
		.xid = flow->call,
		.prog = sim->service->program,
		.vers = 1,
		.proc = procedure_of(flow, index),
		.args = args,
		.args_len = sizeof(args),
	};
	kf_route_t route = {
		.caller = { CALLER_IP + index, CALLER_PORT },
		.service = sim->service->addr,
	};
	size_t len;

	kf_put_u64(args, (uint64_t)index << 32 | flow->call);
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
	kf_fleet_call(sim->fleet,
	    scenario_ingress(sim->scenario,
		kf_schedule_now(sim->schedule).mono_us, index, flow->packets++),
	    &route, buf, len);
}

static void
end_request(token_sim_t *sim, token_flow_t *flow, end_t end)
{
	flow->state = FLOW_IDLE;
	if (flow->in_doubt)
		return;
	if (!flow->broken)
		sim->out.ended_as[end]++;
	flow->broken = true;
}

static void
on_retransmit(void *ctx, const kf_sim_event_t *ev)
{
	token_sim_t *sim = ctx;
	uint32_t index = (uint32_t)(ev->number >> 32);
	token_flow_t *flow = &sim->flows[index];
	kf_sim_event_t next = *ev;

	if (flow->state == FLOW_IDLE || flow->call != (uint32_t)ev->number)
		return;
	if (ev->at_us >= flow->give_up_us) {
		end_request(sim, flow, END_SILENT);
		return;
	}
	send_packet(sim, index);
	next.at_us += RETRANSMIT_US;
	kf_schedule_add(sim->schedule, &next);
}

static void
start_request(token_sim_t *sim, uint32_t index, flow_state_t state)
{
	token_flow_t *flow = &sim->flows[index];
	int64_t now_us = kf_schedule_now(sim->schedule).mono_us;
	kf_sim_event_t ev = {
		.at_us = now_us + RETRANSMIT_US,
		.fn = on_retransmit,
		.ctx = sim,
	};

	flow->state = state;
	flow->call++;
	flow->give_up_us = now_us + GIVE_UP_US;
	sim->out.requests += state == FLOW_CALLING;
	ev.number = (uint64_t)index << 32 | flow->call;
	send_packet(sim, index);
	kf_schedule_add(sim->schedule, &ev);
}

static void
on_request(void *ctx, const kf_sim_event_t *ev)
{
	token_sim_t *sim = ctx;
	uint32_t index = (uint32_t)ev->number;
	token_flow_t *flow = &sim->flows[index];
	kf_sim_event_t next = *ev;

	if (flow->state == FLOW_IDLE)
		start_request(sim, index,
		    flow->has_token ? FLOW_CALLING : FLOW_ESTABLISHING);
	if (ev->at_us >= END_US)
		return;
	next.at_us += PERIOD_US;
	kf_schedule_add(sim->schedule, &next);
}

/* Stores the token that a reply carries in its verifier. */
static void
store_token(token_flow_t *flow, const kf_rpc_auth_t *verf)
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
	token_sim_t *sim = ctx;
	uint32_t index = route->caller.ip - CALLER_IP;
	token_flow_t *flow;
	kf_rpc_reply_t reply;

	if (index >= sim->scenario->flows ||
	    kf_rpc_reply_parse(data, len, &reply) != KF_OK)
		return;
	flow = &sim->flows[index];
	if (flow->state == FLOW_IDLE || reply.xid != flow->call)
		return;
	if (reply.reply_stat == KF_RPC_MSG_DENIED) {
		if (reply.auth_stat == KF_RPC_AUTH_REJECTEDCRED)
			flow->has_token = false;
		end_request(sim, flow, END_REFUSED);
	} else if (reply.accept_stat != KF_RPC_SUCCESS)
		end_request(sim, flow, END_UNKNOWN);
	else {
		store_token(flow, &reply.verf);
		flow->state = FLOW_IDLE;
	}
}

static void
on_run(void *ctx, uint32_t upstream, uint64_t number)
{
	token_sim_t *sim = ctx;
	uint32_t index = (uint32_t)(number >> 32), call = (uint32_t)number;
	token_flow_t *flow = &sim->flows[index];

	if (flow->last_run == call) {
		if ((index + call) % NON_IDEMPOTENT_INTERVAL == 0)
			sim->out.doubled++;
		else
			sim->out.repeated++;
	}
	flow->last_run = call;
	flow->upstream = upstream;
	if (kf_schedule_now(sim->schedule).mono_us < EVENT_US)
		flow->at_event = upstream;
}

static void
on_decision(void *ctx, uint32_t vm, const kf_decision_t *d)
{
	token_sim_t *sim = ctx;

	(void)vm;
	if (d->event == KF_EVENT_UNKNOWN)
		sim->out.unknown[d->reason]++;
	else if (d->event == KF_EVENT_REFUSE)
		sim->out.refused[d->reason]++;
}

static int64_t
service_us(void *ctx, uint32_t upstream, uint32_t prog, uint32_t proc)
{
	token_sim_t *sim = ctx;

	(void)upstream;
	(void)prog;
	(void)proc;
	return SERVICE_US / 2 + kf_random_below(&sim->random, SERVICE_US);
}

/* Planned change or failure. */

static void
on_declare(void *ctx, const kf_sim_event_t *ev)
{
	token_sim_t *sim = ctx;

	kf_fleet_set_declaration(sim->fleet, ev->vm, sim->scenario->after);
	kf_fleet_publish(sim->fleet, ev->vm);
}

static void
on_kill(void *ctx, const kf_sim_event_t *ev)
{
	token_sim_t *sim = ctx;
	uint32_t i;

	kf_fleet_kill(sim->fleet, ev->vm);
	for (i = 0; i < sim->scenario->flows; i++) {
		if (sim->flows[i].state == FLOW_IDLE)
			continue;
		sim->flows[i].in_doubt = true;
		sim->out.in_doubt++;
	}
}

static void
on_start(void *ctx, const kf_sim_event_t *ev)
{
	token_sim_t *sim = ctx;

	kf_fleet_start(sim->fleet, ev->vm);
}

/*
 * VM ev->vm learns a new liveness of another VM: upstream is the index of the
 * other VM, path the kf_liveness_t.
 */
static void
on_liveness(void *ctx, const kf_sim_event_t *ev)
{
	token_sim_t *sim = ctx;

	kf_fleet_set_liveness(
	    sim->fleet, ev->vm, ev->upstream, (kf_liveness_t)ev->path);
	kf_fleet_publish(sim->fleet, ev->vm);
}

static void
schedule_liveness(
    token_sim_t *sim, uint32_t other, kf_liveness_t liveness, int64_t after_us)
{
	kf_sim_event_t ev = {
		.fn = on_liveness,
		.ctx = sim,
		.upstream = other,
		.path = (uint32_t)liveness,
	};

	for (ev.vm = 0; ev.vm < VM_COUNT; ev.vm++) {
		if (ev.vm == other)
			continue;
		ev.at_us = EVENT_US + after_us + sim->scenario->delay_us[ev.vm];
		kf_schedule_add(sim->schedule, &ev);
	}
}

static void
schedule_change(token_sim_t *sim)
{
	const scenario_t *s = sim->scenario;
	kf_sim_event_t ev = { .ctx = sim, .at_us = EVENT_US };

	switch (s->change) {
	case CHANGE_BALANCER_KILLED:
		ev.fn = on_kill;
		ev.vm = KILLED_VM;
		kf_schedule_add(sim->schedule, &ev);
		schedule_liveness(sim, KILLED_VM, KF_VM_GONE, UNREACHABLE_US);
		break;
	case CHANGE_VM_SILENT:
		ev.fn = on_kill;
		ev.vm = KILLED_VM;
		kf_schedule_add(sim->schedule, &ev);
		schedule_liveness(sim, KILLED_VM, KF_VM_SUSPECT, SUSPECT_US);
		schedule_liveness(sim, KILLED_VM, KF_VM_DEAD, DEAD_US);
		schedule_liveness(sim, KILLED_VM, KF_VM_GONE, DELISTED_US);
		break;
	case CHANGE_BALANCER_ADDED:
		ev.fn = on_start;
		ev.vm = VM_COUNT - 1;
		kf_schedule_add(sim->schedule, &ev);
		schedule_liveness(sim, VM_COUNT - 1, KF_VM_ALIVE, 0);
		break;
	default:
		ev.fn = on_declare;
		for (ev.vm = 0; ev.vm < VM_COUNT; ev.vm++) {
			ev.at_us = EVENT_US + s->delay_us[ev.vm];
			kf_schedule_add(sim->schedule, &ev);
		}
		break;
	}
}

static void
schedule_flows(token_sim_t *sim)
{
	kf_sim_event_t ev = { .fn = on_request, .ctx = sim };
	uint32_t i;

	for (i = 0; i < sim->scenario->flows; i++) {
		ev.at_us = scenario_first_us(sim->scenario, i);
		ev.number = i;
		kf_schedule_add(sim->schedule, &ev);
	}
}

static void
count(token_sim_t *sim)
{
	const scenario_t *s = sim->scenario;
	kf_model_view_t view =
	    scenario_view(kf_declref_get(s->after), scenario_vms_after(s));
	uint64_t counts[KF_MODEL_UPSTREAMS_MAX] = { 0 };
	kf_fleet_bytes_t bytes = kf_fleet_bytes(sim->fleet);
	uint32_t i, j;

	for (i = 0; i < s->flows; i++) {
		const token_flow_t *flow = &sim->flows[i];

		sim->out.broken += flow->broken;
		sim->out.moved += flow->upstream != flow->at_event;
		for (j = 0; j < view.count; j++)
			counts[j] += view.ids[j] == flow->upstream;
	}
	for (i = 0; i < VM_COUNT; i++) {
		if (kf_fleet_alive(sim->fleet, i))
			sim->out.memory_bytes +=
			    kf_traffic_flow_stats(kf_fleet_core(sim->fleet, i))
				.memory_bytes;
	}
	sim->out.max_mean = scenario_max_mean(&view, counts);
	sim->out.control_bytes = bytes.lease;
	sim->out.replication_bytes = bytes.replication;
}

outcome_t
token_run(const scenario_t *s, const kf_conf_t *conf)
{
	token_sim_t sim = { .scenario = s, .random = { .state = s->seed } };
	kf_fleet_config_t config = {
		.conf = conf,
		.decl = s->before,
		.vms = VM_COUNT,
		.running = s->running,
		.seed = s->seed,
		.link_us = conf->link_us,
		.caller_us = CALLER_US,
		.policy = KF_POLICY_STRIDE,
		.ctx = &sim,
		.service_us = service_us,
		.on_run = on_run,
		.on_reply = on_reply,
		.on_decision = on_decision,
	};

	sim.service = &kf_declref_get(s->before)->services[0];
	sim.flows = calloc(s->flows, sizeof(*sim.flows));
	if (sim.flows == NULL)
		abort();
	sim.schedule = kf_schedule_new(0, KF_CONF_WALL_MS);
	sim.fleet = kf_fleet_new(&config, sim.schedule);
	schedule_flows(&sim);
	schedule_change(&sim);
	kf_schedule_run(sim.schedule, SETTLED_US);
	count(&sim);
	kf_fleet_delete(sim.fleet);
	kf_schedule_delete(sim.schedule);
	free(sim.flows);
	return sim.out;
}
