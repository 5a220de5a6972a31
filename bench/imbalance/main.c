#include <apr_general.h>
#include <inttypes.h>
#include <stdio.h>

#include "kf/bench_conf.h"
#include "kf/bench_report.h"

#include "placer.h"

static const uint32_t sizes[] = { 1000, 3000, 10000, 30000, 100000 };

enum { SIZE_COUNT = sizeof(sizes) / sizeof(sizes[0]), LARGEST_QUICK = 1000 };

static const kf_target_t flow_max = { "flow_max_mean", KF_BOUND_AT_MOST, 1.05 };
static const kf_target_t flow_p95 = { .measure = "flow_p95_mean" };
static const kf_target_t request_max = { "request_max_mean", KF_BOUND_AT_MOST,
	1.05 };
static const kf_target_t request_p95 = { .measure = "request_p95_mean" };

static void
report(const kf_bench_options_t *o, const placer_config_t *p)
{
	imbalance_t imbalance = placer_run(p);
	char keys[160];

	snprintf(keys, sizeof(keys),
	    "deployment=%s phase=%s policy=%s slots=%s flows=%" PRIu32
	    " seed=%" PRIu64,
	    o->deployment, phase_name(p->phase), kf_policy_name(p->policy),
	    p->unequal ? "unequal" : "equal", p->flows, p->seed);
	kf_report(&flow_max, imbalance.flow_max, "%s", keys);
	kf_report(&flow_p95, imbalance.flow_p95, "%s", keys);
	kf_report(&request_max, imbalance.request_max, "%s", keys);
	kf_report(&request_p95, imbalance.request_p95, "%s", keys);
}

static void
run_sizes(const kf_bench_options_t *o, placer_config_t *p)
{
	uint32_t i;

	for (i = 0; i < SIZE_COUNT; i++) {
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
	placer_config_t p;
	int phase, policy, unequal;

	kf_bench_options_parse(&options, argc, argv,
	    "Imbalance of the ways to choose an upstream");
	apr_initialize();
	conf = kf_conf_load(&options);
	p = (placer_config_t){ .seed = options.seed, .decl = conf->decl };
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
