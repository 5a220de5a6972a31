#include <stdlib.h>

#include "kf/placement.h"

/* Work placed on one upstream, in flows divided by weight. */
typedef struct share {
	uint32_t id;
	double placed;
} share_t;

struct kf_balance {
	kf_policy_t policy;
	kf_random_t random;
	uint64_t cursor;
	size_t count;
	share_t *shares; /* by index into the declaration */
	double *bases;	 /* by selector: count of the last one chosen */
};

typedef uint32_t choose_fn(kf_balance_t *balance,
    const kf_candidate_t *candidates, size_t count, uint64_t flow);

static choose_fn choose_stride, choose_two, choose_cursor, choose_hash;

typedef struct policy {
	const char *name;
	choose_fn *choose;
} policy_t;

static const policy_t policies[KF_POLICY_COUNT] = {
	[KF_POLICY_STRIDE] = { "stride", choose_stride },
	[KF_POLICY_TWO_CHOICES] = { "two_choices", choose_two },
	[KF_POLICY_CURSOR] = { "cursor", choose_cursor },
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
	free(balance->shares);
	free(balance->bases);
	free(balance);
}

static int
share_compare(const void *a, const void *b)
{
	const share_t *x = a, *y = b;

	return (x->id > y->id) - (x->id < y->id);
}

kf_status_t
kf_balance_resize(kf_balance_t *balance, const kf_declaration_t *decl)
{
	share_t *shares, *old;
	double *bases;
	uint32_t i;

	shares = calloc(decl->upstream_count + 1, sizeof(*shares));
	bases = calloc(decl->selector_count + 1, sizeof(*bases));
	if (shares == NULL || bases == NULL) {
		free(shares);
		free(bases);
		return kf_status_set(KF_ERR_NO_MEMORY, "no memory for counts");
	}
	for (i = 0; i < decl->selector_count; i++)
		bases[i] = -1;
	if (balance->count > 0)
		qsort(balance->shares, balance->count, sizeof(share_t),
		    share_compare);
	for (i = 0; i < decl->upstream_count; i++) {
		shares[i].id = decl->upstreams[i].id;
		old = balance->count == 0
		    ? NULL
		    : bsearch(&shares[i], balance->shares, balance->count,
			  sizeof(share_t), share_compare);
		/* Negative: joins when first used. */
		shares[i].placed = old == NULL ? -1 : old->placed;
	}
	free(balance->shares);
	free(balance->bases);
	balance->bases = bases;
	balance->shares = shares;
	balance->count = decl->upstream_count;
	return KF_OK;
}

/* The least count of the candidates that have one, or 0. */
static double
balance_least(
    const kf_balance_t *balance, const kf_candidate_t *candidates, size_t count)
{
	double least = -1;
	size_t i;

	for (i = 0; i < count; i++) {
		double placed = balance->shares[candidates[i].upstream].placed;

		if (placed >= 0 && (least < 0 || placed < least))
			least = placed;
	}
	return least < 0 ? 0 : least;
}

/*
 * An upstream that is new, or was left out for a while, starts at the count of
 * the last one chosen; otherwise it would take every flow until it caught up.
 */
static void
balance_join(kf_balance_t *balance, uint32_t group,
    const kf_candidate_t *candidates, size_t count)
{
	double *base = &balance->bases[group];
	size_t i;

	if (*base < 0)
		*base = balance_least(balance, candidates, count);
	for (i = 0; i < count; i++) {
		share_t *share = &balance->shares[candidates[i].upstream];

		/* A random part of one step keeps VMs out of lockstep. */
		if (share->placed < 0)
			share->placed = *base +
			    (double)kf_random_below(&balance->random, 1024) /
				1024 / candidates[i].weight;
		else if (share->placed < *base)
			share->placed = *base;
	}
}

static double
candidate_score(const kf_balance_t *balance, const kf_candidate_t *c)
{
	return balance->shares[c->upstream].placed + c->excess;
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
choose_two(kf_balance_t *balance, const kf_candidate_t *candidates,
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
choose_cursor(kf_balance_t *balance, const kf_candidate_t *candidates,
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
kf_balance_choose(kf_balance_t *balance, uint32_t group,
    const kf_candidate_t *candidates, size_t count, uint64_t flow)
{
	share_t *share;
	uint32_t chosen;

	balance_join(balance, group, candidates, count);
	chosen =
	    policies[balance->policy].choose(balance, candidates, count, flow);
	share = &balance->shares[candidates[chosen].upstream];
	balance->bases[group] = balance_least(balance, candidates, count);
	share->placed += 1 / candidates[chosen].weight;
	return chosen;
}
