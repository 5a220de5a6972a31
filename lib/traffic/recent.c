#include <stdlib.h>
#include <string.h>

#include "traffic_internal.h"

/*
 * Outcomes of idempotent requests, which keep no record, for as long as
 * callers send copies.  Without the refusals a late copy could run after the
 * request was refused as not run; a caller that was stopped for 3 s sent such
 * copies before it read the refusals.  A refusal is lost when others take
 * its place in the table: 2,000 refusals a second overwrite 1 in 50 of those
 * that are 8 s old.  Without the Bloom filters of what ran, a copy could be
 * refused after the request ran and its answer was lost; a false match only
 * turns "not run" into "may have run".  Copies of a request that went to
 * another owner follow it, or one owner could refuse what the other runs.
 */
enum {
	/* Sets of entries with equal hash bits; powers of 2. */
	REFUSAL_SETS = 16384,
	MOVE_SETS = 1024,
	WAYS = 4,
	/*
	 * The bits of a request share a block of one cache line.  120,000
	 * requests in a generation, 1,000 a second, set 29 x 4 of its bits and
	 * give 0.3% false matches in each filter.
	 */
	BLOCKS = 4096, /* a power of 2 */
	BLOCK_BYTES = 64,
	BLOCK_SHIFT = 48,
	BLOCK_HASHES = 4,
	BIT_BITS = 9,
	GENERATIONS = 2,
};

static const int64_t horizon_us = (int64_t)KF_RETRANSMIT_HORIZON_S * 1000000;

typedef struct refusal {
	uint64_t flow;
	int64_t ended_us;
	uint32_t xid;
	kf_reason_t reason; /* KF_REASON_NONE: free */
} refusal_t;

/* A request that went to another owner, and the token it got. */
typedef struct move {
	uint64_t flow;
	int64_t ended_us;
	uint32_t xid;
	bool used;
	uint8_t token[KF_TOKEN_BYTES];
} move_t;

struct recent {
	refusal_t refusals[REFUSAL_SETS][WAYS];
	move_t moves[MOVE_SETS][WAYS];
	int64_t started_us; /* of the present generation */
	uint32_t present;
	int64_t refused_us; /* the last refusal and the last move; -1: none */
	int64_t moved_us;
	_Alignas(BLOCK_BYTES) uint8_t ran[GENERATIONS][BLOCKS][BLOCK_BYTES];
};

recent_t *
recent_new(void)
{
	recent_t *r;

	r = aligned_alloc(_Alignof(recent_t), sizeof(*r));
	if (r == NULL)
		return NULL;
	memset(r, 0, sizeof(*r));
	r->refused_us = -1;
	r->moved_us = -1;
	return r;
}

static uint64_t
recent_hash(uint64_t flow, uint32_t xid)
{
	return kf_rendezvous_score(xid, flow, 0);
}

static uint8_t *
filter_block(recent_t *r, uint32_t generation, uint64_t hash)
{
	return r->ran[generation][hash >> BLOCK_SHIFT & (BLOCKS - 1)];
}

static uint32_t
filter_bit(uint64_t hash, uint32_t i)
{
	return (uint32_t)(hash >> i * BIT_BITS) & (BLOCK_BYTES * 8 - 1);
}

static void
filter_add(uint8_t *block, uint64_t hash)
{
	uint32_t i;

	for (i = 0; i < BLOCK_HASHES; i++) {
		uint32_t bit = filter_bit(hash, i);

		block[bit / 8] |= (uint8_t)(1 << bit % 8);
	}
}

static bool
filter_has(const uint8_t *block, uint64_t hash)
{
	uint32_t i;

	for (i = 0; i < BLOCK_HASHES; i++) {
		uint32_t bit = filter_bit(hash, i);

		if ((block[bit / 8] & 1 << bit % 8) == 0)
			return false;
	}
	return true;
}

/* Drops the older generation when the present one is full. */
void
recent_tick(kf_traffic_t *t)
{
	recent_t *r = t->recent;

	if (t->now.mono_us - r->started_us < horizon_us)
		return;
	r->started_us = t->now.mono_us;
	r->present = (r->present + 1) % GENERATIONS;
	memset(r->ran[r->present], 0, sizeof(r->ran[r->present]));
}

void
recent_note_ran(kf_traffic_t *t, uint64_t flow, uint32_t xid)
{
	uint64_t hash = recent_hash(flow, xid);
	recent_t *r = t->recent;

	filter_add(filter_block(r, r->present, hash), hash);
}

bool
recent_ran(const kf_traffic_t *t, uint64_t flow, uint32_t xid)
{
	uint64_t hash = recent_hash(flow, xid);
	uint32_t i;

	for (i = 0; i < GENERATIONS; i++) {
		if (filter_has(filter_block(t->recent, i, hash), hash))
			return true;
	}
	return false;
}

/* Saves the misses of a table that holds nothing of late. */
static bool
recently(const kf_traffic_t *t, int64_t time_us)
{
	return time_us >= 0 && t->now.mono_us - time_us <= horizon_us;
}

static move_t *
move_set(const kf_traffic_t *t, uint64_t flow, uint32_t xid)
{
	return t->recent->moves[recent_hash(flow, xid) & (MOVE_SETS - 1)];
}

void
recent_note_moved(
    kf_traffic_t *t, uint64_t flow, uint32_t xid, const uint8_t *token)
{
	move_t *set = move_set(t, flow, xid), *entry = &set[0];
	uint32_t i;

	for (i = 1; i < WAYS; i++) {
		if (set[i].ended_us < entry->ended_us)
			entry = &set[i];
	}
	*entry = (move_t){
		.flow = flow,
		.xid = xid,
		.ended_us = t->now.mono_us,
		.used = true,
	};
	memcpy(entry->token, token, sizeof(entry->token));
	t->recent->moved_us = t->now.mono_us;
}

/* The token of KF_TOKEN_BYTES that copies follow, or NULL. */
const uint8_t *
recent_moved(const kf_traffic_t *t, uint64_t flow, uint32_t xid)
{
	const move_t *set;
	uint32_t i;

	if (!recently(t, t->recent->moved_us))
		return NULL;
	set = move_set(t, flow, xid);
	for (i = 0; i < WAYS; i++) {
		if (set[i].used && set[i].flow == flow && set[i].xid == xid &&
		    recently(t, set[i].ended_us))
			return set[i].token;
	}
	return NULL;
}

static refusal_t *
refusal_set(const kf_traffic_t *t, uint64_t flow, uint32_t xid)
{
	return t->recent->refusals[recent_hash(flow, xid) & (REFUSAL_SETS - 1)];
}

void
recent_note_refused(
    kf_traffic_t *t, uint64_t flow, uint32_t xid, kf_reason_t reason)
{
	refusal_t *set = refusal_set(t, flow, xid), *entry = &set[0];
	uint32_t i;

	for (i = 1; i < WAYS; i++) {
		if (set[i].ended_us < entry->ended_us)
			entry = &set[i];
	}
	*entry = (refusal_t){
		.flow = flow,
		.xid = xid,
		.reason = reason,
		.ended_us = t->now.mono_us,
	};
	t->recent->refused_us = t->now.mono_us;
}

/* The reason of a refusal, or KF_REASON_NONE. */
kf_reason_t
recent_refusal(const kf_traffic_t *t, uint64_t flow, uint32_t xid)
{
	const refusal_t *set;
	uint32_t i;

	if (!recently(t, t->recent->refused_us))
		return KF_REASON_NONE;
	set = refusal_set(t, flow, xid);
	for (i = 0; i < WAYS; i++) {
		if (set[i].flow == flow && set[i].xid == xid &&
		    recently(t, set[i].ended_us))
			return set[i].reason;
	}
	return KF_REASON_NONE;
}
