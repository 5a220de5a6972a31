#include <stdlib.h>

#include "corpus.h"
#include "measure.h"
#include "meter.h"
#include "series.h"

enum { VMS_PER_ZONE = 727 };

static const sizes_t upstream_sizes = {
	.full = { 1000, 10000, 80000 },
	.smoke = { 40, 80, 160 },
};

static const sizes_t vm_sizes = {
	.full = { 16, 727, 4000, 16000 },
	.smoke = { 4, 8, 16 },
};

typedef struct build {
	kf_view_input_t input;
	kf_view_vm_t *vms;
	kf_view_t *view;
} build_t;

/* Returns the last digest of an upstream, which a view copies. */
static const kf_view_digest_t *
on_digest(void *ctx, uint32_t upstream_id)
{
	(void)upstream_id;
	return ctx;
}

static uint32_t
zone_count(uint32_t vms)
{
	return (vms + VMS_PER_ZONE - 1) / VMS_PER_ZONE;
}

static void
build_once(void *ctx)
{
	build_t *build = ctx;

	kf_view_release(build->view);
	build->view = corpus_require(kf_view_new(&build->input), "view");
}

/* Builds a view from the last one, with new digests only. */
static void
refresh_once(void *ctx)
{
	static kf_view_digest_t digest;
	build_t *build = ctx;
	kf_view_t *last = build->view;

	build->input.previous = last;
	build->input.digest = on_digest;
	build->input.ctx = &digest;
	build->view = corpus_require(kf_view_new(&build->input), "view");
	build->input.previous = NULL;
	kf_view_release(last);
}

/* Builds a view after one VM has died or has become alive again. */
static void
change_vm_once(void *ctx)
{
	build_t *build = ctx;
	kf_view_vm_t *vm = &build->vms[1];

	vm->liveness = vm->liveness == KF_VM_ALIVE ? KF_VM_DEAD : KF_VM_ALIVE;
	refresh_once(build);
}

typedef struct view_series {
	series_t build; /* without a previous view */
	series_t held;
	series_t refresh; /* only digests differ */
	series_t change;  /* one VM differs */
} view_series_t;

/* Measures views of one size; x is the upstreams or VMs, whichever varies. */
static void
measure_size(uint32_t upstreams, uint32_t vms, double x, view_series_t *out)
{
	corpus_t corpus = { upstreams, upstreams * 3 / 8, zone_count(vms),
		"local" };
	kf_keyring_t *keys = corpus_keys();
	build_t build = { .vms = corpus_vms(vms, zone_count(vms)) };
	double before;

	build.input = (kf_view_input_t){
		.self = build.vms[0].id,
		.settled = true,
		.decl = corpus_declref(&corpus),
		.keys = keys,
		.vms = build.vms,
		.vm_count = vms,
	};
	series_add(&out->build, x, meter_median_ns(build_once, &build) / 1e3);
	kf_view_release(build.view);
	build.view = NULL;
	before = meter_heap_bytes();
	build_once(&build);
	series_add(&out->held, x, meter_heap_bytes() - before);
	series_add(
	    &out->refresh, x, meter_median_ns(refresh_once, &build) / 1e3);
	series_add(
	    &out->change, x, meter_median_ns(change_vm_once, &build) / 1e3);
	kf_view_release(build.view);
	kf_declref_release(build.input.decl);
	kf_keyring_delete(keys);
	free(build.vms);
}

static void
view_series_print(const view_series_t *series)
{
	series_print(&series->build);
	series_print(&series->held);
	series_print(&series->refresh);
	series_print(&series->change);
}

static const char *const few_vms_names[] = { "view.build_16_vms",
	"view.held_16_vms", "view.refresh_16_vms", "view.change_16_vms" };
static const char *const vm_series_names[] = { "view.build_1000_upstreams",
	"view.held_1000_upstreams", "view.refresh_1000_upstreams",
	"view.change_1000_upstreams" };
static const char *const full_fleet_names[] = { "view.build_16000_vms",
	"view.held_16000_vms", "view.refresh_16000_vms",
	"view.change_16000_vms" };

static view_series_t
view_series_new(const char *const names[4], const char *x)
{
	return (view_series_t){
		.build = { .name = names[0], .x = x, .y = "us" },
		.held = { .name = names[1], .x = x, .y = "bytes" },
		.refresh = { .name = names[2], .x = x, .y = "us" },
		.change = { .name = names[3], .x = x, .y = "us" },
	};
}

void
measure_view(const plan_t *plan)
{
	const uint32_t *upstreams = sizes_of(&upstream_sizes, plan);
	const uint32_t *vms = sizes_of(&vm_sizes, plan);
	view_series_t few_vms = view_series_new(few_vms_names, "upstreams");
	view_series_t by_vm = view_series_new(vm_series_names, "vms");
	view_series_t full_fleet =
	    view_series_new(full_fleet_names, "upstreams");
	size_t i;

	for (i = 0; i < MEASURE_SIZES && upstreams[i] != 0; i++) {
		measure_size(upstreams[i], vms[0], upstreams[i], &few_vms);
		measure_size(upstreams[i], plan->smoke ? 16 : 16000,
		    upstreams[i], &full_fleet);
	}
	for (i = 0; i < MEASURE_SIZES && vms[i] != 0; i++)
		measure_size(upstreams[0], vms[i], vms[i], &by_vm);
	view_series_print(&few_vms);
	view_series_print(&by_vm);
	view_series_print(&full_fleet);
}
