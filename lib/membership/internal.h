#ifndef KF_MEMBERSHIP_INTERNAL_H
#define KF_MEMBERSHIP_INTERNAL_H

#include "kf/membership.h"

enum {
	SEEDS_MAX = 16,
	TOMBSTONES_MAX = 1024,
	EVIDENCE_MAX = 4,
	OBSERVERS = 3,
	/*
	 * Times a change is relayed: 8 rounds of 5 receivers.  One receiver
	 * a round is random in the zone; with 12 relays, 1 VM of 200 missed
	 * a death.
	 */
	RELAY_COUNT = 40,
	/* A first sighting is no news while this VM itself is new. */
	NEW_VM_US = 30000000,
	/*
	 * Silence of a whole zone, per other zone: at one heartbeat per
	 * interval from a random other zone, 20 are expected in this time.
	 * With 10, a zone whose only live VM reached a third of the receivers
	 * was suspected at times.
	 */
	ZONE_SUSPECT_US = 10000000,
	/*
	 * A lagging list may omit a VM because an earlier incarnation ended;
	 * only an incarnation known this long is removed by it.
	 */
	LIST_LAG_US = 30000000,
	/* Evidence this much later than an accusation contradicts it. */
	REFUTE_US = 500000,
	/* Errors this soon after a heartbeat may be of an earlier process. */
	UNREACHABLE_QUIET_US = 1000000,
	ZONES_MAX = 64,
};

/* What is known of one VM other than this one. */
typedef struct record {
	kf_member_t pub;
	kf_addr_t listed_addr;
	bool listed;
	bool was_listed;
	bool unlisted;	      /* removed from the list while it was known */
	bool list_leaving;    /* the list says that it leaves */
	bool unknown;	      /* not heard since the start or a pause */
	bool observed;	      /* it promised a heartbeat per interval */
	bool observer;	      /* we promised it one */
	bool accused;	      /* an observer reports silence */
	uint64_t score;	      /* rendezvous of this VM's observers */
	size_t zone_slot;     /* where its zone was found last */
	uint32_t sequence;    /* of its last heartbeat */
	uint32_t unreachable; /* errors since it was last heard */
	uint32_t displaced;   /* heartbeats of another VM at its address */
	uint32_t revived;     /* heartbeats since it was considered gone */
	uint32_t relay;	      /* remaining relays of its latest change */
	int64_t first_us;     /* when this incarnation became known */
	int64_t direct_us;    /* last heartbeat; -1: none */
	int64_t since_us;     /* silence counts from here if not heard later */
	int64_t displaced_us; /* first heartbeat counted in displaced */
	int64_t accused_us;   /* when the accusation arrived */
	int64_t silent_us;    /* last sign of life by the accusation */
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
	uint64_t newer_self;
	bool has_list;
	bool paused;	  /* reported by the last tick */
	bool pause_seen;  /* to be reported by the next tick */
	bool heard_any;	  /* some VM has been heard */
	int64_t tick_us;  /* -1: none yet */
	int64_t start_us; /* first tick */
	int64_t round_us;
	uint32_t sequence;
	uint32_t round;
	size_t receivers; /* of the current round */
	size_t cursor;	  /* next record to relay without a change */
	size_t count;
	size_t cap;
	record_t **records; /* by VM id */
	size_t tombstone_count;
	tombstone_t tombstones[TOMBSTONES_MAX];
	size_t seed_count;
	kf_addr_t seeds[SEEDS_MAX];
	size_t zone_count;
	zone_t zones[ZONES_MAX]; /* other zones */
	kf_peer_evidence evidence[EVIDENCE_MAX];
};

/* Returns a number below limit. */
uint32_t membership_random(kf_membership_t *m, uint32_t limit);

record_t *membership_find(const kf_membership_t *m, uint32_t vm);

/* Returns the record of vm, a new one if needed; NULL without memory. */
record_t *membership_obtain(kf_membership_t *m, int64_t now_us, uint32_t vm);
void membership_remove(kf_membership_t *m, size_t index);

/* Records that an incarnation has ended, for KF_TOMBSTONE_US. */
void membership_bury(
    kf_membership_t *m, int64_t now_us, const kf_member_t *ended);
void membership_expire_tombstones(kf_membership_t *m, int64_t now_us);

/* Replaces the incarnation of a record; an earlier one is buried. */
void membership_renew(
    kf_membership_t *m, int64_t now_us, record_t *rec, uint64_t incarnation);

/* Counts every VM as not heard if the process was paused before now_us. */
void membership_check_pause(kf_membership_t *m, int64_t now_us);
bool membership_is_ended(const kf_membership_t *m, kf_vm_id_t id);
bool membership_is_mesh(const kf_membership_t *m);

/* Computes the liveness and records a change. */
void record_update(kf_membership_t *m, int64_t now_us, record_t *rec);
void record_alive(
    kf_membership_t *m, int64_t now_us, record_t *rec, int64_t heard_us);
void record_accuse(
    kf_membership_t *m, int64_t now_us, record_t *rec, int64_t silent_us);

/* Time of the last sign of life, as far as known; -1: none. */
int64_t record_life_us(const record_t *rec);

#endif
