#include <xxhash.h>

#include <stdlib.h>
#include <string.h>

#include "kf/search.h"

#include "internal.h"

static const char *const liveness_names[KF_VM_LIVENESS_COUNT] = {
	[KF_VM_UNKNOWN] = "unknown",
	[KF_VM_ALIVE] = "alive",
	[KF_VM_SUSPECT] = "suspect",
	[KF_VM_DEAD] = "dead",
	[KF_VM_GONE] = "gone",
};

const char *
kf_liveness_name(kf_liveness_t liveness)
{
	if ((unsigned)liveness >= KF_VM_LIVENESS_COUNT)
		return "invalid";
	return liveness_names[liveness];
}

static void
set_name(char dst[KF_NAME_BYTES], const char *src)
{
	size_t len = strnlen(src, KF_NAME_BYTES - 1);

	memcpy(dst, src, len);
	dst[len] = '\0';
}

kf_membership_t *
kf_membership_new(const kf_membership_config_t *config)
{
	kf_membership_t *m;

	if (config->peer.ip != config->control.ip) {
		kf_status_set(KF_ERR_UNSUPPORTED,
		    "control and peer addresses must have the same IP address");
		return NULL;
	}
	m = calloc(1, sizeof(*m));
	if (m == NULL)
		return NULL;
	m->self.id = config->self;
	set_name(m->self.name, config->name);
	m->self.zone = config->zone;
	m->self.control = config->control;
	m->self.peer = config->peer;
	m->self.shards = config->shards;
	m->self.liveness = KF_VM_ALIVE;
	m->random = config->seed;
	m->last_tick_us = -1;
	m->start_us = INT64_MAX;
	m->next_round_us = INT64_MIN;
	m->receivers = 1;
	return m;
}

void
kf_membership_delete(kf_membership_t *m)
{
	size_t i;

	if (m == NULL)
		return;
	for (i = 0; i < m->count; i++)
		free(m->records[i]);
	free(m->records);
	free(m);
}

/* Uses the splitmix64 generator, for which every seed is valid, even 0. */
uint32_t
membership_random(kf_membership_t *m, uint32_t limit)
{
	uint64_t z;

	m->random += 0x9e3779b97f4a7c15;
	z = m->random;
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
	z ^= z >> 31;
	return (uint32_t)((z >> 32) * limit >> 32);
}

static int
vm_compare(const void *key, const void *element)
{
	uint32_t vm = *(const uint32_t *)key;
	uint32_t other = (*(record_t *const *)element)->pub.id.vm;

	return (vm > other) - (vm < other);
}

/* Returns the index of the first record whose VM id is not below vm. */
static size_t
lower_bound(const kf_membership_t *m, uint32_t vm)
{
	return kf_lower_bound(
	    &vm, m->records, m->count, sizeof(record_t *), vm_compare);
}

record_t *
membership_find(const kf_membership_t *m, uint32_t vm)
{
	size_t i = lower_bound(m, vm);

	if (i == m->count || m->records[i]->pub.id.vm != vm)
		return NULL;
	return m->records[i];
}

static bool
grow_records(kf_membership_t *m)
{
	size_t cap = m->cap == 0 ? 16 : m->cap * 2;
	record_t **records;

	if (m->count < m->cap)
		return true;
	records = realloc(m->records, cap * sizeof(record_t *));
	if (records == NULL)
		return false;
	m->records = records;
	m->cap = cap;
	return true;
}

record_t *
membership_find_or_add(kf_membership_t *m, int64_t now_us, uint32_t vm)
{
	uint32_t pair[2] = { m->self.id.vm, vm };
	size_t i = lower_bound(m, vm);
	record_t *rec;

	if (i < m->count && m->records[i]->pub.id.vm == vm)
		return m->records[i];
	rec = calloc(1, sizeof(*rec));
	if (rec == NULL || !grow_records(m)) {
		free(rec);
		kf_status_set(KF_ERR_NO_MEMORY, "no memory for VM %u", vm);
		return NULL;
	}
	rec->pub.id.vm = vm;
	rec->score = XXH64(pair, sizeof(pair), 0);
	rec->pub.heard_us = -1;
	rec->last_heartbeat_us = -1;
	rec->since_us = now_us;
	rec->unknown = true;
	memmove(&m->records[i + 1], &m->records[i],
	    (m->count - i) * sizeof(record_t *));
	m->records[i] = rec;
	m->count++;
	m->version++;
	return rec;
}

void
membership_remove_at(kf_membership_t *m, size_t index)
{
	free(m->records[index]);
	m->count--;
	memmove(&m->records[index], &m->records[index + 1],
	    (m->count - index) * sizeof(record_t *));
	m->version++;
}

static const tombstone_t *
find_tombstone(const kf_membership_t *m, kf_vm_id_t id)
{
	size_t i;

	for (i = 0; i < m->tombstone_count; i++) {
		const tombstone_t *tombstone_entry = &m->tombstones[i];

		if (tombstone_entry->pub.id.vm == id.vm &&
		    tombstone_entry->pub.id.incarnation == id.incarnation)
			return tombstone_entry;
	}
	return NULL;
}

bool
membership_is_ended(const kf_membership_t *m, kf_vm_id_t id)
{
	return find_tombstone(m, id) != NULL;
}

static void
drop_tombstone(kf_membership_t *m, size_t index)
{
	m->tombstone_count--;
	memmove(&m->tombstones[index], &m->tombstones[index + 1],
	    (m->tombstone_count - index) * sizeof(*m->tombstones));
	m->version++;
}

void
membership_add_tombstone(
    kf_membership_t *m, int64_t now_us, const kf_member_t *ended)
{
	tombstone_t *tombstone_entry;

	if (ended->id.incarnation == 0 || find_tombstone(m, ended->id) != NULL)
		return;
	if (m->tombstone_count == TOMBSTONES_MAX)
		drop_tombstone(m, 0);
	tombstone_entry = &m->tombstones[m->tombstone_count++];
	tombstone_entry->pub = *ended;
	if (ended->liveness != KF_VM_GONE)
		tombstone_entry->pub.gone_since_us = now_us;
	tombstone_entry->pub.liveness = KF_VM_GONE;
	m->version++;
}

void
membership_expire_tombstones(kf_membership_t *m, int64_t now_us)
{
	size_t i = 0;

	while (i < m->tombstone_count) {
		int64_t since_us = m->tombstones[i].pub.gone_since_us;

		if (now_us - since_us >= KF_TOMBSTONE_US)
			drop_tombstone(m, i);
		else
			i++;
	}
}

void
membership_set_incarnation(
    kf_membership_t *m, int64_t now_us, record_t *rec, uint64_t incarnation)
{
	membership_add_tombstone(m, now_us, &rec->pub);
	rec->pub.id.incarnation = incarnation;
	rec->pub.leaving = false;
	rec->list_leaving = false;
	rec->removed_from_list = false;
	rec->incarnation_known_us = now_us;
	rec->pub.liveness = KF_VM_UNKNOWN;
	rec->pub.gone_since_us = 0;
	rec->pub.heard_us = -1;
	rec->last_heartbeat_us = -1;
	rec->since_us = now_us;
	rec->unknown = true;
	rec->observed_by_us = false;
	rec->reported_silent = false;
	rec->sequence = 0;
	rec->unreachable = 0;
	rec->address_conflicts = 0;
	rec->heartbeats_since_gone = 0;
	m->version++;
}

/* Counts VMs, this one included, that are listed or have not ended. */
bool
membership_is_mesh(const kf_membership_t *m)
{
	size_t fleet = 1, i;

	for (i = 0; i < m->count && fleet <= KF_MESH_MAX; i++) {
		if (m->records[i]->listed ||
		    m->records[i]->pub.liveness != KF_VM_GONE)
			fleet++;
	}
	return fleet <= KF_MESH_MAX;
}

kf_status_t
kf_membership_add_seed(kf_membership_t *m, kf_addr_t addr)
{
	if (m->seed_count == SEEDS_MAX)
		return kf_status_set(KF_ERR_FULL,
		    "too many seed addresses, at most %d are allowed",
		    SEEDS_MAX);
	if (!kf_addr_equal(addr, m->self.control))
		m->seeds[m->seed_count++] = addr;
	return KF_OK;
}

static int
compare_ids(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static bool
contains_id(const uint32_t *ids, size_t count, uint32_t vm)
{
	return bsearch(&vm, ids, count, sizeof(*ids), compare_ids) != NULL;
}

/*
 * If a list is empty or omits more than half of the listed VMs that are
 * alive, a faulty list is more likely than the end of these VMs.
 */
static bool
is_plausible_removal(
    const kf_membership_t *m, const uint32_t *ids, size_t count)
{
	size_t alive = 0, omitted = 0, i;

	for (i = 0; i < m->count; i++) {
		const record_t *rec = m->records[i];

		if (!rec->listed || rec->pub.liveness != KF_VM_ALIVE)
			continue;
		alive++;
		if (!contains_id(ids, count, rec->pub.id.vm))
			omitted++;
	}
	return count > 0 && omitted * 2 <= alive;
}

static void
mark_removed_vms(
    kf_membership_t *m, int64_t now_us, const uint32_t *ids, size_t count)
{
	size_t i;

	if (!is_plausible_removal(m, ids, count))
		return;
	for (i = 0; i < m->count; i++) {
		record_t *rec = m->records[i];

		if (!rec->was_listed || contains_id(ids, count, rec->pub.id.vm))
			continue;
		rec->listed = false;
		if (now_us - rec->incarnation_known_us < LIST_LAG_US)
			continue;
		rec->removed_from_list = true;
		record_update_liveness(m, now_us, rec);
	}
}

/* If an ended VM is listed at another address, a new process runs there. */
static void
set_listed_address(
    kf_membership_t *m, int64_t now_us, record_t *rec, kf_addr_t addr)
{
	bool moved = rec->listed && !kf_addr_equal(rec->listed_addr, addr);

	rec->listed_addr = addr;
	if (moved && rec->pub.liveness == KF_VM_GONE)
		membership_set_incarnation(m, now_us, rec, 0);
	if (rec->pub.id.incarnation != 0 ||
	    kf_addr_equal(rec->pub.control, addr))
		return;
	rec->pub.control = addr;
	m->version++;
}

/*
 * A later list may clear the flag that a list has set.  A flag set by a
 * heartbeat stays until the incarnation ends.
 */
static void
set_list_leaving(kf_membership_t *m, record_t *rec, bool leaving)
{
	if (rec->list_leaving == leaving)
		return;
	if (rec->pub.leaving && !rec->list_leaving)
		return;
	rec->list_leaving = leaving;
	rec->pub.leaving = leaving;
	m->version++;
}

static void
apply_list_entry(kf_membership_t *m, int64_t now_us, const kf_vm_entry_t *entry)
{
	record_t *rec;

	if (entry->id == m->self.id.vm)
		return;
	rec = membership_find_or_add(m, now_us, entry->id);
	if (rec == NULL)
		return;
	set_listed_address(m, now_us, rec, entry->addr);
	rec->listed = true;
	rec->was_listed = true;
	rec->removed_from_list = false;
	set_list_leaving(m, rec, entry->leaving);
	if (strcmp(rec->pub.name, entry->name) != 0) {
		set_name(rec->pub.name, entry->name);
		m->version++;
	}
	if (rec->pub.id.incarnation == 0 && rec->pub.zone != entry->zone) {
		rec->pub.zone = entry->zone;
		m->version++;
	}
}

kf_status_t
kf_membership_on_list(kf_membership_t *m, int64_t now_us,
    const kf_vm_list_t *list, uint64_t version)
{
	uint32_t *ids, i;

	if (m->has_list && version <= m->list_version)
		return kf_status_set(KF_ERR_STALE,
		    "VM list version %llu is not above %llu",
		    (unsigned long long)version,
		    (unsigned long long)m->list_version);
	ids = calloc((size_t)list->count + 1, sizeof(*ids));
	if (ids == NULL)
		return kf_status_set(
		    KF_ERR_NO_MEMORY, "no memory for the VM list");
	m->has_list = true;
	m->list_version = version;
	for (i = 0; i < list->count; i++)
		ids[i] = list->vms[i].id;
	qsort(ids, list->count, sizeof(*ids), compare_ids);
	for (i = 0; i < list->count; i++)
		apply_list_entry(m, now_us, &list->vms[i]);
	mark_removed_vms(m, now_us, ids, list->count);
	free(ids);
	return KF_OK;
}

void
kf_membership_set_leaving(kf_membership_t *m)
{
	if (!m->self.leaving)
		m->version++;
	m->self.leaving = true;
}

size_t
kf_membership_count(const kf_membership_t *m)
{
	return 1 + m->count + m->tombstone_count;
}

void
kf_membership_at(const kf_membership_t *m, size_t index, kf_member_t *out)
{
	if (index == 0)
		*out = m->self;
	else if (index <= m->count)
		*out = m->records[index - 1]->pub;
	else
		*out = m->tombstones[index - 1 - m->count].pub;
}

kf_status_t
kf_membership_find(const kf_membership_t *m, kf_vm_id_t id, kf_member_t *out)
{
	const tombstone_t *tombstone_entry;
	const record_t *rec;

	rec = membership_find(m, id.vm);
	tombstone_entry = find_tombstone(m, id);
	if (id.vm == m->self.id.vm && id.incarnation == m->self.id.incarnation)
		*out = m->self;
	else if (rec != NULL && rec->pub.id.incarnation == id.incarnation)
		*out = rec->pub;
	else if (tombstone_entry != NULL)
		*out = tombstone_entry->pub;
	else
		return kf_status_set(KF_ERR_NOT_FOUND,
		    "VM %u incarnation %llu is not known", id.vm,
		    (unsigned long long)id.incarnation);
	return KF_OK;
}

uint64_t
kf_membership_version(const kf_membership_t *m)
{
	return m->version;
}

bool
kf_membership_paused(const kf_membership_t *m)
{
	return m->paused;
}

uint64_t
kf_membership_newest_own_incarnation(const kf_membership_t *m)
{
	return m->newest_own_incarnation;
}
