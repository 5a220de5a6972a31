#include "kf/choice.h"

enum {
	/* Maximum number of upstreams that one placement compares; a service
	 * may have thousands. */
	OWN_ZONE_WINDOW = 64,
	OTHER_ZONES_WINDOW = 64,
	MAX_TIES = OWN_ZONE_WINDOW + OTHER_ZONES_WINDOW,
	/* Maximum number of upstreams, of the own zone and of the other zones
	 * each, whose flows and slots are added up; enough to represent a large
	 * service. */
	USAGE_WINDOW = 128,
};

/* Upstreams of other zones are used if those of the own zone have this many
 * more flows per slot. */
static const double other_zones_penalty = 1.0;
/* Upstreams outside of the zone that a flow is for have a higher load than any
 * in it. */
static const double not_chosen_penalty = 1e6;
/* Mean load of the own zone, and its ratio to that of the service, from which
 * upstreams of all zones are used alike.  Upstreams of a full zone reject
 * requests while those of other zones are idle. */
static const double full_zone_mean = 0.7;
static const double full_zone_ratio = 1.1;

typedef struct search {
	const kf_flow_t *flow;
	kf_position_t position;
	uint64_t zone; /* to which the flow leaves; 0: none */
	int64_t now_us;
	kf_target_t *ties[MAX_TIES];
	uint32_t tie_count;
	kf_choice_t best;
} search_t;

bool
kf_flow_has_tried(const kf_flow_t *flow, uint32_t token)
{
	uint8_t i;

	for (i = 0; flow != NULL && i < flow->tries; i++)
		if (flow->attempt[i].token == token)
			return true;
	return false;
}

double
kf_estimate_load(
    const kf_target_t *target, kf_position_t position, int64_t now_us)
{
	double flows = target->busy + target->opening;

	return flows * position.vm_count / kf_target_slots(target, now_us);
}

static void
consider(search_t *s, kf_target_t *target, double penalty)
{
	kf_health_t health;
	double load;

	s->best.cold_passed += kf_target_cold_refuses(target, s->now_us);
	if (!kf_target_eligible(target, s->now_us) ||
	    kf_flow_has_tried(s->flow, target->token))
		return;
	s->best.eligible++;
	health = kf_target_health(target, s->now_us);
	/* A probe may get a flow like a healthy upstream, because the flow is
	 * soon hedged if it does not open. */
	if (health == KF_HEALTH_PROBE)
		health = KF_HEALTH_GOOD;
	if (s->zone != 0)
		penalty = target->info.zone == s->zone ? 0 : not_chosen_penalty;
	load = kf_estimate_load(target, s->position, s->now_us) + penalty;
	if (s->tie_count > 0 &&
	    (health > s->best.health ||
		(health == s->best.health && load > s->best.load)))
		return;
	if (s->tie_count == 0 || health < s->best.health || load < s->best.load)
		s->tie_count = 0;
	s->best.health = health;
	s->best.load = load;
	s->ties[s->tie_count++] = target;
}

static void
consider_window(search_t *s, kf_target_t **targets, size_t count, size_t window,
    uint32_t start, double penalty)
{
	size_t i;

	if (count <= window) {
		for (i = 0; i < count; i++)
			consider(s, targets[i], penalty);
		return;
	}
	for (i = 0; i < window; i++)
		consider(s, targets[(start + i) % count], penalty);
}

static void
add_usage(kf_pool_usage_t *pool_usage, kf_target_t *const *targets,
    size_t count, int64_t now_us)
{
	size_t i;

	for (i = 0; i < count && i < USAGE_WINDOW; i++) {
		const kf_target_t *target = targets[i];

		if (!kf_target_eligible(target, now_us) ||
		    (kf_target_cold_limited(target, now_us) &&
			!target->last_resort) ||
		    kf_target_health(target, now_us) == KF_HEALTH_EJECTED)
			continue;
		pool_usage->flows += target->busy + target->opening;
		pool_usage->slots += target->info.slots;
	}
}

const char *
kf_pool_service_name(const kf_pool_t *pool)
{
	const kf_target_t *target =
	    pool->own_zone_count > 0 ? pool->own_zone[0] : pool->other_zones[0];

	return target->info.service_name;
}

kf_pool_usage_t
kf_pool_get_usage(const kf_pool_t *pool, int64_t now_us)
{
	kf_pool_usage_t pool_usage = { 0 };

	add_usage(&pool_usage, pool->own_zone, pool->own_zone_count, now_us);
	add_usage(
	    &pool_usage, pool->other_zones, pool->other_zones_count, now_us);
	return pool_usage;
}

kf_pool_usage_t
kf_pool_get_own_zone_usage(const kf_pool_t *pool, int64_t now_us)
{
	kf_pool_usage_t pool_usage = { 0 };

	add_usage(&pool_usage, pool->own_zone, pool->own_zone_count, now_us);
	return pool_usage;
}

/* Returns the index at which this VM starts among count upstreams. */
static uint32_t
start_index(kf_position_t position, size_t count)
{
	return position.vm_count == 0
	    ? 0
	    : (uint32_t)(position.rank * count / position.vm_count);
}

static bool
is_own_zone_full(const kf_pool_t *pool)
{
	const kf_pool_load_t *load = &pool->load;

	return load->mean_own_zone >= full_zone_mean &&
	    load->mean_own_zone >= full_zone_ratio * load->mean;
}

kf_choice_t
kf_choose(kf_pool_t *pool, const kf_flow_t *flow, kf_position_t position,
    uint64_t zone, int64_t now_us)
{
	search_t s = {
		.flow = flow,
		.position = position,
		.zone = zone,
		.now_us = now_us,
	};
	uint32_t pool_cursor;

	if (pool == NULL)
		return s.best;
	s.best.all_zones = zone == 0 && is_own_zone_full(pool);
	pool_cursor = zone == 0 ? pool->cursor++
				: kf_zone_plan_take_turn(&pool->zones, zone);
	consider_window(&s, pool->own_zone, pool->own_zone_count,
	    OWN_ZONE_WINDOW,
	    start_index(position, pool->own_zone_count) + pool_cursor, 0);
	consider_window(&s, pool->other_zones, pool->other_zones_count,
	    OTHER_ZONES_WINDOW,
	    start_index(position, pool->other_zones_count) + pool_cursor,
	    s.best.all_zones ? 0 : other_zones_penalty);
	if (s.tie_count > 0)
		s.best.target =
		    s.ties[(start_index(position, s.tie_count) + pool_cursor) %
			s.tie_count];
	if (s.best.load >= not_chosen_penalty)
		s.best.load -= not_chosen_penalty;
	return s.best;
}
