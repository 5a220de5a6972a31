#include <math.h>
#include <stdlib.h>

#include "kf/bench_fleet.h"
#include "kf/rpc.h"

#include "load.h"

enum {
	RAMP_START_S = 5,
	RAMP_S = 30,
	RUN_S = 40,
	FROM_PERCENT = 90,
	CALLER_IP = 0x0a000000,
};

typedef struct ramp_sim {
	kf_fleet_t *fleet;
	kf_schedule_t *schedule;
	const kf_declaration_t *decl;
	kf_random_t random;
	uint32_t flows;
	uint32_t placed[2];
} ramp_sim_t;

static void
edit_ramp(void *ctx, kf_declaration_t *copy)
{
	uint32_t first = copy->services[0].first_selector, i;

	(void)ctx;
	for (i = 0; i < 2; i++) {
		kf_selector_t *s = &copy->selectors[first + i];

		s->ramp_from_percent =
		    i == 0 ? FROM_PERCENT : 100 - FROM_PERCENT;
		s->ramp_start_s = KF_CONF_WALL_MS / 1000 + RAMP_START_S;
		s->ramp_s = RAMP_S;
	}
}

static void
on_decision(void *ctx, uint32_t vm, const kf_decision_t *d)
{
	ramp_sim_t *sim = ctx;
	const kf_selector_t *first =
	    &sim->decl->selectors[sim->decl->services[0].first_selector];

	(void)vm;
	if (d->event != KF_EVENT_PLACE)
		return;
	sim->placed[kf_name_id(d->selector) == kf_name_id(first->name) ? 0
								       : 1]++;
}

static void
on_reply(void *ctx, const kf_route_t *route, const uint8_t *data, size_t len)
{
	(void)ctx;
	(void)route;
	(void)data;
	(void)len;
}

static int64_t
service_us(void *ctx, uint32_t upstream, uint32_t prog, uint32_t proc)
{
	(void)ctx;
	(void)upstream;
	(void)prog;
	(void)proc;
	return 1000;
}

static void
new_flow(ramp_sim_t *sim)
{
	uint8_t sys_body[32], buf[256];
	kf_rpc_auth_sys_t sys = { .uid = 1000, .gid = 100 };
	kf_rpc_call_t call = { .xid = ++sim->flows,
		.prog = sim->decl->services[0].program,
		.vers = 1,
		.cred = { .flavor = KF_RPC_AUTH_SYS, .body = sys_body } };
	kf_route_t route = { .caller = { CALLER_IP + sim->flows, 700 },
		.service = sim->decl->services[0].addr };
	size_t len;

	call.cred.len = (uint32_t)kf_rpc_auth_sys_write(
	    &sys, 0, sys_body, sizeof(sys_body));
	len = kf_rpc_call_write(&call, buf, sizeof(buf));
	kf_fleet_call(sim->fleet, kf_random_below(&sim->random, LOAD_VMS),
	    &route, buf, len);
}

/*
 * Places per_s flows in one second.  Returns the difference between placed and
 * declared share in percentage points.
 */
static double
run_second(ramp_sim_t *sim, uint32_t per_s, int64_t from_us)
{
	const kf_selector_t *first =
	    &sim->decl->selectors[sim->decl->services[0].first_selector];
	int64_t wall_ms = KF_CONF_WALL_MS + from_us / 1000 + 500;
	double placed;
	uint32_t i;

	sim->placed[0] = sim->placed[1] = 0;
	for (i = 0; i < per_s; i++) {
		new_flow(sim);
		kf_schedule_run(sim->schedule,
		    from_us + (int64_t)(i + 1) * 1000000 / per_s);
	}
	placed = 100.0 * sim->placed[0] / (sim->placed[0] + sim->placed[1]);
	return fabs(placed - kf_selector_share(first, wall_ms));
}

void
ramp_run(const kf_conf_t *conf, uint64_t seed, uint32_t per_s, double *max,
    double *mean)
{
	ramp_sim_t sim = { .random = { seed } };
	kf_declref_t *decl = kf_conf_variant(conf, edit_ramp, NULL);
	kf_fleet_config_t config = {
		.conf = conf,
		.decl = decl,
		.vms = LOAD_VMS,
		.seed = seed,
		.link_us = conf->link_us,
		.caller_us = 1000,
		.policy = KF_POLICY_STRIDE,
		.ctx = &sim,
		.service_us = service_us,
		.on_reply = on_reply,
		.on_decision = on_decision,
	};
	kf_sample_t errors = { 0 };
	int64_t second;

	sim.decl = kf_declref_get(decl);
	sim.schedule = kf_schedule_new(0, KF_CONF_WALL_MS);
	sim.fleet = kf_fleet_new(&config, sim.schedule);
	for (second = 0; second < RUN_S; second++)
		kf_sample_add(
		    &errors, run_second(&sim, per_s, second * 1000000));
	*max = kf_sample_max(&errors);
	*mean = kf_sample_mean(&errors);
	kf_sample_free(&errors);
	kf_fleet_delete(sim.fleet);
	kf_schedule_delete(sim.schedule);
	kf_declref_release(decl);
}
