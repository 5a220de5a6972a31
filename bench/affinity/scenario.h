#ifndef SCENARIO_H
#define SCENARIO_H

#include "kf/bench_conf.h"
#include "kf/bench_model.h"
#include "kf/verdict.h"

/*
 * A planned change or a failure, and the requests sent before and after it.
 * Times count from the start of the simulation.
 */

enum {
	FABRIC_NOTICE_US = 1000000,  /* until the fabric bypasses a dead VM */
	FIRST_REQUEST_US = 35000000, /* slow start of the upstreams is over */
	ANNOUNCE_US = 47000000,	     /* announcement of a planned change */
	EVENT_US = 55000000,	     /* the change or failure */
	END_US = 79000000,	     /* flows schedule no further requests */
	SETTLED_US = 95000000,	     /* all requests have completed */
	PERIOD_US = 8000000,	     /* between requests of a flow */
	ESTABLISH_US = 6000000,
	VM_COUNT = 8,
	KILLED_VM = 3,
};

typedef enum change {
	CHANGE_SHARE,
	CHANGE_DRAIN,
	CHANGE_UPSTREAM_ADDED,
	CHANGE_BALANCER_ADDED,
	CHANGE_BALANCER_KILLED, /* its port is reported unreachable */
	CHANGE_VM_SILENT,	/* sends neither replies nor ICMP errors */
	CHANGE_UNEVEN_VIEWS,
	CHANGE_COUNT
} change_t;

typedef struct scenario {
	change_t change;
	const char *name;
	uint64_t seed;
	uint32_t flows;
	uint32_t running; /* VMs before the event */
	kf_declref_t *before;
	kf_declref_t *after;
	int64_t delay_us[VM_COUNT]; /* until a VM applies the change */
} scenario_t;

typedef struct outcome {
	uint64_t requests;
	uint64_t broken;
	uint64_t moved;	   /* flows whose upstream changed */
	uint64_t doubled;  /* repeated runs of non-idempotent requests */
	uint64_t in_doubt; /* flows with a request in progress at the event */
	uint64_t repeated; /* repeated runs of idempotent requests */
	double max_mean;
	uint64_t control_bytes;
	uint64_t replication_bytes;
	uint64_t memory_bytes;
	uint64_t ended_as[4]; /* broken flows by end_t */
	uint64_t unknown[KF_REASON_COUNT];
	uint64_t refused[KF_REASON_COUNT];
} outcome_t;

typedef enum end {
	END_REFUSED = 0,
	END_UNKNOWN,
	END_SILENT,
	END_MISROUTED, /* changed upstream without coordination */
} end_t;

void scenario_init(scenario_t *s, const kf_conf_t *conf, change_t change,
    uint64_t seed, uint32_t flows);
void scenario_free(scenario_t *s);

/*
 * The first service's upstreams with their shares.  vms is the bit set of live
 * VMs.
 */
kf_model_view_t scenario_view(const kf_declaration_t *decl, uint32_t vms);
uint32_t scenario_vms_before(const scenario_t *s);
uint32_t scenario_vms_after(const scenario_t *s);
bool scenario_kills(const scenario_t *s);

/* The balancer that receives a packet from the fabric. */
uint32_t scenario_ingress(
    const scenario_t *s, int64_t now_us, uint32_t flow, uint64_t packet);
int64_t scenario_first_us(const scenario_t *s, uint32_t flow);

/*
 * Largest ratio of an upstream's part of the flows to its share, without
 * upstreams of weight 0.  counts has the order of the view.
 */
double scenario_max_mean(const kf_model_view_t *view, const uint64_t *counts);

outcome_t token_run(const scenario_t *s, const kf_conf_t *conf);
outcome_t model_run(const scenario_t *s, const kf_model_ops_t *model);

#endif
