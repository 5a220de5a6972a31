#include "internal.h"

enum {
	/* IP, UDP and message headers and the MAC, without the heartbeat. */
	HEADER_BYTES = KF_UDP_IP_BYTES + 20 + KF_MAC_BYTES,
	HEARTBEAT_BYTES = HEADER_BYTES + 60,
	EVIDENCE_BYTES = 28,
	DIGEST_BYTES = 20,
	INTERVALS_PER_S = 1000000 / KF_HEARTBEAT_US,
	/* Once a heartbeat has arrived, seeds are tried this far apart. */
	SEED_ROUNDS = 16,
	SEED_BYTES_PER_S = 32,
	/* One periodic entry of this many may be of another zone. */
	OTHER_ZONE_PERIOD = 8,
	/* VMs not heard for this long are chosen as observers last. */
	OBSERVER_WAIT_US = 300000000,
	AGE_UNIT_US = 10000,
	AGE_MAX = 0xffff,
};

static kf_addr_t
unpack_control_addr(uint32_t ip, uint32_t ports)
{
	return (kf_addr_t){ .ip = ip, .port = (uint16_t)(ports >> 16) };
}

static kf_addr_t
unpack_peer_addr(uint32_t ip, uint32_t ports)
{
	return (kf_addr_t){ .ip = ip, .port = (uint16_t)ports };
}

static uint32_t
pack_ports(const kf_member_t *member)
{
	return (uint32_t)member->control.port << 16 | member->peer.port;
}

static uint32_t
pack_state(int64_t age_us, const kf_member_t *member, uint32_t flags)
{
	uint64_t age = (uint64_t)(age_us < 0 ? 0 : age_us) / AGE_UNIT_US;

	if (age > AGE_MAX)
		age = AGE_MAX;
	if (member->leaving)
		flags |= KF_PEER_LEAVING;
	return (uint32_t)age << 16 | (member->shards & 0xff) << 8 | flags;
}

/* Sets the addresses, zone and shard count that a VM or a peer reports. */
static void
set_location(kf_membership_t *m, record_t *rec, uint32_t ip, uint32_t ports,
    uint32_t zone, uint32_t state)
{
	kf_member_t *pub = &rec->pub;
	kf_addr_t control = unpack_control_addr(ip, ports);
	kf_addr_t peer = unpack_peer_addr(ip, ports);
	uint32_t shards = state >> 8 & 0xff;

	if (kf_addr_equal(pub->control, control) &&
	    kf_addr_equal(pub->peer, peer) && pub->zone == zone &&
	    pub->shards == shards)
		return;
	pub->control = control;
	pub->peer = peer;
	pub->zone = zone;
	pub->shards = shards;
	m->version++;
}

static void
set_leaving(kf_membership_t *m, record_t *rec, uint32_t state)
{
	if ((state & KF_PEER_LEAVING) == 0)
		return;
	rec->list_leaving = false;
	if (rec->pub.leaving)
		return;
	rec->pub.leaving = true;
	rec->relays_left = CHANGE_RELAY_COUNT;
	m->version++;
}

/*
 * Counts a conflict for each older process at rec's address, which may have
 * ended.
 */
static void
count_address_conflict(kf_membership_t *m, int64_t now_us, const record_t *rec)
{
	size_t i;

	for (i = 0; i < m->count; i++) {
		record_t *other = m->records[i];

		if (other->pub.id.incarnation >= rec->pub.id.incarnation ||
		    !kf_addr_equal(other->pub.control, rec->pub.control))
			continue;
		if (other->address_conflicts++ == 0)
			other->address_conflict_us = now_us;
	}
}

static void
note_own_incarnation(kf_membership_t *m, uint64_t incarnation)
{
	if (incarnation > m->newest_own_incarnation)
		m->newest_own_incarnation = incarnation;
}

/* Sets the incarnation of a record if it is newer; false if id has ended. */
static bool
accept_incarnation(
    kf_membership_t *m, int64_t now_us, record_t *rec, kf_vm_id_t id)
{
	uint64_t known = rec->pub.id.incarnation;

	if (id.incarnation == known)
		return true;
	if (id.incarnation < known || membership_is_ended(m, id))
		return false;
	membership_set_incarnation(m, now_us, rec, id.incarnation);
	if (known != 0 || !rec->listed || now_us - m->start_us > STARTUP_US)
		rec->relays_left = CHANGE_RELAY_COUNT;
	return true;
}

static void
apply_evidence(
    kf_membership_t *m, int64_t now_us, const kf_peer_evidence *evidence)
{
	kf_vm_id_t id = { evidence->id.vm, evidence->id.incarnation };
	int64_t age_us = (int64_t)(evidence->state >> 16) * AGE_UNIT_US;
	/* The monotonic clock may have started after the VM was heard. */
	int64_t heard_us = age_us < now_us ? now_us - age_us : 0;
	record_t *rec;

	if (id.vm == m->self.id.vm) {
		note_own_incarnation(m, id.incarnation);
		return;
	}
	if (id.incarnation == 0 || id.vm == 0)
		return;
	rec = membership_find(m, id.vm);
	if (rec == NULL &&
	    (membership_is_ended(m, id) || age_us >= KF_TOMBSTONE_US))
		return;
	rec = membership_find_or_add(m, now_us, id.vm);
	if (rec == NULL || !accept_incarnation(m, now_us, rec, id) ||
	    rec->pub.liveness == KF_VM_GONE)
		return;
	if (rec->last_heartbeat_us < 0)
		set_location(m, rec, evidence->addr, evidence->ports,
		    evidence->zone, evidence->state);
	set_leaving(m, rec, evidence->state);
	if ((evidence->state & KF_PEER_SILENT) != 0)
		record_report_silent(m, now_us, rec, heard_us);
	else
		record_report_alive(m, now_us, rec, heard_us);
}

static kf_status_t
reject_ended(kf_membership_t *m, int64_t now_us, record_t *rec, kf_vm_id_t id)
{
	kf_member_t ended;

	if (rec != NULL && id.incarnation < rec->pub.id.incarnation) {
		ended = rec->pub;
		ended.id = id;
		ended.liveness = KF_VM_DEAD;
		membership_add_tombstone(m, now_us, &ended);
		/* If the sender still runs, it learns that it is ignored. */
		rec->relays_left = CHANGE_RELAY_COUNT;
	}
	return kf_status_set(KF_ERR_STALE,
	    "heartbeat of ended incarnation %llu of VM %u",
	    (unsigned long long)id.incarnation, id.vm);
}

/*
 * The first heartbeat after an incarnation was considered gone may be a
 * delayed one.  The second proves that the process runs.
 */
static bool
restore_if_running(kf_membership_t *m, record_t *rec)
{
	if (rec->pub.liveness != KF_VM_GONE)
		return true;
	if (++rec->heartbeats_since_gone < 2)
		return false;
	rec->heartbeats_since_gone = 0;
	rec->pub.liveness = KF_VM_UNKNOWN;
	rec->pub.gone_since_us = 0;
	m->version++;
	return true;
}

static kf_status_t
accept_sequence(kf_membership_t *m, record_t *rec, uint32_t sequence)
{
	if (rec->last_heartbeat_us >= 0 && sequence <= rec->sequence)
		return kf_status_set(KF_ERR_STALE,
		    "heartbeat %u of VM %u is not newer than %u", sequence,
		    rec->pub.id.vm, rec->sequence);
	rec->sequence = sequence;
	if (!restore_if_running(m, rec))
		return kf_status_set(KF_ERR_STALE,
		    "first heartbeat of VM %u since it was considered gone",
		    rec->pub.id.vm);
	return KF_OK;
}

static void
apply_heartbeat(kf_membership_t *m, int64_t now_us, record_t *rec,
    const kf_peer_heartbeat *hb)
{
	rec->last_heartbeat_us = now_us;
	rec->unreachable = 0;
	rec->observed_by_us = (hb->state & KF_PEER_OBSERVE) != 0;
	set_location(m, rec, hb->addr, hb->ports, hb->zone, hb->state);
	set_leaving(m, rec, hb->state);
	count_address_conflict(m, now_us, rec);
	record_report_alive(m, now_us, rec, now_us);
	m->heard_any = true;
}

kf_status_t
kf_membership_on_heartbeat(kf_membership_t *m, int64_t now_us,
    const kf_peer_heartbeat *hb, kf_peer_id from, kf_addr_t src)
{
	kf_vm_id_t id = { from.vm, from.incarnation };
	kf_status_t status;
	record_t *rec;

	membership_detect_pause(m, now_us);
	if (id.vm == 0 || id.incarnation == 0 || src.ip != hb->addr)
		return kf_status_set(KF_ERR_INVALID,
		    "heartbeat of VM %u: id or incarnation is 0, or the "
		    "address is not the source address",
		    id.vm);
	if (id.vm == m->self.id.vm) {
		note_own_incarnation(m, id.incarnation);
		return kf_status_set(
		    KF_ERR_CONFLICT, "another process uses VM id %u", id.vm);
	}
	rec = membership_find(m, id.vm);
	if (rec == NULL && membership_is_ended(m, id))
		return reject_ended(m, now_us, NULL, id);
	rec = membership_find_or_add(m, now_us, id.vm);
	if (rec == NULL)
		return KF_ERR_NO_MEMORY;
	if (!accept_incarnation(m, now_us, rec, id))
		return reject_ended(m, now_us, rec, id);
	status = accept_sequence(m, rec, hb->sequence);
	if (status != KF_OK)
		return status;
	apply_heartbeat(m, now_us, rec, hb);
	kf_membership_on_evidence(
	    m, now_us, hb->evidence.evidence_val, hb->evidence.evidence_len);
	return KF_OK;
}

typedef struct target_list {
	kf_heartbeat_target_t *out;
	size_t max;
	size_t count;
} target_list_t;

/* A dead VM may have been restarted at the listed address. */
static kf_addr_t
contact_address(const record_t *rec)
{
	if (rec->listed && rec->pub.liveness == KF_VM_DEAD)
		return rec->listed_addr;
	return rec->pub.control;
}

static void
add_target(target_list_t *list, record_t *rec, bool observe)
{
	kf_heartbeat_target_t *target;

	if (list->count == list->max || rec->pub.liveness == KF_VM_GONE)
		return;
	rec->observes_us = observe;
	target = &list->out[list->count++];
	target->vm = rec->pub.id.vm;
	target->addr = contact_address(rec);
	target->observe = observe;
}

static bool
is_target(const target_list_t *list, const record_t *rec)
{
	size_t i;

	for (i = 0; i < list->count; i++) {
		if (list->out[i].vm == rec->pub.id.vm)
			return true;
	}
	return false;
}

/*
 * VMs of the own zone rank first.  A VM without evidence of life may still
 * run, because evidence takes minutes to cross a large zone; it ranks last
 * only after OBSERVER_WAIT_US.
 */
static uint64_t
observer_score(const kf_membership_t *m, int64_t now_us, const record_t *rec)
{
	bool may_run = rec->pub.liveness != KF_VM_UNKNOWN ||
	    now_us - rec->since_us < OBSERVER_WAIT_US;

	return rec->score >> 2 |
	    (uint64_t)(rec->pub.zone == m->self.zone) << 62 |
	    (uint64_t)may_run << 63;
}

static record_t *
best_observer(
    const kf_membership_t *m, int64_t now_us, const target_list_t *list)
{
	uint64_t best_score = 0;
	record_t *best = NULL;
	size_t i;

	for (i = 0; i < m->count; i++) {
		record_t *rec = m->records[i];
		uint64_t score = observer_score(m, now_us, rec);

		if (rec->pub.liveness >= KF_VM_DEAD || is_target(list, rec))
			continue;
		if (best == NULL || score > best_score) {
			best = rec;
			best_score = score;
		}
	}
	return best;
}

/* Dead VMs can be chosen too, so that the end of a partition is noticed. */
static void
add_random_target(kf_membership_t *m, target_list_t *list, bool own_zone)
{
	record_t *chosen = NULL;
	uint32_t candidate_count = 0;
	size_t i;

	for (i = 0; i < m->count; i++) {
		record_t *rec = m->records[i];

		if ((rec->pub.zone == m->self.zone) != own_zone ||
		    rec->pub.liveness == KF_VM_GONE || is_target(list, rec))
			continue;
		if (membership_random(m, ++candidate_count) == 0)
			chosen = rec;
	}
	if (chosen != NULL)
		add_target(list, chosen, false);
}

/* Tells former observers not to expect a heartbeat in every interval. */
static void
add_released_observers(kf_membership_t *m, target_list_t *list)
{
	size_t i;

	for (i = 0; i < m->count; i++) {
		record_t *rec = m->records[i];

		if (rec->observes_us && !is_target(list, rec))
			add_target(list, rec, false);
	}
}

static void
add_sampled_targets(kf_membership_t *m, int64_t now_us, target_list_t *list)
{
	record_t *rec;
	size_t i;

	for (i = 0; i < OBSERVER_COUNT; i++) {
		rec = best_observer(m, now_us, list);
		if (rec != NULL)
			add_target(list, rec, true);
	}
	add_random_target(m, list, true);
	add_random_target(m, list, false);
	add_released_observers(m, list);
}

static void
add_mesh_targets(kf_membership_t *m, target_list_t *list)
{
	size_t i;

	for (i = 0; i < m->count; i++)
		add_target(list, m->records[i], true);
}

static bool
is_seed_resolved(const kf_membership_t *m, kf_addr_t addr)
{
	size_t i;

	for (i = 0; i < m->count; i++) {
		const record_t *rec = m->records[i];

		if (kf_addr_equal(rec->pub.control, addr) &&
		    rec->pub.liveness != KF_VM_GONE)
			return true;
	}
	return false;
}

static void
add_seed(kf_membership_t *m, target_list_t *list, size_t index)
{
	if (list->count == list->max || is_seed_resolved(m, m->seeds[index]))
		return;
	list->out[list->count++] =
	    (kf_heartbeat_target_t){ .addr = m->seeds[index] };
}

static void
add_seeds(kf_membership_t *m, target_list_t *list)
{
	size_t i;

	if (m->seed_count == 0)
		return;
	if (m->heard_any) {
		if (m->round % SEED_ROUNDS == 0)
			add_seed(
			    m, list, m->round / SEED_ROUNDS % m->seed_count);
		return;
	}
	for (i = 0; i < m->seed_count; i++)
		add_seed(m, list, i);
}

size_t
kf_membership_targets(
    kf_membership_t *m, int64_t now_us, kf_heartbeat_target_t *out, size_t max)
{
	target_list_t list = { .out = out, .max = max };

	if (now_us < m->next_round_us)
		return 0;
	/* Keep the phase of the rounds unless one was missed. */
	if (m->next_round_us > now_us - KF_HEARTBEAT_US)
		m->next_round_us += KF_HEARTBEAT_US;
	else
		m->next_round_us = now_us + KF_HEARTBEAT_US;
	m->round++;
	if (membership_is_mesh(m))
		add_mesh_targets(m, &list);
	else
		add_sampled_targets(m, now_us, &list);
	m->receivers = list.count > 0 ? list.count : 1;
	add_seeds(m, &list);
	return list.count;
}

static size_t
datagram_limit(const kf_membership_t *m)
{
	return (KF_CONTROL_BYTES_PER_S - SEED_BYTES_PER_S) /
	    (INTERVALS_PER_S * m->receivers);
}

static size_t
evidence_limit(const kf_membership_t *m, bool mesh)
{
	size_t used = HEARTBEAT_BYTES + (mesh ? 0 : DIGEST_BYTES);
	size_t limit = datagram_limit(m);

	if (limit < used)
		return 0;
	limit = (limit - used) / EVIDENCE_BYTES;
	return limit < EVIDENCE_MAX ? limit : EVIDENCE_MAX;
}

size_t
kf_membership_digest_max(const kf_membership_t *m, const kf_peer_heartbeat *hb)
{
	size_t used = HEARTBEAT_BYTES +
	    (size_t)hb->evidence.evidence_len * EVIDENCE_BYTES;
	size_t limit = datagram_limit(m);

	if (limit < used)
		return 0;
	limit = (limit - used) / DIGEST_BYTES;
	return limit < KF_PEER_MAX_DIGESTS ? limit : KF_PEER_MAX_DIGESTS;
}

static bool
is_included(const kf_peer_heartbeat *hb, const record_t *rec)
{
	u_int i;

	for (i = 0; i < hb->evidence.evidence_len; i++) {
		if (hb->evidence.evidence_val[i].id.vm == rec->pub.id.vm)
			return true;
	}
	return false;
}

/*
 * Only observers set the start of a reported silence.  If other VMs replaced it
 * with later evidence of their own, no refutation could be late enough.
 */
static int64_t
evidence_time_us(const record_t *rec, bool silent)
{
	if (silent && rec->reported_silent && !rec->observed_by_us)
		return rec->silent_since_us;
	return record_last_alive_us(rec);
}

static void
write_evidence(int64_t now_us, const record_t *rec, kf_peer_evidence *evidence)
{
	bool silent = rec->pub.liveness >= KF_VM_SUSPECT;

	evidence->id.vm = rec->pub.id.vm;
	evidence->id.incarnation = rec->pub.id.incarnation;
	evidence->addr = rec->pub.control.ip;
	evidence->ports = pack_ports(&rec->pub);
	evidence->zone = rec->pub.zone;
	evidence->state = pack_state(now_us - evidence_time_us(rec, silent),
	    &rec->pub, silent ? KF_PEER_SILENT : 0);
}

static void
add_evidence(
    kf_membership_t *m, int64_t now_us, kf_peer_heartbeat *hb, record_t *rec)
{
	write_evidence(now_us, rec, &m->evidence[hb->evidence.evidence_len++]);
	if (rec->relays_left > 0)
		rec->relays_left--;
}

/* Liveness that is derived only from a silent zone is not relayed. */
static bool
is_shareable(const record_t *rec)
{
	kf_liveness_t liveness = rec->pub.liveness;

	if (rec->pub.id.incarnation == 0 || liveness == KF_VM_UNKNOWN)
		return false;
	return liveness == KF_VM_ALIVE || liveness == KF_VM_GONE ||
	    rec->observed_by_us || rec->reported_silent;
}

static bool
is_relayable(const kf_peer_heartbeat *hb, const record_t *rec)
{
	return is_shareable(rec) && !is_included(hb, rec);
}

/* Returns the change with the most relays left, of the own zone first. */
static record_t *
next_change(const kf_membership_t *m, const kf_peer_heartbeat *hb)
{
	record_t *best = NULL;
	uint32_t best_rank = 0;
	size_t i;

	for (i = 0; i < m->count; i++) {
		record_t *rec = m->records[i];
		uint32_t rank = rec->relays_left;

		if (rank == 0 || !is_relayable(hb, rec))
			continue;
		if (rec->pub.zone == m->self.zone)
			rank += CHANGE_RELAY_COUNT;
		if (rank > best_rank) {
			best = rec;
			best_rank = rank;
		}
	}
	return best;
}

/* Returns the next VM in turn, mostly of the own zone. */
static record_t *
next_periodic(kf_membership_t *m, const kf_peer_heartbeat *hb)
{
	bool any_zone = membership_random(m, OTHER_ZONE_PERIOD) == 0;
	size_t i;

	for (i = 0; i < m->count; i++) {
		record_t *rec = m->records[m->next_relay_index++ % m->count];

		if (rec->pub.liveness != KF_VM_GONE &&
		    (any_zone || rec->pub.zone == m->self.zone) &&
		    is_relayable(hb, rec))
			return rec;
	}
	return NULL;
}

static void
fill_evidence(kf_membership_t *m, int64_t now_us, kf_peer_heartbeat *hb)
{
	bool mesh = membership_is_mesh(m);
	size_t limit = evidence_limit(m, mesh);
	record_t *rec;

	hb->evidence.evidence_val = m->evidence;
	while (hb->evidence.evidence_len < limit) {
		rec = next_change(m, hb);
		if (rec == NULL && !mesh)
			rec = next_periodic(m, hb);
		if (rec == NULL)
			break;
		add_evidence(m, now_us, hb, rec);
	}
}

void
kf_membership_fill_heartbeat(kf_membership_t *m, int64_t now_us,
    const kf_heartbeat_target_t *to, kf_peer_heartbeat *hb)
{
	*hb = (kf_peer_heartbeat){ .sequence = ++m->sequence };
	hb->addr = m->self.control.ip;
	hb->ports = pack_ports(&m->self);
	hb->zone = m->self.zone;
	hb->state = pack_state(0, &m->self, to->observe ? KF_PEER_OBSERVE : 0);
	fill_evidence(m, now_us, hb);
}

size_t
kf_membership_snapshot(
    const kf_membership_t *m, int64_t now_us, kf_peer_evidence *out, size_t max)
{
	size_t count = 0, i;

	for (i = 0; i < m->count && count < max; i++) {
		const record_t *rec = m->records[i];

		if (is_shareable(rec) && rec->pub.liveness != KF_VM_GONE)
			write_evidence(now_us, rec, &out[count++]);
	}
	return count;
}

void
kf_membership_on_evidence(kf_membership_t *m, int64_t now_us,
    const kf_peer_evidence *evidence, size_t count)
{
	size_t i;

	membership_detect_pause(m, now_us);
	for (i = 0; i < count; i++)
		apply_evidence(m, now_us, &evidence[i]);
}

size_t
kf_membership_unknown_count(const kf_membership_t *m)
{
	size_t count = 0, i;

	for (i = 0; i < m->count; i++) {
		const record_t *rec = m->records[i];

		count += rec->listed && rec->pub.zone == m->self.zone &&
		    rec->pub.liveness == KF_VM_UNKNOWN;
	}
	return count;
}
