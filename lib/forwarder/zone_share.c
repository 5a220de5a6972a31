#include <math.h>

#include "forwarder_internal.h"

enum {
	/* Round trip between zones; 1.8 and 2.8 ms on the deployments served.
	 * With a value that is too high, load leaves a little later. */
	CROSS_ZONE_ROUND_TRIP_US = 3000,
	/* A VM of a large fleet learns the VMs of other zones in this time
	 * after its start.  Before that their demand seems far too low. */
	WARM_UP_US = 15000000,
	/* Answers in the mean from which it is used. */
	MIN_ANSWERS = 32,
	/* Time in which the service time follows answers that became slower. */
	SERVICE_TIME_RISE_US = 60000000,
};

/* In a fleet of 99 VMs a VM knows 93% of the VMs of another zone, and its
 * estimate of their demand is low by as much. */
static const double other_zone_factor = 1 / 0.93;
/* Share of the strictest goal that a zone's own callers may wait because of
 * load from other zones. */
static const double goal_share = 0.25;
/* Weight with which a value that is the lowest in use rises again, so that it
 * forgets a route without flows after some hundred flows. */
static const double lowest_rise = 1.0 / 64;

static void
follow_lowest(double *lowest, double value)
{
	if (*lowest <= 0 || value < *lowest)
		*lowest = value;
	else
		*lowest += lowest_rise * (value - *lowest);
}

/* Returns the cost of the cheapest route in use. */
static double
lowest_cost_us(const kf_pool_t *pool)
{
	return pool->zones.lowest_us > 0 ? pool->zones.lowest_us
					 : CROSS_ZONE_ROUND_TRIP_US;
}

/* Returns the cost of a flow; until the size of its route's answers is known,
 * that of the cheapest route. */
static double
update_cost(const kf_forwarder_t *f, kf_pool_t *pool, const kf_route_t *route)
{
	double bytes = kf_answer_sizes_usual(&f->answer_sizes, route->address);
	double cost_us = CROSS_ZONE_ROUND_TRIP_US +
	    bytes / 1024 * f->zone_settings.transfer_us_per_kb;

	if (bytes <= 0)
		return lowest_cost_us(pool);
	follow_lowest(&pool->zones.lowest_us, cost_us);
	return cost_us;
}

uint64_t
zone_share_next(
    kf_forwarder_t *f, kf_pool_t *pool, const kf_route_t *route, int64_t now_us)
{
	double cost_us;

	if (pool == NULL || route == NULL)
		return 0;
	cost_us = update_cost(f, pool, route);
	if (route->latency_goal_us > 0)
		follow_lowest(
		    &pool->zones.goal_us, (double)route->latency_goal_us);
	return kf_zone_plan_next(&pool->zones, cost_us, now_us);
}

/* Returns the figures of a zone, or NULL if there are too many zones. */
static kf_zone_load_t *
find_or_add(kf_zone_load_t *zones, size_t *count, uint64_t zone)
{
	size_t i;

	for (i = 0; i < *count; i++)
		if (zones[i].zone == zone)
			return &zones[i];
	if (*count == KF_ZONES_MAX)
		return NULL;
	zones[*count] = (kf_zone_load_t){ .zone = zone };
	return &zones[(*count)++];
}

static void
add_slots(kf_zone_load_t *zones, size_t *count, kf_target_t *const *targets,
    size_t target_count, int64_t now_us)
{
	kf_zone_load_t *z;
	size_t i;

	for (i = 0; i < target_count; i++) {
		const kf_target_t *t = targets[i];

		if (!kf_target_eligible(t, now_us) ||
		    kf_target_health(t, now_us) == KF_HEALTH_EJECTED)
			continue;
		z = find_or_add(zones, count, t->info.zone);
		if (z != NULL)
			z->slots += kf_target_slots(t, now_us);
	}
}

static void
add_demands(kf_zone_load_t *zones, size_t *count,
    const kf_zone_demand_t *demands, size_t demand_count)
{
	kf_zone_load_t *z;
	size_t i;

	for (i = 0; i < demand_count; i++) {
		z = find_or_add(zones, count, demands[i].zone);
		if (z == NULL)
			continue;
		z->demand_per_s += demands[i].asked_per_s *
		    (z == zones ? 1 : other_zone_factor);
		z->known = true;
	}
}

static double
goal_us(const kf_pool_t *pool)
{
	return pool->zones.goal_us > 0 ? pool->zones.goal_us : LATE_DEFAULT_US;
}

/*
 * Estimates the time of a request in a slot: the time of an answer less that of
 * an opening, which takes the same path without work.  Of its means
 * while the service has little load the lowest of the last minute counts,
 * because some of these requests have waited for a slot.  Answers that seem to
 * take longer than the goal are acknowledged with the flow's next packet only
 * and do not show the time.
 */
static void
update_service_time(
    const kf_forwarder_t *f, kf_pool_t *pool, int64_t elapsed_us)
{
	double us = pool->calm_answer_us - f->opening_mean_us;
	double *service_us = &pool->zones.costs.service_us;

	if (pool->calm_answers < MIN_ANSWERS || us <= 0)
		return;
	if (pool->calm_answer_us > goal_us(pool)) {
		*service_us = 0;
		return;
	}
	if (*service_us <= 0 || us < *service_us)
		*service_us = us;
	else if (elapsed_us < SERVICE_TIME_RISE_US)
		*service_us += (us - *service_us) * (double)elapsed_us /
		    SERVICE_TIME_RISE_US;
}

static void
balance_pool(kf_forwarder_t *f, kf_pool_t *pool,
    const kf_zone_demand_t *demands, size_t demand_count, int64_t now_us)
{
	kf_zone_load_t zones[KF_ZONES_MAX] = {
		{ .zone = kf_directory_zone(f->directory), .known = true },
	};
	kf_zone_plan_t *plan = &pool->zones;
	size_t count = 1;

	update_service_time(f, pool, now_us - plan->updated_us);
	add_slots(zones, &count, pool->own_zone, pool->own_zone_count, now_us);
	add_slots(
	    zones, &count, pool->other_zones, pool->other_zones_count, now_us);
	add_demands(zones, &count, demands, demand_count);
	zones[0].demand_per_s += admission_demand_per_s(pool, now_us);
	plan->costs.leave_us = lowest_cost_us(pool);
	plan->costs.wait_limit_us = goal_share * goal_us(pool);
	kf_zone_plan_update(plan, zones, count, 0, now_us);
}

void
kf_forwarder_balance_zones(kf_forwarder_t *f,
    const kf_zone_settings_t *settings, kf_zone_demands_fn *demands, void *ctx,
    int64_t now_us)
{
	kf_zone_demand_t heard[KF_ZONES_MAX];
	size_t i, count;

	f->zone_settings = *settings;
	forwarder_check_isolation(f, now_us);
	if (f->balance_since_us == 0)
		f->balance_since_us = now_us;
	for (i = 0; i < kf_directory_pool_count(f->directory); i++) {
		kf_pool_t *pool = kf_directory_pool_at(f->directory, i);

		if (!settings->balance) {
			pool->zones.share = 0;
			pool->zones.shares = (kf_zone_shares_t){ 0 };
			continue;
		}
		count = demands(ctx, pool->service, heard, KF_ZONES_MAX);
		if (now_us - f->balance_since_us < WARM_UP_US)
			count = 0;
		balance_pool(f, pool, heard, count, now_us);
	}
}
