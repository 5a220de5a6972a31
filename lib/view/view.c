#include <stdlib.h>
#include <string.h>

#include "kf/placement.h"
#include "kf/view.h"

struct kf_declref {
	uint32_t refs; /* atomic */
	kf_declaration_t *decl;
};

kf_declref_t *
kf_declref_new(kf_declaration_t *decl)
{
	kf_declref_t *ref;

	ref = calloc(1, sizeof(*ref));
	if (ref == NULL)
		return NULL;
	ref->refs = 1;
	ref->decl = decl;
	return ref;
}

kf_declref_t *
kf_declref_retain(kf_declref_t *ref)
{
	__atomic_fetch_add(&ref->refs, 1, __ATOMIC_ACQ_REL);
	return ref;
}

void
kf_declref_release(kf_declref_t *ref)
{
	if (ref == NULL ||
	    __atomic_fetch_sub(&ref->refs, 1, __ATOMIC_ACQ_REL) != 1)
		return;
	kf_declaration_delete(ref->decl);
	free(ref);
}

const kf_declaration_t *
kf_declref_get(const kf_declref_t *ref)
{
	return ref->decl;
}

static int
vm_compare(const void *a, const void *b)
{
	const kf_view_vm_t *x = a, *y = b;

	if (x->id.vm != y->id.vm)
		return x->id.vm < y->id.vm ? -1 : 1;
	return (x->id.incarnation > y->id.incarnation) -
	    (x->id.incarnation < y->id.incarnation);
}

static bool
vm_may_own(const kf_view_vm_t *vm)
{
	return !vm->leaving &&
	    (vm->liveness == KF_VM_ALIVE || vm->liveness == KF_VM_SUSPECT);
}

/* The two best scores seen so far. */
typedef struct top_two {
	uint32_t first;
	uint32_t second;
	uint64_t first_score;
	uint64_t second_score;
} top_two_t;

static void
top_two_add(top_two_t *top, uint32_t index, uint64_t score)
{
	if (top->first == KF_VIEW_NONE || score > top->first_score) {
		top->second = top->first;
		top->second_score = top->first_score;
		top->first = index;
		top->first_score = score;
	} else if (top->second == KF_VIEW_NONE || score > top->second_score) {
		top->second = index;
		top->second_score = score;
	}
}

/* A VM that may own upstreams. */
typedef struct eligible {
	uint32_t zone;
	uint32_t index; /* into vms */
} eligible_t;

typedef struct eligible_list {
	uint32_t count;
	eligible_t *vms; /* ordered by zone, then index */
} eligible_list_t;

static int
eligible_compare(const void *a, const void *b)
{
	const eligible_t *x = a, *y = b;

	if (x->zone != y->zone)
		return x->zone < y->zone ? -1 : 1;
	return (x->index > y->index) - (x->index < y->index);
}

static kf_status_t
eligible_fill(eligible_list_t *list, const kf_view_t *view)
{
	uint32_t i;

	list->count = 0;
	list->vms = calloc(view->vm_count + 1, sizeof(*list->vms));
	if (list->vms == NULL)
		return KF_ERR_NO_MEMORY;
	for (i = 0; i < view->vm_count; i++) {
		if (vm_may_own(&view->vms[i]))
			list->vms[list->count++] = (eligible_t){
				.zone = view->vms[i].zone,
				.index = i,
			};
	}
	qsort(list->vms, list->count, sizeof(*list->vms), eligible_compare);
	return KF_OK;
}

/* Position of the first VM of the zone, or where it would be inserted. */
static uint32_t
eligible_find(const eligible_list_t *list, uint32_t zone)
{
	uint32_t low = 0, high = list->count, mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		if (list->vms[mid].zone < zone)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static void
top_two_add_vm(top_two_t *top, const kf_view_t *view, uint32_t vm, uint32_t id)
{
	kf_vm_id_t vm_id = view->vms[vm].id;

	top_two_add(
	    top, vm, kf_rendezvous_score(vm_id.vm, vm_id.incarnation, id));
}

/*
 * Chooses the two VMs with the highest scores in the zone of the upstream.  VMs
 * of other zones are scored only if the zone has fewer than two.
 */
static void
view_assign(kf_view_t *view, const eligible_list_t *list, uint32_t index)
{
	const kf_upstream_t *upstream = &view->decl->upstreams[index];
	top_two_t local = { .first = KF_VIEW_NONE, .second = KF_VIEW_NONE };
	top_two_t any = local;
	uint32_t i;

	for (i = eligible_find(list, upstream->zone);
	     i < list->count && list->vms[i].zone == upstream->zone; i++)
		top_two_add_vm(&local, view, list->vms[i].index, upstream->id);
	for (i = 0; local.second == KF_VIEW_NONE && i < list->count; i++)
		top_two_add_vm(&any, view, list->vms[i].index, upstream->id);
	if (local.first == KF_VIEW_NONE)
		local = any;
	/* If the zone has a single VM, the backup is in another zone. */
	if (local.second == KF_VIEW_NONE)
		local.second =
		    any.first == local.first ? any.second : any.first;
	view->upstreams[index].owner = local.first;
	view->upstreams[index].backup = local.second;
}

static kf_status_t
view_assign_all(kf_view_t *view)
{
	eligible_list_t list;
	uint32_t i;

	if (eligible_fill(&list, view) != KF_OK)
		return KF_ERR_NO_MEMORY;
	for (i = 0; i < view->decl->upstream_count; i++)
		view_assign(view, &list, i);
	free(list.vms);
	return KF_OK;
}

/* Changes since the previous view to the VMs that may own upstreams. */
typedef struct fleet_change {
	uint32_t *new_index;	   /* by old index; KF_VIEW_NONE if dropped */
	eligible_list_t added_vms; /* not eligible before, or in another zone */
} fleet_change_t;

static bool
vm_still_eligible(const kf_view_vm_t *a, const kf_view_vm_t *b)
{
	return vm_compare(a, b) == 0 && a->zone == b->zone && vm_may_own(a) &&
	    vm_may_own(b);
}

/* Merges the two VM lists, which are sorted in the same order. */
static void
fleet_change_fill(
    fleet_change_t *change, const kf_view_t *view, const kf_view_t *previous)
{
	uint32_t old = 0, i;

	for (i = 0; i < view->vm_count; i++) {
		const kf_view_vm_t *vm = &view->vms[i];

		while (old < previous->vm_count &&
		    vm_compare(&previous->vms[old], vm) < 0)
			change->new_index[old++] = KF_VIEW_NONE;
		if (old < previous->vm_count &&
		    vm_still_eligible(&previous->vms[old], vm)) {
			change->new_index[old++] = i;
			continue;
		}
		if (vm_may_own(vm))
			change->added_vms.vms[change->added_vms.count++] =
			    (eligible_t){ .zone = vm->zone, .index = i };
	}
	while (old < previous->vm_count)
		change->new_index[old++] = KF_VIEW_NONE;
	qsort(change->added_vms.vms, change->added_vms.count,
	    sizeof(*change->added_vms.vms), eligible_compare);
}

static uint32_t
map_vm_index(const fleet_change_t *change, uint32_t old)
{
	return old == KF_VIEW_NONE ? KF_VIEW_NONE : change->new_index[old];
}

/*
 * Updates the owner and backup of the previous view.  As long as both are still
 * eligible and in its zone, only VMs added to the zone can outscore them.
 * Returns false if the upstream has to be assigned from scratch.
 */
static bool
view_update_assignment(kf_view_t *view, const fleet_change_t *change,
    const kf_view_upstream_t *previous, uint32_t index)
{
	const kf_upstream_t *upstream = &view->decl->upstreams[index];
	const eligible_list_t *added_vms = &change->added_vms;
	uint32_t owner = map_vm_index(change, previous->owner);
	uint32_t backup = map_vm_index(change, previous->backup);
	top_two_t top = { .first = KF_VIEW_NONE, .second = KF_VIEW_NONE };
	uint32_t i = eligible_find(added_vms, upstream->zone);

	if (owner == KF_VIEW_NONE || backup == KF_VIEW_NONE ||
	    view->vms[owner].zone != upstream->zone ||
	    view->vms[backup].zone != upstream->zone)
		return false;
	view->upstreams[index].owner = owner;
	view->upstreams[index].backup = backup;
	if (i == added_vms->count || added_vms->vms[i].zone != upstream->zone)
		return true;
	top_two_add_vm(&top, view, owner, upstream->id);
	top_two_add_vm(&top, view, backup, upstream->id);
	for (; i < added_vms->count && added_vms->vms[i].zone == upstream->zone;
	     i++)
		top_two_add_vm(
		    &top, view, added_vms->vms[i].index, upstream->id);
	view->upstreams[index].owner = top.first;
	view->upstreams[index].backup = top.second;
	return true;
}

/* Fills and sorts list only if an upstream has to be assigned from scratch. */
static kf_status_t
view_assign_changed(kf_view_t *view, const kf_view_t *previous,
    eligible_list_t *list, const fleet_change_t *change)
{
	uint32_t i;

	for (i = 0; i < view->decl->upstream_count; i++) {
		if (view_update_assignment(
			view, change, &previous->upstreams[i], i))
			continue;
		if (list->vms == NULL && eligible_fill(list, view) != KF_OK)
			return KF_ERR_NO_MEMORY;
		view_assign(view, list, i);
	}
	return KF_OK;
}

static kf_status_t
view_reassign(kf_view_t *view, const kf_view_t *previous)
{
	kf_status_t status = KF_ERR_NO_MEMORY;
	eligible_list_t list = { 0 };
	fleet_change_t change = { 0 };

	change.new_index =
	    calloc(previous->vm_count + 1, sizeof(*change.new_index));
	change.added_vms.vms =
	    calloc(view->vm_count + 1, sizeof(*change.added_vms.vms));
	if (change.new_index != NULL && change.added_vms.vms != NULL) {
		fleet_change_fill(&change, view, previous);
		status = view_assign_changed(view, previous, &list, &change);
	}
	free(change.new_index);
	free(change.added_vms.vms);
	free(list.vms);
	return status;
}

static kf_status_t
view_assign_owners(kf_view_t *view, const kf_view_t *previous)
{
	if (previous != NULL && previous->decl == view->decl)
		return view_reassign(view, previous);
	return view_assign_all(view);
}

static void
view_copy_digests(kf_view_t *view, const kf_view_input_t *input)
{
	const kf_view_digest_t *digest;
	uint32_t i;

	for (i = 0; input->digest != NULL && i < view->decl->upstream_count;
	     i++) {
		digest = input->digest(input->ctx, view->decl->upstreams[i].id);
		if (digest != NULL)
			view->upstreams[i].digest = *digest;
	}
}

static void
view_count_upstreams(kf_view_t *view)
{
	uint32_t i;

	for (i = 0; i < view->decl->upstream_count; i++) {
		kf_view_service_t *service =
		    &view->services[view->decl->upstreams[i].service];

		service->upstreams++;
		if (view->upstreams[i].digest.flags & KF_DIGEST_EJECTED)
			service->ejected++;
	}
}

static kf_status_t
view_fill(kf_view_t *view, const kf_view_input_t *input)
{
	uint32_t i;

	view->decl_ref = kf_declref_retain(input->decl);
	view->decl = kf_declref_get(input->decl);
	view->keys = kf_keyring_copy(input->keys);
	view->vms = calloc(input->vm_count + 1, sizeof(*view->vms));
	view->upstreams =
	    calloc(view->decl->upstream_count + 1, sizeof(*view->upstreams));
	view->services =
	    calloc(view->decl->service_count + 1, sizeof(*view->services));
	if (view->keys == NULL || view->vms == NULL ||
	    view->upstreams == NULL || view->services == NULL)
		return KF_ERR_NO_MEMORY;
	memcpy(view->vms, input->vms, input->vm_count * sizeof(*view->vms));
	view->vm_count = input->vm_count;
	qsort(view->vms, view->vm_count, sizeof(*view->vms), vm_compare);
	view->self_index = KF_VIEW_NONE;
	for (i = 0; i < view->vm_count; i++) {
		if (view->vms[i].id.vm == view->self.vm &&
		    view->vms[i].id.incarnation == view->self.incarnation)
			view->self_index = i;
	}
	if (view->self_index == KF_VIEW_NONE)
		return kf_status_set(
		    KF_ERR_INVALID, "this VM is not in the list of VMs");
	view->leaving = view->vms[view->self_index].leaving;
	if (view_assign_owners(view, input->previous) != KF_OK)
		return KF_ERR_NO_MEMORY;
	view_copy_digests(view, input);
	view_count_upstreams(view);
	return KF_OK;
}

kf_view_t *
kf_view_new(const kf_view_input_t *input)
{
	kf_view_t *view;

	view = calloc(1, sizeof(*view));
	if (view == NULL)
		return NULL;
	view->refs = 1;
	view->self = input->self;
	view->settled = input->settled;
	view->declaration_version = input->declaration_version;
	if (view_fill(view, input) != KF_OK) {
		kf_view_release(view);
		return NULL;
	}
	return view;
}

kf_view_t *
kf_view_retain(kf_view_t *view)
{
	__atomic_fetch_add(&view->refs, 1, __ATOMIC_ACQ_REL);
	return view;
}

void
kf_view_release(kf_view_t *view)
{
	if (view == NULL ||
	    __atomic_fetch_sub(&view->refs, 1, __ATOMIC_ACQ_REL) != 1)
		return;
	kf_declref_release(view->decl_ref);
	kf_keyring_delete(view->keys);
	free(view->vms);
	free(view->upstreams);
	free(view->services);
	free(view);
}

const kf_view_vm_t *
kf_view_vm(const kf_view_t *view, kf_vm_id_t id)
{
	kf_view_vm_t key = { .id = id };

	return bsearch(
	    &key, view->vms, view->vm_count, sizeof(*view->vms), vm_compare);
}

kf_liveness_t
kf_view_liveness(const kf_view_t *view, kf_vm_id_t id)
{
	const kf_view_vm_t *vm;
	uint32_t low = 0, high = view->vm_count, mid;

	vm = kf_view_vm(view, id);
	if (vm != NULL)
		return vm->liveness;
	/* The last entry of a VM has its highest incarnation. */
	while (low < high) {
		mid = low + (high - low) / 2;
		if (view->vms[mid].id.vm <= id.vm)
			low = mid + 1;
		else
			high = mid;
	}
	if (low > 0 && view->vms[low - 1].id.vm == id.vm &&
	    view->vms[low - 1].id.incarnation > id.incarnation)
		return KF_VM_GONE;
	return KF_VM_UNKNOWN;
}

uint32_t
kf_view_shard(const kf_view_vm_t *vm, uint32_t upstream_id)
{
	/* Identifiers are hashes, so the remainder spreads evenly. */
	return vm->shards > 1 ? upstream_id % vm->shards : 0;
}

kf_addr_t
kf_view_shard_addr(const kf_view_vm_t *vm, uint32_t upstream_id)
{
	kf_addr_t addr = vm->peer_addr;

	addr.port = (uint16_t)(addr.port + kf_view_shard(vm, upstream_id));
	return addr;
}
