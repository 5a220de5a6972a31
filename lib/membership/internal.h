#ifndef KF_MEMBERSHIP_INTERNAL_H
#define KF_MEMBERSHIP_INTERNAL_H

#include "kf/membership.h"

enum {
	SEEDS_MAX = 16,
	TOMBSTONES_MAX = 1024,
	EVIDENCE_MAX = 4,
	OBSERVER_COUNT = 3,
	/*
	 * How often a change is relayed: 8 rounds of 5 receivers.  Only one
	 * receiver of a round is a random VM of the zone.  With 12 relays, 1
	 * of 200 VMs did not learn of a death.
	 */
	CHANGE_RELAY_COUNT = 40,
	/* A listed VM found within this time after the start is not relayed. */
	STARTUP_US = 30000000,
	/*
	 * A zone is suspected after this time without evidence of any of its
	 * VMs, multiplied by the number of other zones.  On average one
	 * heartbeat per interval arrives from some other zone, so 20 are
	 * expected from each zone in that time.  With 10, a zone was at times
	 * suspected wrongly if its only live VM reached a third of the
	 * receivers.
	 */
	ZONE_SUSPECT_US = 10000000,
	/*
	 * A list that lags may omit a VM because an earlier incarnation ended.
	 * An incarnation must be known this long for the omission to count.
	 */
	LIST_LAG_US = 30000000,
	/*
	 * Evidence of life refutes a report of silence if it is later than the
	 * start of the silence by this much.
	 */
	REFUTE_MARGIN_US = 500000,
	/* Errors this soon after a heartbeat may be of an earlier process. */
	UNREACHABLE_IGNORE_US = 1000000,
	ZONES_MAX = 64,
};

/* The state of one other VM. */
typedef struct record {
	kf_member_t pub; /* the part that callers see */
	kf_addr_t listed_addr;
	bool listed;
	bool was_listed;
	/* Omitted by a plausible list after it was known for LIST_LAG_US. */
	bool removed_from_list;
	bool list_leaving;    /* leaving according to the list */
	bool unknown;	      /* no evidence of life since start or pause */
	bool observed_by_us;  /* its last heartbeat had KF_PEER_OBSERVE */
	bool observes_us;     /* our last heartbeat to it had KF_PEER_OBSERVE */
	bool reported_silent; /* by an observer, and not refuted since */
	uint64_t score;	      /* rendezvous score as an observer of this VM */
	size_t cached_zone_index; /* where zones held its zone last */
	uint32_t sequence;	  /* of its last heartbeat */
	uint32_t unreachable;	  /* errors since its last heartbeat */
	/* Heartbeats of a newer process at its control address. */
	uint32_t address_conflicts;
	uint32_t heartbeats_since_gone; /* since it was considered gone */
	uint32_t relays_left;		/* of its latest change */
	int64_t incarnation_known_us;	/* when the incarnation was found */
	int64_t last_heartbeat_us;	/* -1: none */
	/* Start, new incarnation or pause; earlier silence does not count. */
	int64_t since_us;
	int64_t address_conflict_us; /* the first of address_conflicts */
	int64_t silence_reported_us; /* when reported_silent was set */
	int64_t silent_since_us;     /* last evidence of life by that report */
} record_t;

typedef struct tombstone {
	kf_member_t pub;
} tombstone_t;

typedef struct zone {
	uint32_t id;
	int64_t heard_us;
} zone_t;

struct kf_membership {
	kf_member_t self;
	uint64_t random;
	uint64_t version;
	uint64_t list_version;
	uint64_t newest_own_incarnation;
	bool has_list;
	bool paused;	      /* the last tick found a pause */
	bool pause_pending;   /* to be reported by next tick */
	bool heard_any;	      /* a heartbeat has been accepted */
	int64_t last_tick_us; /* -1: none yet */
	int64_t start_us;     /* first tick */
	int64_t next_round_us;
	uint32_t sequence;
	uint32_t round;
	size_t receivers;	 /* of the current round, without seeds */
	size_t next_relay_index; /* for records without changes */
	size_t count;
	size_t cap;
	record_t **records; /* sorted by VM id */
	size_t tombstone_count;
	tombstone_t tombstones[TOMBSTONES_MAX];
	size_t seed_count;
	kf_addr_t seeds[SEEDS_MAX];
	size_t zone_count;
	zone_t zones[ZONES_MAX]; /* other zones */
	kf_peer_evidence evidence[EVIDENCE_MAX];
};

/* Returns a pseudo-random number below limit. */
uint32_t membership_random(kf_membership_t *m, uint32_t limit);

record_t *membership_find(const kf_membership_t *m, uint32_t vm);

/* Returns the record of vm, added if needed; NULL if out of memory. */
record_t *membership_find_or_add(
    kf_membership_t *m, int64_t now_us, uint32_t vm);
void membership_remove_at(kf_membership_t *m, size_t index);

/* Remembers for KF_TOMBSTONE_US that an incarnation has ended. */
void membership_add_tombstone(
    kf_membership_t *m, int64_t now_us, const kf_member_t *ended);
void membership_expire_tombstones(kf_membership_t *m, int64_t now_us);

/* Replaces the incarnation of a record; the earlier one has ended. */
void membership_set_incarnation(
    kf_membership_t *m, int64_t now_us, record_t *rec, uint64_t incarnation);

/* Sets every VM to KF_VM_UNKNOWN if this process was paused until now_us. */
void membership_detect_pause(kf_membership_t *m, int64_t now_us);
bool membership_is_ended(const kf_membership_t *m, kf_vm_id_t id);
bool membership_is_mesh(const kf_membership_t *m);

/* Recomputes the liveness; a change that peers must know is relayed. */
void record_update_liveness(kf_membership_t *m, int64_t now_us, record_t *rec);
void record_report_alive(
    kf_membership_t *m, int64_t now_us, record_t *rec, int64_t heard_us);
void record_report_silent(
    kf_membership_t *m, int64_t now_us, record_t *rec, int64_t silent_since_us);

/* Returns the time of the last known evidence of life, or -1. */
int64_t record_last_alive_us(const record_t *rec);

#endif
