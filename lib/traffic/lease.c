#include <stdlib.h>
#include <string.h>

#include "traffic_internal.h"

/*
 * A backup does not fence an owner while less than FENCE_SILENCE_US have passed
 * since the owner's last lease request.  If the owner learns within that time
 * after it sent a granted request that the backup has ended, it was never
 * fenced and may dispatch without a backup.  Without leases, a backup could
 * fence the owner, run a request and die, and the owner would run the request
 * again.
 */
enum {
	FENCE_SILENCE_US = 3000000,
	/* Allows for an owner's clock that runs slower than the backup's. */
	LEASE_MARGIN_US = 200000,
	LEASE_INTERVAL_US = 1000000,
	LEASE_RETRY_US = 250000,
};

static lease_t *
lease_find(const kf_traffic_t *t, kf_vm_id_t id, uint32_t shard)
{
	lease_key_t key;

	/* The hash covers the padding of the key. */
	memset(&key, 0, sizeof(key));
	key.incarnation = id.incarnation;
	key.vm = id.vm;
	key.shard = shard;
	return apr_hash_get(t->leases, &key, sizeof(key));
}

static lease_t *
lease_get(kf_traffic_t *t, kf_vm_id_t id, uint32_t shard)
{
	lease_t *lease = lease_find(t, id, shard);

	if (lease != NULL)
		return lease;
	lease = calloc(1, sizeof(*lease));
	if (lease == NULL)
		return NULL;
	lease->key.incarnation = id.incarnation;
	lease->key.vm = id.vm;
	lease->key.shard = shard;
	lease->granted_request_sent_us = INT64_MIN / 2;
	lease->request_sent_us = INT64_MIN / 2;
	lease->request_received_us = INT64_MIN / 2;
	table_add(t->leases, &lease->key, sizeof(lease->key), lease);
	return lease;
}

static bool
lease_valid(const kf_traffic_t *t, const lease_t *lease)
{
	return t->now.mono_us - lease->granted_request_sent_us <
	    FENCE_SILENCE_US - LEASE_MARGIN_US;
}

static void
lease_mark_backup(kf_traffic_t *t, uint32_t index)
{
	const kf_view_upstream_t *vu = &t->view->upstreams[index];
	uint32_t id = t->view->decl->upstreams[index].id;
	const kf_view_vm_t *backup;
	lease_t *lease;

	if (vu->owner == KF_VIEW_NONE || vu->owner != t->view->self_index ||
	    vu->backup == KF_VIEW_NONE ||
	    kf_view_shard(&t->view->vms[vu->owner], id) != t->config.shard)
		return;
	backup = &t->view->vms[vu->backup];
	lease = lease_get(t, backup->id, kf_view_shard(backup, id));
	if (lease != NULL)
		lease->is_backup = true;
}

/*
 * Adds leases for new backups.  Marks those of VMs that have ended and records
 * whether such a VM could have fenced this one.
 */
void
lease_update(kf_traffic_t *t)
{
	apr_hash_index_t *hi;
	uint32_t i;

	for (i = 0; i < t->view->decl->upstream_count; i++)
		lease_mark_backup(t, i);
	for (hi = apr_hash_first(NULL, t->leases); hi != NULL;
	     hi = apr_hash_next(hi)) {
		lease_t *lease = apr_hash_this_val(hi);
		kf_vm_id_t id = { lease->key.vm, lease->key.incarnation };

		if (lease->ended || kf_view_liveness(t->view, id) != KF_VM_GONE)
			continue;
		lease->ended = true;
		lease->ended_us = t->now.mono_us;
		lease->cannot_have_fenced =
		    lease->release_received || lease_valid(t, lease);
	}
}

/* Returns true if the VM ended so long ago that no valid token names it. */
static bool
lease_expired(const kf_traffic_t *t, const lease_t *lease)
{
	return t->now.mono_us - lease->ended_us >
	    (t->config.token_lifetime_s + KF_RETRANSMIT_HORIZON_S) * 1000000;
}

/*
 * Renews leases and deletes expired ones.  A lease is renewed for as long as
 * the VM lives, because existing flows still name it after it has stopped being
 * the backup of new ones.
 */
void
lease_tick(kf_traffic_t *t)
{
	apr_hash_index_t *hi;

	for (hi = apr_hash_first(NULL, t->leases); hi != NULL;
	     hi = apr_hash_next(hi)) {
		lease_t *lease = apr_hash_this_val(hi);

		if (lease->ended && lease_expired(t, lease)) {
			apr_hash_set(
			    t->leases, &lease->key, sizeof(lease->key), NULL);
			free(lease);
			continue;
		}
		if (!lease->is_backup || lease->ended ||
		    t->now.mono_us - lease->granted_request_sent_us <
			LEASE_INTERVAL_US ||
		    t->now.mono_us - lease->request_sent_us < LEASE_RETRY_US)
			continue;
		lease->sequence++;
		lease->request_sent_us = t->now.mono_us;
		peer_send_lease(t, lease);
	}
}

/*
 * Answers the lease request of an owner.  A leaving VM releases the owner for
 * good, because owners often learn of its end only after a lease has run out.
 * If the lease can't be allocated, no answer is sent, as nothing would then
 * stop this VM from fencing the owner.
 */
void
lease_on_request(kf_traffic_t *t, kf_vm_id_t from, const kf_peer_lease *request)
{
	lease_t *lease;

	if (kf_flow_fenced(t->flows, from)) {
		peer_send_lease_ack(t, from, request, KF_LEASE_FENCED);
		return;
	}
	lease = lease_get(t, from, request->shard);
	if (lease == NULL)
		return;
	lease->request_received_us = t->now.mono_us;
	lease->release_sent = lease->release_sent || t->view->leaving;
	peer_send_lease_ack(t, from, request,
	    lease->release_sent ? KF_LEASE_RELEASED : KF_LEASE_GRANTED);
}

void
lease_on_ack(kf_traffic_t *t, kf_vm_id_t from, const kf_peer_lease *ack)
{
	lease_t *lease = lease_find(t, from, ack->shard);

	if (lease == NULL || lease->ended)
		return;
	if (ack->state == KF_LEASE_FENCED)
		t->fenced = true;
	if (ack->state == KF_LEASE_FENCED || ack->sequence != lease->sequence)
		return;
	lease->granted_request_sent_us = lease->request_sent_us;
	if (ack->state == KF_LEASE_RELEASED)
		lease->release_received = true;
}

bool
lease_cannot_have_fenced(
    const kf_traffic_t *t, kf_vm_id_t backup, uint32_t upstream)
{
	const kf_view_vm_t *vm = kf_view_vm(t->view, backup);
	const lease_t *lease;

	if (vm == NULL)
		return false;
	lease = lease_find(t, backup, kf_view_shard(vm, upstream));
	return lease != NULL && lease->ended && lease->cannot_have_fenced;
}

/* Returns true if this VM, as a backup, may fence an owner as dead. */
bool
lease_may_fence(const kf_traffic_t *t, kf_vm_id_t owner, uint32_t upstream)
{
	kf_liveness_t liveness = lease_liveness(t, owner, upstream);
	const kf_view_vm_t *vm = kf_view_vm(t->view, owner);
	const lease_t *lease;

	if (liveness == KF_VM_GONE)
		return true;
	if (liveness != KF_VM_DEAD || vm == NULL)
		return false;
	lease = lease_find(t, owner, kf_view_shard(vm, upstream));
	return lease == NULL ||
	    (!lease->release_sent &&
		t->now.mono_us - lease->request_received_us >=
		    FENCE_SILENCE_US);
}

/* Returns the lease of a VM if it is marked as ended, or NULL. */
static const lease_t *
lease_find_ended(const kf_traffic_t *t, kf_vm_id_t id, uint32_t upstream)
{
	const kf_view_vm_t *vm = kf_view_vm(t->view, id);
	const lease_t *lease;

	if (vm == NULL)
		return NULL;
	lease = lease_find(t, id, kf_view_shard(vm, upstream));
	return lease != NULL && lease->ended ? lease : NULL;
}

/*
 * Returns the liveness of a VM: gone if the VM has announced its end, otherwise
 * as in the view, which learns of the end later.
 */
kf_liveness_t
lease_liveness(const kf_traffic_t *t, kf_vm_id_t id, uint32_t upstream)
{
	if (lease_find_ended(t, id, upstream) != NULL)
		return KF_VM_GONE;
	return kf_view_liveness(t->view, id);
}

/* Returns when this VM learnt of the end of an incarnation, or -1. */
int64_t
lease_gone_since_us(const kf_traffic_t *t, kf_vm_id_t id, uint32_t upstream)
{
	const lease_t *lease = lease_find_ended(t, id, upstream);
	const kf_view_vm_t *vm = kf_view_vm(t->view, id);

	if (lease != NULL)
		return lease->ended_us;
	if (vm != NULL && vm->liveness == KF_VM_GONE)
		return vm->gone_since_us;
	return -1;
}

/* Fills in the VMs that have ended, for a handover; returns their number. */
u_int
lease_fill_ended(const kf_traffic_t *t, kf_peer_ended *out, u_int max)
{
	apr_hash_index_t *hi;
	u_int n = 0;

	for (hi = apr_hash_first(NULL, t->leases); hi != NULL && n < max;
	     hi = apr_hash_next(hi)) {
		const lease_t *lease = apr_hash_this_val(hi);

		if (!lease->ended)
			continue;
		out[n].id.vm = lease->key.vm;
		out[n].id.incarnation = lease->key.incarnation;
		out[n++].cannot_have_fenced = lease->cannot_have_fenced;
	}
	return n;
}

void
lease_on_end(kf_traffic_t *t, kf_vm_id_t from, const kf_peer_end *end)
{
	lease_t *lease = lease_get(t, from, end->shard);

	if (lease == NULL || lease->ended)
		return;
	lease->ended = true;
	lease->ended_us = t->now.mono_us;
	lease->cannot_have_fenced = !end->fenced;
}

void
lease_send_end(kf_traffic_t *t)
{
	apr_hash_index_t *hi;

	for (hi = apr_hash_first(NULL, t->leases); hi != NULL;
	     hi = apr_hash_next(hi)) {
		const lease_t *lease = apr_hash_this_val(hi);
		kf_vm_id_t id = { lease->key.vm, lease->key.incarnation };

		if (!lease->ended)
			peer_send_end(t, lease, kf_flow_fenced(t->flows, id));
	}
}

void
lease_delete_all(kf_traffic_t *t)
{
	apr_hash_index_t *hi;

	for (hi = apr_hash_first(NULL, t->leases); hi != NULL;
	     hi = apr_hash_next(hi))
		free(apr_hash_this_val(hi));
}
