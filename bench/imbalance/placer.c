#include <stdlib.h>
#include <string.h>

#include "kf/bench_sample.h"

#include "placer.h"

enum {
	DIGEST_US = 500000,
	SLOW_START_US = 30000000,
	RUN_US = 60000000,	    /* arrivals are spread evenly over it */
	FLOW_LIFETIME_US = 1000000, /* of a short flow */
	/*
	 * A flow has 1 to 16 requests; each doubling of the count has a
	 * probability of 1/2.
	 */
	REQUEST_DOUBLINGS = 4,
};

static const char *const phase_names[PHASE_COUNT] = {
	[PHASE_STEADY] = "steady",
	[PHASE_JOIN] = "join",
	[PHASE_LAGGING] = "lagging_digests",
};

typedef struct placer {
	const placer_config_t *placer_config;
	kf_balance_t *balancers[BALANCERS];
	kf_random_t random;
	uint32_t slots[UPSTREAMS];
	uint64_t flows[UPSTREAMS];
	uint64_t requests[UPSTREAMS];
	double open[UPSTREAMS];	  /* open flows */
	double digest[UPSTREAMS]; /* open flows at the last exchange */
	int64_t digest_us;
	uint32_t *flow_upstreams; /* by arrival of the flow */
	uint32_t ended_flows;
} placer_t;

const char *
phase_name(phase_t phase)
{
	return phase_names[phase];
}

static double
slow_start(const placer_config_t *p, int64_t now_us, uint32_t upstream)
{
	if (p->phase != PHASE_JOIN || upstream != UPSTREAMS - 1 ||
	    now_us >= SLOW_START_US)
		return 1;
	return 0.1 + 0.9 * (double)now_us / SLOW_START_US;
}

/* Ends flows after FLOW_LIFETIME_US and updates the digests when due. */
static void
advance(placer_t *p, int64_t now_us, uint32_t arrived, int64_t step_us)
{
	while (p->ended_flows < arrived &&
	    (int64_t)p->ended_flows * step_us + FLOW_LIFETIME_US <= now_us)
		p->open[p->flow_upstreams[p->ended_flows++]]--;
	if (now_us < p->digest_us + DIGEST_US)
		return;
	memcpy(p->digest, p->open, sizeof(p->digest));
	p->digest_us = now_us;
}

static uint32_t
request_count(placer_t *p)
{
	uint32_t count = 1, i;

	for (i = 0; i < REQUEST_DOUBLINGS; i++) {
		if (kf_random_below(&p->random, 2) == 0)
			break;
		count *= 2;
	}
	return count;
}

static void
place(placer_t *p, int64_t now_us, uint32_t flow)
{
	kf_candidate_t candidates[UPSTREAMS];
	uint32_t i, chosen;

	for (i = 0; i < UPSTREAMS; i++) {
		double excess = p->digest[i] - p->slots[i];

		candidates[i] = (kf_candidate_t){
			.upstream = i,
			.id = p->placer_config->decl->upstreams[i].id,
			.weight = p->slots[i] *
			    slow_start(p->placer_config, now_us, i),
		};
		if (p->placer_config->phase == PHASE_LAGGING && excess > 0)
			candidates[i].excess = excess / p->slots[i] / BALANCERS;
	}
	chosen = kf_balance_choose(
	    p->balancers[kf_random_below(&p->random, BALANCERS)], 0, candidates,
	    UPSTREAMS, kf_random_next(&p->random));
	p->flows[chosen]++;
	p->requests[chosen] += request_count(p);
	p->open[chosen]++;
	p->flow_upstreams[flow] = chosen;
}

/* Adds for each upstream its part of the load over its part of capacity. */
static void
add_load_ratios(const placer_t *p, const uint64_t *counts,
    const double *capacity, kf_sample_t *sample)
{
	double total = 0, total_capacity = 0;
	uint32_t i;

	for (i = 0; i < UPSTREAMS; i++) {
		total += (double)counts[i];
		total_capacity += capacity[i];
	}
	(void)p;
	for (i = 0; i < UPSTREAMS; i++)
		kf_sample_add(sample,
		    (double)counts[i] / total / (capacity[i] / total_capacity));
}

/* Slots summed over the run; lower for an upstream in slow start. */
static void
compute_capacities(const placer_t *p, double *capacity)
{
	const int64_t step_us = 100000;
	int64_t at_us;
	uint32_t i;

	for (i = 0; i < UPSTREAMS; i++) {
		capacity[i] = 0;
		for (at_us = 0; at_us < RUN_US; at_us += step_us)
			capacity[i] += p->slots[i] *
			    slow_start(p->placer_config, at_us, i);
	}
}

static imbalance_t
measure(const placer_t *p)
{
	kf_sample_t flows = { 0 }, requests = { 0 };
	double capacity[UPSTREAMS];
	imbalance_t imbalance;

	compute_capacities(p, capacity);
	add_load_ratios(p, p->flows, capacity, &flows);
	add_load_ratios(p, p->requests, capacity, &requests);
	imbalance.flow_max = kf_sample_max(&flows);
	imbalance.flow_p95 = kf_sample_percentile(&flows, 95);
	imbalance.request_max = kf_sample_max(&requests);
	imbalance.request_p95 = kf_sample_percentile(&requests, 95);
	kf_sample_free(&flows);
	kf_sample_free(&requests);
	return imbalance;
}

imbalance_t
placer_run(const placer_config_t *placer_config)
{
	placer_t p = { .placer_config = placer_config,
		.random = { placer_config->seed } };
	int64_t step_us = RUN_US / placer_config->flows, now_us;
	imbalance_t imbalance;
	uint32_t i;

	p.flow_upstreams =
	    calloc(placer_config->flows, sizeof(*p.flow_upstreams));
	if (p.flow_upstreams == NULL)
		abort();
	for (i = 0; i < BALANCERS; i++) {
		p.balancers[i] = kf_balance_new(
		    placer_config->policy, kf_random_next(&p.random));
		if (p.balancers[i] == NULL ||
		    kf_balance_update(p.balancers[i], placer_config->decl) !=
			KF_OK)
			abort();
	}
	for (i = 0; i < UPSTREAMS; i++)
		p.slots[i] = placer_config->decl->upstreams[i].slots *
		    (placer_config->unequal ? 1 + i % 3 : 1);
	for (i = 0; i < placer_config->flows; i++) {
		now_us = (int64_t)i * step_us;
		advance(&p, now_us, i, step_us);
		place(&p, now_us, i);
	}
	imbalance = measure(&p);
	for (i = 0; i < BALANCERS; i++)
		kf_balance_delete(p.balancers[i]);
	free(p.flow_upstreams);
	return imbalance;
}
