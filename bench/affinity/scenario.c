#include <stdlib.h>
#include <string.h>

#include "kf/placement.h"

#include "scenario.h"

static const char *const change_names[CHANGE_COUNT] = {
	[CHANGE_SHARE] = "share_move",
	[CHANGE_DRAIN] = "drain",
	[CHANGE_UPSTREAM_ADDED] = "upstream_added",
	[CHANGE_BALANCER_ADDED] = "balancer_added",
	[CHANGE_BALANCER_KILLED] = "balancer_killed",
	[CHANGE_VM_SILENT] = "vm_silent",
	[CHANGE_UNEVEN_VIEWS] = "uneven_views",
};

enum {
	UNEVEN_US = 500000,
	VERY_UNEVEN_US = 5000000,
	CHANGED_UPSTREAM = 2, /* index of the drained or added upstream */
	MOVED_PERCENT = 10,
};

static void
edit_before(void *ctx, kf_declaration_t *copy)
{
	const scenario_t *s = ctx;

	if (s->change == CHANGE_UPSTREAM_ADDED)
		copy->upstreams[CHANGED_UPSTREAM].slots = 0;
}

static void
edit_after(void *ctx, kf_declaration_t *copy)
{
	const scenario_t *s = ctx;
	uint32_t first = copy->services[0].first_selector;

	copy->revision++;
	switch (s->change) {
	case CHANGE_SHARE:
	case CHANGE_UNEVEN_VIEWS:
		copy->selectors[first].share_percent -= MOVED_PERCENT;
		copy->selectors[first + 1].share_percent += MOVED_PERCENT;
		break;
	case CHANGE_DRAIN:
		copy->upstreams[CHANGED_UPSTREAM].draining = true;
		break;
	default:
		break;
	}
}

void
scenario_init(scenario_t *s, const kf_conf_t *conf, change_t change,
    uint64_t seed, uint32_t flows)
{
	uint32_t i, bound;
	kf_random_t random = { .state = seed };

	*s = (scenario_t){
		.change = change,
		.name = change_names[change],
		.seed = seed,
		.flows = flows,
		.running =
		    change == CHANGE_BALANCER_ADDED ? VM_COUNT - 1 : VM_COUNT,
	};
	s->before = kf_conf_variant(conf, edit_before, s);
	s->after = kf_conf_variant(conf, edit_after, s);
	bound = change == CHANGE_UNEVEN_VIEWS ? VERY_UNEVEN_US : UNEVEN_US;
	for (i = 0; i < VM_COUNT; i++)
		s->delay_us[i] = kf_random_below(&random, bound);
}

void
scenario_free(scenario_t *s)
{
	kf_declref_release(s->before);
	kf_declref_release(s->after);
}

static uint32_t
eligible_count(const kf_declaration_t *decl, const kf_selector_t *selector)
{
	uint32_t i, count = 0;

	for (i = 0; i < selector->upstream_count; i++) {
		if (!decl->upstreams[selector->upstreams[i]].draining)
			count++;
	}
	return count;
}

kf_model_view_t
scenario_view(const kf_declaration_t *decl, uint32_t vms)
{
	const kf_service_t *service = &decl->services[0];
	kf_model_view_t view = { .vms = vms };
	uint32_t i, j;

	for (i = 0; i < service->selector_count; i++) {
		const kf_selector_t *selector =
		    &decl->selectors[service->first_selector + i];
		double weight = selector->share_percent / 100 /
		    eligible_count(decl, selector);

		for (j = 0; j < selector->upstream_count; j++) {
			const kf_upstream_t *u =
			    &decl->upstreams[selector->upstreams[j]];

			view.ids[view.count] = u->id;
			view.weights[view.count++] = u->draining ? 0 : weight;
		}
	}
	return view;
}

uint32_t
scenario_vms_before(const scenario_t *s)
{
	return (1U << s->running) - 1;
}

uint32_t
scenario_vms_after(const scenario_t *s)
{
	uint32_t all = (1U << VM_COUNT) - 1;

	return scenario_kills(s) ? all & ~(1U << KILLED_VM) : all;
}

bool
scenario_kills(const scenario_t *s)
{
	return s->change == CHANGE_BALANCER_KILLED ||
	    s->change == CHANGE_VM_SILENT;
}

uint32_t
scenario_ingress(
    const scenario_t *s, int64_t now_us, uint32_t flow, uint64_t packet)
{
	kf_random_t random = { .state = s->seed ^ (packet << 24) ^ flow };
	uint32_t vms = scenario_vms_before(s), vm;

	if (now_us >= EVENT_US + FABRIC_NOTICE_US)
		vms = scenario_vms_after(s);
	do
		vm = kf_random_below(&random, VM_COUNT);
	while ((vms & (1U << vm)) == 0);
	return vm;
}

int64_t
scenario_first_us(const scenario_t *s, uint32_t flow)
{
	kf_random_t random = { .state = s->seed + flow };

	kf_random_next(&random);
	return FIRST_REQUEST_US + kf_random_below(&random, ESTABLISH_US);
}

double
scenario_max_mean(const kf_model_view_t *view, const uint64_t *counts)
{
	uint64_t total = 0;
	double ratio, max = 0;
	uint32_t i;

	for (i = 0; i < view->count; i++)
		total += counts[i];
	for (i = 0; i < view->count; i++) {
		if (view->weights[i] <= 0 || total == 0)
			continue;
		ratio = (double)counts[i] / ((double)total * view->weights[i]);
		if (ratio > max)
			max = ratio;
	}
	return max;
}
