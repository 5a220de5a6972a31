#include "peering_internal.h"

enum { MAX_ZONES = 16 };

typedef struct zone_sum {
	uint64_t zone;
	demand_sum_t demand;
} zone_sum_t;

static zone_sum_t *
find_or_add(zone_sum_t *sums, size_t *count, uint64_t zone)
{
	size_t i;

	for (i = 0; i < *count; i++)
		if (sums[i].zone == zone)
			return &sums[i];
	if (*count == MAX_ZONES)
		return NULL;
	sums[*count] = (zone_sum_t){ .zone = zone };
	return &sums[(*count)++];
}

static int64_t
max_age_us(const kf_peering_t *p, const member_t *m)
{
	return m->zone == p->config.zone
	    ? KF_PEERING_DEMAND_MAX_AGE_US
	    : KF_PEERING_OTHER_ZONE_DEMAND_MAX_AGE_US;
}

size_t
kf_peering_zone_demands(const kf_peering_t *p, uint64_t service, int64_t now_us,
    kf_zone_demand_t *zones, size_t max)
{
	zone_sum_t sums[MAX_ZONES], *sum;
	size_t i, sum_count = 0, count = 0;

	for (i = 0; i < p->members.count; i++) {
		const member_t *m = &p->members.list[i];

		sum = find_or_add(sums, &sum_count, m->zone);
		if (sum != NULL)
			peering_add_demand(
			    &sum->demand, m, service, max_age_us(p, m), now_us);
	}
	for (i = 0; i < sum_count && count < max; i++)
		if (sums[i].demand.heard > 0)
			zones[count++] = (kf_zone_demand_t){
				.zone = sums[i].zone,
				.asked_per_s =
				    (uint32_t)peering_estimate_demand(
					sums[i].demand),
			};
	return count;
}
