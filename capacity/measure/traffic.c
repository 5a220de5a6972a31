#include <stdlib.h>
#include <string.h>

#include "kf/rpc.h"
#include "kf/traffic.h"

#include "corpus.h"
#include "measure.h"
#include "meter.h"
#include "series.h"

enum {
	VMS_PER_ZONE = 727,
	UPSTREAMS_PER_VM = 5, /* 80,000 upstreams / 16,000 VMs */
	FLOWS = 1000,
	TICKS = 20,
	CALLS = 200,
	ADOPTIONS = 5,
};

static const sizes_t served_sizes = {
	.full = { 10, 100, 1000 },
	.smoke = { 8, 16, 32 },
};

static const sizes_t upstream_sizes = {
	.full = { 1000, 10000, 80000 },
	.smoke = { 40, 80, 160 },
};

static const sizes_t candidate_sizes = {
	.full = { 10, 100, 1000, 10000 },
	.smoke = { 10, 20, 40 },
};

/* One traffic core, its view, and counters of what it sent. */
typedef struct harness {
	kf_traffic_t *core;
	kf_keyring_t *keys;
	kf_view_vm_t *vms;
	kf_view_input_t input;
	kf_view_t *view;
	kf_time_t now;
	uint32_t caller;
	uint64_t replies;
	uint64_t probes;
} harness_t;

static void
on_send_caller(
    void *ctx, const kf_route_t *route, const uint8_t *data, size_t len)
{
	harness_t *harness = ctx;

	(void)route;
	(void)data;
	(void)len;
	harness->replies++;
}

static void
on_send_peer(void *ctx, kf_addr_t to, const uint8_t *data, size_t len)
{
	(void)ctx;
	(void)to;
	(void)data;
	(void)len;
}

static void
on_send_upstream(void *ctx, uint32_t upstream, kf_addr_t to, uint32_t path,
    const uint8_t *data, size_t len)
{
	harness_t *harness = ctx;

	(void)upstream;
	(void)to;
	(void)path;
	(void)data;
	(void)len;
	harness->probes++;
}

static void
on_reset_path(void *ctx, uint32_t upstream, uint32_t path)
{
	(void)ctx;
	(void)upstream;
	(void)path;
}

static void
on_decision(void *ctx, const kf_decision_t *decision)
{
	(void)ctx;
	(void)decision;
}

static kf_traffic_t *
harness_core_new(
    harness_t *harness, kf_vm_id_t self, uint32_t zone, uint64_t seed)
{
	kf_traffic_config_t config = {
		.self = self,
		.zone = zone,
		.seed = seed,
		.policy = KF_POLICY_STRIDE,
		.paths = 4,
		.token_lifetime_s = 600,
		.flow_limits = {
			.max_flows = FLOWS,
			.max_reply_bytes = 1024 * 1024,
			.idle_expiry_us = 720000000,
			.reply_expiry_us = 120000000,
		},
		.ops = {
			.ctx = harness,
			.send_caller = on_send_caller,
			.send_peer = on_send_peer,
			.send_upstream = on_send_upstream,
			.reset_path = on_reset_path,
			.decision = on_decision,
		},
	};

	kf_admission_config_init(&config.admission);
	return corpus_require(kf_traffic_new(&config), "traffic core");
}

static void
harness_build_view(harness_t *harness)
{
	kf_view_release(harness->view);
	harness->view = corpus_require(kf_view_new(&harness->input), "view");
}

static harness_t *
harness_new(const corpus_t *corpus, uint32_t vms, uint32_t vm_zones,
    uint32_t self, uint64_t seed)
{
	harness_t *harness =
	    corpus_require(calloc(1, sizeof(*harness)), "harness");

	harness->keys = corpus_keys();
	harness->vms = corpus_vms(vms, vm_zones);
	harness->now = (kf_time_t){ .mono_us = 1000000, .wall_ms = 1000000 };
	harness->input = (kf_view_input_t){
		.self = harness->vms[self].id,
		.settled = true,
		.decl = corpus_declref(corpus),
		.keys = harness->keys,
		.vms = harness->vms,
		.vm_count = vms,
	};
	harness_build_view(harness);
	harness->core = harness_core_new(
	    harness, harness->vms[self].id, harness->vms[self].zone, seed);
	return harness;
}

static void
harness_delete(harness_t *harness)
{
	kf_traffic_delete(harness->core);
	kf_view_release(harness->view);
	kf_declref_release(harness->input.decl);
	kf_keyring_delete(harness->keys);
	free(harness->vms);
	free(harness);
}

static void
harness_adopt_view(void *ctx)
{
	harness_t *harness = ctx;

	kf_traffic_on_view(harness->core, harness->now, harness->view);
}

static void
harness_adopt_view_often(void *ctx)
{
	int i;

	for (i = 0; i < ADOPTIONS; i++)
		harness_adopt_view(ctx);
}

static void
harness_run_ticks(void *ctx)
{
	harness_t *harness = ctx;
	int i;

	for (i = 0; i < TICKS; i++) {
		harness->now.mono_us += KF_TRAFFIC_TICK_MS * 1000;
		harness->now.wall_ms += KF_TRAFFIC_TICK_MS;
		kf_traffic_on_tick(harness->core, harness->now);
	}
}

/*
 * Sends first calls of new callers (procedure 0).  For each one the core places
 * a flow and replies with its token.
 */
static void
harness_call(void *ctx)
{
	harness_t *harness = ctx;
	const kf_service_t *service =
	    &kf_declref_get(harness->input.decl)->services[0];
	kf_route_t route = { .service = service->addr };
	kf_rpc_auth_sys_t id = { 1, 1 };
	uint8_t sys[64], buf[256];
	kf_rpc_call_t call = { .prog = 0x20001000, .vers = 1 };
	size_t len;
	int i;

	call.cred = (kf_rpc_auth_t){ KF_RPC_AUTH_SYS,
		(uint32_t)kf_rpc_auth_sys_write(&id, 0, sys, sizeof(sys)),
		sys };
	for (i = 0; i < CALLS; i++) {
		call.xid = ++harness->caller;
		route.caller =
		    (kf_addr_t){ 0x7f000100 + harness->caller, 5000 };
		len = kf_rpc_call_write(&call, buf, sizeof(buf));
		kf_traffic_on_caller(
		    harness->core, harness->now, &route, buf, len);
	}
}

/* Measures a VM that serves all upstreams. */
static void
measure_served_upstreams(const plan_t *plan)
{
	const uint32_t *size = sizes_of(&served_sizes, plan);
	series_t held = {
		.name = "traffic.served_held", .x = "upstreams", .y = "bytes"
	};
	series_t tick = {
		.name = "traffic.served_tick", .x = "upstreams", .y = "us"
	};
	size_t i;

	for (i = 0; i < MEASURE_SIZES && size[i] != 0; i++) {
		corpus_t corpus = { size[i], size[i] * 3 / 8, 1, "local" };
		harness_t *harness = harness_new(&corpus, 1, 1, 0, plan->seed);
		double before = meter_heap_bytes();

		harness_adopt_view(harness);
		series_add(&held, size[i], meter_heap_bytes() - before);
		series_add(&tick, size[i],
		    meter_median_ns(harness_run_ticks, harness) / 1e3 / TICKS);
		harness_delete(harness);
	}
	series_print(&held);
	series_print(&tick);
}

/* Measures a VM that serves 5 upstreams while the declaration grows. */
static void
measure_declared_upstreams(const plan_t *plan)
{
	const uint32_t *size = sizes_of(&upstream_sizes, plan);
	series_t held = {
		.name = "traffic.declared_held", .x = "upstreams", .y = "bytes"
	};
	series_t first = {
		.name = "traffic.adopt_declaration", .x = "upstreams", .y = "us"
	};
	series_t adopt = {
		.name = "traffic.adopt_view", .x = "upstreams", .y = "us"
	};
	series_t tick = {
		.name = "traffic.declared_tick", .x = "upstreams", .y = "us"
	};
	size_t i;

	for (i = 0; i < MEASURE_SIZES && size[i] != 0; i++) {
		uint32_t vms = size[i] / UPSTREAMS_PER_VM;
		uint32_t zones = (vms + VMS_PER_ZONE - 1) / VMS_PER_ZONE;
		corpus_t corpus = { size[i], size[i] * 3 / 8, zones, "local" };
		harness_t *harness =
		    harness_new(&corpus, vms, zones, 0, plan->seed);
		double before = meter_heap_bytes();
		int64_t start_ns = meter_cpu_ns();

		harness_adopt_view(harness);
		series_add(
		    &first, size[i], (double)(meter_cpu_ns() - start_ns) / 1e3);
		series_add(&held, size[i], meter_heap_bytes() - before);
		series_add(&adopt, size[i],
		    meter_median_ns(harness_adopt_view_often, harness) / 1e3 /
			ADOPTIONS);
		series_add(&tick, size[i],
		    meter_median_ns(harness_run_ticks, harness) / 1e3 / TICKS);
		harness_delete(harness);
	}
	series_print(&held);
	series_print(&first);
	series_print(&adopt);
	series_print(&tick);
}

static void
measure_placement(const plan_t *plan)
{
	const uint32_t *size = sizes_of(&candidate_sizes, plan);
	series_t time = {
		.name = "traffic.place", .x = "candidates", .y = "ns"
	};
	size_t i;

	for (i = 0; i < MEASURE_SIZES && size[i] != 0; i++) {
		corpus_t corpus = { size[i], 1, 1, "any" };
		/* The VM with index 0 owns all upstreams. */
		harness_t *harness = harness_new(&corpus, 2, 2, 1, plan->seed);

		harness_adopt_view(harness);
		series_add(&time, size[i],
		    meter_median_ns(harness_call, harness) / CALLS);
		if (harness->replies != (uint64_t)CALLS * MEASURE_REPEATS)
			corpus_require(NULL, "a token for each call");
		harness_delete(harness);
	}
	series_print(&time);
}

static void
measure_empty_core(const plan_t *plan)
{
	harness_t harness = { 0 };
	double before = meter_heap_bytes();

	harness.core = harness_core_new(
	    &harness, corpus_vm_id(0), corpus_zone(0), plan->seed);
	series_print_figure(
	    "traffic.empty_core", "bytes", meter_heap_bytes() - before);
	kf_traffic_delete(harness.core);
}

void
measure_traffic(const plan_t *plan)
{
	measure_empty_core(plan);
	measure_served_upstreams(plan);
	measure_declared_upstreams(plan);
	measure_placement(plan);
}
