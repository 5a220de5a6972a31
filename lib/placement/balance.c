#include <stdlib.h>

#include "kf/placement.h"

/*
 * Flows placed on one upstream divided by its weight; negative before its first
 * use.
 */
typedef struct upstream_load {
	uint32_t id;
	double normalized_flows;
} upstream_load_t;

struct kf_balance {
	kf_policy_t policy;
	kf_random_t random;
	uint64_t cursor;
	size_t count;
	upstream_load_t *loads; /* by upstream index in the declaration */
	/* By selector: the lowest load of a candidate at the last choice. */
	double *last_min_loads;
};

typedef uint32_t choose_fn(kf_balance_t *balance,
    const kf_candidate_t *candidates, size_t count, uint64_t flow);

static choose_fn choose_stride, choose_two_choices, choose_round_robin,
    choose_hash;

typedef struct policy {
	const char *name;
	choose_fn *choose;
} policy_t;

static const policy_t policies[KF_POLICY_COUNT] = {
	[KF_POLICY_STRIDE] = { "stride", choose_stride },
	[KF_POLICY_TWO_CHOICES] = { "two_choices", choose_two_choices },
	[KF_POLICY_ROUND_ROBIN] = { "cursor", choose_round_robin },
	[KF_POLICY_HASH] = { "hash", choose_hash },
};

const char *
kf_policy_name(kf_policy_t policy)
{
	return policies[policy].name;
}

kf_balance_t *
kf_balance_new(kf_policy_t policy, uint64_t seed)
{
	kf_balance_t *balance;

	balance = calloc(1, sizeof(*balance));
	if (balance == NULL)
		return NULL;
	balance->policy = policy;
	balance->random.state = seed;
	balance->cursor = kf_random_next(&balance->random);
	return balance;
}

void
kf_balance_delete(kf_balance_t *balance)
{
	if (balance == NULL)
		return;
	free(balance->loads);
	free(balance->last_min_loads);
	free(balance);
}

static int
load_compare(const void *a, const void *b)
{
	const upstream_load_t *x = a, *y = b;

	return (x->id > y->id) - (x->id < y->id);
}

kf_status_t
kf_balance_update(kf_balance_t *balance, const kf_declaration_t *decl)
{
	upstream_load_t *loads, *old;
	double *last_min_loads;
	uint32_t i;

	loads = calloc(decl->upstream_count + 1, sizeof(*loads));
	last_min_loads =
	    calloc(decl->selector_count + 1, sizeof(*last_min_loads));
	if (loads == NULL || last_min_loads == NULL) {
		free(loads);
		free(last_min_loads);
		return kf_status_set(KF_ERR_NO_MEMORY,
		    "no memory for the flow counts of upstreams");
	}
	for (i = 0; i < decl->selector_count; i++)
		last_min_loads[i] = -1;
	if (balance->count > 0)
		qsort(balance->loads, balance->count, sizeof(upstream_load_t),
		    load_compare);
	for (i = 0; i < decl->upstream_count; i++) {
		loads[i].id = decl->upstreams[i].id;
		old = balance->count == 0
		    ? NULL
		    : bsearch(&loads[i], balance->loads, balance->count,
			  sizeof(upstream_load_t), load_compare);
		/* A new upstream gets its load at first use. */
		loads[i].normalized_flows =
		    old == NULL ? -1 : old->normalized_flows;
	}
	free(balance->loads);
	free(balance->last_min_loads);
	balance->last_min_loads = last_min_loads;
	balance->loads = loads;
	balance->count = decl->upstream_count;
	return KF_OK;
}

/* Returns the lowest load of the candidates that have one, or 0. */
static double
balance_min_load(
    const kf_balance_t *balance, const kf_candidate_t *candidates, size_t count)
{
	double min_load = -1;
	size_t i;

	for (i = 0; i < count; i++) {
		double normalized_flows =
		    balance->loads[candidates[i].upstream].normalized_flows;

		if (normalized_flows >= 0 &&
		    (min_load < 0 || normalized_flows < min_load))
			min_load = normalized_flows;
	}
	return min_load < 0 ? 0 : min_load;
}

/*
 * Raises the load of an upstream that is new, or was no candidate for a while,
 * to the lowest load at the last choice.  Otherwise it would get every flow
 * until it had caught up.
 */
static void
balance_raise_lagging(kf_balance_t *balance, uint32_t selector_index,
    const kf_candidate_t *candidates, size_t count)
{
	double *last_min_load = &balance->last_min_loads[selector_index];
	size_t i;

	if (*last_min_load < 0)
		*last_min_load = balance_min_load(balance, candidates, count);
	for (i = 0; i < count; i++) {
		upstream_load_t *upstream_load =
		    &balance->loads[candidates[i].upstream];

		/*
		 * A random part of one step keeps the VMs from choosing in the
		 * same order.
		 */
		if (upstream_load->normalized_flows < 0)
			upstream_load->normalized_flows = *last_min_load +
			    (double)kf_random_below(&balance->random, 1024) /
				1024 / candidates[i].weight;
		else if (upstream_load->normalized_flows < *last_min_load)
			upstream_load->normalized_flows = *last_min_load;
	}
}

static double
candidate_score(const kf_balance_t *balance, const kf_candidate_t *c)
{
	return balance->loads[c->upstream].normalized_flows + c->excess;
}

static uint32_t
choose_stride(kf_balance_t *balance, const kf_candidate_t *candidates,
    size_t count, uint64_t flow)
{
	size_t i, best = 0;

	(void)flow;
	for (i = 1; i < count; i++) {
		if (candidate_score(balance, &candidates[i]) <
		    candidate_score(balance, &candidates[best]))
			best = i;
	}
	return (uint32_t)best;
}

static uint32_t
choose_two_choices(kf_balance_t *balance, const kf_candidate_t *candidates,
    size_t count, uint64_t flow)
{
	uint32_t a, b;

	(void)flow;
	a = kf_random_below(&balance->random, (uint32_t)count);
	b = kf_random_below(&balance->random, (uint32_t)count);
	if (candidate_score(balance, &candidates[b]) <
	    candidate_score(balance, &candidates[a]))
		return b;
	return a;
}

static uint32_t
choose_round_robin(kf_balance_t *balance, const kf_candidate_t *candidates,
    size_t count, uint64_t flow)
{
	(void)candidates;
	(void)flow;
	return (uint32_t)(balance->cursor++ % count);
}

static uint32_t
choose_hash(kf_balance_t *balance, const kf_candidate_t *candidates,
    size_t count, uint64_t flow)
{
	uint64_t score, best_score = 0;
	size_t i, best = 0;

	(void)balance;
	for (i = 0; i < count; i++) {
		score = kf_rendezvous_score(
		    (uint32_t)flow, flow >> 32, candidates[i].id);
		if (score >= best_score) {
			best_score = score;
			best = i;
		}
	}
	return (uint32_t)best;
}

uint32_t
kf_balance_choose(kf_balance_t *balance, uint32_t selector_index,
    const kf_candidate_t *candidates, size_t count, uint64_t flow)
{
	upstream_load_t *upstream_load;
	uint32_t chosen;

	balance_raise_lagging(balance, selector_index, candidates, count);
	chosen =
	    policies[balance->policy].choose(balance, candidates, count, flow);
	upstream_load = &balance->loads[candidates[chosen].upstream];
	balance->last_min_loads[selector_index] =
	    balance_min_load(balance, candidates, count);
	upstream_load->normalized_flows += 1 / candidates[chosen].weight;
	return chosen;
}
