#ifndef KF_BENCH_MODEL_H
#define KF_BENCH_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	kf_model - alternative designs for flow affinity, as baselines
 *
 * DESCRIPTION
 *	Simplified models of designs that were considered and rejected.  Each
 *	balancer has its own view.  A flow is identified by a number; its
 *	packets may arrive at any balancer.
 */

enum { KF_MODEL_UPSTREAMS_MAX = 64, KF_MODEL_VMS_MAX = 16 };

typedef struct kf_model_view {
	uint32_t count;
	uint32_t ids[KF_MODEL_UPSTREAMS_MAX];
	double weights[KF_MODEL_UPSTREAMS_MAX]; /* share of the flows, 0 to 1 */
	uint32_t vms;				/* bit set of live balancers */
} kf_model_view_t;

typedef struct kf_model_config {
	uint32_t vms;
	uint32_t flows;
	uint64_t seed;
	int64_t link_us;
	double bytes_per_s; /* control traffic limit of a balancer */
} kf_model_config_t;

typedef struct kf_model_route {
	uint32_t upstream;
	/*
	 * A single owner decides about the flow, so a change of upstream does
	 * not break it.
	 */
	bool coordinated;
} kf_model_route_t;

typedef struct kf_model_cost {
	uint64_t control_bytes;
	uint64_t memory_bytes;
} kf_model_cost_t;

typedef struct kf_model_ops {
	const char *name;
	void *(*create)(const kf_model_config_t *config);
	void (*destroy)(void *model);
	/* Sends the planned view to all balancers before they adopt it. */
	void (*announce)(
	    void *model, int64_t now_us, const kf_model_view_t *next);
	void (*adopt)(void *model, int64_t now_us, uint32_t vm,
	    const kf_model_view_t *view);
	void (*kill)(void *model, uint32_t vm);
	kf_model_route_t (*route)(
	    void *model, int64_t now_us, uint32_t vm, uint32_t flow);
	kf_model_cost_t (*cost)(void *model);
} kf_model_ops_t;

/* Stateless: weighted rendezvous hash of the flow over the upstreams. */
extern const kf_model_ops_t kf_model_hash;
/*
 * A rendezvous hash over the VMs gives each flow an owner, which keeps its
 * record.  Records are handed over when the set of VMs changes.
 */
extern const kf_model_ops_t kf_model_owner;
/*
 * kf_model_hash with records for the flows whose upstream an announced change
 * would replace.
 */
extern const kf_model_ops_t kf_model_tracking;

/* Weighted rendezvous choice; the view must contain an upstream. */
uint32_t kf_model_choose(
    const kf_model_view_t *view, uint64_t seed, uint32_t flow);

#endif
