#include <math.h>

#include "forwarder_internal.h"

/* Flows are refused only if there is this much more urgent demand, as a share
 * of the service's demand and as a number of flows in DEMAND_DECAY_US, so that
 * a route with occasional requests causes no refusals.  The share is small
 * because refused clients try three times at once, so under overload urgent
 * flows are a small part of the new ones. */
static const double urgent_min_share = 0.005;
static const double urgent_min_flows = 3;

static size_t
priority_of(const kf_route_t *route)
{
	return route->priority < KF_PRIORITIES ? route->priority
					       : KF_PRIORITIES - 1;
}

/* Returns the factor by which demand has decayed since its last update. */
static double
demand_decay_factor(const kf_pool_t *pool, int64_t now_us)
{
	return exp(
	    -(double)(now_us - pool->demand_updated_us) / DEMAND_DECAY_US);
}

double
admission_demand_per_s(const kf_pool_t *pool, int64_t now_us)
{
	double demand = 0;
	size_t i;

	for (i = 0; i < KF_PRIORITIES; i++)
		demand += pool->demand[i];
	return demand * demand_decay_factor(pool, now_us);
}

/* Decays the demand and adds a new flow. */
static void
add_demand(kf_pool_t *pool, size_t priority, int64_t now_us)
{
	double factor = demand_decay_factor(pool, now_us);
	size_t i;

	for (i = 0; i < KF_PRIORITIES; i++)
		pool->demand[i] *= factor;
	pool->demand[priority] += 1;
	pool->demand_updated_us = now_us;
}

/* Returns true if the service has enough demand of a more urgent priority that
 * a flow of this one may be refused. */
static bool
has_more_urgent_demand(const kf_pool_t *pool, size_t priority)
{
	double urgent = 0, all = 0;
	size_t i;

	for (i = 0; i < KF_PRIORITIES; i++) {
		all += pool->demand[i];
		if (i < priority)
			urgent += pool->demand[i];
	}
	return urgent >= urgent_min_flows && urgent >= all * urgent_min_share;
}

/*
 * Returns the number of flows that this VM may have at the upstreams.  Its
 * share of their capacity equals its share of the demand at all VMs.  The
 * current flows of other VMs are not used: they are known half a second late,
 * so that all VMs would refuse and then admit flows at the same time.  Demand
 * changes slowly.
 */
static double
flow_limit(
    const kf_pool_t *pool, const kf_pool_usage_t *pool_usage, int64_t now_us)
{
	double demand = admission_demand_per_s(pool, now_us);
	double limit = (double)pool_usage->slots * FULL_FLOWS_PER_SLOT *
	    demand / (demand + pool->other_vms_demand_per_s);

	return limit < 1 ? 1 : limit;
}

/* Updates the time since which this VM has reached its flow limit. */
static void
update_full_since(kf_pool_t *pool, int64_t now_us)
{
	kf_pool_usage_t pool_usage = kf_pool_get_usage(pool, now_us);
	bool full = pool_usage.slots > 0 &&
	    (double)pool_usage.flows >= flow_limit(pool, &pool_usage, now_us);

	if (!full)
		pool->full_since_us = 0;
	else if (pool->full_since_us == 0)
		pool->full_since_us = now_us;
}

/*
 * Returns true if the upstreams have been full for longer than they take to
 * clear a backlog, such as the one after a restart of all VMs, which must not
 * cause refusals.  For OVERLOAD_REPEAT_US after a refusal, full upstreams count
 * as overloaded at once.
 */
static bool
is_overloaded(const kf_pool_t *pool, int64_t now_us)
{
	if (pool->full_since_us == 0)
		return false;
	return now_us - pool->full_since_us >= OVERLOAD_AFTER_US ||
	    (pool->refused_us != 0 &&
		now_us - pool->refused_us < OVERLOAD_REPEAT_US);
}

bool
admission_refuses(kf_forwarder_t *f, const kf_route_t *route, uint64_t service,
    int64_t now_us)
{
	kf_pool_t *pool = kf_directory_pool(f->directory, service);
	size_t priority = priority_of(route);

	if (pool == NULL)
		return false;
	add_demand(pool, priority, now_us);
	update_full_since(pool, now_us);
	if (!is_overloaded(pool, now_us) ||
	    !has_more_urgent_demand(pool, priority))
		return false;
	pool->refused_us = now_us;
	return true;
}
