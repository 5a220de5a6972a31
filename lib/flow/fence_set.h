#ifndef KF_FENCE_SET_H
#define KF_FENCE_SET_H

#include <stdbool.h>
#include <stddef.h>

#include "kf/token.h"

/*
 * Highest fenced incarnation of each VM.  A hash table with open addressing
 * that never shrinks, since fences are never lifted.
 */
typedef struct fence_set {
	kf_vm_id_t *slots;
	size_t capacity; /* power of two, or 0 */
	size_t count;
} fence_set_t;

kf_status_t fence_set_add(fence_set_t *set, kf_vm_id_t vm);
bool fence_set_has(const fence_set_t *set, kf_vm_id_t vm);
void fence_set_clear(fence_set_t *set);

#endif
