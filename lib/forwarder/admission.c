#include <math.h>

#include "capacity.h"
#include "forwarder_internal.h"

/* Flows are refused only if there is this much more urgent demand, as a share
 * of the service's demand and as a number of flows in DEMAND_DECAY_US, so that
 * a route with occasional requests causes no refusals.  The share is small
 * because refused clients try three times at once, so under overload urgent
 * flows are a small part of the new ones. */
static const double urgent_min_share = 0.005;
static const double urgent_min_flows = 3;
/* Share of repeated SYNs in the demand that shows a backlog, and the mean load
 * at which a backlog ends. */
static const double backlog_min_share = 0.05;
static const double backlog_end_mean = 0.33;
/* Share of the demand from which flows of the most urgent route are a flood. */
static const double flood_min_share = 0.5;
/* Means of the share of the flow limit in use from which flows are refused. */
static const double mean_limit = 0.6;
/* The same after a refusal, if most requests come on open flows: about one
 * request for each slot and those on their way. */
static const double reuse_mean_limit = 0.45;
/* The same where all waits at upstreams are within the goals: a mean of 2.5
 * requests for each slot keeps nearly all slots at work. */
static const double ample_mean_limit = 0.85;
/* The same for the upstreams of the own zone alone, which may be full while
 * those of other zones are not.  It is higher, so that callers of all zones
 * are treated alike unless upstreams would reject their requests. */
static const double own_zone_mean_limit = 0.9;
/* Demand a second from which a VM's earlier demand is known well enough to
 * compute its share; a lower one varies much by chance. */
static const double min_earlier_demand_per_s = 10;

/* Times after its first SYN at which a client sends copies. */
static const int64_t syn_copy_us[] = { 0, 200000, 600000 };

static size_t
priority_of(const kf_route_t *route)
{
	return route->priority < KF_PRIORITIES ? route->priority
					       : KF_PRIORITIES - 1;
}

/* Returns the factor by which a value has decayed since its last update. */
static double
decay_factor(int64_t updated_us, int64_t now_us, int64_t time_constant_us)
{
	return exp(-(double)(now_us - updated_us) / (double)time_constant_us);
}

static double
demand_decay_factor(const kf_pool_t *pool, int64_t now_us)
{
	return decay_factor(pool->demand_updated_us, now_us, DEMAND_DECAY_US);
}

static double
sum_demand(const kf_pool_t *pool)
{
	double demand = 0;
	size_t i;

	for (i = 0; i < KF_PRIORITIES; i++)
		demand += pool->demand[i];
	return demand;
}

double
admission_demand_per_s(const kf_pool_t *pool, int64_t now_us)
{
	return sum_demand(pool) * demand_decay_factor(pool, now_us);
}

double
admission_all_demand_per_s(const kf_pool_t *pool, int64_t now_us)
{
	return admission_demand_per_s(pool, now_us) +
	    pool->other_vms_demand_per_s;
}

static void
decay_demand(kf_pool_t *pool, int64_t now_us)
{
	double factor = demand_decay_factor(pool, now_us);
	size_t i;

	for (i = 0; i < KF_PRIORITIES; i++)
		pool->demand[i] *= factor;
	pool->first_requests *= factor;
	pool->later_requests *= factor;
	pool->repeated_syns *= factor;
	pool->demand_updated_us = now_us;
}

/* Adds a new flow, or a request on an open one. */
static void
add_demand(kf_pool_t *pool, size_t priority, int64_t now_us)
{
	if (pool->first_demand_us == 0)
		pool->first_demand_us = now_us;
	decay_demand(pool, now_us);
	pool->demand[priority] += 1;
}

static double
more_urgent_demand(const kf_pool_t *pool, size_t priority)
{
	double demand = 0;
	size_t i;

	for (i = 0; i < priority; i++)
		demand += pool->demand[i];
	return demand;
}

/* Returns true if the service has enough demand of a more urgent priority that
 * a flow of this one may be refused. */
static bool
has_more_urgent_demand(const kf_pool_t *pool, size_t priority)
{
	double urgent = more_urgent_demand(pool, priority);

	return urgent >= urgent_min_flows &&
	    urgent >= sum_demand(pool) * urgent_min_share;
}

double
admission_report_demand(kf_pool_t *pool, int64_t now_us)
{
	pool->earlier_demand_per_s = pool->reported_demand_per_s;
	pool->reported_demand_per_s = admission_demand_per_s(pool, now_us);
	return pool->reported_demand_per_s;
}

/*
 * Returns this VM's demand of about the time at which that of the other VMs was
 * measured.  While a flood rises, the present demand compared with theirs of
 * half a second ago would give each VM a share several times too large.
 */
static double
shared_demand_per_s(const kf_pool_t *pool, int64_t now_us)
{
	return pool->earlier_demand_per_s >= min_earlier_demand_per_s
	    ? pool->earlier_demand_per_s
	    : admission_demand_per_s(pool, now_us);
}

/*
 * Returns this VM's share of the flows that all VMs may have at the upstreams.
 * It equals the VM's share of the demand at all VMs, but leaves the VM at least
 * one flow.  The current flows of other VMs are not used: they are known half a
 * second late, so that all VMs would refuse and then admit flows at the same
 * time.  Demand changes slowly.
 */
static double
capacity_share(const kf_pool_t *pool, double all_flows, int64_t now_us)
{
	double demand = shared_demand_per_s(pool, now_us);
	double share = demand / (demand + pool->other_vms_demand_per_s);

	return share * all_flows < 1 ? 1 / all_flows : share;
}

/* Returns a mean after LOAD_MEAN_US with this value.  Above 1 the mean does not
 * grow, so that the end of a flood shows soon. */
static double
update_mean_load(double mean, double current, double decay)
{
	double capped = current < 1 ? current : 1;

	return capped + (mean - capped) * decay;
}

/*
 * Returns the flows at the upstreams of the own zone as a share of their limit,
 * assuming that every VM of the zone has as many as this one.
 */
static double
own_zone_load(const kf_forwarder_t *f, const kf_pool_t *pool, double per_slot,
    int64_t now_us)
{
	kf_pool_usage_t own = kf_pool_get_own_zone_usage(pool, now_us);

	if (own.slots == 0)
		return 0;
	return (double)own.flows * f->position.vm_count /
	    ((double)own.slots * per_slot);
}

/*
 * Updates the flows of this VM and their means as shares of the limits, and the
 * time since which the limit is reached.
 */
static void
update_load(const kf_forwarder_t *f, kf_pool_t *pool, int64_t now_us)
{
	kf_pool_usage_t usage = kf_pool_get_usage(pool, now_us);
	kf_pool_load_t *load = &pool->load;
	double decay = decay_factor(load->updated_us, now_us, LOAD_MEAN_US);
	double per_slot, all_flows, share, most_flows;

	if (usage.slots == 0) {
		*load = (kf_pool_load_t){ .updated_us = now_us };
		return;
	}
	per_slot = capacity_flows_per_slot(pool, usage.slots, now_us);
	all_flows = (double)usage.slots * per_slot;
	share = capacity_share(pool, all_flows, now_us);
	load->flows_per_slot = per_slot;
	load->limit = all_flows * share;
	load->current = (double)usage.flows / load->limit;
	load->mean = update_mean_load(load->mean, load->current, decay);
	/* Not as a share of the limit, which follows from these flows. */
	most_flows = (double)usage.slots * FULL_FLOWS_PER_SLOT;
	load->mean_flows = most_flows *
	    update_mean_load(load->mean_flows / most_flows,
		(double)usage.flows / share / most_flows, decay);
	load->mean_own_zone = update_mean_load(load->mean_own_zone,
	    own_zone_load(f, pool, per_slot, now_us), decay);
	load->ample_time = capacity_has_ample_time(pool, usage.slots, now_us);
	load->updated_us = now_us;
	if (load->current < 1)
		load->full_since_us = 0;
	else if (load->full_since_us == 0)
		load->full_since_us = now_us;
}

/* Returns true if most requests come on flows that are open already. */
static bool
reuses_flows(const kf_pool_t *pool)
{
	return pool->later_requests > pool->first_requests;
}

/* Returns true if an event was seen and is at most this old. */
static bool
is_recent(int64_t event_us, int64_t now_us, int64_t age_us)
{
	return event_us != 0 && now_us - event_us < age_us;
}

bool
admission_is_overloaded(const kf_pool_t *pool, int64_t now_us)
{
	return pool->load.current >= 1 || pool->load.mean >= reuse_mean_limit ||
	    is_recent(pool->refused_us, now_us, REFUSING_US);
}

/*
 * Updates whether the flows are a backlog that the upstreams work off.  Clients
 * send one after VMs or paths have failed, and SYNs are sent repeatedly then.
 * In a flood upstreams answer SYNs at once, and few are repeated.  A backlog
 * ends when the upstreams have worked it off, or must have.
 */
static void
update_backlog(kf_pool_t *pool, int64_t now_us)
{
	if (pool->repeated_syns >= sum_demand(pool) * backlog_min_share) {
		pool->backlog = true;
		pool->backlog_seen_us = now_us;
	} else if (pool->load.mean < backlog_end_mean ||
	    now_us - pool->backlog_seen_us >= BACKLOG_MAX_US)
		pool->backlog = false;
}

/*
 * Returns true if this VM knows its load.  It does not know its share of the
 * demand shortly after its first flow of the service.  When the number of VMs
 * changes, routers move flows, and the ends of those that have left are not
 * seen here.  Clients may acknowledge a short answer only with the flow's next
 * packet; flows then seem to await it for longer than the route's goal, also
 * while the service has little load.
 */
static bool
is_load_known(const kf_forwarder_t *f, const kf_pool_t *pool,
    const kf_route_t *route, int64_t now_us)
{
	int64_t goal_us = route->latency_goal_us > 0 ? route->latency_goal_us
						     : LATE_DEFAULT_US;

	return now_us - pool->first_demand_us >= BACKLOG_FULL_US &&
	    !is_recent(f->vm_count_changed_us, now_us,
		REROUTE_GUARD_US + LOAD_IDLE_US) &&
	    pool->calm_answers >= MIN_CALM_ANSWERS &&
	    pool->calm_answer_us <= (double)goal_us;
}

/* Returns true if a service that is full for a short time is not overloaded. */
static bool
is_tolerant(const kf_forwarder_t *f, const kf_pool_t *pool,
    const kf_route_t *route, int64_t now_us)
{
	return pool->backlog || !is_load_known(f, pool, route, now_us);
}

/* Returns true if a client that has sent this many copies of its SYN has waited
 * so long that the answer would come after the route's goal. */
static bool
is_past_goal(const kf_pool_t *pool, const kf_route_t *route, uint32_t copies)
{
	size_t max = sizeof(syn_copy_us) / sizeof(syn_copy_us[0]) - 1;
	int64_t waited_us = syn_copy_us[copies < max ? copies : max];

	return copies > 0 && route->latency_goal_us > 0 &&
	    (double)waited_us + pool->calm_answer_us >
	    (double)route->latency_goal_us;
}

/*
 * Returns true if the upstreams have more requests than they can serve in time.
 * A backlog, such as the one after a restart of all VMs, must not cause
 * refusals.  Once flows have been refused, requests on open flows, which cannot
 * be refused, must leave room before another flow is admitted, because it will
 * bring further requests for as long as it is open.
 */
static bool
is_overloaded(const kf_forwarder_t *f, const kf_pool_t *pool,
    const kf_route_t *route, int64_t now_us)
{
	const kf_pool_load_t *load = &pool->load;
	bool refusing = is_recent(pool->refused_us, now_us, REFUSING_US);

	if (is_tolerant(f, pool, route, now_us))
		return load->current >= 1 &&
		    (refusing ||
			now_us - load->full_since_us >= BACKLOG_FULL_US);
	if (load->mean_own_zone >= own_zone_mean_limit)
		return true;
	if (load->ample_time)
		return load->current >= 1 || load->mean >= ample_mean_limit;
	if (refusing && reuses_flows(pool) && load->mean >= reuse_mean_limit)
		return true;
	return load->current >= 1 || load->mean >= mean_limit;
}

/*
 * Returns true if a flow of the less urgent routes should make room.  Near the
 * limit these are first the flows whose answers would come too late.
 */
static bool
should_yield(const kf_forwarder_t *f, const kf_pool_t *pool,
    const kf_route_t *route, uint32_t copies, int64_t now_us)
{
	if (pool->load.mean >= reuse_mean_limit &&
	    is_past_goal(pool, route, copies) &&
	    !is_tolerant(f, pool, route, now_us))
		return true;
	return is_overloaded(f, pool, route, now_us);
}

/*
 * Returns true if the most urgent flows in use are themselves the flood.  What
 * the upstreams cannot serve in time would wait there, make the others late and
 * be rejected after all.  Urgent flows are not refused for the flood of others.
 */
static bool
is_flooded(const kf_forwarder_t *f, const kf_pool_t *pool,
    const kf_route_t *route, int64_t now_us)
{
	return !is_tolerant(f, pool, route, now_us) &&
	    pool->load.current >= 1 &&
	    pool->demand[priority_of(route)] >=
	    sum_demand(pool) * flood_min_share;
}

void
admission_add_repeated_syn(kf_forwarder_t *f, uint64_t service, int64_t now_us)
{
	kf_pool_t *pool = kf_directory_pool(f->directory, service);

	if (pool == NULL)
		return;
	decay_demand(pool, now_us);
	pool->repeated_syns += 1;
}

void
admission_add_request(kf_forwarder_t *f, const kf_flow_t *flow, int64_t now_us)
{
	const kf_route_t *route = kf_route_table_find(f->routes, flow->address);
	kf_pool_t *pool = kf_directory_pool(f->directory, flow->service);

	if (route == NULL || pool == NULL)
		return;
	if (!flow->reused) {
		decay_demand(pool, now_us);
		pool->first_requests += 1;
		return;
	}
	add_demand(pool, priority_of(route), now_us);
	pool->later_requests += 1;
}

bool
admission_pool_refuses(const kf_forwarder_t *f, kf_pool_t *pool,
    const kf_route_t *route, uint32_t copies, int64_t now_us)
{
	size_t priority = priority_of(route);

	add_demand(pool, priority, now_us);
	capacity_add_goal(pool, route->latency_goal_us, now_us);
	update_load(f, pool, now_us);
	update_backlog(pool, now_us);
	if (!(has_more_urgent_demand(pool, priority)
		    ? should_yield(f, pool, route, copies, now_us)
		    : is_flooded(f, pool, route, now_us)))
		return false;
	pool->refused_us = now_us;
	return true;
}

bool
admission_refuses(kf_forwarder_t *f, const kf_route_t *route, uint64_t service,
    uint32_t copies, int64_t now_us)
{
	kf_pool_t *pool = kf_directory_pool(f->directory, service);

	return pool != NULL &&
	    admission_pool_refuses(f, pool, route, copies, now_us);
}
