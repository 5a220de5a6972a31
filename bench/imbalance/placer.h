#ifndef PLACER_H
#define PLACER_H

#include "kf/bench_options.h"
#include "kf/placement.h"

/* Balancers that place flows on shared upstreams with kf_balance_t. */

enum { BALANCERS = 8, UPSTREAMS = 14 };

typedef enum phase {
	PHASE_STEADY = 0,
	PHASE_JOIN,    /* the last upstream is in slow start */
	PHASE_LAGGING, /* the balancers know loads with a delay */
	PHASE_COUNT
} phase_t;

typedef struct placer_config {
	phase_t phase;
	kf_policy_t policy;
	bool unequal; /* upstreams differ in slots */
	uint32_t flows;
	uint64_t seed;
	const kf_declaration_t *decl;
} placer_config_t;

/* Load of an upstream relative to its part of the capacity; ideal is 1. */
typedef struct imbalance {
	double flow_max;
	double flow_p95;
	double request_max;
	double request_p95;
} imbalance_t;

imbalance_t placer_run(const placer_config_t *placer_config);
const char *phase_name(phase_t phase);

#endif
