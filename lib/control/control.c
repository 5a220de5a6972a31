#include <stdlib.h>
#include <string.h>

#include "control_internal.h"

static const char *const event_names[KF_CONTROL_EVENT_COUNT] = {
	[KF_CONTROL_DOC_ACCEPTED] = "document_accepted",
	[KF_CONTROL_DOC_REFUSED] = "document_refused",
	[KF_CONTROL_VM_CHANGED] = "vm_changed",
	[KF_CONTROL_PAUSED] = "process_paused",
	[KF_CONTROL_SETTLED] = "settled",
};

const char *
kf_control_event_name(kf_control_event_t event)
{
	return event_names[event];
}

static kf_status_t
control_init(kf_control_t *c)
{
	kf_confdist_config_t confdist = {
		.self = c->config.membership.self,
		.zone = c->config.membership.zone,
		.seed = c->config.seed,
		.seed_count = c->config.seed_count,
		.start_window_us = c->config.start_window_ms * 1000,
		.ops = documents_ops(c),
	};
	uint32_t i;

	if (apr_pool_create(&c->pool, NULL) != APR_SUCCESS)
		return KF_ERR_NO_MEMORY;
	c->digests = apr_hash_make(c->pool);
	c->liveness = apr_hash_make(c->pool);
	c->seeds = calloc(c->config.seed_count + 1, sizeof(*c->seeds));
	c->membership = kf_membership_new(&c->config.membership);
	c->confdist = kf_confdist_new(&confdist);
	if (c->seeds == NULL || c->membership == NULL || c->confdist == NULL)
		return KF_ERR_NO_MEMORY;
	for (i = 0; i < c->config.seed_count; i++) {
		c->seeds[i] = c->config.seeds[i];
		kf_membership_add_seed(c->membership, c->seeds[i]);
	}
	return KF_OK;
}

kf_control_t *
kf_control_new(const kf_control_config_t *config, kf_time_t now)
{
	kf_control_t *c;

	c = calloc(1, sizeof(*c));
	if (c == NULL)
		return NULL;
	c->config = *config;
	c->now = now;
	c->started_us = now.mono_us;
	if (control_init(c) != KF_OK) {
		kf_control_delete(c);
		return NULL;
	}
	return c;
}

void
kf_control_delete(kf_control_t *c)
{
	apr_hash_index_t *hi;

	if (c == NULL)
		return;
	kf_view_release(c->view);
	kf_confdist_delete(c->confdist);
	kf_membership_delete(c->membership);
	if (c->pool != NULL) {
		digests_delete(c);
		for (hi = apr_hash_first(NULL, c->liveness); hi != NULL;
		     hi = apr_hash_next(hi))
			free(apr_hash_this_val(hi));
		apr_pool_destroy(c->pool);
	}
	free(c->seeds);
	free(c);
}

static kf_addr_t
source_addr(const kf_control_t *c, kf_doc_source_t source)
{
	kf_addr_t none = { 0 };
	kf_member_t member;
	size_t i, count;

	if (source.seed > 0 && source.seed <= c->config.seed_count)
		return c->seeds[source.seed - 1];
	count = kf_membership_count(c->membership);
	for (i = 1; i < count; i++) {
		kf_membership_at(c->membership, i, &member);
		if (member.id.vm == source.vm && member.liveness != KF_VM_GONE)
			return member.control;
	}
	return none;
}

static void
on_fetch_platform(
    void *ctx, kf_doc_kind_t kind, uint64_t after_version, uint32_t wait_ms)
{
	kf_control_t *c = ctx;

	kf_counters_add(&c->counters, KF_COUNT_PLATFORM_READS, 1);
	c->config.ops.fetch_platform(
	    c->config.ops.ctx, kind, after_version, wait_ms);
}

static void
on_fetch_peer(void *ctx, kf_doc_source_t peer, kf_doc_kind_t kind,
    kf_doc_version_t version)
{
	kf_control_t *c = ctx;

	(void)version;
	c->config.ops.fetch_peer(
	    c->config.ops.ctx, peer, source_addr(c, peer), kind);
}

/* Liveness and leaving state of a VM as last passed to the record callback. */
typedef struct recorded_state {
	kf_vm_id_t id;
	uint32_t value;
	int64_t checked_us; /* when the VM was last found to be a member */
} recorded_state_t;

/* Drops the recorded states of VMs that are no longer members. */
static void
control_drop_stale_states(kf_control_t *c)
{
	apr_hash_index_t *hi;

	for (hi = apr_hash_first(NULL, c->liveness); hi != NULL;
	     hi = apr_hash_next(hi)) {
		recorded_state_t *entry = apr_hash_this_val(hi);

		if (entry->checked_us == c->now.mono_us)
			continue;
		apr_hash_set(c->liveness, &entry->id, sizeof(entry->id), NULL);
		free(entry);
	}
}

/* Emits KF_CONTROL_VM_CHANGED if liveness or leaving state has changed. */
static void
control_record_member(kf_control_t *c, const kf_member_t *member)
{
	kf_control_record_t record = {
		.event = KF_CONTROL_VM_CHANGED,
		.text = member->name,
		.state = member->leaving && member->liveness == KF_VM_ALIVE
		    ? "leaving"
		    : kf_liveness_name(member->liveness),
		.version = member->id.incarnation,
	};
	recorded_state_t *entry, key;
	uint32_t value =
	    (uint32_t)member->liveness * 2 + (member->leaving ? 1 : 0);

	memset(&key, 0, sizeof(key));
	key.id.vm = member->id.vm;
	key.id.incarnation = member->id.incarnation;
	entry = apr_hash_get(c->liveness, &key.id, sizeof(key.id));
	if (entry == NULL) {
		entry = calloc(1, sizeof(*entry));
		if (entry == NULL)
			return;
		entry->id.vm = member->id.vm;
		entry->id.incarnation = member->id.incarnation;
		apr_hash_set(c->liveness, &entry->id, sizeof(entry->id), entry);
	} else if (entry->value == value) {
		entry->checked_us = c->now.mono_us;
		return;
	}
	entry->checked_us = c->now.mono_us;
	entry->value = value;
	c->config.ops.record(c->config.ops.ctx, &record);
}

/* Lists the VMs for a view; the caller frees the list. */
static kf_view_vm_t *
control_list_vms(kf_control_t *c, uint32_t *vm_count)
{
	size_t count = kf_membership_count(c->membership), i;
	kf_view_vm_t *vms;
	kf_member_t member;
	uint32_t n = 0;

	vms = calloc(count + 1, sizeof(*vms));
	if (vms == NULL)
		return NULL;
	for (i = 0; i < count; i++) {
		kf_view_vm_t *vm = &vms[n];

		kf_membership_at(c->membership, i, &member);
		if (i > 0)
			control_record_member(c, &member);
		/* In the VM list, but its incarnation is not yet known. */
		if (member.id.incarnation == 0)
			continue;
		vm->id = member.id;
		memcpy(vm->name, member.name, sizeof(vm->name));
		vm->zone = member.zone;
		vm->peer_addr = member.peer;
		vm->shards = member.shards;
		vm->leaving = member.leaving;
		vm->liveness = i == 0 ? KF_VM_ALIVE : member.liveness;
		vm->gone_since_us = member.gone_since_us;
		vm->heard_us = member.heard_us;
		n++;
	}
	control_drop_stale_states(c);
	*vm_count = n;
	return vms;
}

static void
control_publish(kf_control_t *c)
{
	kf_doc_t decl = kf_confdist_doc(c->confdist, KF_DOC_DECLARATION);
	kf_view_input_t input = {
		.self = c->config.membership.self,
		.settled = c->settled,
		.decl = decl.parsed,
		.declaration_version = decl.version.platform_version,
		.keys = documents_keys(c),
		.previous = c->view,
		.digest = digests_find,
		.ctx = c,
	};
	kf_view_vm_t *vms;
	kf_view_t *view;

	if (input.decl == NULL || input.keys == NULL)
		return;
	vms = control_list_vms(c, &input.vm_count);
	if (vms == NULL)
		return;
	input.vms = vms;
	view = kf_view_new(&input);
	free(vms);
	if (view == NULL)
		return;
	c->view_members_version = kf_membership_version(c->membership);
	c->view_docs_generation = kf_confdist_generation(c->confdist);
	c->digests_changed = false;
	c->published_us = c->now.mono_us;
	kf_view_release(c->view);
	c->view = view;
	c->config.ops.publish(c->config.ops.ctx, view);
}

static int64_t
control_digest_interval_us(const kf_control_t *c)
{
	int64_t entries =
	    (int64_t)c->view->vm_count + c->view->decl->upstream_count;

	return DIGEST_VIEW_US + DIGEST_VIEW_PER_ENTRY_US * entries;
}

static void
control_publish_if_changed(kf_control_t *c)
{
	if (c->view == NULL ||
	    c->view_members_version != kf_membership_version(c->membership) ||
	    c->view_docs_generation != kf_confdist_generation(c->confdist) ||
	    (c->digests_changed &&
		c->now.mono_us - c->published_us >=
		    control_digest_interval_us(c)))
		control_publish(c);
}

/* Gives config distribution the live VMs of the zone of this VM. */
static void
control_update_zone_members(kf_control_t *c)
{
	size_t count = kf_membership_count(c->membership), i, n = 0;
	kf_member_t member;
	uint32_t *vms;

	if (c->zone_members_version == kf_membership_version(c->membership))
		return;
	vms = calloc(count + 1, sizeof(*vms));
	if (vms == NULL)
		return;
	for (i = 1; i < count; i++) {
		kf_membership_at(c->membership, i, &member);
		if (member.zone == c->config.membership.zone &&
		    member.liveness < KF_VM_DEAD && !member.leaving)
			vms[n++] = member.id.vm;
	}
	kf_confdist_set_zone_members(c->confdist, vms, n);
	free(vms);
	c->zone_members_version = kf_membership_version(c->membership);
}

static void
control_apply_vm_list(kf_control_t *c)
{
	kf_doc_t doc = kf_confdist_doc(c->confdist, KF_DOC_VMS);

	if (doc.parsed == NULL ||
	    doc.version.platform_version == c->vms_version)
		return;
	c->vms_version = doc.version.platform_version;
	kf_membership_on_list(
	    c->membership, c->now.mono_us, doc.parsed, c->vms_version);
}

/*
 * A starting VM must not place flows before it has received heartbeats of the
 * fleet: until then it sees itself as the owner of every upstream.
 */
static void
control_check_settled(kf_control_t *c)
{
	kf_control_record_t record = { .event = KF_CONTROL_SETTLED };

	if (c->settled || documents_keys(c) == NULL ||
	    c->now.mono_us - c->started_us < KF_CONTROL_SETTLE_US)
		return;
	c->settled = true;
	c->view_members_version = 0;
	c->config.ops.record(c->config.ops.ctx, &record);
	control_publish(c);
}

void
kf_control_on_tick(kf_control_t *c, kf_time_t now)
{
	kf_confdist_actions_t actions = {
		.ctx = c,
		.fetch_platform = on_fetch_platform,
		.fetch_peer = on_fetch_peer,
	};
	kf_control_record_t record = { .event = KF_CONTROL_PAUSED };

	c->now = now;
	kf_membership_tick(c->membership, now.mono_us);
	if (kf_membership_paused(c->membership))
		c->config.ops.record(c->config.ops.ctx, &record);
	control_apply_vm_list(c);
	control_update_zone_members(c);
	kf_confdist_tick(c->confdist, now.mono_us, &actions);
	heartbeat_send_due(c);
	digests_expire(c);
	control_check_settled(c);
	control_publish_if_changed(c);
}

void
kf_control_on_datagram(kf_control_t *c, kf_time_t now, kf_addr_t from,
    const uint8_t *data, size_t len)
{
	c->now = now;
	heartbeat_on_datagram(c, from, data, len);
	control_publish_if_changed(c);
}

void
kf_control_on_unreachable(kf_control_t *c, kf_time_t now, kf_addr_t addr)
{
	c->now = now;
	kf_membership_on_unreachable(c->membership, now.mono_us, addr);
	control_publish_if_changed(c);
}

void
kf_control_on_document(kf_control_t *c, kf_time_t now, kf_doc_kind_t kind,
    kf_doc_source_t source, uint64_t platform_version, const char *text,
    size_t len)
{
	kf_doc_result_t result;

	c->now = now;
	result = kf_confdist_on_document(c->confdist, now.mono_us, kind, source,
	    platform_version, text, len);
	documents_record_result(c, kind, result, platform_version);
	control_apply_vm_list(c);
	control_publish_if_changed(c);
}

void
kf_control_on_unchanged(kf_control_t *c, kf_time_t now, kf_doc_kind_t kind)
{
	c->now = now;
	kf_confdist_on_unchanged(c->confdist, now.mono_us, kind);
}

void
kf_control_on_fetch_failed(
    kf_control_t *c, kf_time_t now, kf_doc_kind_t kind, kf_doc_source_t source)
{
	c->now = now;
	kf_confdist_on_fetch_failed(c->confdist, now.mono_us, kind, source);
}

void
kf_control_on_digest(kf_control_t *c, kf_time_t now, uint32_t upstream,
    const kf_view_digest_t *digest)
{
	c->now = now;
	digests_set(c, upstream, digest, true);
}

void
kf_control_set_leaving(kf_control_t *c, kf_time_t now)
{
	c->now = now;
	kf_membership_set_leaving(c->membership);
	control_publish_if_changed(c);
}

uint64_t
kf_control_newer_incarnation(const kf_control_t *c)
{
	uint64_t newest = kf_membership_newest_own_incarnation(c->membership);

	return newest > c->config.membership.self.incarnation ? newest : 0;
}

kf_doc_t
kf_control_doc(const kf_control_t *c, kf_doc_kind_t kind)
{
	return kf_confdist_doc(c->confdist, kind);
}

const kf_membership_t *
kf_control_membership(const kf_control_t *c)
{
	return c->membership;
}

const kf_view_t *
kf_control_view(const kf_control_t *c)
{
	return c->view;
}

const kf_counters_t *
kf_control_counters(const kf_control_t *c)
{
	return &c->counters;
}

int32_t
kf_control_platform_age_ms(const kf_control_t *c, kf_time_t now)
{
	return kf_confdist_contact_age_ms(c->confdist, now.mono_us);
}

bool
kf_control_is_fleet_ip(const kf_control_t *c, uint32_t ip)
{
	size_t count = kf_membership_count(c->membership), i;
	kf_member_t member;

	for (i = 0; i < c->config.seed_count; i++) {
		if (c->seeds[i].ip == ip)
			return true;
	}
	for (i = 0; i < count; i++) {
		kf_membership_at(c->membership, i, &member);
		if (member.control.ip == ip)
			return true;
	}
	return false;
}
