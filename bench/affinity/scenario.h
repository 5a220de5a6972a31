#ifndef SCENARIO_H
#define SCENARIO_H

#include "kf/bench_conf.h"
#include "kf/bench_model.h"
#include "kf/verdict.h"

/* A planned change or a failure, and the load around it. */

enum {
	FABRIC_NOTICE_US = 1000000, /* the fabric stops using a dead VM */
	WARM_US = 35000000,	    /* upstreams have left their slow start */
	ANNOUNCE_US = 47000000,
	EVENT_US = 55000000,
	END_US = 79000000,
	SETTLED_US = 95000000, /* every request has ended */
	PERIOD_US = 8000000,   /* between two requests of a flow */
	ESTABLISH_US = 6000000,
	VM_COUNT = 8,
	VICTIM = 3,
};

typedef enum change {
	CHANGE_SHARE,
	CHANGE_DRAIN,
	CHANGE_UPSTREAM_ADDED,
	CHANGE_BALANCER_ADDED,
	CHANGE_BALANCER_KILLED, /* its port becomes unreachable */
	CHANGE_VM_SILENT,	/* nothing answers for it any more */
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
	int64_t delay_us[VM_COUNT]; /* of each VM's new view */
} scenario_t;

typedef struct outcome {
	uint64_t requests;
	uint64_t broken;
	uint64_t moved;	   /* flows with another upstream than before */
	uint64_t doubled;  /* non-idempotent requests run twice */
	uint64_t in_doubt; /* flows with a request in progress at the event */
	uint64_t repeated; /* idempotent requests run again */
	double max_mean;
	uint64_t control_bytes;
	uint64_t replication_bytes;
	uint64_t memory_bytes;
	uint64_t ended_as[4]; /* of broken flows: end_t */
	uint64_t unknown[KF_REASON_COUNT];
	uint64_t refused[KF_REASON_COUNT];
} outcome_t;

typedef enum end {
	END_REFUSED = 0,
	END_UNKNOWN,
	END_SILENT,
	END_MISROUTED, /* reached another upstream uncoordinated */
} end_t;

void scenario_init(scenario_t *s, const kf_conf_t *conf, change_t change,
    uint64_t seed, uint32_t flows);
void scenario_free(scenario_t *s);

/* Shares of the first service's upstreams under a declaration. */
kf_model_view_t scenario_view(const kf_declaration_t *decl, uint32_t vms);
uint32_t scenario_vms_before(const scenario_t *s);
uint32_t scenario_vms_after(const scenario_t *s);
bool scenario_kills(const scenario_t *s);

/* The balancer to which the fabric gives a packet. */
uint32_t scenario_ingress(
    const scenario_t *s, int64_t now_us, uint32_t flow, uint64_t packet);
int64_t scenario_first_us(const scenario_t *s, uint32_t flow);

/* Largest load of an upstream in force over its share; counts by view index. */
double scenario_max_mean(const kf_model_view_t *view, const uint64_t *counts);

outcome_t token_run(const scenario_t *s, const kf_conf_t *conf);
outcome_t model_run(const scenario_t *s, const kf_model_ops_t *model);

#endif
