#include "kf/choice.h"

enum {
	/* Bounds the work of one placement with thousands of upstreams. */
	NEAR_WINDOW = 64,
	FAR_WINDOW = 64,
	MAX_EQUAL = NEAR_WINDOW + FAR_WINDOW,
	/* Upstreams that stand for all of a large service. */
	ROOM_WINDOW = 128,
};

/* Another zone is used when the own zone's upstreams have this many more
 * flows for each slot. */
static const double far_penalty = 1.0;
/* An upstream is 1.6 times slower until it is warm (both deployments). */
static const double cold_slots = 1 / 1.6;

typedef struct search {
	const kf_flow_t *flow;
	kf_position_t position;
	int64_t now_us;
	kf_target_t *equal[MAX_EQUAL];
	uint32_t equal_count;
	kf_choice_t best;
} search_t;

static bool
has_tried(const kf_flow_t *flow, uint32_t token)
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
	double slots = target->info.slots == 0 ? 1 : target->info.slots;
	double flows = target->open + target->opening;

	if (now_us < target->warm_us)
		slots *= cold_slots;
	return flows * position.vm_count / slots;
}

static void
consider(search_t *s, kf_target_t *target, double penalty)
{
	kf_health_t health;
	double load;

	if (!kf_target_eligible(target, s->now_us) ||
	    has_tried(s->flow, target->token))
		return;
	s->best.eligible++;
	health = kf_target_health(target, s->now_us);
	/* A probe is worth one flow: it has a second upstream soon. */
	if (health == KF_HEALTH_PROBE)
		health = KF_HEALTH_GOOD;
	load = kf_estimate_load(target, s->position, s->now_us) + penalty;
	if (s->equal_count > 0 &&
	    (health > s->best.health ||
		(health == s->best.health && load > s->best.load)))
		return;
	if (s->equal_count == 0 || health < s->best.health ||
	    load < s->best.load)
		s->equal_count = 0;
	s->best.health = health;
	s->best.load = load;
	s->equal[s->equal_count++] = target;
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
add_room(
    kf_room_t *room, kf_target_t *const *targets, size_t count, int64_t now_us)
{
	size_t i;

	for (i = 0; i < count && i < ROOM_WINDOW; i++) {
		const kf_target_t *target = targets[i];

		if (!kf_target_eligible(target, now_us) ||
		    kf_target_health(target, now_us) == KF_HEALTH_EJECTED)
			continue;
		room->flows += target->open + target->opening;
		room->slots += target->info.slots;
	}
}

kf_room_t
kf_pool_room(const kf_pool_t *pool, int64_t now_us)
{
	kf_room_t room = { 0 };

	add_room(&room, pool->near, pool->near_count, now_us);
	add_room(&room, pool->far, pool->far_count, now_us);
	return room;
}

/* First place of this VM among count equal candidates. */
static uint32_t
first_of(kf_position_t position, size_t count)
{
	return position.vm_count == 0
	    ? 0
	    : (uint32_t)(position.rank * count / position.vm_count);
}

kf_choice_t
kf_choose(kf_pool_t *pool, const kf_flow_t *flow, kf_position_t position,
    int64_t now_us)
{
	search_t s = {
		.flow = flow,
		.position = position,
		.now_us = now_us,
	};
	uint32_t at;

	if (pool == NULL)
		return s.best;
	at = pool->cursor++;
	consider_window(&s, pool->near, pool->near_count, NEAR_WINDOW,
	    first_of(position, pool->near_count) + at, 0);
	consider_window(&s, pool->far, pool->far_count, FAR_WINDOW,
	    first_of(position, pool->far_count) + at, far_penalty);
	if (s.equal_count > 0)
		s.best.target =
		    s.equal[(first_of(position, s.equal_count) + at) %
			s.equal_count];
	return s.best;
}
