#include <stdlib.h>

#include "kf/bench_fifo.h"

#include "load.h"

typedef struct fifo_sim {
	load_t *load;
	kf_fifo_t *services[2];
} fifo_sim_t;

static int64_t
service_us(void *ctx, uint64_t number)
{
	fifo_sim_t *sim = ctx;

	return load_service_us(sim->load, load_class_of(sim->load, number));
}

static void
on_end(void *ctx, uint64_t number, bool ran)
{
	fifo_sim_t *sim = ctx;

	load_ended(sim->load, number, ran ? LOAD_ANSWERED : LOAD_REFUSED);
}

static void
offer(void *ctx, uint32_t cls, uint64_t number)
{
	fifo_sim_t *sim = ctx;

	kf_fifo_offer(sim->services[sim->load->classes[cls].service], number);
}

static kf_fifo_t *
service_new(fifo_sim_t *sim, uint32_t service, uint32_t limit)
{
	const kf_declaration_t *decl = kf_declref_get(sim->load->decl);
	kf_fifo_config_t config = {
		.schedule = sim->load->schedule,
		.limit = limit,
		.link_us = sim->load->link_us,
		.ctx = sim,
		.service_us = service_us,
		.on_end = on_end,
	};
	uint32_t i;

	for (i = 0; i < decl->upstream_count; i++) {
		if (decl->upstreams[i].service != service)
			continue;
		config.upstreams++;
		config.slots = decl->upstreams[i].slots;
	}
	return kf_fifo_new(&config);
}

void
fifo_run(load_t *load, uint32_t limit)
{
	fifo_sim_t *sim = calloc(1, sizeof(*sim));
	uint32_t i;

	if (sim == NULL)
		abort();
	sim->load = load;
	for (i = 0; i < 2; i++)
		sim->services[i] = service_new(sim, i, limit);
	load->ctx = sim;
	load->offer = offer;
	load_run(load);
	for (i = 0; i < 2; i++)
		kf_fifo_delete(sim->services[i]);
	free(sim);
}
