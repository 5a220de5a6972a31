#include "peering_internal.h"

static uint64_t
member_demand_per_s(const member_t *m, uint64_t service)
{
	uint64_t asked_per_s = 0;
	uint32_t k;

	for (k = 0; k < m->demand_count; k++)
		if (m->demands[k].service == service)
			asked_per_s += m->demands[k].asked_per_s;
	return asked_per_s;
}

void
peering_add_demand(demand_sum_t *sum, const member_t *m, uint64_t service,
    int64_t max_age_us, int64_t now_us)
{
	sum->members++;
	if (m->last_beacon_us == INT64_MIN ||
	    now_us - m->last_beacon_us > max_age_us)
		return;
	sum->heard++;
	sum->asked_per_s += member_demand_per_s(m, service);
}

uint64_t
peering_estimate_demand(demand_sum_t sum)
{
	return sum.heard == 0 ? 0 : sum.asked_per_s * sum.members / sum.heard;
}

/*
 * Two of three beacons come from the own zone, so that its VMs and those of
 * other zones are estimated apart.  An estimate over all would be too high in a
 * zone with much demand, whose VMs would refuse more flows than others.
 */
uint32_t
kf_peering_other_vms_demand_per_s(
    const kf_peering_t *p, uint64_t service, int64_t now_us)
{
	demand_sum_t own = { 0 }, others = { 0 };
	size_t i;

	for (i = 0; i < p->members.count; i++) {
		const member_t *m = &p->members.list[i];

		peering_add_demand(m->zone == p->config.zone ? &own : &others,
		    m, service, KF_PEERING_DEMAND_MAX_AGE_US, now_us);
	}
	if (own.heard > 0 && others.heard > 0)
		return (uint32_t)(peering_estimate_demand(own) +
		    peering_estimate_demand(others));
	/* A group that was not heard counts like the other one. */
	own.asked_per_s += others.asked_per_s;
	own.heard += others.heard;
	own.members += others.members;
	return (uint32_t)peering_estimate_demand(own);
}
