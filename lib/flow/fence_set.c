#include <stdlib.h>
#include <xxhash.h>

#include "fence_set.h"

enum { FENCE_SET_MIN_CAPACITY = 16 };

/*
 * Returns the slot of the VM, or the empty slot where it belongs.  Incarnation
 * 0 marks an empty slot; no process has it.
 */
static kf_vm_id_t *
fence_set_slot(const fence_set_t *set, uint32_t vm)
{
	size_t i;

	i = XXH64(&vm, sizeof(vm), 0) & (set->capacity - 1);
	while (set->slots[i].incarnation != 0 && set->slots[i].vm != vm)
		i = (i + 1) & (set->capacity - 1);
	return &set->slots[i];
}

static kf_status_t
fence_set_grow(fence_set_t *set)
{
	fence_set_t bigger = { 0 };
	size_t i;

	bigger.capacity = FENCE_SET_MIN_CAPACITY;
	if (set->capacity != 0)
		bigger.capacity = set->capacity * 2;
	bigger.count = set->count;
	bigger.slots = calloc(bigger.capacity, sizeof(*bigger.slots));
	if (bigger.slots == NULL)
		return kf_status_set(
		    KF_ERR_NO_MEMORY, "out of memory for a fence");
	for (i = 0; i < set->capacity; i++) {
		if (set->slots[i].incarnation != 0)
			*fence_set_slot(&bigger, set->slots[i].vm) =
			    set->slots[i];
	}
	free(set->slots);
	*set = bigger;
	return KF_OK;
}

kf_status_t
fence_set_add(fence_set_t *set, kf_vm_id_t vm)
{
	kf_vm_id_t *slot;

	if (vm.incarnation == 0)
		return kf_status_set(
		    KF_ERR_INVALID, "cannot fence a VM with incarnation 0");
	if (set->count * 2 >= set->capacity && fence_set_grow(set) != KF_OK)
		return KF_ERR_NO_MEMORY;
	slot = fence_set_slot(set, vm.vm);
	if (slot->incarnation == 0)
		set->count++;
	if (slot->incarnation < vm.incarnation)
		*slot = vm;
	return KF_OK;
}

bool
fence_set_has(const fence_set_t *set, kf_vm_id_t vm)
{
	if (set->count == 0 || vm.incarnation == 0)
		return false;
	return vm.incarnation <= fence_set_slot(set, vm.vm)->incarnation;
}

void
fence_set_clear(fence_set_t *set)
{
	free(set->slots);
	*set = (fence_set_t){ 0 };
}
