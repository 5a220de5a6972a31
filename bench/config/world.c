#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

enum {
	CONTROL_IP = 0x7f0b0001,
	CONTROL_PORT = 7000,
	PEER_PORT = 7100,
	START_JITTER_US = 1000000,
	DIGEST_US = 100000, /* as often as a traffic thread reports */
	/* A TCP connection and a request: two round trips. */
	TRANSFER_US = 4 * WORLD_LINK_US,
	LOAD_MAX = 6,
};

int64_t
world_now_us(const world_t *w)
{
	return kf_schedule_now(w->schedule).mono_us;
}

static kf_addr_t
control_addr(uint32_t index)
{
	return (kf_addr_t){ CONTROL_IP + index, CONTROL_PORT };
}

/* Index of a VM, or UINT32_MAX. */
static uint32_t
index_of(const world_t *w, kf_addr_t addr)
{
	uint32_t index = addr.ip - CONTROL_IP;

	return index < w->vms ? index : UINT32_MAX;
}

static uint64_t
reader_of(const instance_t *i)
{
	return (uint64_t)i->life << 32 | i->index;
}

/* The process that a happening was meant for, or NULL if it has ended. */
static instance_t *
reader_instance(world_t *w, uint64_t reader)
{
	instance_t *i = &w->instances[(uint32_t)reader];

	return i->core != NULL && i->life == reader >> 32 ? i : NULL;
}

/* Links. */

static void
on_datagram(void *ctx, const kf_happening_t *h)
{
	instance_t *i = ctx;

	if (i->core != NULL)
		kf_control_on_datagram(i->core,
		    kf_schedule_now(i->world->schedule), h->from, h->data,
		    h->len);
}

static void
send_datagram(void *ctx, kf_addr_t to, const uint8_t *data, size_t len)
{
	instance_t *i = ctx;
	uint32_t index = index_of(i->world, to);
	kf_happening_t h = {
		.at_us = world_now_us(i->world) + WORLD_LINK_US,
		.fn = on_datagram,
		.from = control_addr(i->index),
		.data = (uint8_t *)data,
		.len = len,
	};

	i->bytes += len + KF_UDP_IP_BYTES;
	if (index == UINT32_MAX)
		return;
	h.ctx = &i->world->instances[index];
	kf_schedule_add(i->world->schedule, &h);
}

static void
fetch_platform(
    void *ctx, kf_doc_kind_t kind, uint64_t after_version, uint32_t wait_ms)
{
	instance_t *i = ctx;

	platform_read(
	    i->world->platform, reader_of(i), kind, after_version, wait_ms);
}

static void
on_answer(void *ctx, const platform_answer_t *answer)
{
	world_t *w = ctx;
	instance_t *i = reader_instance(w, answer->reader);
	kf_time_t now = kf_schedule_now(w->schedule);
	kf_doc_source_t platform = { 0 };

	if (i == NULL)
		return;
	if (answer->failed)
		kf_control_on_fetch_failed(
		    i->core, now, answer->kind, platform);
	else if (answer->text == NULL)
		kf_control_on_unchanged(i->core, now, answer->kind);
	else
		kf_control_on_document(i->core, now, answer->kind, platform,
		    answer->version, answer->text, strlen(answer->text));
}

/* vm is the kind, upstream and path the source, from the peer. */
static void
on_transfer(void *ctx, const kf_happening_t *h)
{
	world_t *w = ctx;
	instance_t *i = reader_instance(w, h->number);
	uint32_t peer = index_of(w, h->from);
	kf_time_t now = kf_schedule_now(w->schedule);
	kf_doc_source_t source = { .vm = h->upstream, .seed = h->path };
	kf_doc_kind_t kind = (kf_doc_kind_t)h->vm;
	kf_doc_t doc = { 0 };

	if (i == NULL)
		return;
	if (peer != UINT32_MAX && w->instances[peer].core != NULL)
		doc = kf_control_doc(w->instances[peer].core, kind);
	if (doc.text == NULL)
		kf_control_on_fetch_failed(i->core, now, kind, source);
	else
		kf_control_on_document(i->core, now, kind, source,
		    doc.version.platform_version, doc.text, doc.len);
}

static void
fetch_peer(
    void *ctx, kf_doc_source_t source, kf_addr_t peer, kf_doc_kind_t kind)
{
	instance_t *i = ctx;
	kf_happening_t h = {
		.at_us = world_now_us(i->world) + TRANSFER_US,
		.fn = on_transfer,
		.ctx = i->world,
		.number = reader_of(i),
		.from = peer,
		.vm = (uint32_t)kind,
		.upstream = source.vm,
		.path = source.seed,
	};

	kf_schedule_add(i->world->schedule, &h);
}

static void
publish(void *ctx, kf_view_t *view)
{
	instance_t *i = ctx;

	if (view->decl->revision <= i->revision)
		return;
	i->revision = view->decl->revision;
	i->in_force_us = world_now_us(i->world);
}

static void
record(void *ctx, const kf_control_record_t *r)
{
	(void)ctx;
	(void)r;
}

/* Timers. */

static void
on_tick(void *ctx, const kf_happening_t *h)
{
	world_t *w = ctx;
	instance_t *i = reader_instance(w, h->number);
	kf_happening_t next = *h;

	if (i == NULL)
		return;
	kf_control_on_tick(i->core, kf_schedule_now(w->schedule));
	next.at_us += KF_CONTROL_TICK_MS * 1000;
	kf_schedule_add(w->schedule, &next);
}

/* Reports the state of the upstreams that the VM owns; their load varies. */
static void
on_digests(void *ctx, const kf_happening_t *h)
{
	world_t *w = ctx;
	instance_t *i = reader_instance(w, h->number);
	kf_happening_t next = *h;
	const kf_view_t *view;
	uint32_t u;

	if (i == NULL)
		return;
	view = kf_control_view(i->core);
	for (u = 0; view != NULL && u < view->decl->upstream_count; u++) {
		kf_view_digest_t digest = { .incarnation = 1,
			.load = kf_random_below(&w->random, LOAD_MAX),
			.heard_us = h->at_us };

		if (view->upstreams[u].owner == view->self_index)
			kf_control_on_digest(i->core,
			    kf_schedule_now(w->schedule),
			    view->decl->upstreams[u].id, &digest);
	}
	next.at_us += DIGEST_US;
	kf_schedule_add(w->schedule, &next);
}

static void
instance_start(instance_t *i)
{
	world_t *w = i->world;
	kf_time_t now = kf_schedule_now(w->schedule);
	kf_addr_t seeds[WORLD_SEEDS];
	char name[KF_NAME_BYTES];
	kf_control_config_t config = {
		.membership = {
			.self = { .incarnation = (uint64_t)now.wall_ms },
			.name = name,
			.zone = world_zone(w, i->index),
			.control = control_addr(i->index),
			.peer = { CONTROL_IP + i->index, PEER_PORT },
			.shards = 1,
			.seed = kf_random_next(&w->random),
		},
		.seeds = seeds,
		.seed_count = WORLD_SEEDS,
		.start_window_ms = KF_START_WINDOW_US / 1000,
		.seed = kf_random_next(&w->random),
		.ops = {
			.ctx = i,
			.send = send_datagram,
			.fetch_platform = fetch_platform,
			.fetch_peer = fetch_peer,
			.publish = publish,
			.record = record,
		},
	};
	kf_happening_t timer = { .at_us = now.mono_us,
		.fn = on_tick,
		.ctx = w,
		.number = reader_of(i) };
	uint32_t s;

	snprintf(name, sizeof(name), "vm-%" PRIu32, i->index + 1);
	config.membership.self.vm = kf_name_id(name);
	for (s = 0; s < WORLD_SEEDS; s++)
		seeds[s] = control_addr(
		    (i->index + 1 + kf_random_below(&w->random, w->vms - 1)) %
		    w->vms);
	i->core = kf_control_new(&config, now);
	if (i->core == NULL)
		abort();
	kf_schedule_add(w->schedule, &timer);
	timer.fn = on_digests;
	kf_schedule_add(w->schedule, &timer);
}

static void
on_start(void *ctx, const kf_happening_t *h)
{
	(void)h;
	instance_start(ctx);
}

static void
start_soon(instance_t *i)
{
	kf_happening_t h = {
		.at_us = world_now_us(i->world) +
		    kf_random_below(&i->world->random, START_JITTER_US),
		.fn = on_start,
		.ctx = i,
	};

	kf_schedule_add(i->world->schedule, &h);
}

/* Documents. */

static void
edit_revision(void *ctx, kf_declaration_t *copy)
{
	world_t *w = ctx;
	uint32_t first = copy->services[0].first_selector;
	double share = 50 + w->revision % 2;

	copy->revision = w->revision;
	copy->selectors[first].share_percent = share;
	copy->selectors[first + 1].share_percent = 100 - share;
}

void
world_publish(world_t *w)
{
	w->revision++;
	platform_publish(w->platform, KF_DOC_DECLARATION,
	    kf_conf_text(w->conf, edit_revision, w));
}

uint32_t
world_zone(const world_t *w, uint32_t index)
{
	return kf_conf_zone(w->conf, index, w->vms);
}

static char *
vm_list_text(const world_t *w)
{
	char *text = NULL, addr[KF_ADDR_TEXT_BYTES];
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	uint32_t i;

	if (out == NULL)
		abort();
	for (i = 0; i < w->vms; i++)
		fprintf(out,
		    "[vm vm-%" PRIu32 "]\naddress = %s\nzone = %s\n"
		    "state = live\n",
		    i + 1, kf_addr_format(control_addr(i), addr),
		    w->conf->zone_names[(uint64_t)i * w->conf->zone_count /
			w->vms]);
	fclose(out);
	return text;
}

static char *
copy_text(const char *text)
{
	char *copy = strdup(text);

	if (copy == NULL)
		abort();
	return copy;
}

world_t *
world_new(const kf_conf_t *conf, uint32_t vms, uint64_t seed)
{
	world_t *w = calloc(1, sizeof(*w));
	uint32_t i;

	if (w == NULL)
		abort();
	w->conf = conf;
	w->vms = vms;
	w->random.state = seed;
	w->schedule = kf_schedule_new(0, KF_CONF_WALL_MS);
	w->platform = platform_new(w->schedule, WORLD_LINK_US, on_answer, w);
	platform_publish(w->platform, KF_DOC_KEYS, copy_text(conf->keys_text));
	platform_publish(w->platform, KF_DOC_VMS, vm_list_text(w));
	world_publish(w);
	for (i = 0; i < vms; i++) {
		w->instances[i].world = w;
		w->instances[i].index = i;
		start_soon(&w->instances[i]);
	}
	return w;
}

void
world_delete(world_t *w)
{
	uint32_t i;

	for (i = 0; i < w->vms; i++)
		kf_control_delete(w->instances[i].core);
	platform_delete(w->platform);
	kf_schedule_delete(w->schedule);
	free(w);
}

void
world_run(world_t *w, int64_t us)
{
	kf_schedule_run(w->schedule, world_now_us(w) + us);
}

void
world_kill(world_t *w, uint32_t index)
{
	instance_t *i = &w->instances[index];

	kf_control_delete(i->core);
	i->core = NULL;
	i->life++;
	i->revision = 0;
}

void
world_restart(world_t *w, uint32_t index)
{
	start_soon(&w->instances[index]);
}

uint32_t
world_in_force(const world_t *w)
{
	uint32_t i, count = 0;

	for (i = 0; i < w->vms; i++)
		count += w->instances[i].revision == w->revision;
	return count;
}
