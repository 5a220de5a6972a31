#include <string.h>

#include "ingress.h"

/*
 * A rate of 1 % of 1 packet/s adds one token in 1 us, so that refills are
 * computed in integers without a remainder.
 */
#define TOKENS_PER_PACKET ((int64_t)100 * 1000000)

/*
 * A bucket holds the tokens of this time.  It is longer than the time between
 * two polls of a busy thread and much shorter than the queueing deadline of
 * 2 s.
 */
enum { BURST_US = 50000 };

/*
 * Longest time for which tokens are added.  It fills a bucket whose rate is
 * 1 % of 1 packet/s, and the products of ingress_refill do not overflow at
 * KF_INGRESS_MAX_PPS.
 */
enum { REFILL_MAX_US = 100000000 };

static int64_t
bucket_depth(uint64_t pps, uint32_t percent)
{
	int64_t depth = (int64_t)pps * percent * BURST_US;

	return depth < TOKENS_PER_PACKET ? TOKENS_PER_PACKET : depth;
}

void
kf_ingress_init(
    kf_ingress_t *ingress, uint64_t pps, const uint32_t percent[KF_CLASS_COUNT])
{
	int cls;

	memset(ingress, 0, sizeof(*ingress));
	ingress->pps = pps;
	ingress->refilled_us = -1;
	ingress->shared_depth = bucket_depth(pps, 100);
	for (cls = 0; cls < KF_CLASS_COUNT; cls++) {
		ingress->percent[cls] = percent[cls];
		ingress->depth[cls] = bucket_depth(pps, percent[cls]);
		ingress->tokens[cls] = ingress->depth[cls];
	}
}

/* Adds tokens up to the depth and returns the number that did not fit. */
static int64_t
bucket_add(int64_t *tokens, int64_t depth, int64_t added_tokens)
{
	int64_t free_tokens = depth - *tokens;

	if (added_tokens <= free_tokens) {
		*tokens += added_tokens;
		return 0;
	}
	*tokens = depth;
	return added_tokens - free_tokens;
}

static void
ingress_refill(kf_ingress_t *ingress, int64_t now_us)
{
	int64_t elapsed_us = now_us - ingress->refilled_us;
	int64_t shared_tokens = 0;
	int64_t rate_pps = (int64_t)ingress->pps;
	uint32_t unassigned_percent = 100;
	int cls;

	if (ingress->refilled_us < 0)
		elapsed_us = 0;
	if (elapsed_us > REFILL_MAX_US)
		elapsed_us = REFILL_MAX_US;
	ingress->refilled_us = now_us;
	for (cls = 0; cls < KF_CLASS_COUNT; cls++) {
		shared_tokens +=
		    bucket_add(&ingress->tokens[cls], ingress->depth[cls],
			elapsed_us * rate_pps * ingress->percent[cls]);
		unassigned_percent -= ingress->percent[cls];
	}
	shared_tokens += elapsed_us * rate_pps * unassigned_percent;
	bucket_add(
	    &ingress->shared_tokens, ingress->shared_depth, shared_tokens);
}

bool
kf_ingress_take(kf_ingress_t *ingress, int64_t now_us, kf_class_t cls)
{
	if (ingress->pps == 0)
		return true;
	ingress_refill(ingress, now_us);
	if (ingress->tokens[cls] >= TOKENS_PER_PACKET) {
		ingress->tokens[cls] -= TOKENS_PER_PACKET;
		return true;
	}
	if (ingress->shared_tokens < TOKENS_PER_PACKET)
		return false;
	ingress->shared_tokens -= TOKENS_PER_PACKET;
	return true;
}
