#include <apr_general.h>
#include <inttypes.h>
#include <stdio.h>

#include "kf/bench_report.h"
#include "kf/bench_sample.h"

#include "paths.h"

enum {
	PACKETS = 200000,
	PACKETS_QUICK = 2000,
	ROUNDS = 5, /* the median is reported */
	RECORDS = 200000,
	RECORDS_QUICK = 2000,
	REPLY_BYTES = 200,
	/*
	 * 18 upstreams with 2000 connections each.  Owner and backup both keep
	 * a record.
	 */
	FLOWS_IN_FORCE = 18 * 2000,
};

static const kf_target_t packets_per_s = { "packets_per_s_core",
	KF_BOUND_AT_LEAST, 1e6 };
static const kf_target_t step_ns = { .measure = "step_ns" };
static const kf_target_t record_bytes = { .measure = "flow_record_bytes" };

static void
report_path(const kf_bench_options_t *o, rig_t *rig, const path_t *path)
{
	uint32_t count = o->quick ? PACKETS_QUICK : PACKETS, round;
	kf_sample_t ns = { 0 };
	path_cost_t cost = { 0 };
	double median;

	for (round = 0; round < ROUNDS; round++) {
		cost = path->run(rig, count);
		kf_sample_add(&ns, cost.ns);
	}
	median = kf_sample_percentile(&ns, 50);
	kf_report(path->packets > 0 ? &packets_per_s : &step_ns,
	    path->packets > 0 ? path->packets * 1e9 / median : median,
	    "deployment=%s path=%s seed=%" PRIu64 " ns=%.0f packets=%" PRIu32
	    " bytes_in=%.0f bytes_out=%.0f",
	    o->deployment, path->name, o->seed, median, path->packets,
	    cost.bytes_in, cost.bytes_out);
	kf_sample_free(&ns);
}

static void
report_records(const kf_bench_options_t *o)
{
	uint32_t flows = o->quick ? RECORDS_QUICK : RECORDS;
	double bytes = flow_record_bytes(flows, 0);

	kf_report(&record_bytes, bytes,
	    "deployment=%s flows=%" PRIu32 " reply_bytes=0", o->deployment,
	    flows);
	kf_report(&record_bytes, flow_record_bytes(flows, REPLY_BYTES),
	    "deployment=%s flows=%" PRIu32 " reply_bytes=%d", o->deployment,
	    flows, REPLY_BYTES);
	printf("measure=flow_record_total deployment=%s flows=%d copies=2 "
	       "value=%.0f target=none met=none\n",
	    o->deployment, FLOWS_IN_FORCE, 2 * bytes * FLOWS_IN_FORCE);
}

int
main(int argc, char **argv)
{
	kf_bench_options_t options;
	kf_conf_t *conf;
	rig_t *rig;
	size_t i;

	kf_bench_options_parse(
	    &options, argc, argv, "Time and memory of the decision path");
	apr_initialize();
	conf = kf_conf_load(&options);
	rig = rig_new(conf, options.seed);
	for (i = 0; i < path_count; i++)
		report_path(&options, rig, &paths[i]);
	report_records(&options);
	rig_delete(rig);
	kf_conf_delete(conf);
	apr_terminate();
	return 0;
}
