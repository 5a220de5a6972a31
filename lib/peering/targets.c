#include <string.h>

#include "peering_internal.h"

static bool
has_target(const uint32_t *ips, size_t count, uint32_t ip)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (ips[i] == ip)
			return true;
	return false;
}

/*
 * Adds a random member of the own zone, or of others, that is not in ips yet.
 */
static size_t
add_random_member(kf_peering_t *p, bool same_zone, uint32_t *ips, size_t count)
{
	const member_t *chosen = NULL;
	size_t i, seen = 0;

	if (count == KF_PEERING_MAX_TARGETS)
		return count;
	for (i = 0; i < p->members.count; i++) {
		const member_t *m = &p->members.list[i];

		if (same_zone == (m->zone == p->config.zone) &&
		    !has_target(ips, count, m->ip) &&
		    peering_reservoir_accepts(p, ++seen))
			chosen = m;
	}
	if (chosen != NULL)
		ips[count++] = chosen->ip;
	return count;
}

static size_t
add_fanout(kf_peering_t *p, size_t same_zone, size_t other_zones, uint32_t *ips,
    size_t count)
{
	for (; same_zone > 0; same_zone--)
		count = add_random_member(p, true, ips, count);
	for (; other_zones > 0; other_zones--)
		count = add_random_member(p, false, ips, count);
	return count;
}

void
peering_add_echo(kf_peering_t *p, uint32_t ip)
{
	size_t i;

	for (i = 0; i < p->echo_count; i++)
		if (p->echo_ips[i] == ip)
			return;
	if (p->echo_count < PEERING_MAX_ECHOES)
		p->echo_ips[p->echo_count++] = ip;
}

/*
 * Takes a VM of the own zone, or of another one, that waits for an echo; 0 if
 * there is none.
 */
static uint32_t
take_echo(kf_peering_t *p, bool same_zone)
{
	size_t i;

	for (i = 0; i < p->echo_count; i++) {
		uint32_t ip = p->echo_ips[i];
		const member_t *m = members_find(&p->members, ip);

		if (m != NULL && (m->zone == p->config.zone) != same_zone)
			continue;
		p->echo_count--;
		memmove(&p->echo_ips[i], &p->echo_ips[i + 1],
		    (p->echo_count - i) * sizeof(*p->echo_ips));
		return m == NULL ? 0 : ip;
	}
	return 0;
}

/*
 * Adds the targets of a periodic beacon.  VMs that wait for an echo take the
 * place of random ones, at most every second time, so that no more bytes are
 * sent and news still spreads at random.
 */
static size_t
add_periodic(kf_peering_t *p, uint32_t *ips, size_t count)
{
	size_t same_zone = KF_PEERING_FANOUT_SAME_ZONE;
	size_t other_zones = KF_PEERING_FANOUT_OTHER_ZONES;
	uint32_t ip = take_echo(p, true);

	if (ip != 0 && !has_target(ips, count, ip)) {
		ips[count++] = ip;
		same_zone--;
	}
	ip = peering_reservoir_accepts(p, 2) ? take_echo(p, false) : 0;
	if (ip != 0 && !has_target(ips, count, ip)) {
		ips[count++] = ip;
		other_zones--;
	}
	return add_fanout(p, same_zone, other_zones, ips, count);
}

/* Adds the VMs to reply to at once. */
static size_t
add_replies(kf_peering_t *p, uint32_t *ips)
{
	size_t count = p->reply_count;

	memcpy(ips, p->reply_ips, count * sizeof(*ips));
	p->reply_count = 0;
	return count;
}

static size_t
add_seeds(kf_peering_t *p, uint32_t *ips, size_t count)
{
	uint32_t i;

	for (i = 0; i < p->config.seed_count; i++) {
		uint32_t ip = p->config.seeds[i];

		if (ip != p->config.ip && count < KF_PEERING_MAX_TARGETS &&
		    !has_target(ips, count, ip))
			ips[count++] = ip;
	}
	return count;
}

/* The interval of a VM without data is short at first and then grows. */
static int64_t
beacon_interval_us(kf_peering_t *p, bool has_data)
{
	int64_t us = p->start_interval_us;

	if (has_data || us >= KF_PEERING_INTERVAL_US)
		return KF_PEERING_INTERVAL_US;
	p->start_interval_us += us / 2;
	return us;
}

size_t
kf_peering_due_targets(kf_peering_t *p, kf_peering_reason_t reason,
    int64_t now_us, uint32_t ips[KF_PEERING_MAX_TARGETS])
{
	bool has_data = reason != KF_PEERING_STARTING;
	size_t count = add_replies(p, ips);

	if (reason == KF_PEERING_UPDATE)
		count = add_fanout(p, KF_PEERING_UPDATE_FANOUT_SAME_ZONE,
		    KF_PEERING_UPDATE_FANOUT_OTHER_ZONES, ips, count);
	if (p->has_new_reports &&
	    now_us - p->last_reports_us >= KF_PEERING_REPORTS_INTERVAL_US) {
		p->has_new_reports = false;
		p->last_reports_us = now_us;
		count =
		    add_fanout(p, KF_PEERING_FANOUT_SAME_ZONE, 0, ips, count);
	}
	if (now_us < p->next_beacon_us)
		return count;
	peering_expire(p, now_us);
	p->next_beacon_us = now_us + beacon_interval_us(p, has_data);
	p->replies_in_interval = 0;
	if (reason != KF_PEERING_UPDATE)
		count = add_periodic(p, ips, count);
	if (!has_data || peering_missing_members(p) == PEERING_ASKS_ZONE ||
	    now_us >= p->next_seed_beacons_us) {
		p->next_seed_beacons_us = now_us + KF_PEERING_SEED_INTERVAL_US;
		count = add_seeds(p, ips, count);
	}
	return count;
}

int64_t
kf_peering_next_beacon_us(const kf_peering_t *p)
{
	return p->next_beacon_us;
}
