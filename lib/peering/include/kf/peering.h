#ifndef KF_PEERING_H
#define KF_PEERING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/position.h"
#include "kf/service_demand.h"
#include "kf/status.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_peering - beacons between the VMs
 *
 * DESCRIPTION
 *	Each VM periodically sends a beacon to a few random VMs, and sends
 *	more at once when its revision grows or it leaves.  A new revision
 *	thus spreads to all VMs in a few rounds, and the bytes that a VM
 *	sends do not grow with the number of VMs.
 *
 *	Beacons also go to the seeds: with every periodic beacon until a VM
 *	of the own zone is known, and every KF_PEERING_SEED_INTERVAL_US after
 *	that, so that groups of VMs that were partitioned from each other
 *	merge again.
 *
 *	A beacon may be delayed for seconds, so the times of what it tells are
 *	not taken from its arrival.  VMs echo the stamps of each other's
 *	beacons, which bounds the time at which a beacon was sent.  Where a
 *	time is not certain, information counts as older; a contact with the
 *	store of unknown age does not count.
 *
 *	The module does no I/O.  Times are those of a monotonic clock that
 *	counts suspension.
 */

enum {
	KF_PEERING_INTERVAL_US = 450000,
	/*
	 * First interval of a VM without data; each interval is 1.5 times the
	 * one before, up to KF_PEERING_INTERVAL_US.
	 */
	KF_PEERING_START_INTERVAL_US = 30000,
	/* Random targets of a periodic beacon. */
	KF_PEERING_FANOUT_SAME_ZONE = 2,
	KF_PEERING_FANOUT_OTHER_ZONES = 1,
	/*
	 * Random targets when the revision grows: enough to reach nearly all
	 * VMs of a zone in three rounds.
	 */
	KF_PEERING_UPDATE_FANOUT_SAME_ZONE = 4,
	KF_PEERING_UPDATE_FANOUT_OTHER_ZONES = 2,
	/*
	 * New reports of failed requests are forwarded at once, but at most
	 * once in this interval.
	 */
	KF_PEERING_REPORTS_INTERVAL_US = 200000,
	/*
	 * 3 beacons of 290 bytes every 450 ms are 1.9 KB/s; the budget for
	 * control traffic is 2 KB/s.
	 */
	KF_PEERING_MAX_BEACON_MEMBERS = 16,
	/*
	 * A member expires if it is not heard from, directly or through other
	 * VMs, for this time plus a time for each other VM of the zone.  In a
	 * zone of 30 VMs a member is heard from 2.4 times a second on average,
	 * at random times: with 4 s alone, among 90 VMs, one falsely expired
	 * another every 25 s.
	 */
	KF_PEERING_MEMBER_TIMEOUT_US = 4000000,
	KF_PEERING_MEMBER_TIMEOUT_PER_VM_US = 100000,
	KF_PEERING_LATE_US = 1000000,
	/* A VM that a pull has failed from comes last for this time. */
	KF_PEERING_SOURCE_AVOID_US = 5000000,
	KF_PEERING_SEED_INTERVAL_US = 1500000,
	KF_PEERING_MAX_SEEDS = 8,
	KF_PEERING_MAX_TARGETS = 16,
	KF_PEERING_MAX_LOST = 16,
	KF_PEERING_MAX_DEMANDS = 4,
	/* Older demand figures of a VM are ignored. */
	KF_PEERING_DEMAND_MAX_AGE_US = 2000000,
	/*
	 * The same for VMs of other zones in kf_peering_zone_demands.  With
	 * three zones a VM hears 1.1 VMs of each other zone a second: in 2 s
	 * none with a probability of 11%, in 6 s of 0.1%.
	 */
	KF_PEERING_OTHER_ZONE_DEMAND_MAX_AGE_US = 6000000,
	KF_PEERING_BEACON_MAX_BYTES = 512,
};

typedef struct kf_peering_config {
	uint32_t ip;
	uint64_t zone; /* kf_name_key */
	uint32_t seeds[KF_PEERING_MAX_SEEDS];
	uint32_t seed_count;
	uint64_t random_seed;
} kf_peering_config_t;

/* This VM's own state, sent in its beacons. */
typedef struct kf_peering_self {
	kf_store_position_t position; /* of its data */
	int64_t contact_us; /* last contact with the store; INT64_MIN: never */
	bool leaving;
	kf_service_demand_t demands[KF_PEERING_MAX_DEMANDS];
	size_t demand_count;
} kf_peering_self_t;

/* Why beacons are sent. */
typedef enum kf_peering_reason {
	KF_PEERING_PERIODIC = 0,
	KF_PEERING_UPDATE,   /* the revision has grown, or this VM leaves */
	KF_PEERING_STARTING, /* this VM has no data yet */
} kf_peering_reason_t;

/* Summary of all beacons received. */
typedef struct kf_peering_view {
	uint32_t rank;	     /* VMs of the zone with a lower address */
	uint32_t zone_count; /* VMs of the zone, this one included */
	uint32_t vm_count;
	/*
	 * Latest contact with the store of any VM whose changes this VM has
	 * all, at the earliest possible time; INT64_MIN: never.
	 */
	int64_t contact_us;
	/* Latest beacon from a VM of the zone; INT64_MIN: none. */
	int64_t heard_us;
	/* Beacons older than KF_PEERING_LATE_US on their arrival, since the
	 * start. */
	uint64_t late_beacons;
	/* A VM with a higher position to pull from, the highest if it can be
	 * had; ahead_ip 0: none. */
	kf_store_position_t ahead;
	uint32_t ahead_ip;
} kf_peering_view_t;

typedef struct kf_peering kf_peering_t;

kf_peering_t *kf_peering_new(const kf_peering_config_t *config);
void kf_peering_delete(kf_peering_t *peering);

void kf_peering_set_seeds(
    kf_peering_t *peering, const uint32_t *seeds, uint32_t count);

/* Processes a received beacon; KF_ERR_INVALID if it is malformed. */
kf_status_t kf_peering_receive(
    kf_peering_t *peering, const uint8_t *data, size_t len, int64_t now_us);

/* Fills in the addresses to send a beacon to now; returns their number. */
size_t kf_peering_due_targets(kf_peering_t *peering, kf_peering_reason_t reason,
    int64_t now_us, uint32_t ips[KF_PEERING_MAX_TARGETS]);

/* Time at which the next periodic beacon is due. */
int64_t kf_peering_next_beacon_us(const kf_peering_t *peering);

/*
 * Encodes a beacon for the VM to_ip; returns its length, or 0 on failure.  A
 * beacon lists members of one zone, most often that of the sender.  A VM that
 * knows no other VM of its own zone, for example because the zone has no seed,
 * requests them in its beacon.
 */
size_t kf_peering_encode_beacon(kf_peering_t *peering,
    const kf_peering_self_t *self, uint32_t to_ip, int64_t now_us,
    uint8_t buf[KF_PEERING_BEACON_MAX_BYTES]);

kf_peering_view_t kf_peering_view(
    kf_peering_t *peering, const kf_peering_self_t *self, int64_t now_us);

/*
 * Returns how many VMs of the zone come before this one in the order of the
 * key.  VMs that know the same members have different ranks, and a VM that
 * leaves changes the order of no others (rendezvous hashing).
 */
uint32_t kf_peering_zone_rank(const kf_peering_t *peering, uint64_t key);

/*
 * Returns the latest time at which a VM of the zone is known to have sent a
 * beacon; INT64_MIN: none.  A beacon that waited in a link or a socket counts
 * from the time at which it was sent.
 */
int64_t kf_peering_zone_sent_us(const kf_peering_t *peering);

/* Returns true if no other VM is known and no seed is another VM. */
bool kf_peering_is_alone(const kf_peering_t *peering);

/* A pull from a VM has failed; others are to be asked first for a while. */
void kf_peering_avoid_source(
    kf_peering_t *peering, uint32_t ip, int64_t now_us);

/*
 * Returns the VMs of the zone that have expired since the last call, up to
 * KF_PEERING_MAX_LOST, and in silent_us the current member timeout.
 */
size_t kf_peering_take_lost(kf_peering_t *peering,
    uint32_t ips[KF_PEERING_MAX_LOST], int64_t *silent_us);

/* Reports a failed request at an upstream to the VMs of the zone. */
void kf_peering_report_failure(
    kf_peering_t *peering, uint32_t token, int64_t now_us);

/*
 * Returns the tokens of the upstreams in reports from other VMs of the zone
 * that have not been returned before.
 */
size_t kf_peering_take_reports(
    kf_peering_t *peering, uint32_t *tokens, size_t max);

/*
 * New flows per second of a service that arrive at the other VMs.  The sums
 * over VMs with recent beacons, of the own zone and of other zones, are scaled
 * up to all known VMs.
 */
uint32_t kf_peering_other_vms_demand_per_s(
    const kf_peering_t *peering, uint64_t service, int64_t now_us);

/*
 * Fills in the same by zone, for up to max zones; returns their number.  The
 * sum over the VMs of a zone with recent beacons is scaled up to all known VMs
 * of the zone.  A zone without such VMs is left out.
 */
size_t kf_peering_zone_demands(const kf_peering_t *peering, uint64_t service,
    int64_t now_us, kf_zone_demand_t *zones, size_t max);

#ifdef __cplusplus
}
#endif

#endif
