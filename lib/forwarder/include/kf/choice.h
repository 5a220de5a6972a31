#ifndef KF_CHOICE_H
#define KF_CHOICE_H

#include "kf/conntrack.h"
#include "kf/directory.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_choice - the upstream of a new flow
 *
 * DESCRIPTION
 *	Takes the healthiest eligible upstream with the lowest load for its
 *	slots.  Each VM knows its own flows only and takes its zone's VMs to
 *	have as many; VMs do not meet on one upstream because each takes equal
 *	candidates from a position of its own, one after the other.
 */

/* Where this VM stands among those of its availability zone. */
typedef struct kf_position {
	uint32_t rank; /* 0 to vm_count - 1 */
	uint32_t vm_count;
} kf_position_t;

typedef struct kf_choice {
	kf_target_t *target; /* NULL: none is eligible */
	uint32_t eligible;   /* candidates looked at */
	kf_health_t health;
	double load; /* estimated flows for each slot */
} kf_choice_t;

/* Flows for each slot that an upstream is taken to have. */
double kf_estimate_load(
    const kf_target_t *target, kf_position_t position, int64_t now_us);

/* What a service's upstreams have room for, as this VM sees it. */
typedef struct kf_room {
	uint64_t flows; /* of this VM */
	uint64_t slots; /* of upstreams that are not ejected */
} kf_room_t;

kf_room_t kf_pool_room(const kf_pool_t *pool, int64_t now_us);

/* Upstreams that flow has tried already are left out; flow may be NULL. */
kf_choice_t kf_choose(kf_pool_t *pool, const kf_flow_t *flow,
    kf_position_t position, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
