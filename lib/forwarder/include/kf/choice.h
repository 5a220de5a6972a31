#ifndef KF_CHOICE_H
#define KF_CHOICE_H

#include "kf/conntrack.h"
#include "kf/directory.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_choice - selects the upstream of a new flow
 *
 * DESCRIPTION
 *	Selects the eligible upstream with the best health and, among those,
 *	the lowest load per slot.  A VM knows only its own flows and assumes
 *	that every other VM of its zone has as many on each upstream.
 *
 *	A cold upstream whose openings are limited is eligible only while this
 *	VM has an allowance left for it.
 *
 *	Upstreams that tie are used in turn.  Each VM starts at a different one,
 *	by its rank, so that VMs do not all select the same upstream.
 */

/* Rank of this VM among the VMs of its availability zone. */
typedef struct kf_position {
	uint32_t rank; /* 0 to vm_count - 1 */
	uint32_t vm_count;
} kf_position_t;

typedef struct kf_choice {
	kf_target_t *target;  /* NULL: none is eligible */
	uint32_t eligible;    /* eligible upstreams that were compared */
	uint32_t cold_passed; /* cold ones without allowance */
	bool all_zones; /* the own zone was not preferred, as it is full */
	kf_health_t health;
	double load; /* estimated flows per slot */
} kf_choice_t;

/* Returns true if a flow's SYN was sent to the upstream with this token; flow
 * may be NULL. */
bool kf_flow_has_tried(const kf_flow_t *flow, uint32_t token);

/* Estimates the flows per slot that all VMs of the zone have on an upstream. */
double kf_estimate_load(
    const kf_target_t *target, kf_position_t position, int64_t now_us);

/* Flows and slots of a service's upstreams, as this VM knows them. */
typedef struct kf_pool_usage {
	uint64_t flows; /* of this VM: opening, or awaiting an answer */
	uint64_t slots; /* of upstreams that are neither ejected nor
			 * limited because they are cold */
} kf_pool_usage_t;

/* Returns the name of the service of a pool, which has an upstream. */
const char *kf_pool_service_name(const kf_pool_t *pool);

kf_pool_usage_t kf_pool_get_usage(const kf_pool_t *pool, int64_t now_us);
/* The same for the upstreams of this VM's zone only. */
kf_pool_usage_t kf_pool_get_own_zone_usage(
    const kf_pool_t *pool, int64_t now_us);

/*
 * Skips upstreams that flow has tried already; flow may be NULL.  The flow is
 * for another zone if zone is not 0; upstreams outside of it are used if they
 * have better health.  With zone 0 upstreams of the own zone are preferred
 * until they have one flow for each slot more than others.
 */
kf_choice_t kf_choose(kf_pool_t *pool, const kf_flow_t *flow,
    kf_position_t position, uint64_t zone, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
