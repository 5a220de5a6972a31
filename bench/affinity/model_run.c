#include <stdlib.h>

#include "kf/bench_schedule.h"

#include "scenario.h"

enum { LINK_US = 1000, CONTROL_BYTES_PER_S = 2048, DETECT_US = 3000000 };

typedef struct model_flow {
	uint32_t upstream; /* of the last packet; 0: none sent yet */
	uint32_t at_event; /* upstream before the event */
	bool broken;
} model_flow_t;

typedef struct model_sim {
	const scenario_t *scenario;
	const kf_model_ops_t *ops;
	void *model;
	kf_schedule_t *schedule;
	model_flow_t *flows;
	kf_model_view_t before;
	kf_model_view_t after;
	outcome_t out;
} model_sim_t;

static void
on_packet(void *ctx, const kf_sim_event_t *ev)
{
	model_sim_t *sim = ctx;
	const scenario_t *s = sim->scenario;
	uint32_t index = (uint32_t)(ev->number >> 32);
	uint32_t packet = (uint32_t)ev->number;
	uint32_t vm = scenario_ingress(s, ev->at_us, index, packet);
	model_flow_t *flow = &sim->flows[index];
	kf_sim_event_t next = *ev;
	kf_model_route_t route;

	if (ev->at_us < END_US) {
		next.at_us += PERIOD_US;
		next.number++;
		kf_schedule_add(sim->schedule, &next);
	}
	sim->out.requests++;
	if (scenario_kills(s) && vm == KILLED_VM && ev->at_us >= EVENT_US)
		return; /* lost; later packets go to other balancers */
	route = sim->ops->route(sim->model, ev->at_us, vm, index);
	if (flow->upstream != 0 && flow->upstream != route.upstream &&
	    !route.coordinated)
		flow->broken = true;
	flow->upstream = route.upstream;
	if (ev->at_us < EVENT_US)
		flow->at_event = route.upstream;
}

static void
on_adopt(void *ctx, const kf_sim_event_t *ev)
{
	model_sim_t *sim = ctx;

	sim->ops->adopt(sim->model, ev->at_us, ev->vm, &sim->after);
}

static void
on_announce(void *ctx, const kf_sim_event_t *ev)
{
	model_sim_t *sim = ctx;

	sim->ops->announce(sim->model, ev->at_us, &sim->after);
}

static void
on_kill(void *ctx, const kf_sim_event_t *ev)
{
	model_sim_t *sim = ctx;

	sim->ops->kill(sim->model, ev->vm);
}

static void
schedule_events(model_sim_t *sim)
{
	const scenario_t *s = sim->scenario;
	bool kill = scenario_kills(s);
	kf_sim_event_t ev = { .ctx = sim };
	uint32_t i;

	for (i = 0; i < s->flows; i++) {
		ev.fn = on_packet;
		ev.at_us = scenario_first_us(s, i);
		ev.number = (uint64_t)i << 32;
		kf_schedule_add(sim->schedule, &ev);
	}
	ev.fn = kill ? on_kill : on_announce;
	ev.at_us = kill ? EVENT_US : ANNOUNCE_US;
	ev.vm = KILLED_VM;
	kf_schedule_add(sim->schedule, &ev);
	for (i = 0; i < VM_COUNT; i++) {
		ev.fn = on_adopt;
		ev.vm = i;
		ev.at_us = EVENT_US + s->delay_us[i] + (kill ? DETECT_US : 0);
		kf_schedule_add(sim->schedule, &ev);
	}
}

static void
count(model_sim_t *sim)
{
	uint64_t counts[KF_MODEL_UPSTREAMS_MAX] = { 0 };
	uint32_t i, j;

	for (i = 0; i < sim->scenario->flows; i++) {
		const model_flow_t *flow = &sim->flows[i];

		sim->out.broken += flow->broken;
		sim->out.moved += flow->upstream != flow->at_event;
		for (j = 0; j < sim->after.count; j++)
			counts[j] += sim->after.ids[j] == flow->upstream;
	}
	sim->out.ended_as[END_MISROUTED] = sim->out.broken;
	sim->out.max_mean = scenario_max_mean(&sim->after, counts);
}

outcome_t
model_run(const scenario_t *s, const kf_model_ops_t *ops)
{
	kf_model_config_t config = {
		.vms = VM_COUNT,
		.flows = s->flows,
		.seed = s->seed,
		.link_us = LINK_US,
		.bytes_per_s = CONTROL_BYTES_PER_S,
	};
	model_sim_t sim = { .scenario = s, .ops = ops };
	kf_model_cost_t cost;
	uint32_t i;

	sim.model = ops->create(&config);
	sim.schedule = kf_schedule_new(0, KF_CONF_WALL_MS);
	sim.flows = calloc(s->flows, sizeof(*sim.flows));
	if (sim.flows == NULL)
		abort();
	sim.before =
	    scenario_view(kf_declref_get(s->before), scenario_vms_before(s));
	sim.after =
	    scenario_view(kf_declref_get(s->after), scenario_vms_after(s));
	for (i = 0; i < VM_COUNT; i++)
		ops->adopt(sim.model, 0, i, &sim.before);
	schedule_events(&sim);
	kf_schedule_run(sim.schedule, SETTLED_US);
	count(&sim);
	cost = ops->cost(sim.model);
	sim.out.control_bytes = cost.control_bytes;
	sim.out.memory_bytes = cost.memory_bytes;
	ops->destroy(sim.model);
	kf_schedule_delete(sim.schedule);
	free(sim.flows);
	return sim.out;
}
