#include <stdlib.h>
#include <string.h>

#include "traffic_internal.h"

/*
 * Remembers the outcomes of idempotent requests, which have no record in the
 * flow table, for as long as callers send copies:
 *
 * Refusals.  Without them, a late copy could run after its request was refused
 * as not run.  A caller that was stopped for 3 s sent such copies before it
 * read the refusals.  New refusals replace old ones: at 2,000 a second, 1 in 50
 * of those that are 8 s old is lost.
 *
 * Requests that may have run, in Bloom filters.  Without them, a copy could be
 * refused as not run after the request ran and its answer was lost.  A false
 * match only turns "not run" into "may have run".
 *
 * Moves to another owner.  Copies are routed to that owner, or one owner could
 * refuse what the other runs.
 */
enum {
	/* Set-associative tables; the numbers of sets are powers of 2. */
	REFUSAL_SETS = 16384,
	MOVE_SETS = 1024,
	SET_WAYS = 4,
	/*
	 * All bits of a request are in one block, the size of a cache line.
	 * 1,000 requests a second put 120,000 into a generation, 29 into each
	 * block; with 4 bits each, 0.3% of lookups in a filter match falsely.
	 */
	FILTER_BLOCKS = 4096, /* a power of 2 */
	FILTER_BLOCK_BYTES = 64,
	FILTER_BLOCK_SHIFT = 48,
	FILTER_HASHES = 4,
	FILTER_BIT_INDEX_BITS = 9,
	FILTER_GENERATIONS = 2,
};

static const int64_t horizon_us = (int64_t)KF_RETRANSMIT_HORIZON_S * 1000000;

/* A refused or moved request. */
typedef struct ended_request {
	uint64_t flow;
	int64_t ended_us;
	uint32_t xid;
	kf_reason_t reason; /* KF_REASON_NONE: unused entry */
} ended_request_t;

struct recent_requests {
	ended_request_t refusals[REFUSAL_SETS][SET_WAYS];
	ended_request_t moves[MOVE_SETS][SET_WAYS];
	bool may_have_run[MOVE_SETS][SET_WAYS]; /* before the move */
	/* The token that each request was moved with. */
	uint8_t move_tokens[MOVE_SETS][SET_WAYS][KF_TOKEN_BYTES];
	int64_t generation_started_us; /* of the current generation */
	uint32_t current_generation;
	int64_t last_refusal_us; /* -1: none */
	int64_t last_move_us;	 /* -1: none */
	_Alignas(FILTER_BLOCK_BYTES) uint8_t
	    filters[FILTER_GENERATIONS][FILTER_BLOCKS][FILTER_BLOCK_BYTES];
};

recent_requests_t *
recent_new(void)
{
	recent_requests_t *r;

	r = aligned_alloc(_Alignof(recent_requests_t), sizeof(*r));
	if (r == NULL)
		return NULL;
	memset(r, 0, sizeof(*r));
	r->last_refusal_us = -1;
	r->last_move_us = -1;
	return r;
}

static uint64_t
recent_hash(uint64_t flow, uint32_t xid)
{
	return kf_rendezvous_score(xid, flow, 0);
}

static uint8_t *
filter_block(recent_requests_t *r, uint32_t generation, uint64_t hash)
{
	return r->filters[generation]
			 [hash >> FILTER_BLOCK_SHIFT & (FILTER_BLOCKS - 1)];
}

static uint32_t
filter_bit(uint64_t hash, uint32_t i)
{
	return (uint32_t)(hash >> i * FILTER_BIT_INDEX_BITS) &
	    (FILTER_BLOCK_BYTES * 8 - 1);
}

static void
filter_add(uint8_t *block, uint64_t hash)
{
	uint32_t i;

	for (i = 0; i < FILTER_HASHES; i++) {
		uint32_t bit = filter_bit(hash, i);

		block[bit / 8] |= (uint8_t)(1 << bit % 8);
	}
}

static bool
filter_has(const uint8_t *block, uint64_t hash)
{
	uint32_t i;

	for (i = 0; i < FILTER_HASHES; i++) {
		uint32_t bit = filter_bit(hash, i);

		if ((block[bit / 8] & 1 << bit % 8) == 0)
			return false;
	}
	return true;
}

/* Starts a new generation in place of the older one when it is due. */
void
recent_tick(kf_traffic_t *t)
{
	recent_requests_t *r = t->recent_requests;

	if (t->now.mono_us - r->generation_started_us < horizon_us)
		return;
	r->generation_started_us = t->now.mono_us;
	r->current_generation =
	    (r->current_generation + 1) % FILTER_GENERATIONS;
	memset(r->filters[r->current_generation], 0,
	    sizeof(r->filters[r->current_generation]));
}

void
recent_add_may_have_run(kf_traffic_t *t, uint64_t flow, uint32_t xid)
{
	uint64_t hash = recent_hash(flow, xid);
	recent_requests_t *r = t->recent_requests;

	filter_add(filter_block(r, r->current_generation, hash), hash);
}

bool
recent_may_have_run(const kf_traffic_t *t, uint64_t flow, uint32_t xid)
{
	uint64_t hash = recent_hash(flow, xid);
	uint32_t i;

	for (i = 0; i < FILTER_GENERATIONS; i++) {
		if (filter_has(filter_block(t->recent_requests, i, hash), hash))
			return true;
	}
	return false;
}

/*
 * Returns true if copies of a request that ended at time_us may still arrive.
 * A table whose last entry is older than that is not searched.
 */
static bool
within_horizon(const kf_traffic_t *t, int64_t time_us)
{
	return time_us >= 0 && t->now.mono_us - time_us <= horizon_us;
}

/* Replaces the oldest entry of a set and returns its index. */
static uint32_t
set_replace_oldest(ended_request_t *set, ended_request_t ended_request)
{
	uint32_t oldest = 0, i;

	for (i = 1; i < SET_WAYS; i++) {
		if (set[i].ended_us < set[oldest].ended_us)
			oldest = i;
	}
	set[oldest] = ended_request;
	return oldest;
}

/* Returns the index of a request in a set, or SET_WAYS. */
static uint32_t
set_find(const kf_traffic_t *t, const ended_request_t *set, uint64_t flow,
    uint32_t xid)
{
	uint32_t i;

	for (i = 0; i < SET_WAYS; i++) {
		if (set[i].reason != KF_REASON_NONE && set[i].flow == flow &&
		    set[i].xid == xid && within_horizon(t, set[i].ended_us))
			break;
	}
	return i;
}

void
recent_add_move(kf_traffic_t *t, const request_t *req, const uint8_t *token)
{
	recent_requests_t *r = t->recent_requests;
	uint64_t set = recent_hash(req->id.flow, req->id.xid) & (MOVE_SETS - 1);
	uint32_t i;

	i = set_replace_oldest(r->moves[set],
	    (ended_request_t){
		.flow = req->id.flow,
		.xid = req->id.xid,
		.ended_us = t->now.mono_us,
		.reason = KF_REASON_DUPLICATE,
	    });
	memcpy(r->move_tokens[set][i], token, KF_TOKEN_BYTES);
	r->may_have_run[set][i] = req->may_have_run;
	r->last_move_us = t->now.mono_us;
}

/*
 * Returns the token that a request was moved with, of KF_TOKEN_BYTES, or NULL.
 * Also tells whether the request may have run before the move: a copy has to
 * tell the new owner, as the moved request itself may be lost on its way.
 */
const uint8_t *
recent_find_move(
    const kf_traffic_t *t, uint64_t flow, uint32_t xid, bool *may_have_run)
{
	const recent_requests_t *r = t->recent_requests;
	uint64_t set;
	uint32_t i;

	if (!within_horizon(t, r->last_move_us))
		return NULL;
	set = recent_hash(flow, xid) & (MOVE_SETS - 1);
	i = set_find(t, r->moves[set], flow, xid);
	if (i == SET_WAYS)
		return NULL;
	*may_have_run = r->may_have_run[set][i];
	return r->move_tokens[set][i];
}

void
recent_add_refusal(
    kf_traffic_t *t, uint64_t flow, uint32_t xid, kf_reason_t reason)
{
	recent_requests_t *r = t->recent_requests;

	set_replace_oldest(
	    r->refusals[recent_hash(flow, xid) & (REFUSAL_SETS - 1)],
	    (ended_request_t){
		.flow = flow,
		.xid = xid,
		.ended_us = t->now.mono_us,
		.reason = reason,
	    });
	r->last_refusal_us = t->now.mono_us;
}

/* Returns the reason why a request was refused, or KF_REASON_NONE. */
kf_reason_t
recent_find_refusal(const kf_traffic_t *t, uint64_t flow, uint32_t xid)
{
	const ended_request_t *set;
	uint32_t i;

	if (!within_horizon(t, t->recent_requests->last_refusal_us))
		return KF_REASON_NONE;
	set = t->recent_requests
		  ->refusals[recent_hash(flow, xid) & (REFUSAL_SETS - 1)];
	i = set_find(t, set, flow, xid);
	return i == SET_WAYS ? KF_REASON_NONE : set[i].reason;
}
