#include "peering_internal.h"

static bool
is_avoided(const member_t *m, int64_t now_us)
{
	return m->pull_failed_us != INT64_MIN &&
	    now_us - m->pull_failed_us < KF_PEERING_SOURCE_AVOID_US;
}

/*
 * Returns a positive number if a is a better source than b, 0 if they are
 * alike.  A source that has just failed comes last whatever it announces: it
 * may have frozen before it could serve that.  A VM without data takes any, so
 * that VMs that start together do not all pull from the same one.
 */
static int
source_compare(const kf_peering_t *p, const kf_peering_self_t *self,
    const member_t *a, const member_t *b, int64_t now_us)
{
	bool avoid_a = is_avoided(a, now_us), avoid_b = is_avoided(b, now_us);

	if (avoid_a != avoid_b)
		return avoid_a ? -1 : 1;
	if (avoid_a && a->pull_failed_us != b->pull_failed_us)
		return a->pull_failed_us < b->pull_failed_us ? 1 : -1;
	if (self->position.revision != 0 &&
	    kf_store_position_compare(a->position, b->position) != 0)
		return kf_store_position_compare(a->position, b->position);
	return (a->zone == p->config.zone) - (b->zone == p->config.zone);
}

/* Returns the highest era that a VM with data has announced. */
static uint64_t
highest_era(const kf_peering_t *p)
{
	uint64_t era = 0;
	size_t i;

	for (i = 0; i < p->members.count; i++) {
		const kf_store_position_t *at = &p->members.list[i].position;

		if (at->revision != 0 && at->era > era)
			era = at->era;
	}
	return era;
}

const member_t *
peering_choose_source(
    kf_peering_t *p, const kf_peering_self_t *self, int64_t now_us)
{
	const member_t *chosen = NULL;
	uint64_t era = highest_era(p);
	size_t i, alike = 0;
	int order;

	for (i = 0; i < p->members.count; i++) {
		const member_t *m = &p->members.list[i];

		/* Data of before a restore are no source, not even for a VM
		 * that has none. */
		if (m->position.era != era || m->position.revision == 0 ||
		    kf_store_position_compare(m->position, self->position) <= 0)
			continue;
		order = chosen == NULL
		    ? 1
		    : source_compare(p, self, m, chosen, now_us);
		if (order > 0)
			alike = 0;
		if (order >= 0 && peering_reservoir_accepts(p, ++alike))
			chosen = m;
	}
	return chosen;
}

void
kf_peering_avoid_source(kf_peering_t *p, uint32_t ip, int64_t now_us)
{
	member_t *m = members_find(&p->members, ip);

	if (m != NULL)
		m->pull_failed_us = now_us;
}
