#include <stdlib.h>

#include "kf/bench_schedule.h"

#include "scenario.h"

enum { LINK_US = 1000, CONTROL_BYTES_PER_S = 2048, DETECT_US = 3000000 };

typedef struct model_flow {
	uint32_t upstream; /* 0: no packet yet */
	uint32_t at_event;
	bool broken;
} model_flow_t;

typedef struct model_world {
	const scenario_t *scenario;
	const kf_model_ops_t *ops;
	void *model;
	kf_schedule_t *schedule;
	model_flow_t *flows;
	kf_model_view_t before;
	kf_model_view_t after;
	outcome_t out;
} model_world_t;

static void
on_packet(void *ctx, const kf_happening_t *h)
{
	model_world_t *w = ctx;
	const scenario_t *s = w->scenario;
	uint32_t index = (uint32_t)(h->number >> 32);
	uint32_t packet = (uint32_t)h->number;
	uint32_t vm = scenario_ingress(s, h->at_us, index, packet);
	model_flow_t *flow = &w->flows[index];
	kf_happening_t next = *h;
	kf_model_route_t route;

	if (h->at_us < END_US) {
		next.at_us += PERIOD_US;
		next.number++;
		kf_schedule_add(w->schedule, &next);
	}
	w->out.requests++;
	if (scenario_kills(s) && vm == VICTIM && h->at_us >= EVENT_US)
		return; /* lost; the next packet finds another balancer */
	route = w->ops->route(w->model, h->at_us, vm, index);
	if (flow->upstream != 0 && flow->upstream != route.upstream &&
	    !route.coordinated)
		flow->broken = true;
	flow->upstream = route.upstream;
	if (h->at_us < EVENT_US)
		flow->at_event = route.upstream;
}

static void
on_adopt(void *ctx, const kf_happening_t *h)
{
	model_world_t *w = ctx;

	w->ops->adopt(w->model, h->at_us, h->vm, &w->after);
}

static void
on_announce(void *ctx, const kf_happening_t *h)
{
	model_world_t *w = ctx;

	w->ops->announce(w->model, h->at_us, &w->after);
}

static void
on_kill(void *ctx, const kf_happening_t *h)
{
	model_world_t *w = ctx;

	w->ops->kill(w->model, h->vm);
}

static void
plan(model_world_t *w)
{
	const scenario_t *s = w->scenario;
	bool kill = scenario_kills(s);
	kf_happening_t h = { .ctx = w };
	uint32_t i;

	for (i = 0; i < s->flows; i++) {
		h.fn = on_packet;
		h.at_us = scenario_first_us(s, i);
		h.number = (uint64_t)i << 32;
		kf_schedule_add(w->schedule, &h);
	}
	h.fn = kill ? on_kill : on_announce;
	h.at_us = kill ? EVENT_US : ANNOUNCE_US;
	h.vm = VICTIM;
	kf_schedule_add(w->schedule, &h);
	for (i = 0; i < VM_COUNT; i++) {
		h.fn = on_adopt;
		h.vm = i;
		h.at_us = EVENT_US + s->delay_us[i] + (kill ? DETECT_US : 0);
		kf_schedule_add(w->schedule, &h);
	}
}

static void
count(model_world_t *w)
{
	uint64_t counts[KF_MODEL_UPSTREAMS_MAX] = { 0 };
	uint32_t i, j;

	for (i = 0; i < w->scenario->flows; i++) {
		const model_flow_t *flow = &w->flows[i];

		w->out.broken += flow->broken;
		w->out.moved += flow->upstream != flow->at_event;
		for (j = 0; j < w->after.count; j++)
			counts[j] += w->after.ids[j] == flow->upstream;
	}
	w->out.ended_as[END_MISROUTED] = w->out.broken;
	w->out.max_mean = scenario_max_mean(&w->after, counts);
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
	model_world_t w = { .scenario = s, .ops = ops };
	kf_model_cost_t cost;
	uint32_t i;

	w.model = ops->create(&config);
	w.schedule = kf_schedule_new(0, KF_CONF_WALL_MS);
	w.flows = calloc(s->flows, sizeof(*w.flows));
	if (w.flows == NULL)
		abort();
	w.before =
	    scenario_view(kf_declref_get(s->before), scenario_vms_before(s));
	w.after =
	    scenario_view(kf_declref_get(s->after), scenario_vms_after(s));
	for (i = 0; i < VM_COUNT; i++)
		ops->adopt(w.model, 0, i, &w.before);
	plan(&w);
	kf_schedule_run(w.schedule, SETTLED_US);
	count(&w);
	cost = ops->cost(w.model);
	w.out.control_bytes = cost.control_bytes;
	w.out.memory_bytes = cost.memory_bytes;
	ops->destroy(w.model);
	kf_schedule_delete(w.schedule);
	free(w.flows);
	return w.out;
}
