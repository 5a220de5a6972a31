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
	kf_view_t *view;
} build_t;

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
	build->view = corpus_need(kf_view_new(&build->input), "view");
}

/* Builds a view of a size and adds its time and memory. */
static void
build_size(
    uint32_t upstreams, uint32_t vms, double x, series_t *time, series_t *held)
{
	corpus_t corpus = { upstreams, upstreams * 3 / 8, zone_count(vms),
		"local" };
	kf_view_vm_t *list = corpus_vms(vms, zone_count(vms));
	kf_keyring_t *keys = corpus_keys();
	build_t build = { .input = {
			      .self = list[0].id,
			      .settled = true,
			      .decl = corpus_declref(&corpus),
			      .keys = keys,
			      .vms = list,
			      .vm_count = vms,
			  } };
	double before;

	series_add(time, x, meter_median_ns(build_once, &build) / 1e3);
	kf_view_release(build.view);
	build.view = NULL;
	before = meter_heap_bytes();
	build_once(&build);
	series_add(held, x, meter_heap_bytes() - before);
	kf_view_release(build.view);
	kf_declref_release(build.input.decl);
	kf_keyring_delete(keys);
	free(list);
}

void
measure_view(const plan_t *plan)
{
	const uint32_t *upstreams = sizes_of(&upstream_sizes, plan);
	const uint32_t *vms = sizes_of(&vm_sizes, plan);
	series_t by_upstream = {
		.name = "view.build_16_vms", .x = "upstreams", .y = "us"
	};
	series_t held_upstream = {
		.name = "view.held_16_vms", .x = "upstreams", .y = "bytes"
	};
	series_t by_vm = {
		.name = "view.build_1000_upstreams", .x = "vms", .y = "us"
	};
	series_t held_vm = {
		.name = "view.held_1000_upstreams", .x = "vms", .y = "bytes"
	};
	series_t target = {
		.name = "view.build_16000_vms", .x = "upstreams", .y = "us"
	};
	series_t held = {
		.name = "view.held_16000_vms", .x = "upstreams", .y = "bytes"
	};
	size_t i;

	for (i = 0; i < MEASURE_SIZES && upstreams[i] != 0; i++)
		build_size(upstreams[i], vms[0], upstreams[i], &by_upstream,
		    &held_upstream);
	for (i = 0; i < MEASURE_SIZES && vms[i] != 0; i++)
		build_size(upstreams[0], vms[i], vms[i], &by_vm, &held_vm);
	for (i = 0; i < MEASURE_SIZES && upstreams[i] != 0; i++)
		build_size(upstreams[i], plan->smoke ? 16 : 16000, upstreams[i],
		    &target, &held);
	series_print(&by_upstream);
	series_print(&held_upstream);
	series_print(&by_vm);
	series_print(&held_vm);
	series_print(&target);
	series_print(&held);
}
