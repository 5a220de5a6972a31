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
	UPSTREAMS_PER_VM = 5, /* 80,000 upstreams of 16,000 VMs */
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

/* One core, its view and what the core sent. */
typedef struct world {
	kf_traffic_t *core;
	kf_keyring_t *keys;
	kf_view_vm_t *vms;
	kf_view_input_t input;
	kf_view_t *view;
	kf_time_t now;
	uint32_t caller;
	uint64_t replies;
	uint64_t probes;
} world_t;

static void
on_send_caller(
    void *ctx, const kf_route_t *route, const uint8_t *data, size_t len)
{
	world_t *world = ctx;

	(void)route;
	(void)data;
	(void)len;
	world->replies++;
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
	world_t *world = ctx;

	(void)upstream;
	(void)to;
	(void)path;
	(void)data;
	(void)len;
	world->probes++;
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
world_core(world_t *world, kf_vm_id_t self, uint32_t zone, uint64_t seed)
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
			.ctx = world,
			.send_caller = on_send_caller,
			.send_peer = on_send_peer,
			.send_upstream = on_send_upstream,
			.reset_path = on_reset_path,
			.decision = on_decision,
		},
	};

	kf_admission_config_init(&config.admission);
	return corpus_need(kf_traffic_new(&config), "traffic core");
}

static void
world_view(world_t *world)
{
	kf_view_release(world->view);
	world->view = corpus_need(kf_view_new(&world->input), "view");
}

static world_t *
world_new(const corpus_t *corpus, uint32_t vms, uint32_t vm_zones,
    uint32_t self, uint64_t seed)
{
	world_t *world = corpus_need(calloc(1, sizeof(*world)), "world");

	world->keys = corpus_keys();
	world->vms = corpus_vms(vms, vm_zones);
	world->now = (kf_time_t){ .mono_us = 1000000, .wall_ms = 1000000 };
	world->input = (kf_view_input_t){
		.self = world->vms[self].id,
		.settled = true,
		.decl = corpus_declref(corpus),
		.keys = world->keys,
		.vms = world->vms,
		.vm_count = vms,
	};
	world_view(world);
	world->core =
	    world_core(world, world->vms[self].id, world->vms[self].zone, seed);
	return world;
}

static void
world_delete(world_t *world)
{
	kf_traffic_delete(world->core);
	kf_view_release(world->view);
	kf_declref_release(world->input.decl);
	kf_keyring_delete(world->keys);
	free(world->vms);
	free(world);
}

static void
world_adopt(void *ctx)
{
	world_t *world = ctx;

	kf_traffic_on_view(world->core, world->now, world->view);
}

static void
world_adopt_often(void *ctx)
{
	int i;

	for (i = 0; i < ADOPTIONS; i++)
		world_adopt(ctx);
}

static void
world_ticks(void *ctx)
{
	world_t *world = ctx;
	int i;

	for (i = 0; i < TICKS; i++) {
		world->now.mono_us += KF_TRAFFIC_TICK_MS * 1000;
		world->now.wall_ms += KF_TRAFFIC_TICK_MS;
		kf_traffic_on_tick(world->core, world->now);
	}
}

/* A caller's first call, procedure 0: place a flow and issue its token. */
static void
world_calls(void *ctx)
{
	world_t *world = ctx;
	const kf_service_t *service =
	    &kf_declref_get(world->input.decl)->services[0];
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
		call.xid = ++world->caller;
		route.caller = (kf_addr_t){ 0x7f000100 + world->caller, 5000 };
		len = kf_rpc_call_write(&call, buf, sizeof(buf));
		kf_traffic_on_caller(world->core, world->now, &route, buf, len);
	}
}

/* One VM serves all upstreams. */
static void
measure_served(const plan_t *plan)
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
		world_t *world = world_new(&corpus, 1, 1, 0, plan->seed);
		double before = meter_heap_bytes();

		world_adopt(world);
		series_add(&held, size[i], meter_heap_bytes() - before);
		series_add(&tick, size[i],
		    meter_median_ns(world_ticks, world) / 1e3 / TICKS);
		world_delete(world);
	}
	series_print(&held);
	series_print(&tick);
}

/* Each VM serves 5 upstreams of a growing declaration. */
static void
measure_declared(const plan_t *plan)
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
		world_t *world = world_new(&corpus, vms, zones, 0, plan->seed);
		double before = meter_heap_bytes();
		int64_t start_ns = meter_cpu_ns();

		world_adopt(world);
		series_add(
		    &first, size[i], (double)(meter_cpu_ns() - start_ns) / 1e3);
		series_add(&held, size[i], meter_heap_bytes() - before);
		series_add(&adopt, size[i],
		    meter_median_ns(world_adopt_often, world) / 1e3 /
			ADOPTIONS);
		series_add(&tick, size[i],
		    meter_median_ns(world_ticks, world) / 1e3 / TICKS);
		world_delete(world);
	}
	series_print(&held);
	series_print(&first);
	series_print(&adopt);
	series_print(&tick);
}

static void
measure_placed(const plan_t *plan)
{
	const uint32_t *size = sizes_of(&candidate_sizes, plan);
	series_t time = {
		.name = "traffic.place", .x = "candidates", .y = "ns"
	};
	size_t i;

	for (i = 0; i < MEASURE_SIZES && size[i] != 0; i++) {
		corpus_t corpus = { size[i], 1, 1, "any" };
		/* The other VM owns all upstreams. */
		world_t *world = world_new(&corpus, 2, 2, 1, plan->seed);

		world_adopt(world);
		series_add(&time, size[i],
		    meter_median_ns(world_calls, world) / CALLS);
		if (world->replies != (uint64_t)CALLS * MEASURE_REPEATS)
			corpus_need(NULL, "a token for each call");
		world_delete(world);
	}
	series_print(&time);
}

static void
measure_empty(const plan_t *plan)
{
	world_t world = { 0 };
	double before = meter_heap_bytes();

	world.core =
	    world_core(&world, corpus_vm_id(0), corpus_zone(0), plan->seed);
	series_figure(
	    "traffic.empty_core", "bytes", meter_heap_bytes() - before);
	kf_traffic_delete(world.core);
}

void
measure_traffic(const plan_t *plan)
{
	measure_empty(plan);
	measure_served(plan);
	measure_declared(plan);
	measure_placed(plan);
}
