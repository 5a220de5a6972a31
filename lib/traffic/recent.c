#include <stdlib.h>

#include "traffic_internal.h"

/*
 * Outcomes of idempotent requests that ended a moment ago.  They keep no
 * record, so without this a copy that the network delayed could run after the
 * request was refused as not run, or be refused after it has run.
 */
enum {
	RECENT_ENTRIES = 16384, /* a power of 2 */
	RECENT_US = 2000000,
};

struct recent {
	uint64_t flow;
	int64_t ended_us;
	uint32_t xid;
	kf_reason_t reason; /* of a refusal; KF_REASON_NONE: it ran */
};

recent_t *
recent_new(void)
{
	return calloc(RECENT_ENTRIES, sizeof(recent_t));
}

static recent_t *
recent_entry(const kf_traffic_t *t, uint64_t flow, uint32_t xid)
{
	uint64_t hash = kf_rendezvous_score(xid, flow, 0);

	return &t->recent[hash & (RECENT_ENTRIES - 1)];
}

void
recent_note(kf_traffic_t *t, uint64_t flow, uint32_t xid, kf_reason_t reason)
{
	recent_t *entry = recent_entry(t, flow, xid);

	entry->flow = flow;
	entry->xid = xid;
	entry->reason = reason;
	entry->ended_us = t->now.mono_us;
}

bool
recent_find(
    const kf_traffic_t *t, uint64_t flow, uint32_t xid, kf_reason_t *reason)
{
	const recent_t *entry = recent_entry(t, flow, xid);

	if (entry->flow != flow || entry->xid != xid ||
	    t->now.mono_us - entry->ended_us > RECENT_US)
		return false;
	*reason = entry->reason;
	return true;
}
