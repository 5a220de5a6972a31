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
	PROC_ONCE = 2,
	ONCE_IN = 5, /* one request in 5 is not idempotent */
	SUSPECT_US = 1500000,
	DEAD_US = 3000000,
	/* Two port-unreachable errors a second after the last heartbeat. */
	UNREACHABLE_US = 1500000,
	/* The platform's list lags. */
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
	uint32_t call;	  /* number of the last request */
	uint32_t ran;	  /* number of the last one an upstream ran */
	uint32_t packets; /* sent so far */
	int64_t give_up_us;
	uint32_t upstream;
	uint32_t at_event;
} token_flow_t;

typedef struct token_world {
	const scenario_t *scenario;
	kf_schedule_t *schedule;
	kf_fleet_t *fleet;
	const kf_service_t *service;
	token_flow_t *flows;
	kf_random_t random;
	outcome_t out;
} token_world_t;

static uint32_t
procedure_of(const token_flow_t *flow, uint32_t index)
{
	if (flow->state == FLOW_ESTABLISHING)
		return 0;
	return (index + flow->call) % ONCE_IN == 0 ? PROC_ONCE
						   : PROC_IDEMPOTENT;
}

static void
send_packet(token_world_t *w, uint32_t index)
{
	token_flow_t *flow = &w->flows[index];
	uint8_t args[ARGS_BYTES] = { 0 }, sys_body[32], buf[512];
	kf_rpc_auth_sys_t sys = { .uid = 1000 + index, .gid = 100 };
	kf_rpc_call_t call = {
		.xid = flow->call,
		.prog = w->service->program,
		.vers = 1,
		.proc = procedure_of(flow, index),
		.args = args,
		.args_len = sizeof(args),
	};
	kf_route_t route = {
		.caller = { CALLER_IP + index, CALLER_PORT },
		.service = w->service->addr,
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
	kf_fleet_call(w->fleet,
	    scenario_ingress(w->scenario, kf_schedule_now(w->schedule).mono_us,
		index, flow->packets++),
	    &route, buf, len);
}

static void
ended(token_world_t *w, token_flow_t *flow, end_t end)
{
	flow->state = FLOW_IDLE;
	if (flow->in_doubt)
		return;
	if (!flow->broken)
		w->out.ended_as[end]++;
	flow->broken = true;
}

static void
on_retransmit(void *ctx, const kf_happening_t *h)
{
	token_world_t *w = ctx;
	uint32_t index = (uint32_t)(h->number >> 32);
	token_flow_t *flow = &w->flows[index];
	kf_happening_t next = *h;

	if (flow->state == FLOW_IDLE || flow->call != (uint32_t)h->number)
		return;
	if (h->at_us >= flow->give_up_us) {
		ended(w, flow, END_SILENT);
		return;
	}
	send_packet(w, index);
	next.at_us += RETRANSMIT_US;
	kf_schedule_add(w->schedule, &next);
}

static void
begin(token_world_t *w, uint32_t index, flow_state_t state)
{
	token_flow_t *flow = &w->flows[index];
	int64_t now_us = kf_schedule_now(w->schedule).mono_us;
	kf_happening_t h = {
		.at_us = now_us + RETRANSMIT_US,
		.fn = on_retransmit,
		.ctx = w,
	};

	flow->state = state;
	flow->call++;
	flow->give_up_us = now_us + GIVE_UP_US;
	w->out.requests += state == FLOW_CALLING;
	h.number = (uint64_t)index << 32 | flow->call;
	send_packet(w, index);
	kf_schedule_add(w->schedule, &h);
}

static void
on_request(void *ctx, const kf_happening_t *h)
{
	token_world_t *w = ctx;
	uint32_t index = (uint32_t)h->number;
	token_flow_t *flow = &w->flows[index];
	kf_happening_t next = *h;

	if (flow->state == FLOW_IDLE)
		begin(w, index,
		    flow->has_token ? FLOW_CALLING : FLOW_ESTABLISHING);
	if (h->at_us >= END_US)
		return;
	next.at_us += PERIOD_US;
	kf_schedule_add(w->schedule, &next);
}

/* Takes the token out of the verifier of a reply. */
static void
take_token(token_flow_t *flow, const kf_rpc_auth_t *verf)
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
	token_world_t *w = ctx;
	uint32_t index = route->caller.ip - CALLER_IP;
	token_flow_t *flow;
	kf_rpc_reply_t reply;

	if (index >= w->scenario->flows ||
	    kf_rpc_reply_parse(data, len, &reply) != KF_OK)
		return;
	flow = &w->flows[index];
	if (flow->state == FLOW_IDLE || reply.xid != flow->call)
		return;
	if (reply.reply_stat == KF_RPC_MSG_DENIED) {
		if (reply.auth_stat == KF_RPC_AUTH_REJECTEDCRED)
			flow->has_token = false;
		ended(w, flow, END_REFUSED);
	} else if (reply.accept_stat != KF_RPC_SUCCESS)
		ended(w, flow, END_UNKNOWN);
	else {
		take_token(flow, &reply.verf);
		flow->state = FLOW_IDLE;
	}
}

static void
on_run(void *ctx, uint32_t upstream, uint64_t number)
{
	token_world_t *w = ctx;
	uint32_t index = (uint32_t)(number >> 32), call = (uint32_t)number;
	token_flow_t *flow = &w->flows[index];

	if (flow->ran == call) {
		if ((index + call) % ONCE_IN == 0)
			w->out.doubled++;
		else
			w->out.repeated++;
	}
	flow->ran = call;
	flow->upstream = upstream;
	if (kf_schedule_now(w->schedule).mono_us < EVENT_US)
		flow->at_event = upstream;
}

static void
on_decision(void *ctx, uint32_t vm, const kf_decision_t *d)
{
	token_world_t *w = ctx;

	(void)vm;
	if (d->event == KF_EVENT_UNKNOWN)
		w->out.unknown[d->reason]++;
	else if (d->event == KF_EVENT_REFUSE)
		w->out.refused[d->reason]++;
}

static int64_t
service_us(void *ctx, uint32_t upstream, uint32_t prog, uint32_t proc)
{
	token_world_t *w = ctx;

	(void)upstream;
	(void)prog;
	(void)proc;
	return SERVICE_US / 2 + kf_random_below(&w->random, SERVICE_US);
}

/* The change. */

static void
on_declare(void *ctx, const kf_happening_t *h)
{
	token_world_t *w = ctx;

	kf_fleet_declare(w->fleet, h->vm, w->scenario->after);
	kf_fleet_publish(w->fleet, h->vm);
}

static void
on_kill(void *ctx, const kf_happening_t *h)
{
	token_world_t *w = ctx;
	uint32_t i;

	kf_fleet_kill(w->fleet, h->vm);
	for (i = 0; i < w->scenario->flows; i++) {
		if (w->flows[i].state == FLOW_IDLE)
			continue;
		w->flows[i].in_doubt = true;
		w->out.in_doubt++;
	}
}

static void
on_start(void *ctx, const kf_happening_t *h)
{
	token_world_t *w = ctx;

	kf_fleet_start(w->fleet, h->vm);
}

/* VM h->vm holds liveness h->path of VM h->upstream. */
static void
on_liveness(void *ctx, const kf_happening_t *h)
{
	token_world_t *w = ctx;

	kf_fleet_liveness(w->fleet, h->vm, h->upstream, (kf_liveness_t)h->path);
	kf_fleet_publish(w->fleet, h->vm);
}

static void
plan_liveness(
    token_world_t *w, uint32_t other, kf_liveness_t liveness, int64_t after_us)
{
	kf_happening_t h = {
		.fn = on_liveness,
		.ctx = w,
		.upstream = other,
		.path = (uint32_t)liveness,
	};

	for (h.vm = 0; h.vm < VM_COUNT; h.vm++) {
		if (h.vm == other)
			continue;
		h.at_us = EVENT_US + after_us + w->scenario->delay_us[h.vm];
		kf_schedule_add(w->schedule, &h);
	}
}

static void
plan_change(token_world_t *w)
{
	const scenario_t *s = w->scenario;
	kf_happening_t h = { .ctx = w, .at_us = EVENT_US };

	switch (s->change) {
	case CHANGE_BALANCER_KILLED:
		h.fn = on_kill;
		h.vm = VICTIM;
		kf_schedule_add(w->schedule, &h);
		plan_liveness(w, VICTIM, KF_VM_GONE, UNREACHABLE_US);
		break;
	case CHANGE_VM_SILENT:
		h.fn = on_kill;
		h.vm = VICTIM;
		kf_schedule_add(w->schedule, &h);
		plan_liveness(w, VICTIM, KF_VM_SUSPECT, SUSPECT_US);
		plan_liveness(w, VICTIM, KF_VM_DEAD, DEAD_US);
		plan_liveness(w, VICTIM, KF_VM_GONE, DELISTED_US);
		break;
	case CHANGE_BALANCER_ADDED:
		h.fn = on_start;
		h.vm = VM_COUNT - 1;
		kf_schedule_add(w->schedule, &h);
		plan_liveness(w, VM_COUNT - 1, KF_VM_ALIVE, 0);
		break;
	default:
		h.fn = on_declare;
		for (h.vm = 0; h.vm < VM_COUNT; h.vm++) {
			h.at_us = EVENT_US + s->delay_us[h.vm];
			kf_schedule_add(w->schedule, &h);
		}
		break;
	}
}

static void
plan_flows(token_world_t *w)
{
	kf_happening_t h = { .fn = on_request, .ctx = w };
	uint32_t i;

	for (i = 0; i < w->scenario->flows; i++) {
		h.at_us = scenario_first_us(w->scenario, i);
		h.number = i;
		kf_schedule_add(w->schedule, &h);
	}
}

static void
count(token_world_t *w)
{
	const scenario_t *s = w->scenario;
	kf_model_view_t view =
	    scenario_view(kf_declref_get(s->after), scenario_vms_after(s));
	uint64_t counts[KF_MODEL_UPSTREAMS_MAX] = { 0 };
	kf_fleet_bytes_t bytes = kf_fleet_bytes(w->fleet);
	uint32_t i, j;

	for (i = 0; i < s->flows; i++) {
		const token_flow_t *flow = &w->flows[i];

		w->out.broken += flow->broken;
		w->out.moved += flow->upstream != flow->at_event;
		for (j = 0; j < view.count; j++)
			counts[j] += view.ids[j] == flow->upstream;
	}
	for (i = 0; i < VM_COUNT; i++) {
		if (kf_fleet_alive(w->fleet, i))
			w->out.memory_bytes +=
			    kf_traffic_flow_stats(kf_fleet_core(w->fleet, i))
				.memory_bytes;
	}
	w->out.max_mean = scenario_max_mean(&view, counts);
	w->out.control_bytes = bytes.lease;
	w->out.replication_bytes = bytes.replication;
}

outcome_t
token_run(const scenario_t *s, const kf_conf_t *conf)
{
	token_world_t w = { .scenario = s, .random = { .state = s->seed } };
	kf_fleet_config_t config = {
		.conf = conf,
		.decl = s->before,
		.vms = VM_COUNT,
		.running = s->running,
		.seed = s->seed,
		.link_us = conf->link_us,
		.caller_us = CALLER_US,
		.policy = KF_POLICY_STRIDE,
		.ctx = &w,
		.service_us = service_us,
		.on_run = on_run,
		.on_reply = on_reply,
		.on_decision = on_decision,
	};

	w.service = &kf_declref_get(s->before)->services[0];
	w.flows = calloc(s->flows, sizeof(*w.flows));
	if (w.flows == NULL)
		abort();
	w.schedule = kf_schedule_new(0, KF_CONF_WALL_MS);
	w.fleet = kf_fleet_new(&config, w.schedule);
	plan_flows(&w);
	plan_change(&w);
	kf_schedule_run(w.schedule, SETTLED_US);
	count(&w);
	kf_fleet_delete(w.fleet);
	kf_schedule_delete(w.schedule);
	free(w.flows);
	return w.out;
}
