#include <apr_general.h>
#include <inttypes.h>
#include <stdio.h>

#include "kf/bench_conf.h"
#include "kf/bench_report.h"

#include "placer.h"

static const uint32_t sizes[] = { 1000, 3000, 10000, 30000, 100000 };

enum { SIZES = sizeof(sizes) / sizeof(sizes[0]), LARGEST_QUICK = 1000 };

static const kf_target_t flow_max = { "flow_max_mean", KF_BOUND_AT_MOST, 1.05 };
static const kf_target_t flow_p95 = { .measure = "flow_p95_mean" };
static const kf_target_t request_max = { "request_max_mean", KF_BOUND_AT_MOST,
	1.05 };
static const kf_target_t request_p95 = { .measure = "request_p95_mean" };

static void
report(const kf_bench_options_t *o, const placing_t *p)
{
	spread_t spread = placer_run(p);
	char keys[160];

	snprintf(keys, sizeof(keys),
	    "deployment=%s phase=%s policy=%s slots=%s flows=%" PRIu32
	    " seed=%" PRIu64,
	    o->deployment, phase_name(p->phase), kf_policy_name(p->policy),
	    p->unequal ? "unequal" : "equal", p->flows, p->seed);
	kf_report(&flow_max, spread.flow_max, "%s", keys);
	kf_report(&flow_p95, spread.flow_p95, "%s", keys);
	kf_report(&request_max, spread.request_max, "%s", keys);
	kf_report(&request_p95, spread.request_p95, "%s", keys);
}

static void
run_sizes(const kf_bench_options_t *o, placing_t *p)
{
	uint32_t i;

	for (i = 0; i < SIZES; i++) {
		if (o->quick && sizes[i] > LARGEST_QUICK)
			return;
		p->flows = sizes[i];
		report(o, p);
	}
}

int
main(int argc, char **argv)
{
	kf_bench_options_t options;
	kf_conf_t *conf;
	placing_t p;
	int phase, policy, unequal;

	kf_bench_options_parse(&options, argc, argv,
	    "Imbalance of the ways to choose an upstream");
	apr_initialize();
	conf = kf_conf_load(&options);
	p = (placing_t){ .seed = options.seed, .decl = conf->decl };
	for (phase = 0; phase < PHASE_COUNT; phase++) {
		for (policy = 0; policy < KF_POLICY_COUNT; policy++) {
			for (unequal = 0; unequal < 2; unequal++) {
				p.phase = (phase_t)phase;
				p.policy = (kf_policy_t)policy;
				p.unequal = unequal;
				run_sizes(&options, &p);
			}
		}
	}
	kf_conf_delete(conf);
	apr_terminate();
	return 0;
}
