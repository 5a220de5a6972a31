#include "capacity.h"

#include <math.h>

#include "forwarder_internal.h"

enum {
	/* Time constant of the mean answer time.  A VM of a fleet of 100 sees
	 * 10 to 20 answers a second. */
	ANSWER_MEAN_US = 1000000,
	/* How long a goal counts after the last demand with it. */
	GOAL_KEEP_US = 10000000,
	/* Requests for each slot from which upstreams shed load: one being
	 * served and four waiting on the deployments served. */
	SHED_FLOWS_PER_SLOT = 5,
};

/* Answers, as a decaying count, from which the mean is used. */
static const double min_answers = 4;
/* Requests in progress for each slot from which nearly all slots are at work,
 * so that the answers a second are what the upstreams can do. */
static const double busy_flows_per_slot = 1.5;

/* Mean deviation of answer times, as a share of their mean, up to which they
 * are service times.  It is 0.4 for times that spread by a factor of 1.6, and
 * 0.7 for exponential times between a client's packets. */
static const double max_deviation = 0.55;

static double
answer_decay(const kf_capacity_t *c, int64_t now_us)
{
	return exp(-(double)(now_us - c->updated_us) / ANSWER_MEAN_US);
}

void
capacity_add_answer(kf_pool_t *pool, int64_t took_us, int64_t now_us)
{
	kf_capacity_t *c = &pool->capacity;
	double factor = answer_decay(c, now_us);

	c->answer_sum_us = c->answer_sum_us * factor + (double)took_us;
	c->answers = c->answers * factor + 1;
	c->updated_us = now_us;
}

void
capacity_add_goal(kf_pool_t *pool, int64_t goal_us, int64_t now_us)
{
	kf_capacity_t *c = &pool->capacity;

	if (goal_us <= 0)
		return;
	if (c->goal_us == 0 || goal_us <= c->goal_us ||
	    now_us - c->goal_seen_us > GOAL_KEEP_US) {
		c->goal_us = goal_us;
		c->goal_seen_us = now_us;
	}
}

double
capacity_answer_us(const kf_pool_t *pool, int64_t now_us)
{
	const kf_capacity_t *c = &pool->capacity;

	if (c->answers * answer_decay(c, now_us) < min_answers)
		return 0;
	return c->answer_sum_us / c->answers;
}

/* Returns the mean answer time at little load if it is that of the upstreams.
 * Clients that acknowledge answers only with their next packet make them seem
 * long, and their times differ far more. */
static double
calm_service_us(const kf_pool_t *pool)
{
	return pool->calm_answers < MIN_CALM_ANSWERS ||
		pool->calm_deviation_us > max_deviation * pool->calm_answer_us
	    ? 0
	    : pool->calm_answer_us;
}

/*
 * While the service is full, answers include a wait.  By Little's law the
 * upstreams answer (requests in progress) / (answer time) a second, and a slot
 * its part of that.
 */
double
capacity_service_us(const kf_pool_t *pool, uint64_t slots, int64_t now_us)
{
	double per_slot =
	    slots == 0 ? 0 : pool->load.mean_flows / (double)slots;
	double calm_us = calm_service_us(pool);

	if (pool->calm_answers < MIN_CALM_ANSWERS ||
	    per_slot < busy_flows_per_slot)
		return calm_us;
	return fmax(capacity_answer_us(pool, now_us) / per_slot, calm_us);
}

/* Returns how many service times a request may wait within its goal, or -1 if
 * that is unknown. */
static double
waits_within_goal(const kf_pool_t *pool, uint64_t slots, int64_t now_us)
{
	double service_us = capacity_service_us(pool, slots, now_us);

	if (service_us <= 0 || pool->capacity.goal_us == 0)
		return -1;
	return ((double)pool->capacity.goal_us - service_us) / service_us;
}

double
capacity_flows_per_slot(const kf_pool_t *pool, uint64_t slots, int64_t now_us)
{
	double waits = waits_within_goal(pool, slots, now_us);

	if (waits < 0 || waits > FULL_FLOWS_PER_SLOT)
		return FULL_FLOWS_PER_SLOT;
	return waits < 1 ? 1 : waits;
}

bool
capacity_has_ample_time(const kf_pool_t *pool, uint64_t slots, int64_t now_us)
{
	return waits_within_goal(pool, slots, now_us) >= SHED_FLOWS_PER_SLOT;
}
