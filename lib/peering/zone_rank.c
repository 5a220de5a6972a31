#include "peering_internal.h"

/* Score of a VM for a key (rendezvous hashing). */
static uint64_t
score(uint64_t key, uint32_t ip)
{
	return peering_mix(
	    peering_mix(key + UINT64_C(0x9e3779b97f4a7c15)) + ip);
}

uint32_t
kf_peering_zone_rank(const kf_peering_t *p, uint64_t key)
{
	uint64_t own = score(key, p->config.ip);
	uint32_t rank = 0;
	size_t i;

	for (i = 0; i < p->members.count; i++) {
		const member_t *m = &p->members.list[i];
		uint64_t other = score(key, m->ip);

		if (m->zone == p->config.zone)
			rank += other > own ||
			    (other == own && m->ip < p->config.ip);
	}
	return rank;
}

int64_t
kf_peering_zone_sent_us(const kf_peering_t *p)
{
	int64_t sent_us = INT64_MIN;
	size_t i;

	for (i = 0; i < p->members.count; i++) {
		const member_t *m = &p->members.list[i];

		if (m->zone == p->config.zone && m->clock.has_offset &&
		    m->last_beacon_us > sent_us)
			sent_us = m->last_beacon_us;
	}
	return sent_us;
}

bool
kf_peering_is_alone(const kf_peering_t *p)
{
	uint32_t i;

	for (i = 0; i < p->config.seed_count; i++)
		if (p->config.seeds[i] != p->config.ip)
			return false;
	return p->members.count == 0;
}
