#include <string.h>

#include "ingress.h"

/* Tokens in a packet: a rate in percent of packets/s times 1 us is whole. */
#define PACKET_TOKENS ((int64_t)100 * 1000000)

/*
 * Depth of a bucket in time.  It covers the gaps between polls of a busy
 * thread and stays short against the queueing deadline of 2 s.
 */
enum { BURST_US = 50000 };

/* Fills a bucket of 1 % of 1 packet/s; prevents overflow up to MAX_PPS. */
enum { FILL_MAX_US = 100000000 };

static int64_t
bucket_depth(uint64_t pps, uint32_t percent)
{
	int64_t depth = (int64_t)pps * percent * BURST_US;

	return depth < PACKET_TOKENS ? PACKET_TOKENS : depth;
}

void
kf_ingress_init(
    kf_ingress_t *ingress, uint64_t pps, const uint32_t percent[KF_CLASS_COUNT])
{
	int cls;

	memset(ingress, 0, sizeof(*ingress));
	ingress->pps = pps;
	ingress->filled_us = -1;
	ingress->spare_depth = bucket_depth(pps, 100);
	for (cls = 0; cls < KF_CLASS_COUNT; cls++) {
		ingress->percent[cls] = percent[cls];
		ingress->depth[cls] = bucket_depth(pps, percent[cls]);
		ingress->tokens[cls] = ingress->depth[cls];
	}
}

static int64_t
add_up_to(int64_t *tokens, int64_t depth, int64_t more)
{
	int64_t room = depth - *tokens;

	if (more <= room) {
		*tokens += more;
		return 0;
	}
	*tokens = depth;
	return more - room;
}

static void
ingress_fill(kf_ingress_t *ingress, int64_t now_us)
{
	int64_t elapsed_us = now_us - ingress->filled_us;
	int64_t spare = 0;
	int64_t per_us = (int64_t)ingress->pps;
	uint32_t unassigned = 100;
	int cls;

	if (ingress->filled_us < 0)
		elapsed_us = 0;
	if (elapsed_us > FILL_MAX_US)
		elapsed_us = FILL_MAX_US;
	ingress->filled_us = now_us;
	for (cls = 0; cls < KF_CLASS_COUNT; cls++) {
		spare += add_up_to(&ingress->tokens[cls], ingress->depth[cls],
		    elapsed_us * per_us * ingress->percent[cls]);
		unassigned -= ingress->percent[cls];
	}
	spare += elapsed_us * per_us * unassigned;
	add_up_to(&ingress->spare, ingress->spare_depth, spare);
}

bool
kf_ingress_take(kf_ingress_t *ingress, int64_t now_us, kf_class_t cls)
{
	if (ingress->pps == 0)
		return true;
	ingress_fill(ingress, now_us);
	if (ingress->tokens[cls] >= PACKET_TOKENS) {
		ingress->tokens[cls] -= PACKET_TOKENS;
		return true;
	}
	if (ingress->spare < PACKET_TOKENS)
		return false;
	ingress->spare -= PACKET_TOKENS;
	return true;
}
