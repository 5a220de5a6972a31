#include <math.h>

#include "kf/zone_balance.h"

enum {
	/* Halves the range of the common level until its error is far below
	 * the measurable. */
	LEVEL_STEPS = 50,
	/* The share changes by at most SHARE_STEP in this time. */
	SHARE_STEP_US = 200000,
	/* Time constant of the mean demands.  A VM hears 1.1 VMs of each other
	 * zone a second (3 zones), so a figure has an error of 10 to 15%. */
	DEMAND_MEAN_US = 2000000,
	/* A plan that is not renewed for this time is not used. */
	PLAN_MAX_AGE_US = 2000000,
};

static const double share_step = 0.1;
/* A smaller share is too small to matter, and would begin and end often. */
static const double min_share = 0.01;
static const double max_wait_us = 10000000;
/* A sending zone goes on to send down to this multiple of the cost. */
static const double end_factor = 0.5;
/* A route's answers are large if they cost this multiple of the cheapest ones.
 * Its flows leave once large_due flows are due: then the routes with small
 * answers do not have enough flows for the share. */
static const double large_factor = 1.5;
static const double large_due = 2;
/* More flows are not made up for later. */
static const double max_due = 3;

static double
wait_us(const kf_zone_load_t *z, double service_us)
{
	double r, wait;

	if (z->slots <= 0)
		return z->demand_per_s > 0 ? max_wait_us : 0;
	r = z->demand_per_s * service_us / 1e6 / z->slots;
	if (r >= 1)
		return max_wait_us;
	wait = service_us * r * r / (1 - r * r);
	return wait < max_wait_us ? wait : max_wait_us;
}

/* Returns the demand of a zone at which its wait is wait. */
static double
demand_at(const kf_zone_load_t *z, double wait, double service_us)
{
	return z->slots * 1e6 / service_us * sqrt(wait / (service_us + wait));
}

/* Returns the demand that leaves a zone at a common level of the waits. */
static double
excess(const kf_zone_load_t *z, double level_us, const kf_zone_costs_t *costs)
{
	double cost_us = costs->leave_us * (z->sending ? end_factor : 1);
	double over = z->demand_per_s -
	    demand_at(z, level_us + cost_us, costs->service_us);

	return z->known && over > 0 ? over : 0;
}

/* Returns the demand that a zone accepts at a common level of the waits. */
static double
spare(const kf_zone_load_t *z, double level_us, const kf_zone_costs_t *costs)
{
	double under = demand_at(z, fmin(level_us, costs->wait_limit_us),
			   costs->service_us) -
	    z->demand_per_s;

	return z->known && under > 0 ? under : 0;
}

typedef double zone_amount_fn(
    const kf_zone_load_t *z, double level_us, const kf_zone_costs_t *costs);

static double
sum_amount(zone_amount_fn *amount, const kf_zone_load_t *zones, size_t count,
    double level_us, const kf_zone_costs_t *costs)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < count; i++)
		sum += amount(&zones[i], level_us, costs);
	return sum;
}

/* Returns the lowest level at which the spare capacity holds the excess, or
 * max_wait_us if there is none. */
static double
find_level(
    const kf_zone_load_t *zones, size_t count, const kf_zone_costs_t *costs)
{
	double low = 0, high = max_wait_us, level;
	int i;

	for (i = 0; i < LEVEL_STEPS; i++) {
		level = (low + high) / 2;
		if (sum_amount(excess, zones, count, level, costs) <=
		    sum_amount(spare, zones, count, level, costs))
			high = level;
		else
			low = level;
	}
	return high;
}

static double
mean_wait_away_us(const kf_zone_load_t *zones, size_t count,
    const double *parts, double service_us)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < count; i++)
		sum += parts[i] * wait_us(&zones[i], service_us);
	return sum;
}

void
kf_zone_balance_compute(const kf_zone_load_t *zones, size_t count, size_t home,
    const kf_zone_costs_t *costs, kf_zone_shares_t *shares)
{
	double level, all_excess, all_spare, fits;
	size_t i;

	*shares = (kf_zone_shares_t){ 0 };
	if (costs->service_us <= 0)
		return;
	level = find_level(zones, count, costs);
	all_excess = sum_amount(excess, zones, count, level, costs);
	all_spare = sum_amount(spare, zones, count, level, costs);
	shares->wait_home_us = wait_us(&zones[home], costs->service_us);
	if (all_excess <= 0 || all_spare <= 0)
		return;
	fits = fmin(1, all_spare / all_excess);
	for (i = 0; i < count; i++)
		shares->moved_per_s[i] = excess(&zones[i], level, costs) * fits;
	if (shares->moved_per_s[home] <= 0)
		return;
	shares->share =
	    fmin(1, shares->moved_per_s[home] / zones[home].demand_per_s);
	for (i = 0; i < count; i++)
		shares->parts[i] = spare(&zones[i], level, costs) / all_spare;
	shares->wait_away_us =
	    mean_wait_away_us(zones, count, shares->parts, costs->service_us);
}

static size_t
find_zone(const kf_zone_plan_t *plan, uint64_t zone)
{
	size_t i;

	for (i = 0; i < plan->count && plan->zones[i].zone != zone; i++)
		;
	return i;
}

/* Continues the mean demand and the state of a zone from the old figures. */
static void
merge_zone(kf_zone_load_t *z, const kf_zone_plan_t *old, double weight)
{
	size_t at = find_zone(old, z->zone);

	z->sending = at < old->count && old->shares.moved_per_s[at] > 0;
	if (at < old->count && old->zones[at].known && z->known)
		z->demand_per_s = old->zones[at].demand_per_s +
		    weight * (z->demand_per_s - old->zones[at].demand_per_s);
}

static void
keep_turn(kf_zone_plan_t *plan, size_t i, const kf_zone_plan_t *old)
{
	size_t at = find_zone(old, plan->zones[i].zone);

	plan->zone_due[i] = at < old->count ? old->zone_due[at] : 0;
	plan->turns[i] = at < old->count ? old->turns[at] : 0;
}

/* Keeps the parts while the share falls to 0, of zones that are still known. */
static void
keep_parts(kf_zone_plan_t *plan, const kf_zone_plan_t *old)
{
	double sum = 0;
	size_t i, at;

	for (i = 0; i < plan->count; i++) {
		at = find_zone(old, plan->zones[i].zone);
		if (at < old->count && plan->zones[i].known &&
		    plan->zones[i].slots > 0)
			plan->shares.parts[i] = old->shares.parts[at];
		sum += plan->shares.parts[i];
	}
	for (i = 0; sum > 0 && i < plan->count; i++)
		plan->shares.parts[i] /= sum;
	if (sum <= 0)
		plan->share = 0;
}

static void
limit_change(kf_zone_plan_t *plan, int64_t elapsed_us)
{
	double step = share_step * (double)elapsed_us / SHARE_STEP_US;
	double change = plan->shares.share - plan->share;

	plan->share += fmax(-step, fmin(step, change));
	if (plan->shares.share <= 0 && plan->share < min_share)
		plan->share = 0;
}

void
kf_zone_plan_update(kf_zone_plan_t *plan, const kf_zone_load_t *zones,
    size_t count, size_t home, int64_t now_us)
{
	kf_zone_plan_t old = *plan;
	int64_t elapsed_us = now_us - old.updated_us;
	double weight;
	size_t i;

	/* After a pause of the updates the share goes on from where it was. */
	if (elapsed_us > SHARE_STEP_US)
		elapsed_us = SHARE_STEP_US;
	weight = 1 - exp(-(double)elapsed_us / DEMAND_MEAN_US);
	plan->count = count;
	for (i = 0; i < count; i++) {
		plan->zones[i] = zones[i];
		merge_zone(&plan->zones[i], &old, weight);
		keep_turn(plan, i, &old);
	}
	kf_zone_balance_compute(
	    plan->zones, count, home, &plan->costs, &plan->shares);
	if (plan->shares.share < min_share) {
		plan->shares.share = 0;
		keep_parts(plan, &old);
	}
	limit_change(plan, elapsed_us);
	plan->updated_us = now_us;
}

/* Returns the accepting zone that is furthest behind its part. */
static uint64_t
take_zone(kf_zone_plan_t *plan)
{
	size_t i, best = 0;

	for (i = 0; i < plan->count; i++) {
		plan->zone_due[i] += plan->shares.parts[i];
		if (plan->shares.parts[i] > 0 &&
		    (plan->shares.parts[best] <= 0 ||
			plan->zone_due[i] > plan->zone_due[best]))
			best = i;
	}
	plan->zone_due[best] -= 1;
	return plan->zones[best].zone;
}

/* Returns true if a flow that costs leave_us may leave now. */
static bool
may_leave(const kf_zone_plan_t *plan, double leave_us)
{
	if (leave_us <= plan->costs.leave_us * large_factor)
		return plan->due >= 1;
	return plan->due >= large_due &&
	    plan->shares.wait_home_us - plan->shares.wait_away_us > leave_us;
}

uint64_t
kf_zone_plan_next(kf_zone_plan_t *plan, double leave_us, int64_t now_us)
{
	if (plan->share <= 0 || now_us - plan->updated_us > PLAN_MAX_AGE_US) {
		plan->due = 0;
		return 0;
	}
	plan->due = fmin(plan->due + plan->share, max_due);
	if (!may_leave(plan, leave_us))
		return 0;
	plan->due -= 1;
	return take_zone(plan);
}

void
kf_zone_plan_count_unplanned(kf_zone_plan_t *plan)
{
	plan->due = fmax(plan->due - 1, -max_due);
}

uint32_t
kf_zone_plan_take_turn(kf_zone_plan_t *plan, uint64_t zone)
{
	size_t at = find_zone(plan, zone);

	return at < plan->count ? plan->turns[at]++ : 0;
}

bool
kf_zone_plan_take_change(kf_zone_plan_t *plan)
{
	bool begins_or_ends = (plan->share > 0) != (plan->logged_share > 0);

	if (!begins_or_ends &&
	    fabs(plan->share - plan->logged_share) < share_step)
		return false;
	plan->logged_share = plan->share;
	return true;
}
