#ifndef PLACER_H
#define PLACER_H

#include "kf/bench_options.h"
#include "kf/placement.h"

/* Balancers that place flows with kf_balance_t on the same upstreams. */

enum { BALANCERS = 8, UPSTREAMS = 14 };

typedef enum phase {
	PHASE_STEADY = 0,
	PHASE_JOIN,    /* the last upstream joins with a slow start */
	PHASE_LAGGING, /* short flows; loads are known with a delay */
	PHASE_COUNT
} phase_t;

typedef struct placing {
	phase_t phase;
	kf_policy_t policy;
	bool unequal; /* slots */
	uint32_t flows;
	uint64_t seed;
	const kf_declaration_t *decl;
} placing_t;

/* Ratios to the share that an upstream's slots give it. */
typedef struct spread {
	double flow_max;
	double flow_p95;
	double request_max;
	double request_p95;
} spread_t;

spread_t placer_run(const placing_t *placing);
const char *phase_name(phase_t phase);

#endif
