#ifndef KF_PEERING_INTERNAL_H
#define KF_PEERING_INTERNAL_H

#include "kf/peering.h"

#include "members.h"
#include "peering_msg.h"
#include "reports.h"

enum {
	/* Replies in one interval to VMs that request members. */
	PEERING_MAX_REPLIES = 8,
	/* VMs that may wait for an echo. */
	PEERING_MAX_ECHOES = 16,
};

struct kf_peering {
	kf_peering_config_t config;
	members_t members; /* without this VM */
	reports_t reports;
	int64_t last_reports_us; /* last beacons sent because of reports */
	bool has_new_reports;	 /* since last_reports_us */
	int64_t next_beacon_us;
	int64_t next_seed_beacons_us;
	uint64_t random;
	uint32_t lost[KF_PEERING_MAX_LOST]; /* expired, not yet returned */
	size_t lost_count;
	size_t zone_member_count; /* other VMs of the zone */
	size_t member_cursor;	  /* next member to list in a beacon */
	size_t departure_cursor;  /* next departure to list in a beacon */
	/* VMs to send a beacon to at once. */
	uint32_t reply_ips[PEERING_MAX_REPLIES];
	size_t reply_count;
	/* VMs that wait for an echo, in the next periodic beacons. */
	uint32_t echo_ips[PEERING_MAX_ECHOES];
	size_t echo_count;
	uint64_t late_beacons;
	uint64_t stamp_base_us; /* of the stamps in own beacons */
	/* Latest contact with the store that held for this VM's data. */
	int64_t contact_us;
	size_t replies_in_interval; /* to VMs that request members */
	int64_t starting_replies_since_us;
	size_t starting_replies; /* since starting_replies_since_us */
	int64_t start_interval_us;
};

/*
 * Reservoir sampling: returns true if the candidate number "seen", counted from
 * 1, replaces the one chosen before, so that every candidate is chosen with the
 * same probability.  Taking the first candidate after a random position instead
 * would mostly choose the lowest address of a zone, because members are sorted
 * by address and each zone has a range of addresses.
 */
bool peering_reservoir_accepts(kf_peering_t *p, size_t seen);

/* Sends the VM an echo with one of the next periodic beacons. */
void peering_add_echo(kf_peering_t *p, uint32_t ip);

/*
 * Chooses the VM to pull from, a random one among those that are alike; NULL if
 * none has a newer revision.
 */
const member_t *peering_choose_source(
    kf_peering_t *p, const kf_peering_self_t *self, int64_t now_us);

/* Removes members whose timeout has passed. */
void peering_expire(kf_peering_t *p, int64_t now_us);

/* The kind of members that this VM knows too few of. */
peering_question peering_missing_members(const kf_peering_t *p);

/* Finalizer of splitmix64: all bits of the result depend on all bits of z. */
uint64_t peering_mix(uint64_t z);

/* Demand of a service at the VMs of a group whose beacons are recent. */
typedef struct demand_sum {
	uint64_t asked_per_s;
	uint64_t heard; /* VMs with a recent beacon */
	uint64_t members;
} demand_sum_t;

/* Adds a VM to a group; its demand counts if its beacon is at most max_age_us
 * old. */
void peering_add_demand(demand_sum_t *sum, const member_t *m, uint64_t service,
    int64_t max_age_us, int64_t now_us);

/* Returns the demand of a group in which each VM without a recent beacon has as
 * much as the others on average. */
uint64_t peering_estimate_demand(demand_sum_t sum);

#endif
