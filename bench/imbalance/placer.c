#include <stdlib.h>
#include <string.h>

#include "kf/bench_sample.h"

#include "placer.h"

enum {
	DIGEST_US = 500000,
	SLOW_START_US = 30000000,
	RUN_US = 60000000, /* the flows arrive evenly in this time */
	LIFE_US = 1000000, /* of a short flow */
	/* A flow makes 1 to 16 requests, half as many flows for twice them. */
	REQUEST_DOUBLINGS = 4,
};

static const char *const phase_names[PHASE_COUNT] = {
	[PHASE_STEADY] = "steady",
	[PHASE_JOIN] = "join",
	[PHASE_LAGGING] = "lagging_digests",
};

typedef struct placer {
	const placing_t *placing;
	kf_balance_t *balancers[BALANCERS];
	kf_random_t random;
	uint32_t slots[UPSTREAMS];
	uint64_t flows[UPSTREAMS];
	uint64_t requests[UPSTREAMS];
	double open[UPSTREAMS];	  /* short flows */
	double digest[UPSTREAMS]; /* open at the last exchange */
	int64_t digest_us;
	uint32_t *closing; /* upstreams of the short flows, by arrival */
	uint32_t closed;
} placer_t;

const char *
phase_name(phase_t phase)
{
	return phase_names[phase];
}

static double
slow_start(const placing_t *p, int64_t now_us, uint32_t upstream)
{
	if (p->phase != PHASE_JOIN || upstream != UPSTREAMS - 1 ||
	    now_us >= SLOW_START_US)
		return 1;
	return 0.1 + 0.9 * (double)now_us / SLOW_START_US;
}

/* Ends flows that are older than LIFE_US and exchanges the loads. */
static void
advance(placer_t *p, int64_t now_us, uint32_t arrived, int64_t step_us)
{
	while (p->closed < arrived &&
	    (int64_t)p->closed * step_us + LIFE_US <= now_us)
		p->open[p->closing[p->closed++]]--;
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
			.id = p->placing->decl->upstreams[i].id,
			.weight =
			    p->slots[i] * slow_start(p->placing, now_us, i),
		};
		if (p->placing->phase == PHASE_LAGGING && excess > 0)
			candidates[i].excess = excess / p->slots[i] / BALANCERS;
	}
	chosen = kf_balance_choose(
	    p->balancers[kf_random_below(&p->random, BALANCERS)], 0, candidates,
	    UPSTREAMS, kf_random_next(&p->random));
	p->flows[chosen]++;
	p->requests[chosen] += request_count(p);
	p->open[chosen]++;
	p->closing[flow] = chosen;
}

/* Adds each upstream's part of the total over its part of the capacity. */
static void
ratios(const placer_t *p, const uint64_t *counts, const double *capacity,
    kf_sample_t *sample)
{
	double total = 0, all = 0;
	uint32_t i;

	for (i = 0; i < UPSTREAMS; i++) {
		total += (double)counts[i];
		all += capacity[i];
	}
	(void)p;
	for (i = 0; i < UPSTREAMS; i++)
		kf_sample_add(
		    sample, (double)counts[i] / total / (capacity[i] / all));
}

/* Capacity in slot time: a joining upstream offers less at first. */
static void
capacities(const placer_t *p, double *capacity)
{
	const int64_t step_us = 100000;
	int64_t at_us;
	uint32_t i;

	for (i = 0; i < UPSTREAMS; i++) {
		capacity[i] = 0;
		for (at_us = 0; at_us < RUN_US; at_us += step_us)
			capacity[i] +=
			    p->slots[i] * slow_start(p->placing, at_us, i);
	}
}

static spread_t
measure(const placer_t *p)
{
	kf_sample_t flows = { 0 }, requests = { 0 };
	double capacity[UPSTREAMS];
	spread_t spread;

	capacities(p, capacity);
	ratios(p, p->flows, capacity, &flows);
	ratios(p, p->requests, capacity, &requests);
	spread.flow_max = kf_sample_max(&flows);
	spread.flow_p95 = kf_sample_percentile(&flows, 95);
	spread.request_max = kf_sample_max(&requests);
	spread.request_p95 = kf_sample_percentile(&requests, 95);
	kf_sample_free(&flows);
	kf_sample_free(&requests);
	return spread;
}

spread_t
placer_run(const placing_t *placing)
{
	placer_t p = { .placing = placing, .random = { placing->seed } };
	int64_t step_us = RUN_US / placing->flows, now_us;
	spread_t spread;
	uint32_t i;

	p.closing = calloc(placing->flows, sizeof(*p.closing));
	if (p.closing == NULL)
		abort();
	for (i = 0; i < BALANCERS; i++) {
		p.balancers[i] =
		    kf_balance_new(placing->policy, kf_random_next(&p.random));
		if (p.balancers[i] == NULL ||
		    kf_balance_update(p.balancers[i], placing->decl) != KF_OK)
			abort();
	}
	for (i = 0; i < UPSTREAMS; i++)
		p.slots[i] = placing->decl->upstreams[i].slots *
		    (placing->unequal ? 1 + i % 3 : 1);
	for (i = 0; i < placing->flows; i++) {
		now_us = (int64_t)i * step_us;
		advance(&p, now_us, i, step_us);
		place(&p, now_us, i);
	}
	spread = measure(&p);
	for (i = 0; i < BALANCERS; i++)
		kf_balance_delete(p.balancers[i]);
	free(p.closing);
	return spread;
}
