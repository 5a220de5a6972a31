#ifndef KF_ZONE_BALANCE_H
#define KF_ZONE_BALANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_zone_balance - the share of a zone's demand that other zones serve
 *
 * DESCRIPTION
 *	Handles demand that exceeds the upstreams of a zone while other zones
 *	have room: callers that shift to one zone, waves that rise in one zone
 *	while they fall in another, and the loss of a part of a zone's
 *	upstreams.
 *
 *	The expected wait of a zone with utilisation r = demand x service time /
 *	slots is service time x r^2/(1 - r^2).  Load moves from zones whose wait
 *	is longer than a common level plus the cost of leaving to zones whose
 *	wait is below the level, and the level is the one at which both amounts
 *	are equal.  All zones compute all amounts from the same figures, so no
 *	messages are needed to agree.  Demand counts in the zone where it
 *	arrives, so the load moved does not feed back into the figures.
 */

enum { KF_ZONES_MAX = 16 };

typedef struct kf_zone_load {
	uint64_t zone;
	double demand_per_s;
	double slots; /* of usable upstreams; a cold one counts less */
	bool known;   /* demand_per_s is known; otherwise nothing moves there */
	bool sending; /* a part of its demand leaves already */
} kf_zone_load_t;

typedef struct kf_zone_costs {
	double service_us;    /* mean time of a request in a slot */
	double leave_us;      /* added time of a request in another zone */
	double wait_limit_us; /* no zone accepts load up to a longer wait */
} kf_zone_costs_t;

typedef struct kf_zone_shares {
	double share;		    /* of the home zone's demand */
	double parts[KF_ZONES_MAX]; /* of share, by zone; sum 1, or all 0 */
	double moved_per_s[KF_ZONES_MAX]; /* that leaves each zone */
	double wait_home_us;		  /* if nothing moved */
	double wait_away_us; /* the same in the zones that accept load */
} kf_zone_shares_t;

/* Demand leaves a zone from a difference of the waits of leave_us on, and if
 * the zone is sending, from half of it on. */
void kf_zone_balance_compute(const kf_zone_load_t *zones, size_t count,
    size_t home, const kf_zone_costs_t *costs, kf_zone_shares_t *shares);

/* The share in force, and which of the next flows leave.  All zero: none do. */
typedef struct kf_zone_plan {
	kf_zone_load_t zones[KF_ZONES_MAX]; /* with mean demands */
	size_t count;
	kf_zone_shares_t shares;
	double share; /* follows shares.share at a limited rate */
	double logged_share;
	double due; /* flows that should have left, less those that have */
	double zone_due[KF_ZONES_MAX];
	uint32_t turns[KF_ZONES_MAX]; /* flows sent to each zone */
	kf_zone_costs_t costs;
	double lowest_us; /* lowest cost of the routes in use */
	double goal_us;	  /* their strictest latency goal */
	int64_t updated_us;
} kf_zone_plan_t;

/*
 * Takes new figures, of which known, demand_per_s and slots are read, and
 * plan->costs.  The home zone has the index home.
 */
void kf_zone_plan_update(kf_zone_plan_t *plan, const kf_zone_load_t *zones,
    size_t count, size_t home, int64_t now_us);

/*
 * Returns the zone to which a new flow leaves, whose answer costs leave_us from
 * there; 0: it does not leave.  Flows with a higher cost than the others of the
 * service leave last.
 */
uint64_t kf_zone_plan_next(
    kf_zone_plan_t *plan, double leave_us, int64_t now_us);

/* Counts a flow that has left although it was not due to, so that one less
 * leaves later. */
void kf_zone_plan_count_unplanned(kf_zone_plan_t *plan);

/*
 * Returns the number of earlier flows for the zone.  It selects the upstream in
 * turn: with one count for all zones, a share of one flow in four would select
 * the same one of four upstreams each time.
 */
uint32_t kf_zone_plan_take_turn(kf_zone_plan_t *plan, uint64_t zone);

/* Returns true if the share has begun, ended or changed by 0.1 since the last
 * call that returned true. */
bool kf_zone_plan_take_change(kf_zone_plan_t *plan);

#ifdef __cplusplus
}
#endif

#endif
