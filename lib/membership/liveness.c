#include "internal.h"

int64_t
record_last_alive_us(const record_t *rec)
{
	if (rec->reported_silent && rec->silent_since_us > rec->pub.heard_us)
		return rec->silent_since_us;
	return rec->pub.heard_us;
}

/* Returns the zone of a record; NULL if it is our own or was never heard. */
static zone_t *
find_zone(kf_membership_t *m, record_t *rec)
{
	uint32_t id = rec->pub.zone;
	size_t i = rec->cached_zone_index;

	if (id == m->self.zone)
		return NULL;
	if (i < m->zone_count && m->zones[i].id == id)
		return &m->zones[i];
	for (i = 0; i < m->zone_count; i++) {
		if (m->zones[i].id == id) {
			rec->cached_zone_index = i;
			return &m->zones[i];
		}
	}
	return NULL;
}

static void
update_zone_heard(kf_membership_t *m, record_t *rec, int64_t heard_us)
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

/* Derives the liveness of a VM from the silence of its whole zone. */
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
 * A report of silence is relayed with the time of the last evidence of life, so
 * it may arrive when the VM already counts as dead by that time.  A refutation
 * gets KF_DEAD_US - KF_SUSPECT_US to arrive before the VM is considered dead.
 */
static kf_liveness_t
reported_liveness(int64_t now_us, const record_t *rec)
{
	kf_liveness_t liveness =
	    silence_liveness(now_us - record_last_alive_us(rec));

	if (liveness == KF_VM_DEAD &&
	    now_us - rec->silence_reported_us < KF_DEAD_US - KF_SUSPECT_US)
		return KF_VM_SUSPECT;
	return liveness == KF_VM_ALIVE ? KF_VM_SUSPECT : liveness;
}

static int64_t
later_us(int64_t a, int64_t b)
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
	if (rec->observed_by_us)
		return silence_liveness(now_us -
		    later_us(record_last_alive_us(rec), rec->since_us));
	if (rec->reported_silent)
		return reported_liveness(now_us, rec);
	return zone_liveness(m, now_us, rec);
}

/* Checks definite evidence of the end other than port-unreachable errors. */
static bool
has_ended(int64_t now_us, const record_t *rec, kf_liveness_t liveness)
{
	if (rec->pub.id.incarnation == 0)
		return false;
	if (rec->address_conflicts >= 2 &&
	    now_us - rec->address_conflict_us >= KF_DEAD_US)
		return true;
	return rec->removed_from_list && liveness == KF_VM_DEAD;
}

static kf_liveness_t
compute_liveness(kf_membership_t *m, int64_t now_us, record_t *rec)
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
record_update_liveness(kf_membership_t *m, int64_t now_us, record_t *rec)
{
	kf_liveness_t old_liveness = rec->pub.liveness, new_liveness;

	if (old_liveness == KF_VM_GONE)
		return;
	new_liveness = compute_liveness(m, now_us, rec);
	if (new_liveness == old_liveness)
		return;
	rec->pub.liveness = new_liveness;
	m->version++;
	if (new_liveness == KF_VM_GONE)
		rec->pub.gone_since_us = now_us;
	/*
	 * A change that follows from a peer's report or from a silent zone is
	 * not relayed anew.
	 */
	if (old_liveness != KF_VM_UNKNOWN &&
	    is_silent(old_liveness) != is_silent(new_liveness) &&
	    (rec->observed_by_us || new_liveness == KF_VM_GONE))
		rec->relays_left = CHANGE_RELAY_COUNT;
}

void
record_report_alive(
    kf_membership_t *m, int64_t now_us, record_t *rec, int64_t heard_us)
{
	if (heard_us > rec->pub.heard_us)
		rec->pub.heard_us = heard_us;
	update_zone_heard(m, rec, heard_us);
	if (heard_us > rec->address_conflict_us)
		rec->address_conflicts = 0;
	if (rec->reported_silent &&
	    heard_us < rec->silent_since_us + REFUTE_MARGIN_US)
		return;
	if (rec->reported_silent)
		rec->relays_left = CHANGE_RELAY_COUNT;
	rec->reported_silent = false;
	rec->unknown = false;
	record_update_liveness(m, now_us, rec);
}

void
record_report_silent(
    kf_membership_t *m, int64_t now_us, record_t *rec, int64_t silent_since_us)
{
	if (silent_since_us + REFUTE_MARGIN_US < rec->pub.heard_us) {
		/* Refute the report if our own evidence is recent. */
		if (now_us - rec->pub.heard_us < KF_SUSPECT_US)
			rec->relays_left = CHANGE_RELAY_COUNT;
		return;
	}
	if (!rec->reported_silent) {
		rec->reported_silent = true;
		rec->silence_reported_us = now_us;
		rec->silent_since_us = silent_since_us;
		rec->relays_left = CHANGE_RELAY_COUNT;
	} else if (silent_since_us > rec->silent_since_us) {
		rec->silent_since_us = silent_since_us;
	}
	record_update_liveness(m, now_us, rec);
}

/*
 * After a pause the state of every VM may have changed.  Decisions that need a
 * peer to be dead or gone must wait for new evidence.
 */
static void
reset_liveness(kf_membership_t *m, int64_t now_us)
{
	size_t i;

	for (i = 0; i < m->count; i++) {
		record_t *rec = m->records[i];

		rec->unknown = true;
		rec->since_us = now_us;
		rec->reported_silent = false;
		rec->unreachable = 0;
		rec->address_conflicts = 0;
		rec->heartbeats_since_gone = 0;
		rec->pub.liveness = KF_VM_UNKNOWN;
		rec->pub.gone_since_us = 0;
	}
	for (i = 0; i < m->zone_count; i++)
		m->zones[i].heard_us = now_us;
	m->version++;
}

void
membership_detect_pause(kf_membership_t *m, int64_t now_us)
{
	if (m->last_tick_us < 0 || now_us - m->last_tick_us <= KF_PAUSE_US)
		return;
	m->pause_pending = true;
	m->last_tick_us = now_us;
	reset_liveness(m, now_us);
}

/*
 * Peers ignore evidence as old as this about VMs they do not know, so that
 * peers do not relay an expired VM to each other forever.
 */
static bool
is_record_expired(int64_t now_us, const record_t *rec)
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

	membership_detect_pause(m, now_us);
	m->paused = m->pause_pending;
	m->pause_pending = false;
	m->last_tick_us = now_us;
	if (m->start_us == INT64_MAX)
		m->start_us = now_us;
	while (i < m->count) {
		record_update_liveness(m, now_us, m->records[i]);
		if (is_record_expired(now_us, m->records[i]))
			membership_remove_at(m, i);
		else
			i++;
	}
	membership_expire_tombstones(m, now_us);
}

static void
count_unreachable(kf_membership_t *m, int64_t now_us, record_t *rec)
{
	int64_t last_us = later_us(rec->last_heartbeat_us, rec->since_us);

	if (now_us - last_us < UNREACHABLE_IGNORE_US)
		return;
	if (rec->unreachable < 2)
		rec->unreachable++;
	record_update_liveness(m, now_us, rec);
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

	membership_detect_pause(m, now_us);
	for (i = 0; i < m->count; i++) {
		if (has_address(m->records[i], addr))
			count_unreachable(m, now_us, m->records[i]);
	}
}

void
kf_membership_on_unreachable_vm(kf_membership_t *m, int64_t now_us, uint32_t vm)
{
	record_t *rec = membership_find(m, vm);

	membership_detect_pause(m, now_us);
	if (rec != NULL)
		count_unreachable(m, now_us, rec);
}
