#include <stdlib.h>

#include "kf/bench_fifo.h"

#include "load.h"

typedef struct fifo_world {
	load_t *load;
	kf_fifo_t *services[2];
} fifo_world_t;

static int64_t
service_us(void *ctx, uint64_t number)
{
	fifo_world_t *w = ctx;

	return load_service_us(w->load, load_class_of(w->load, number));
}

static void
on_end(void *ctx, uint64_t number, bool ran)
{
	fifo_world_t *w = ctx;

	load_ended(w->load, number, ran ? LOAD_ANSWERED : LOAD_REFUSED);
}

static void
offer(void *ctx, uint32_t cls, uint64_t number)
{
	fifo_world_t *w = ctx;

	kf_fifo_offer(w->services[w->load->classes[cls].service], number);
}

static kf_fifo_t *
service_new(fifo_world_t *w, uint32_t service, uint32_t limit)
{
	const kf_declaration_t *decl = kf_declref_get(w->load->decl);
	kf_fifo_config_t config = {
		.schedule = w->load->schedule,
		.limit = limit,
		.link_us = w->load->link_us,
		.ctx = w,
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
	fifo_world_t *w = calloc(1, sizeof(*w));
	uint32_t i;

	if (w == NULL)
		abort();
	w->load = load;
	for (i = 0; i < 2; i++)
		w->services[i] = service_new(w, i, limit);
	load->ctx = w;
	load->offer = offer;
	load_run(load);
	for (i = 0; i < 2; i++)
		kf_fifo_delete(w->services[i]);
	free(w);
}
