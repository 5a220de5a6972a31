#ifndef KF_BENCH_MODEL_H
#define KF_BENCH_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	kf_model - rejected ways to find a flow's upstream
 *
 * DESCRIPTION
 *	Small models for comparison.  Each balancer has a view of its own.
 *	A flow is a number; its packets may reach any balancer.
 */

enum { KF_MODEL_UPSTREAMS_MAX = 64, KF_MODEL_VMS_MAX = 16 };

typedef struct kf_model_view {
	uint32_t count;
	uint32_t ids[KF_MODEL_UPSTREAMS_MAX];
	double weights[KF_MODEL_UPSTREAMS_MAX]; /* share of the flows */
	uint32_t vms;				/* bit set of live balancers */
} kf_model_view_t;

typedef struct kf_model_config {
	uint32_t vms;
	uint32_t flows;
	uint64_t seed;
	int64_t link_us;
	double bytes_per_s; /* of control traffic of one balancer */
} kf_model_config_t;

typedef struct kf_model_route {
	uint32_t upstream;
	/* One place decides about the flow, so that a move breaks nothing. */
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
	/* All balancers hear of a planned view before they adopt it. */
	void (*announce)(
	    void *model, int64_t now_us, const kf_model_view_t *next);
	void (*adopt)(void *model, int64_t now_us, uint32_t vm,
	    const kf_model_view_t *view);
	void (*kill)(void *model, uint32_t vm);
	kf_model_route_t (*route)(
	    void *model, int64_t now_us, uint32_t vm, uint32_t flow);
	kf_model_cost_t (*cost)(void *model);
} kf_model_ops_t;

/* Weighted rendezvous hash of the flow over the upstreams in force. */
extern const kf_model_ops_t kf_model_hash;
/* Owner VM by rendezvous hash over the members, records handed over. */
extern const kf_model_ops_t kf_model_owner;
/* The hash, plus records of the flows that an announced change would move. */
extern const kf_model_ops_t kf_model_tracking;

/* Weighted rendezvous choice; views must have an upstream. */
uint32_t kf_model_choose(
    const kf_model_view_t *view, uint64_t seed, uint32_t flow);

#endif
