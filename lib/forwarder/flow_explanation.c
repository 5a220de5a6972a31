#include "kf/flow_explanation.h"

#include "forwarder_internal.h"

static const char *const outcome_names[KF_FLOW_OUTCOME_COUNT] = {
	[KF_FLOW_PLACED] = "placed",
	[KF_FLOW_KNOWN] = "known",
	[KF_FLOW_REFUSED] = "refused",
};

static const char *const candidate_names[KF_CANDIDATE_COUNT] = {
	[KF_CANDIDATE_CHOSEN] = "chosen",
	[KF_CANDIDATE_GONE] = "gone",
	[KF_CANDIDATE_DRAINING] = "draining",
	[KF_CANDIDATE_EVACUATED] = "evacuated",
	[KF_CANDIDATE_TOKEN_CONFLICT] = "token_conflict",
	[KF_CANDIDATE_COLD_LIMIT] = "cold_limit",
	[KF_CANDIDATE_TRIED] = "tried",
	[KF_CANDIDATE_DEAD] = "dead",
	[KF_CANDIDATE_LESS_HEALTHY] = "less_healthy",
	[KF_CANDIDATE_MORE_LOAD] = "more_load",
	[KF_CANDIDATE_OTHER_ZONE] = "other_zone",
	[KF_CANDIDATE_IN_TURN] = "in_turn",
	[KF_CANDIDATE_NO_CHOICE] = "no_choice",
};

const char *
kf_flow_outcome_name(kf_flow_outcome_t outcome)
{
	return outcome_names[outcome];
}

const char *
kf_candidate_name(kf_candidate_t candidate)
{
	return candidate_names[candidate];
}

static void
refuse(kf_flow_explanation_t *e, kf_reason_t reason)
{
	e->outcome = KF_FLOW_REFUSED;
	e->reason = reason;
}

/* Decides as connect_new does, on a copy of the state of the service. */
static void
explain_new(kf_forwarder_t *f, kf_flow_explanation_t *e, int64_t now_us)
{
	const kf_pool_t *original = kf_directory_pool(f->directory, e->service);
	kf_pool_t pool;

	if (original == NULL) {
		refuse(e, KF_REASON_NO_UPSTREAM);
		return;
	}
	pool = *original;
	if (admission_pool_refuses(f, &pool, e->route, 0, now_us))
		refuse(e, KF_REASON_OVERLOAD);
	e->load = pool.load;
	e->zone = zone_share_next(f, &pool, e->route, now_us);
	e->choice = kf_choose(&pool, NULL, f->position, e->zone, now_us);
	if (e->choice.target == NULL && e->outcome != KF_FLOW_REFUSED)
		refuse(e, KF_REASON_NO_UPSTREAM);
}

kf_flow_explanation_t
kf_forwarder_explain(
    kf_forwarder_t *f, kf_addr_t client, kf_addr_t address, int64_t now_us)
{
	kf_flow_explanation_t e = {
		.route = kf_route_table_find(f->routes, address),
		.flow = kf_conntrack_find(f->flows, client, address),
	};

	if (e.flow != NULL && e.flow->state == KF_FLOW_IDLE)
		e.flow = NULL;
	if (e.flow != NULL) {
		e.outcome = KF_FLOW_KNOWN;
		e.service = e.flow->service;
	} else if (e.route == NULL || e.route->removed)
		refuse(&e, KF_REASON_NO_SERVICE);
	else {
		e.service =
		    kf_route_service(e.route, kf_flow_hash(client, address));
		explain_new(f, &e, now_us);
	}
	return e;
}

/* Returns the reason why an upstream gets no new flow at all, or
 * KF_CANDIDATE_CHOSEN if it may get one. */
static kf_candidate_t
not_eligible(const kf_target_t *target, int64_t now_us)
{
	if (kf_target_eligible(target, now_us))
		return KF_CANDIDATE_CHOSEN;
	if (target->info.draining && target->listing != KF_LISTING_GONE)
		return KF_CANDIDATE_DRAINING;
	if (target->token_conflict)
		return KF_CANDIDATE_TOKEN_CONFLICT;
	if (target->listing != KF_LISTED)
		return KF_CANDIDATE_GONE;
	return target->evacuated ? KF_CANDIDATE_EVACUATED
				 : KF_CANDIDATE_COLD_LIMIT;
}

/* Returns the reason why an eligible upstream is not the chosen one. */
static kf_candidate_t
not_chosen(const kf_flow_explanation_t *e, const kf_target_t *target,
    kf_position_t position, int64_t now_us)
{
	const kf_choice_t *choice = &e->choice;
	kf_health_t health = kf_target_health(target, now_us);
	bool same_zone =
	    choice->all_zones || target->info.zone == choice->target->info.zone;

	if (health == KF_HEALTH_PROBE)
		health = KF_HEALTH_GOOD;
	if (health > choice->health)
		return target->dead.liveness == KF_LIVENESS_DEAD
		    ? KF_CANDIDATE_DEAD
		    : KF_CANDIDATE_LESS_HEALTHY;
	if (!same_zone)
		return KF_CANDIDATE_OTHER_ZONE;
	return kf_estimate_load(target, position, now_us) > choice->load
	    ? KF_CANDIDATE_MORE_LOAD
	    : KF_CANDIDATE_IN_TURN;
}

kf_candidate_t
kf_flow_explanation_candidate(const kf_flow_explanation_t *e,
    const kf_target_t *target, kf_position_t position, int64_t now_us)
{
	kf_candidate_t reason;

	if (e->outcome == KF_FLOW_KNOWN && e->flow->token == target->token)
		return KF_CANDIDATE_CHOSEN;
	if (e->outcome == KF_FLOW_KNOWN)
		return kf_flow_has_tried(e->flow, target->token)
		    ? KF_CANDIDATE_TRIED
		    : KF_CANDIDATE_NO_CHOICE;
	if (target == e->choice.target)
		return KF_CANDIDATE_CHOSEN;
	reason = not_eligible(target, now_us);
	if (reason != KF_CANDIDATE_CHOSEN)
		return reason;
	return e->choice.target == NULL
	    ? KF_CANDIDATE_IN_TURN
	    : not_chosen(e, target, position, now_us);
}
