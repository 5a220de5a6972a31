#ifndef KF_DIRECTORY_H
#define KF_DIRECTORY_H

#include <stddef.h>

#include "kf/target.h"
#include "kf/zone_balance.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_directory - the upstreams of all services
 *
 * DESCRIPTION
 *	Finds the upstream of an open flow by its token, and the upstreams for a
 *	new flow by service, those of the VM's own availability zone first.  An
 *	upstream that is no longer listed is kept for KF_DIRECTORY_KEEP_US, for
 *	the packets of its open flows.
 */

enum {
	/* Longer than the maximum lifetime of a flow, which is 60 s on the
	 * supported deployments. */
	KF_DIRECTORY_KEEP_US = 90000000,
};

/* Number of priority levels; higher route priorities use the last one. */
enum { KF_PRIORITIES = 8 };

/* Flows that await an answer, estimated for all VMs from those of this VM. */
typedef struct kf_pool_load {
	double mean_flows;
	double current;	      /* flows as a share of the limit */
	double mean;	      /* mean_flows as a share of the limit */
	double mean_own_zone; /* the same for the upstreams of the own zone */
	int64_t updated_us;
	double flows_per_slot; /* of all VMs, at the limit */
	double limit;	 /* flows of this VM at which its share is used up */
	bool ample_time; /* waits at upstreams are within all goals */
	int64_t full_since_us; /* 0: the limit is not reached */
} kf_pool_load_t;

/* What the answers at this VM show of the service's upstreams. */
typedef struct kf_capacity {
	double answer_sum_us; /* decaying */
	double answers;	      /* decaying */
	int64_t updated_us;
	int64_t goal_us; /* the strictest of the routes in use; 0: none */
	int64_t goal_seen_us;
} kf_capacity_t;

typedef struct kf_pool {
	uint64_t service;
	kf_target_t **own_zone; /* in this VM's zone, sorted by id */
	size_t own_zone_count;
	kf_target_t **other_zones; /* sorted by id */
	size_t other_zones_count;
	/* State of the service; kept when its upstreams change. */
	uint32_t cursor;
	uint32_t other_vms_demand_per_s;
	/* This VM's demand in its last report to the others, and before. */
	double reported_demand_per_s;
	double earlier_demand_per_s;
	/* New flows and requests on open flows, by priority, decaying. */
	double demand[KF_PRIORITIES];
	int64_t demand_updated_us;
	double first_requests; /* of flows of this VM, decaying */
	double later_requests; /* on flows that had one before, decaying */
	kf_pool_load_t load;
	kf_capacity_t capacity;
	double repeated_syns; /* by clients and by this VM, decaying */
	bool backlog;
	int64_t backlog_seen_us; /* last time that repeated SYNs showed it */
	int64_t first_demand_us;
	int64_t refused_us;	/* last refusal of a flow; 0: none */
	double failed_own_zone; /* failed requests, decaying */
	double failed_other_zones;
	int64_t last_failed_us;
	double answer_mean_us;
	uint32_t answers; /* in the mean; stops at MEAN_ANSWERS */
	/* The same for answers while the service had little load. */
	double calm_answer_us;
	double calm_deviation_us; /* mean deviation of those */
	uint32_t calm_answers;
	kf_zone_plan_t zones; /* which flows go to other zones */
} kf_pool_t;

typedef struct kf_directory kf_directory_t;

kf_directory_t *kf_directory_new(uint64_t zone);
void kf_directory_delete(kf_directory_t *directory);

/* Effect of an update on an upstream. */
typedef enum kf_change {
	KF_CHANGE_NONE = 0,
	KF_CHANGE_ADDED,
	KF_CHANGE_RESTARTED, /* a new incarnation with the same id */
	KF_CHANGE_DRAINING,
	KF_CHANGE_UPDATED,
	KF_CHANGE_MISSING,
	KF_CHANGE_GONE,
	KF_CHANGE_HELD,	  /* the known state is newer than the entry */
	KF_CHANGE_HIDDEN, /* another entry describes the upstream */
} kf_change_t;

const char *kf_change_name(kf_change_t change);

kf_status_t kf_directory_put(kf_directory_t *directory,
    const kf_upstream_info_t *info, int64_t now_us, kf_change_t *change);

/*
 * Adds or updates an upstream by an entry from a backup of the store, which may
 * be older than what is known.  The known state holds (KF_CHANGE_HELD) if the
 * same start of the upstream is draining or has left, or if it has started
 * again since.  The end of its cold start holds, too.
 */
kf_status_t kf_directory_put_backup(kf_directory_t *directory,
    const kf_upstream_info_t *info, int64_t now_us, kf_change_t *change);

/*
 * Handles the removal of an upstream's entry.  With lapsed, the entry may have
 * expired because of a store outage and the upstream may still be running.
 */
kf_change_t kf_directory_remove(
    kf_directory_t *directory, uint64_t id, bool lapsed, int64_t now_us);

/*
 * Returns true if an upstream has ended: its entry is gone, and one that was
 * started later is published at its address.  A process that serves two
 * services has entries with the same start, and clocks may step, so that the
 * start alone does not show it; one that drains may serve its flows without a
 * listener.
 */
bool kf_directory_is_replaced(
    const kf_directory_t *directory, const kf_target_t *target);

/* Returns true if an upstream was added, changed or removed since the last
 * call. */
bool kf_directory_take_changed(kf_directory_t *directory);

/*
 * Sets whether a zone is evacuated.  Upstreams of an evacuated zone, also ones
 * that are published later, get no new flows; their open flows continue.
 */
kf_status_t kf_directory_set_evacuated(
    kf_directory_t *directory, uint64_t zone, bool evacuated);

/* Sets whether evacuated upstreams of the own zone get new flows as the last
 * resort. */
void kf_directory_set_last_resort(kf_directory_t *directory, bool last_resort);

bool kf_directory_last_resort(const kf_directory_t *directory);

/* Returns true if the own zone is evacuated. */
bool kf_directory_own_zone_evacuated(const kf_directory_t *directory);

/* Returns the openings that this VM may send to a cold upstream in every 1.1 s.
 */
typedef uint32_t kf_cold_allowance_fn(
    void *ctx, const kf_target_t *target, const kf_cold_view_t *view);

/*
 * Updates what this VM knows of the others, and the allowances of the cold
 * upstreams of its zone; others have none.  An upstream that turns cold later
 * has none until the next call.
 */
void kf_directory_set_cold_view(kf_directory_t *directory,
    const kf_cold_report_t *report, kf_cold_allowance_fn *allowance, void *ctx,
    int64_t now_us);

/* Returns the number of evacuated zones. */
size_t kf_directory_evacuated_count(const kf_directory_t *directory);

/*
 * Begin and end a batch of updates, which rebuilds the index of all upstreams
 * only once, at its end.  Until then an added upstream gets no flows; an
 * upstream that drains or is removed gets no new flows from its update on.
 */
void kf_directory_begin_batch(kf_directory_t *directory);
kf_status_t kf_directory_end_batch(kf_directory_t *directory);

/* Frees upstreams that can no longer have open flows; pointers to them become
 * invalid. */
void kf_directory_expire(kf_directory_t *directory, int64_t now_us);

/* Returns the key of the VM's zone. */
uint64_t kf_directory_zone(const kf_directory_t *directory);

kf_target_t *kf_directory_find(const kf_directory_t *directory, uint32_t token);
/* Returns the target with this id, or NULL. */
const kf_target_t *kf_directory_find_id(
    const kf_directory_t *directory, uint64_t id);
kf_pool_t *kf_directory_pool(kf_directory_t *directory, uint64_t service);

size_t kf_directory_pool_count(const kf_directory_t *directory);
kf_pool_t *kf_directory_pool_at(kf_directory_t *directory, size_t i);

/* All targets, sorted by id; for reports. */
size_t kf_directory_count(const kf_directory_t *directory);
const kf_target_t *kf_directory_at(const kf_directory_t *directory, size_t i);

#ifdef __cplusplus
}
#endif

#endif
