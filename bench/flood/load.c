#include <math.h>
#include <stdlib.h>

#include "load.h"

enum {
	SERVICE_US = 20000,
	SERVICE_BULK_US = 50000,
	FLOOD_FACTOR = 10,
	SETTLE_US = 60000000, /* for pending requests after the flood */
};

/* Load without a flood, in parts of the capacity; below the reservations. */
static const double nominal_load[KF_CLASS_COUNT] = {
	[KF_CLASS_URGENT] = 0.45,
	[KF_CLASS_NORMAL] = 0.2,
	[KF_CLASS_BULK] = 0.05,
};

typedef struct load_request {
	int64_t at_us;
	uint8_t cls;
	bool ended;
} load_request_t;

static const char *const flood_names[FLOOD_COUNT] = {
	[FLOOD_BULK] = "bulk",
	[FLOOD_BULK_SHARED] = "bulk_shared",
	[FLOOD_URGENT] = "urgent",
};

const char *
flood_name(flood_t flood)
{
	return flood_names[flood];
}

uint32_t
flood_class(flood_t flood)
{
	return flood == FLOOD_URGENT ? KF_CLASS_URGENT : KF_CLASS_BULK;
}

static void
add_bulk(void *ctx, kf_declaration_t *copy)
{
	kf_service_t *service = &copy->services[0];

	(void)ctx;
	service->procedures[service->procedure_count++] = (kf_procedure_t){
		.number = LOAD_PROC_BULK,
		.idempotent = true,
		.cls = KF_CLASS_BULK,
	};
}

static double
slots_of(const kf_declaration_t *decl, uint32_t service)
{
	double slots = 0;
	uint32_t i;

	for (i = 0; i < decl->upstream_count; i++) {
		if (decl->upstreams[i].service == service)
			slots += decl->upstreams[i].slots;
	}
	return slots;
}

static void
class_init(load_t *load, uint32_t cls)
{
	const kf_declaration_t *decl = kf_declref_get(load->decl);
	load_class_t *c = &load->classes[cls];
	bool own_upstreams =
	    cls == KF_CLASS_BULK && load->flood != FLOOD_BULK_SHARED;

	c->cls = (kf_class_t)cls;
	c->service = own_upstreams ? 1 : 0;
	c->service_us = own_upstreams ? SERVICE_BULK_US : SERVICE_US;
	if (cls == KF_CLASS_URGENT)
		c->proc = 2;
	else
		c->proc = cls == KF_CLASS_NORMAL || own_upstreams
		    ? 1
		    : LOAD_PROC_BULK;
	c->deadline_us = decl->services[c->service].deadline_ms * 1000;
	/* A slot is also in use while request and reply are in transit. */
	c->capacity = slots_of(decl, c->service) * 1e6 /
	    (double)(c->service_us + 2 * load->link_us);
	c->rate = c->capacity * (own_upstreams ? 0.5 : nominal_load[cls]);
	c->flood_rate = cls == flood_class(load->flood)
	    ? c->capacity * FLOOD_FACTOR
	    : c->rate;
}

void
load_init(load_t *load, const kf_conf_t *conf, flood_t flood, uint64_t seed,
    int64_t window_us)
{
	uint32_t cls;

	*load = (load_t){
		.flood = flood,
		.seed = seed,
		.decl = kf_conf_variant(conf, add_bulk, NULL),
		.link_us = conf->link_us,
		.window_us = window_us,
		.callers = LOAD_CALLERS,
		.random = { seed },
		.schedule = kf_schedule_new(0, KF_CONF_WALL_MS),
	};
	for (cls = 0; cls < KF_CLASS_COUNT; cls++)
		class_init(load, cls);
}

void
load_free(load_t *load)
{
	uint32_t cls;

	for (cls = 0; cls < KF_CLASS_COUNT; cls++)
		kf_sample_free(&load->classes[cls].refusal_ms);
	kf_declref_release(load->decl);
	kf_schedule_delete(load->schedule);
	free(load->requests);
}

static uint64_t
request_new(load_t *load, uint32_t cls, int64_t now_us)
{
	if (load->request_count == load->request_cap) {
		load->request_cap =
		    load->request_cap == 0 ? 4096 : load->request_cap * 2;
		load->requests = realloc(load->requests,
		    load->request_cap * sizeof(*load->requests));
		if (load->requests == NULL)
			abort();
	}
	load->requests[load->request_count] =
	    (load_request_t){ .at_us = now_us, .cls = (uint8_t)cls };
	return load->request_count++;
}

static window_t
window_of(const load_t *load, int64_t at_us)
{
	return at_us < LOAD_BASE_US + load->window_us ? WINDOW_BASE
						      : WINDOW_FLOOD;
}

static void
on_arrival(void *ctx, const kf_sim_event_t *ev)
{
	load_t *load = ctx;
	load_class_t *c = &load->classes[ev->upstream];
	window_t window = window_of(load, ev->at_us);
	double rate = window == WINDOW_FLOOD ? c->flood_rate : c->rate;
	double uniform =
	    (kf_random_below(&load->random, 1U << 30) + 0.5) / (1U << 30);
	kf_sim_event_t next = *ev;

	c->window_counts[window].offered++;
	load->offer(load->ctx, ev->upstream,
	    request_new(load, ev->upstream, ev->at_us));
	next.at_us += (int64_t)(-log(uniform) * 1e6 / rate) + 1;
	if (next.at_us < LOAD_BASE_US + 2 * load->window_us)
		kf_schedule_add(load->schedule, &next);
}

void
load_run(load_t *load)
{
	kf_sim_event_t ev = {
		.at_us = LOAD_BASE_US, .fn = on_arrival, .ctx = load
	};

	for (ev.upstream = 0; ev.upstream < KF_CLASS_COUNT; ev.upstream++)
		kf_schedule_add(load->schedule, &ev);
	kf_schedule_run(
	    load->schedule, LOAD_BASE_US + 2 * load->window_us + SETTLE_US);
}

void
load_ended(load_t *load, uint64_t number, load_end_t end)
{
	load_request_t *request;
	load_class_t *c;
	request_counts_t *request_counts;
	int64_t elapsed_us;

	if (number >= load->request_count)
		return;
	request = &load->requests[number];
	if (request->ended)
		return;
	request->ended = true;
	c = &load->classes[request->cls];
	request_counts = &c->window_counts[window_of(load, request->at_us)];
	elapsed_us = kf_schedule_now(load->schedule).mono_us - request->at_us;
	if (end == LOAD_REFUSED) {
		request_counts->refused++;
		if (window_of(load, request->at_us) == WINDOW_FLOOD)
			kf_sample_add(
			    &c->refusal_ms, (double)elapsed_us / 1000);
	} else if (end == LOAD_UNKNOWN)
		request_counts->unknown++;
	else if (elapsed_us <= c->deadline_us) {
		request_counts->answered++;
		if (kf_schedule_now(load->schedule).mono_us <
		    LOAD_BASE_US + 2 * load->window_us)
			request_counts->finished++;
	} else
		request_counts->late++;
}

uint32_t
load_class_of(const load_t *load, uint64_t number)
{
	return number < load->request_count ? load->requests[number].cls : 0;
}

int64_t
load_service_us(load_t *load, uint32_t cls)
{
	int64_t mean_us = load->classes[cls].service_us;

	return mean_us / 2 + kf_random_below(&load->random, (uint32_t)mean_us);
}
