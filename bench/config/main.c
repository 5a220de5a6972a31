#include <apr_general.h>
#include <inttypes.h>
#include <stdio.h>

#include "kf/bench_report.h"
#include "kf/bench_sample.h"

#include "control_sim.h"

#define SECOND_US INT64_C(1000000)

enum {
	SETTLE_S = 20,
	STEADY_S = 10,
	PUBLICATIONS = 5,
	PUBLICATION_S = 4,
	/* Simulating a large fleet for a whole hour takes too long. */
	OUTAGE_S = 3600,
	OUTAGE_LARGE_S = 60,
	OUTAGE_QUICK_S = 5,
	LARGE_VMS = 100,
	OUTAGE_MEASURED_S =
	    20, /* final part of the outage, which is measured */
	DOWN_S = 2,
	RECOVERY_S = 10,
};

static const kf_target_t in_force = { "in_force_s", KF_BOUND_AT_MOST, 3 };
static const kf_target_t reads = { "platform_reads_per_s", KF_BOUND_AT_MOST,
	2000 };
static const kf_target_t peak_reads = { "platform_reads_peak_s",
	KF_BOUND_AT_MOST, 2000 };
static const kf_target_t control_bytes = { "control_bytes_per_vm_s",
	KF_BOUND_AT_MOST, 2048 };
static const kf_target_t missing = { "vms_without_revision", KF_BOUND_AT_MOST,
	0 };

typedef struct run {
	const kf_bench_options_t *options;
	control_sim_t *control_sim;
	char keys[128];
} run_t;

static void
measure_steady(run_t *r, const char *when, int64_t seconds)
{
	control_sim_t *sim = r->control_sim;
	uint64_t before[CONTROL_SIM_VMS_MAX] = { 0 };
	uint64_t started = platform_reads(sim->platform);
	double bytes, sum = 0, max = 0;
	uint32_t i;

	for (i = 0; i < sim->vms; i++)
		before[i] = sim->instances[i].bytes;
	platform_peak_reads(sim->platform);
	control_sim_run(sim, seconds * SECOND_US);
	for (i = 0; i < sim->vms; i++) {
		bytes = (double)(sim->instances[i].bytes - before[i]) /
		    (double)seconds;
		sum += bytes;
		if (bytes > max)
			max = bytes;
	}
	kf_report(&control_bytes, max, "%s when=%s statistic=max mean=%.1f",
	    r->keys, when, sum / sim->vms);
	kf_report(&reads,
	    (double)(platform_reads(sim->platform) - started) / (double)seconds,
	    "%s when=%s", r->keys, when);
	kf_report(&peak_reads, (double)platform_peak_reads(sim->platform),
	    "%s when=%s", r->keys, when);
}

/* Adds for each VM the time until the published revision is in force. */
static void
add_delays(const run_t *r, int64_t published_us, kf_sample_t *delays)
{
	uint32_t i;

	for (i = 0; i < r->control_sim->vms; i++) {
		const instance_t *instance = &r->control_sim->instances[i];

		if (instance->revision == r->control_sim->revision)
			kf_sample_add(delays,
			    (double)(instance->in_force_us - published_us) /
				SECOND_US);
	}
}

static void
report_delays(run_t *r, const char *when, kf_sample_t *delays, uint32_t without)
{
	kf_report(&in_force, kf_sample_max(delays),
	    "%s when=%s statistic=max p50=%.3f p99=%.3f", r->keys, when,
	    kf_sample_percentile(delays, 50), kf_sample_percentile(delays, 99));
	kf_report(&missing, without, "%s when=%s", r->keys, when);
	kf_sample_free(delays);
}

static void
measure_publications(run_t *r)
{
	control_sim_t *sim = r->control_sim;
	kf_sample_t delays = { 0 };
	uint32_t i, without = 0;
	int64_t at_us;

	for (i = 0; i < PUBLICATIONS; i++) {
		control_sim_run(sim, kf_random_below(&sim->random, SECOND_US));
		at_us = control_sim_now_us(sim);
		control_sim_publish(sim);
		control_sim_run(sim, PUBLICATION_S * SECOND_US);
		add_delays(r, at_us, &delays);
		without += sim->vms - control_sim_count_in_force(sim);
	}
	report_delays(r, "publication", &delays, without);
}

static void
measure_outage(run_t *r)
{
	control_sim_t *sim = r->control_sim;
	kf_sample_t delays = { 0 };
	int64_t outage_s = sim->vms > LARGE_VMS ? OUTAGE_LARGE_S : OUTAGE_S;
	char when[64];
	int64_t at_us;

	if (r->options->quick)
		outage_s = OUTAGE_QUICK_S;
	platform_set_down(sim->platform, true);
	if (outage_s > OUTAGE_MEASURED_S)
		control_sim_run(
		    sim, (outage_s - OUTAGE_MEASURED_S) * SECOND_US);
	snprintf(when, sizeof(when), "outage_%" PRId64 "s", outage_s);
	measure_steady(r, when,
	    outage_s > OUTAGE_MEASURED_S ? OUTAGE_MEASURED_S : outage_s);
	platform_set_down(sim->platform, false);
	at_us = control_sim_now_us(sim);
	control_sim_publish(sim);
	platform_peak_reads(sim->platform);
	control_sim_run(sim, RECOVERY_S * SECOND_US);
	add_delays(r, at_us, &delays);
	report_delays(r, "after_outage", &delays,
	    sim->vms - control_sim_count_in_force(sim));
	kf_report(&peak_reads, (double)platform_peak_reads(sim->platform),
	    "%s when=after_outage", r->keys);
}

static void
measure_zone_restart(run_t *r)
{
	control_sim_t *sim = r->control_sim;
	uint32_t zone = control_sim_zone(sim, 0), i, n = 0;
	kf_sample_t delays = { 0 };
	int64_t at_us;

	for (i = 0; i < sim->vms; i++) {
		if (control_sim_zone(sim, i) == zone)
			control_sim_kill(sim, i);
	}
	control_sim_run(sim, DOWN_S * SECOND_US);
	at_us = control_sim_now_us(sim);
	platform_peak_reads(sim->platform);
	for (i = 0; i < sim->vms; i++) {
		if (control_sim_zone(sim, i) != zone)
			continue;
		control_sim_restart(sim, i);
		n++;
	}
	control_sim_run(sim, RECOVERY_S * SECOND_US);
	for (i = 0; i < sim->vms; i++) {
		if (control_sim_zone(sim, i) == zone &&
		    sim->instances[i].revision == sim->revision)
			kf_sample_add(&delays,
			    (double)(sim->instances[i].in_force_us - at_us) /
				SECOND_US);
	}
	report_delays(r, "zone_restart", &delays,
	    sim->vms - control_sim_count_in_force(sim));
	kf_report(&peak_reads, (double)platform_peak_reads(sim->platform),
	    "%s when=zone_restart restarted=%" PRIu32, r->keys, n);
}

static void
run_size(const kf_bench_options_t *options, const kf_conf_t *conf, uint32_t vms)
{
	run_t r = { .options = options };

	r.control_sim = control_sim_new(conf, vms, options->seed);
	snprintf(r.keys, sizeof(r.keys),
	    "deployment=%s vms=%" PRIu32 " seed=%" PRIu64, options->deployment,
	    vms, options->seed);
	control_sim_run(r.control_sim, SETTLE_S * SECOND_US);
	measure_steady(&r, "steady", options->quick ? 1 : STEADY_S);
	measure_publications(&r);
	measure_outage(&r);
	measure_zone_restart(&r);
	control_sim_delete(r.control_sim);
}

int
main(int argc, char **argv)
{
	static const uint32_t sizes[] = { 8, 64, 700 };
	kf_bench_options_t options;
	kf_conf_t *conf;
	size_t i;

	kf_bench_options_parse(&options, argc, argv,
	    "Time until a revision is in force and cost of control");
	apr_initialize();
	conf = kf_conf_load(&options);
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		run_size(&options, conf, sizes[i]);
		if (options.quick)
			break;
	}
	kf_conf_delete(conf);
	apr_terminate();
	return 0;
}
