#ifndef KF_CAPACITY_H
#define KF_CAPACITY_H

#include "kf/directory.h"

/*
 * How many requests a service can have in progress, from the answer times that
 * this VM sees.
 *
 * Load patterns: requests that take long for their goal, and upstreams of which
 * a part is slow, get a lower limit; requests whose goal is far longer than any
 * wait at an upstream may fill the upstreams further.  With few answers, or
 * without a goal, the limit is FULL_FLOWS_PER_SLOT.
 */

/* Counts the time from a request to its answer. */
void capacity_add_answer(kf_pool_t *pool, int64_t took_us, int64_t now_us);
/* Notes that a route with this latency goal is in use; 0: it has none. */
void capacity_add_goal(kf_pool_t *pool, int64_t goal_us, int64_t now_us);
/* Returns the mean of the recent answer times, or 0 with too few answers. */
double capacity_answer_us(const kf_pool_t *pool, int64_t now_us);
/* Returns the time that a request occupies a slot, or 0 if it is unknown. */
double capacity_service_us(
    const kf_pool_t *pool, uint64_t slots, int64_t now_us);
/* Returns the requests in progress for each slot at which the service is full:
 * 1 to FULL_FLOWS_PER_SLOT. */
double capacity_flows_per_slot(
    const kf_pool_t *pool, uint64_t slots, int64_t now_us);
/* Returns true if a request that an upstream accepts is answered within the
 * strictest goal in use even if it is the last in the upstream's queue. */
bool capacity_has_ample_time(
    const kf_pool_t *pool, uint64_t slots, int64_t now_us);

#endif
