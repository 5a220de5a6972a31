#include <apr_general.h>
#include <inttypes.h>
#include <stdio.h>

#include "kf/bench_options.h"
#include "kf/bench_report.h"

#include "scenario.h"

enum { FLOWS = 28000, FLOWS_QUICK = 300 };

static const kf_target_t broken_target = { "broken_flows", KF_BOUND_AT_MOST,
	0 };
static const kf_target_t imbalance_target = { "flow_max_mean", KF_BOUND_AT_MOST,
	1.05 };
static const kf_target_t control_target = { "control_bytes_per_vm_s",
	KF_BOUND_AT_MOST, 2048 };
static const kf_target_t moved_target = { .measure = "moved_flows" };
static const kf_target_t memory_target = { .measure = "record_bytes" };
static const kf_target_t doubled_target = { "doubled", KF_BOUND_AT_MOST, 0 };
static const kf_target_t replication_target = { .measure =
						    "replication_bytes_per_"
						    "request" };

static void
report(const kf_bench_options_t *o, const scenario_t *s, const char *design,
    const outcome_t *out)
{
	char keys[160];
	const double seconds = SETTLED_US / 1e6;

	snprintf(keys, sizeof(keys),
	    "deployment=%s event=%s design=%s seed=%" PRIu64, o->deployment,
	    s->name, design, s->seed);
	kf_report(&broken_target, (double)out->broken,
	    "%s flows=%" PRIu32 " refused=%" PRIu64 " unknown=%" PRIu64
	    " silent=%" PRIu64 " misrouted=%" PRIu64 " in_doubt=%" PRIu64,
	    keys, s->flows, out->ended_as[END_REFUSED],
	    out->ended_as[END_UNKNOWN], out->ended_as[END_SILENT],
	    out->ended_as[END_MISROUTED], out->in_doubt);
	kf_report(&moved_target, (double)out->moved, "%s", keys);
	kf_report(&imbalance_target, out->max_mean, "%s", keys);
	kf_report(&control_target,
	    (double)out->control_bytes / VM_COUNT / seconds,
	    "%s total=%" PRIu64, keys, out->control_bytes);
	kf_report(&memory_target, (double)out->memory_bytes, "%s", keys);
}

static void
report_reasons(const kf_bench_options_t *o, const scenario_t *s,
    const char *measure, const uint64_t *counts)
{
	kf_target_t target = { .measure = measure };
	int reason;

	for (reason = 0; reason < KF_REASON_COUNT; reason++) {
		if (counts[reason] > 0)
			kf_report(&target, (double)counts[reason],
			    "deployment=%s event=%s design=token reason=%s",
			    o->deployment, s->name,
			    kf_reason_name((kf_reason_t)reason));
	}
}

static void
run_change(const kf_bench_options_t *o, const kf_conf_t *conf, change_t change)
{
	static const kf_model_ops_t *const models[] = { &kf_model_hash,
		&kf_model_owner, &kf_model_tracking };
	scenario_t s;
	outcome_t out;
	size_t i;

	scenario_init(
	    &s, conf, change, o->seed, o->quick ? FLOWS_QUICK : FLOWS);
	for (i = 0; i < sizeof(models) / sizeof(models[0]); i++) {
		out = model_run(&s, models[i]);
		report(o, &s, models[i]->name, &out);
	}
	out = token_run(&s, conf);
	report(o, &s, "token", &out);
	kf_report(&doubled_target, (double)out.doubled,
	    "deployment=%s event=%s design=token requests=%" PRIu64
	    " repeated=%" PRIu64,
	    o->deployment, s.name, out.requests, out.repeated);
	kf_report(&replication_target,
	    (double)out.replication_bytes / (double)out.requests,
	    "deployment=%s event=%s design=token", o->deployment, s.name);
	report_reasons(o, &s, "unknown_outcomes", out.unknown);
	report_reasons(o, &s, "refusals", out.refused);
	scenario_free(&s);
}

int
main(int argc, char **argv)
{
	kf_bench_options_t options;
	kf_conf_t *conf;
	int change;

	kf_bench_options_parse(&options, argc, argv,
	    "Broken flows and cost of ways to find a flow's upstream");
	apr_initialize();
	conf = kf_conf_load(&options);
	for (change = 0; change < CHANGE_COUNT; change++)
		run_change(&options, conf, (change_t)change);
	kf_conf_delete(conf);
	apr_terminate();
	return 0;
}
