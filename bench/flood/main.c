#include <apr_general.h>
#include <inttypes.h>
#include <stdio.h>

#include "kf/bench_report.h"

#include "load.h"

enum {
	WINDOW_US = 10000000,
	WINDOW_QUICK_US = 300000,
	FIFO_LIMIT = 64,
	CALLERS_QUICK = 8000,
};

static const kf_target_t goodput_kept = { "goodput_kept_percent",
	KF_BOUND_AT_LEAST, 99 };
static const kf_target_t flooding_goodput = { "flooding_class_of_reserved",
	KF_BOUND_AT_LEAST, 1 };
static const kf_target_t refusal_p99 = { "refusal_p99_ms", KF_BOUND_AT_MOST,
	5 };
static const kf_target_t refusal_max = { .measure = "refusal_max_ms" };
static const kf_target_t share_max = { .measure = "share_error_max_points" };
static const kf_target_t share_mean = { .measure = "share_error_mean_points" };

static const double reserved[KF_CLASS_COUNT] = { 0.6, 0.3, 0.1 };

static double
answered_fraction(const request_counts_t *t)
{
	return t->offered == 0 ? 0 : (double)t->answered / (double)t->offered;
}

static void
report_flooding(const load_t *load, const load_class_t *c, const char *keys)
{
	const request_counts_t *t = &c->window_counts[WINDOW_FLOOD];
	double goodput = (double)t->finished * 1e6 / (double)load->window_us;
	double share = reserved[flood_class(load->flood)];

	kf_report(&flooding_goodput, goodput / (c->capacity * share),
	    "%s goodput_rps=%.1f capacity_rps=%.1f reserved=%.2f "
	    "offered=%" PRIu64 " refused=%" PRIu64 " unknown=%" PRIu64
	    " not_sent=%" PRIu64,
	    keys, goodput, c->capacity, share, t->offered, t->refused,
	    t->unknown, load->not_sent);
}

/* Number of refusals that took longer than the target of refusal_p99. */
static uint64_t
slow_refusals(const load_class_t *c)
{
	uint64_t count = 0;
	size_t i;

	for (i = 0; i < c->refusal_ms.count; i++)
		count += c->refusal_ms.values[i] > refusal_p99.limit;
	return count;
}

static void
report(const kf_bench_options_t *o, load_t *load, const char *design)
{
	char keys[160];
	uint32_t cls;

	for (cls = 0; cls < KF_CLASS_COUNT; cls++) {
		load_class_t *c = &load->classes[cls];
		const request_counts_t *base = &c->window_counts[WINDOW_BASE];
		const request_counts_t *t = &c->window_counts[WINDOW_FLOOD];

		snprintf(keys, sizeof(keys),
		    "deployment=%s flood=%s design=%s class=%s seed=%" PRIu64,
		    o->deployment, flood_name(load->flood), design,
		    kf_class_name(c->cls), load->seed);
		if (cls == flood_class(load->flood))
			report_flooding(load, c, keys);
		else
			kf_report(&goodput_kept,
			    100 * answered_fraction(t) /
				answered_fraction(base),
			    "%s offered=%" PRIu64 " answered=%" PRIu64
			    " late=%" PRIu64 " refused=%" PRIu64
			    " unknown=%" PRIu64,
			    keys, t->offered, t->answered, t->late, t->refused,
			    t->unknown);
		if (c->refusal_ms.count == 0)
			continue;
		kf_report(&refusal_p99,
		    kf_sample_percentile(&c->refusal_ms, 99),
		    "%s p50=%.3f p90=%.3f refusals=%zu slow=%" PRIu64, keys,
		    kf_sample_percentile(&c->refusal_ms, 50),
		    kf_sample_percentile(&c->refusal_ms, 90),
		    c->refusal_ms.count, slow_refusals(c));
		kf_report(
		    &refusal_max, kf_sample_max(&c->refusal_ms), "%s", keys);
	}
}

static void
run_flood(const kf_bench_options_t *o, const kf_conf_t *conf, flood_t flood)
{
	int64_t window_us = o->quick ? WINDOW_QUICK_US : WINDOW_US;
	load_t load;

	load_init(&load, conf, flood, o->seed, window_us);
	fifo_run(&load, 0);
	report(o, &load, "fifo_without_limit");
	load_free(&load);
	load_init(&load, conf, flood, o->seed, window_us);
	fifo_run(&load, FIFO_LIMIT);
	report(o, &load, "fifo_with_limit");
	load_free(&load);
	load_init(&load, conf, flood, o->seed, window_us);
	if (o->quick)
		load.callers = CALLERS_QUICK;
	traffic_run(&load, conf);
	report(o, &load, "admission");
	load_free(&load);
}

static void
run_ramp(const kf_bench_options_t *o, const kf_conf_t *conf)
{
	static const uint32_t rates[] = { 100, 1000, 5000 };
	double max, mean;
	size_t i;

	for (i = 0; i < (o->quick ? 1 : sizeof(rates) / sizeof(rates[0]));
	     i++) {
		ramp_run(conf, o->seed, rates[i], &max, &mean);
		kf_report(&share_max, max,
		    "deployment=%s new_flows_per_s=%" PRIu32 " seed=%" PRIu64,
		    o->deployment, rates[i], o->seed);
		kf_report(&share_mean, mean,
		    "deployment=%s new_flows_per_s=%" PRIu32 " seed=%" PRIu64,
		    o->deployment, rates[i], o->seed);
	}
}

int
main(int argc, char **argv)
{
	kf_bench_options_t options;
	kf_conf_t *conf;
	int flood;

	kf_bench_options_parse(&options, argc, argv,
	    "Goodput of each class while another class floods the fleet");
	apr_initialize();
	conf = kf_conf_load(&options);
	for (flood = 0; flood < FLOOD_COUNT; flood++)
		run_flood(&options, conf, (flood_t)flood);
	run_ramp(&options, conf);
	kf_conf_delete(conf);
	apr_terminate();
	return 0;
}
