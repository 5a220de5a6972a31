#include "internal.h"

int64_t
record_life_us(const record_t *rec)
{
	if (rec->accused && rec->silent_us > rec->pub.heard_us)
		return rec->silent_us;
	return rec->pub.heard_us;
}

/* The zone of a record, NULL if it is the own zone or not heard of. */
static zone_t *
find_zone(kf_membership_t *m, record_t *rec)
{
	uint32_t id = rec->pub.zone;
	size_t i = rec->zone_slot;

	if (id == m->self.zone)
		return NULL;
	if (i < m->zone_count && m->zones[i].id == id)
		return &m->zones[i];
	for (i = 0; i < m->zone_count; i++) {
		if (m->zones[i].id == id) {
			rec->zone_slot = i;
			return &m->zones[i];
		}
	}
	return NULL;
}

static void
hear_zone(kf_membership_t *m, record_t *rec, int64_t heard_us)
{
	zone_t *zone = find_zone(m, rec);

	if (rec->pub.zone == m->self.zone)
		return;
	if (zone == NULL && m->zone_count < ZONES_MAX) {
		zone = &m->zones[m->zone_count++];
		zone->id = rec->pub.zone;
		zone->heard_us = heard_us;
	}
	if (zone != NULL && heard_us > zone->heard_us)
		zone->heard_us = heard_us;
}

/* Liveness of a VM by the silence of its whole zone. */
static kf_liveness_t
zone_liveness(kf_membership_t *m, int64_t now_us, record_t *rec)
{
	const zone_t *zone = find_zone(m, rec);
	int64_t limit_us = ZONE_SUSPECT_US * (int64_t)m->zone_count;

	if (zone == NULL || now_us - zone->heard_us < limit_us)
		return KF_VM_ALIVE;
	if (now_us - zone->heard_us < 2 * limit_us)
		return KF_VM_SUSPECT;
	return KF_VM_DEAD;
}

static kf_liveness_t
silence_liveness(int64_t silence_us)
{
	if (silence_us >= KF_DEAD_US)
		return KF_VM_DEAD;
	if (silence_us >= KF_SUSPECT_US)
		return KF_VM_SUSPECT;
	return KF_VM_ALIVE;
}

/*
 * An accusation is relayed with its age, so a refutation may still be on
 * its way; it gets the time between suspect and dead to arrive.
 */
static kf_liveness_t
accused_liveness(int64_t now_us, const record_t *rec)
{
	kf_liveness_t liveness = silence_liveness(now_us - record_life_us(rec));

	if (liveness == KF_VM_DEAD &&
	    now_us - rec->accused_us < KF_DEAD_US - KF_SUSPECT_US)
		return KF_VM_SUSPECT;
	return liveness == KF_VM_ALIVE ? KF_VM_SUSPECT : liveness;
}

static int64_t
later(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static kf_liveness_t
never_heard_liveness(
    const kf_membership_t *m, int64_t now_us, const record_t *rec)
{
	if (rec->unreachable >= 2)
		return KF_VM_DEAD;
	if (membership_is_mesh(m) && now_us - rec->since_us >= KF_DEAD_US)
		return KF_VM_DEAD;
	return KF_VM_UNKNOWN;
}

static kf_liveness_t
heard_liveness(kf_membership_t *m, int64_t now_us, record_t *rec)
{
	if (rec->observed)
		return silence_liveness(
		    now_us - later(record_life_us(rec), rec->since_us));
	if (rec->accused)
		return accused_liveness(now_us, rec);
	return zone_liveness(m, now_us, rec);
}

/* Definite evidence besides port-unreachable errors. */
static bool
has_ended(int64_t now_us, const record_t *rec, kf_liveness_t liveness)
{
	if (rec->pub.id.incarnation == 0)
		return false;
	if (rec->displaced >= 2 && now_us - rec->displaced_us >= KF_DEAD_US)
		return true;
	return rec->unlisted && liveness == KF_VM_DEAD;
}

static kf_liveness_t
compute(kf_membership_t *m, int64_t now_us, record_t *rec)
{
	kf_liveness_t liveness;

	if (rec->pub.id.incarnation == 0)
		return never_heard_liveness(m, now_us, rec);
	liveness = heard_liveness(m, now_us, rec);
	if (rec->unreachable >= 2 || has_ended(now_us, rec, liveness))
		return KF_VM_GONE;
	if (rec->unknown && liveness != KF_VM_DEAD)
		return KF_VM_UNKNOWN;
	return liveness;
}

static bool
is_silent(kf_liveness_t liveness)
{
	return liveness >= KF_VM_SUSPECT;
}

void
record_update(kf_membership_t *m, int64_t now_us, record_t *rec)
{
	kf_liveness_t was = rec->pub.liveness, is;

	if (was == KF_VM_GONE)
		return;
	is = compute(m, now_us, rec);
	if (is == was)
		return;
	rec->pub.liveness = is;
	m->version++;
	if (is == KF_VM_GONE)
		rec->pub.gone_since_us = now_us;
	/* What follows from an accusation or a silent zone is no news. */
	if (was != KF_VM_UNKNOWN && is_silent(was) != is_silent(is) &&
	    (rec->observed || is == KF_VM_GONE))
		rec->relay = RELAY_COUNT;
}

void
record_alive(
    kf_membership_t *m, int64_t now_us, record_t *rec, int64_t heard_us)
{
	if (heard_us > rec->pub.heard_us)
		rec->pub.heard_us = heard_us;
	hear_zone(m, rec, heard_us);
	if (heard_us > rec->displaced_us)
		rec->displaced = 0;
	if (rec->accused && heard_us < rec->silent_us + REFUTE_US)
		return;
	if (rec->accused)
		rec->relay = RELAY_COUNT;
	rec->accused = false;
	rec->unknown = false;
	record_update(m, now_us, rec);
}

void
record_accuse(
    kf_membership_t *m, int64_t now_us, record_t *rec, int64_t silent_us)
{
	if (silent_us + REFUTE_US < rec->pub.heard_us) {
		/* Contradict the observer if our own evidence is fresh. */
		if (now_us - rec->pub.heard_us < KF_SUSPECT_US)
			rec->relay = RELAY_COUNT;
		return;
	}
	if (!rec->accused) {
		rec->accused = true;
		rec->accused_us = now_us;
		rec->silent_us = silent_us;
		rec->relay = RELAY_COUNT;
	} else if (silent_us > rec->silent_us) {
		rec->silent_us = silent_us;
	}
	record_update(m, now_us, rec);
}

/* Permission to act without a peer must be proved again after a pause. */
static void
forget_liveness(kf_membership_t *m, int64_t now_us)
{
	size_t i;

	for (i = 0; i < m->count; i++) {
		record_t *rec = m->records[i];

		rec->unknown = true;
		rec->since_us = now_us;
		rec->accused = false;
		rec->unreachable = 0;
		rec->displaced = 0;
		rec->revived = 0;
		rec->pub.liveness = KF_VM_UNKNOWN;
		rec->pub.gone_since_us = 0;
	}
	for (i = 0; i < m->zone_count; i++)
		m->zones[i].heard_us = now_us;
	m->version++;
}

void
membership_check_pause(kf_membership_t *m, int64_t now_us)
{
	if (m->tick_us < 0 || now_us - m->tick_us <= KF_PAUSE_US)
		return;
	m->pause_seen = true;
	m->tick_us = now_us;
	forget_liveness(m, now_us);
}

/* Peers ignore evidence of the same age, so that no VM is relayed forever. */
static bool
is_forgettable(int64_t now_us, const record_t *rec)
{
	int64_t last_us =
	    rec->pub.heard_us >= 0 ? rec->pub.heard_us : rec->since_us;

	if (rec->listed)
		return false;
	if (rec->pub.liveness == KF_VM_GONE)
		last_us = rec->pub.gone_since_us;
	return now_us - last_us >= KF_TOMBSTONE_US;
}

void
kf_membership_tick(kf_membership_t *m, int64_t now_us)
{
	size_t i = 0;

	membership_check_pause(m, now_us);
	m->paused = m->pause_seen;
	m->pause_seen = false;
	m->tick_us = now_us;
	if (m->start_us == INT64_MAX)
		m->start_us = now_us;
	while (i < m->count) {
		record_update(m, now_us, m->records[i]);
		if (is_forgettable(now_us, m->records[i]))
			membership_remove(m, i);
		else
			i++;
	}
	membership_expire_tombstones(m, now_us);
}

static void
count_unreachable(kf_membership_t *m, int64_t now_us, record_t *rec)
{
	int64_t last_us = later(rec->direct_us, rec->since_us);

	if (now_us - last_us < UNREACHABLE_QUIET_US)
		return;
	if (rec->unreachable < 2)
		rec->unreachable++;
	record_update(m, now_us, rec);
}

static bool
has_address(const record_t *rec, kf_addr_t addr)
{
	const kf_member_t *pub = &rec->pub;

	if (kf_addr_equal(pub->control, addr))
		return true;
	return pub->peer.port != 0 && pub->peer.ip == addr.ip &&
	    addr.port >= pub->peer.port &&
	    addr.port - pub->peer.port < (int)pub->shards;
}

void
kf_membership_on_unreachable(kf_membership_t *m, int64_t now_us, kf_addr_t addr)
{
	size_t i;

	membership_check_pause(m, now_us);
	for (i = 0; i < m->count; i++) {
		if (has_address(m->records[i], addr))
			count_unreachable(m, now_us, m->records[i]);
	}
}

void
kf_membership_on_unreachable_vm(kf_membership_t *m, int64_t now_us, uint32_t vm)
{
	record_t *rec = membership_find(m, vm);

	membership_check_pause(m, now_us);
	if (rec != NULL)
		count_unreachable(m, now_us, rec);
}
