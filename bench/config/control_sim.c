#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control_sim.h"

enum {
	CONTROL_IP = 0x7f0b0001,
	CONTROL_PORT = 7000,
	PEER_PORT = 7100,
	START_JITTER_US = 1000000,
	DIGEST_US = 100000, /* report interval of a traffic thread */
	/* TCP handshake and request: two round trips. */
	TRANSFER_US = 4 * CONTROL_SIM_LINK_US,
	LOAD_MAX = 6,
};

int64_t
control_sim_now_us(const control_sim_t *sim)
{
	return kf_schedule_now(sim->schedule).mono_us;
}

static kf_addr_t
control_addr(uint32_t index)
{
	return (kf_addr_t){ CONTROL_IP + index, CONTROL_PORT };
}

/* Index of the VM with this address, or UINT32_MAX. */
static uint32_t
index_of(const control_sim_t *sim, kf_addr_t addr)
{
	uint32_t index = addr.ip - CONTROL_IP;

	return index < sim->vms ? index : UINT32_MAX;
}

static uint64_t
reader_of(const instance_t *i)
{
	return (uint64_t)i->restarts << 32 | i->index;
}

/* The instance of an event, or NULL if it has stopped since. */
static instance_t *
reader_instance(control_sim_t *sim, uint64_t reader)
{
	instance_t *i = &sim->instances[(uint32_t)reader];

	return i->core != NULL && i->restarts == reader >> 32 ? i : NULL;
}

/* Network. */

static void
on_datagram(void *ctx, const kf_sim_event_t *ev)
{
	instance_t *i = ctx;

	if (i->core != NULL)
		kf_control_on_datagram(i->core,
		    kf_schedule_now(i->control_sim->schedule), ev->from,
		    ev->data, ev->len);
}

static void
send_datagram(void *ctx, kf_addr_t to, const uint8_t *data, size_t len)
{
	instance_t *i = ctx;
	uint32_t index = index_of(i->control_sim, to);
	kf_sim_event_t ev = {
		.at_us =
		    control_sim_now_us(i->control_sim) + CONTROL_SIM_LINK_US,
		.fn = on_datagram,
		.from = control_addr(i->index),
		.data = (uint8_t *)data,
		.len = len,
	};

	i->bytes += len + KF_UDP_IP_BYTES;
	if (index == UINT32_MAX)
		return;
	ev.ctx = &i->control_sim->instances[index];
	kf_schedule_add(i->control_sim->schedule, &ev);
}

static void
fetch_platform(
    void *ctx, kf_doc_kind_t kind, uint64_t after_version, uint32_t wait_ms)
{
	instance_t *i = ctx;

	platform_read(i->control_sim->platform, reader_of(i), kind,
	    after_version, wait_ms);
}

static void
on_answer(void *ctx, const platform_answer_t *answer)
{
	control_sim_t *sim = ctx;
	instance_t *i = reader_instance(sim, answer->reader);
	kf_time_t now = kf_schedule_now(sim->schedule);
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

/* vm is the document kind, upstream and path are vm and seed of the source. */
static void
on_transfer(void *ctx, const kf_sim_event_t *ev)
{
	control_sim_t *sim = ctx;
	instance_t *i = reader_instance(sim, ev->number);
	uint32_t peer = index_of(sim, ev->from);
	kf_time_t now = kf_schedule_now(sim->schedule);
	kf_doc_source_t source = { .vm = ev->upstream, .seed = ev->path };
	kf_doc_kind_t kind = (kf_doc_kind_t)ev->vm;
	kf_doc_t doc = { 0 };

	if (i == NULL)
		return;
	if (peer != UINT32_MAX && sim->instances[peer].core != NULL)
		doc = kf_control_doc(sim->instances[peer].core, kind);
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
	kf_sim_event_t ev = {
		.at_us = control_sim_now_us(i->control_sim) + TRANSFER_US,
		.fn = on_transfer,
		.ctx = i->control_sim,
		.number = reader_of(i),
		.from = peer,
		.vm = (uint32_t)kind,
		.upstream = source.vm,
		.path = source.seed,
	};

	kf_schedule_add(i->control_sim->schedule, &ev);
}

static void
publish(void *ctx, kf_view_t *view)
{
	instance_t *i = ctx;

	if (view->decl->revision <= i->revision)
		return;
	i->revision = view->decl->revision;
	i->in_force_us = control_sim_now_us(i->control_sim);
}

static void
record(void *ctx, const kf_control_record_t *r)
{
	(void)ctx;
	(void)r;
}

/* Timers. */

static void
on_tick(void *ctx, const kf_sim_event_t *ev)
{
	control_sim_t *sim = ctx;
	instance_t *i = reader_instance(sim, ev->number);
	kf_sim_event_t next = *ev;

	if (i == NULL)
		return;
	kf_control_on_tick(i->core, kf_schedule_now(sim->schedule));
	next.at_us += KF_CONTROL_TICK_MS * 1000;
	kf_schedule_add(sim->schedule, &next);
}

/* Reports digests of the upstreams that the VM owns, with random loads. */
static void
on_digests(void *ctx, const kf_sim_event_t *ev)
{
	control_sim_t *sim = ctx;
	instance_t *i = reader_instance(sim, ev->number);
	kf_sim_event_t next = *ev;
	const kf_view_t *view;
	uint32_t u;

	if (i == NULL)
		return;
	view = kf_control_view(i->core);
	for (u = 0; view != NULL && u < view->decl->upstream_count; u++) {
		kf_view_digest_t digest = { .incarnation = 1,
			.load = kf_random_below(&sim->random, LOAD_MAX),
			.heard_us = ev->at_us };

		if (view->upstreams[u].owner == view->self_index)
			kf_control_on_digest(i->core,
			    kf_schedule_now(sim->schedule),
			    view->decl->upstreams[u].id, &digest);
	}
	next.at_us += DIGEST_US;
	kf_schedule_add(sim->schedule, &next);
}

static void
instance_start(instance_t *i)
{
	control_sim_t *sim = i->control_sim;
	kf_time_t now = kf_schedule_now(sim->schedule);
	kf_addr_t seeds[CONTROL_SIM_SEEDS];
	char name[KF_NAME_BYTES];
	kf_control_config_t config = {
		.membership = {
			.self = { .incarnation = (uint64_t)now.wall_ms },
			.name = name,
			.zone = control_sim_zone(sim, i->index),
			.control = control_addr(i->index),
			.peer = { CONTROL_IP + i->index, PEER_PORT },
			.shards = 1,
			.seed = kf_random_next(&sim->random),
		},
		.seeds = seeds,
		.seed_count = CONTROL_SIM_SEEDS,
		.start_window_ms = KF_START_WINDOW_US / 1000,
		.seed = kf_random_next(&sim->random),
		.ops = {
			.ctx = i,
			.send = send_datagram,
			.fetch_platform = fetch_platform,
			.fetch_peer = fetch_peer,
			.publish = publish,
			.record = record,
		},
	};
	kf_sim_event_t timer = { .at_us = now.mono_us,
		.fn = on_tick,
		.ctx = sim,
		.number = reader_of(i) };
	uint32_t s;

	snprintf(name, sizeof(name), "vm-%" PRIu32, i->index + 1);
	config.membership.self.vm = kf_name_id(name);
	for (s = 0; s < CONTROL_SIM_SEEDS; s++)
		seeds[s] = control_addr(
		    (i->index + 1 +
			kf_random_below(&sim->random, sim->vms - 1)) %
		    sim->vms);
	i->core = kf_control_new(&config, now);
	if (i->core == NULL)
		abort();
	kf_schedule_add(sim->schedule, &timer);
	timer.fn = on_digests;
	kf_schedule_add(sim->schedule, &timer);
}

static void
on_start(void *ctx, const kf_sim_event_t *ev)
{
	(void)ev;
	instance_start(ctx);
}

static void
schedule_start(instance_t *i)
{
	kf_sim_event_t ev = {
		.at_us = control_sim_now_us(i->control_sim) +
		    kf_random_below(&i->control_sim->random, START_JITTER_US),
		.fn = on_start,
		.ctx = i,
	};

	kf_schedule_add(i->control_sim->schedule, &ev);
}

/* Documents. */

static void
edit_revision(void *ctx, kf_declaration_t *copy)
{
	control_sim_t *sim = ctx;
	uint32_t first = copy->services[0].first_selector;
	double share = 50 + sim->revision % 2;

	copy->revision = sim->revision;
	copy->selectors[first].share_percent = share;
	copy->selectors[first + 1].share_percent = 100 - share;
}

void
control_sim_publish(control_sim_t *sim)
{
	sim->revision++;
	platform_publish(sim->platform, KF_DOC_DECLARATION,
	    kf_conf_text(sim->conf, edit_revision, sim));
}

uint32_t
control_sim_zone(const control_sim_t *sim, uint32_t index)
{
	return kf_conf_zone(sim->conf, index, sim->vms);
}

static char *
vm_list_text(const control_sim_t *sim)
{
	char *text = NULL, addr[KF_ADDR_TEXT_BYTES];
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	uint32_t i;

	if (out == NULL)
		abort();
	for (i = 0; i < sim->vms; i++)
		fprintf(out,
		    "[vm vm-%" PRIu32 "]\naddress = %s\nzone = %s\n"
		    "state = live\n",
		    i + 1, kf_addr_format(control_addr(i), addr),
		    sim->conf->zone_names[(uint64_t)i * sim->conf->zone_count /
			sim->vms]);
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

control_sim_t *
control_sim_new(const kf_conf_t *conf, uint32_t vms, uint64_t seed)
{
	control_sim_t *sim = calloc(1, sizeof(*sim));
	uint32_t i;

	if (sim == NULL)
		abort();
	sim->conf = conf;
	sim->vms = vms;
	sim->random.state = seed;
	sim->schedule = kf_schedule_new(0, KF_CONF_WALL_MS);
	sim->platform =
	    platform_new(sim->schedule, CONTROL_SIM_LINK_US, on_answer, sim);
	platform_publish(
	    sim->platform, KF_DOC_KEYS, copy_text(conf->keys_text));
	platform_publish(sim->platform, KF_DOC_VMS, vm_list_text(sim));
	control_sim_publish(sim);
	for (i = 0; i < vms; i++) {
		sim->instances[i].control_sim = sim;
		sim->instances[i].index = i;
		schedule_start(&sim->instances[i]);
	}
	return sim;
}

void
control_sim_delete(control_sim_t *sim)
{
	uint32_t i;

	for (i = 0; i < sim->vms; i++)
		kf_control_delete(sim->instances[i].core);
	platform_delete(sim->platform);
	kf_schedule_delete(sim->schedule);
	free(sim);
}

void
control_sim_run(control_sim_t *sim, int64_t us)
{
	kf_schedule_run(sim->schedule, control_sim_now_us(sim) + us);
}

void
control_sim_kill(control_sim_t *sim, uint32_t index)
{
	instance_t *i = &sim->instances[index];

	kf_control_delete(i->core);
	i->core = NULL;
	i->restarts++;
	i->revision = 0;
}

void
control_sim_restart(control_sim_t *sim, uint32_t index)
{
	schedule_start(&sim->instances[index]);
}

uint32_t
control_sim_count_in_force(const control_sim_t *sim)
{
	uint32_t i, count = 0;

	for (i = 0; i < sim->vms; i++)
		count += sim->instances[i].revision == sim->revision;
	return count;
}
