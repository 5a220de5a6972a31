#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kf/control.h"
#include "kf/peer_seal.h"

#include "corpus.h"
#include "measure.h"
#include "meter.h"
#include "series.h"

/*
 * Measures one control core while the VM list grows.  The declaration keeps a
 * size that fits into one value of the platform.
 */
enum {
	VMS_PER_ZONE = 727,
	UPSTREAMS = 4000,
	SMOKE_UPSTREAMS = 40,
	CONTROL_PORT = 7100,
	PEER_PORT = 7000,
	VM_NET = 0x7f100000,
	VM_ENTRY_BYTES = 96,
	TICKS_PER_S = 1000 / KF_CONTROL_TICK_MS,
	BUSY_S = 5,
	PLATFORM_VERSION = 1,
};

static const sizes_t vm_sizes = {
	.full = { 100, 1000, 4000, 16000 },
	.smoke = { 10, 20, 40 },
};

static const char keys_text[] =
    "[key k1]\nid = 1\nsecret = 01020000000000000000000000000000\n"
    "not_before_s = 1\nnot_after_s = 100000000\n";

typedef struct fleet {
	uint32_t count;
	kf_control_t *control;
	kf_keyring_t *keys;
	kf_time_t now;
	uint32_t upstream; /* fleet_run_busy() changes its digest */
	uint32_t sequence;
	uint32_t load;
	uint64_t views;
} fleet_t;

static void
on_send(void *ctx, kf_addr_t to, const uint8_t *data, size_t len)
{
	(void)ctx;
	(void)to;
	(void)data;
	(void)len;
}

static void
on_fetch_platform(
    void *ctx, kf_doc_kind_t kind, uint64_t after_version, uint32_t wait_ms)
{
	(void)ctx;
	(void)kind;
	(void)after_version;
	(void)wait_ms;
}

static void
on_fetch_peer(
    void *ctx, kf_doc_source_t source, kf_addr_t peer, kf_doc_kind_t kind)
{
	(void)ctx;
	(void)source;
	(void)peer;
	(void)kind;
}

static void
on_publish(void *ctx, kf_view_t *view)
{
	fleet_t *fleet = ctx;

	(void)view;
	fleet->views++;
}

static void
on_record(void *ctx, const kf_control_record_t *record)
{
	(void)ctx;
	(void)record;
}

static uint32_t
zone_index(const fleet_t *fleet, uint32_t vm)
{
	return vm % ((fleet->count + VMS_PER_ZONE - 1) / VMS_PER_ZONE);
}

static kf_control_t *
control_new(fleet_t *fleet, uint64_t seed)
{
	kf_control_config_t config = {
		.membership = {
			.self = corpus_vm_id(0),
			.name = "vm-00000",
			.zone = corpus_zone(0),
			.control = { .ip = VM_NET, .port = CONTROL_PORT },
			.peer = { .ip = VM_NET, .port = PEER_PORT },
			.shards = 1,
			.seed = seed,
		},
		.seed = seed,
		.ops = {
			.ctx = fleet,
			.send = on_send,
			.fetch_platform = on_fetch_platform,
			.fetch_peer = on_fetch_peer,
			.publish = on_publish,
			.record = on_record,
		},
	};

	return corpus_require(
	    kf_control_new(&config, fleet->now), "control core");
}

static void
fleet_deliver_document(
    fleet_t *fleet, kf_doc_kind_t kind, const char *text, size_t len)
{
	kf_doc_source_t platform = { 0 };

	kf_control_on_document(fleet->control, fleet->now, kind, platform,
	    PLATFORM_VERSION, text, len);
	if (kf_control_doc(fleet->control, kind).parsed == NULL)
		corpus_require(NULL, kf_doc_kind_name(kind));
}

/*
 * Writes the name of a VM and returns its identifier, which is the hash of the
 * name.  Index 0 is the measured core itself, with its configured identifier.
 */
static uint32_t
vm_name_and_id(uint32_t index, char name[KF_NAME_BYTES])
{
	snprintf(name, KF_NAME_BYTES, "vm-%05u", index);
	return index == 0 ? corpus_vm_id(0).vm : kf_name_id(name);
}

/* Returns the size of the VM list in bytes. */
static double
fleet_load_vm_list(fleet_t *fleet)
{
	char *text = corpus_require(
	    malloc((size_t)fleet->count * VM_ENTRY_BYTES), "VM list");
	char name[KF_NAME_BYTES], addr[KF_ADDR_TEXT_BYTES];
	size_t len = 0;
	uint32_t i;

	for (i = 1; i < fleet->count; i++) {
		kf_addr_t control = { VM_NET + i, CONTROL_PORT };

		vm_name_and_id(i, name);
		len += (size_t)sprintf(text + len,
		    "[vm %s]\naddress = %s\nzone = zone-%02u\n", name,
		    kf_addr_format(control, addr), zone_index(fleet, i));
	}
	fleet_deliver_document(fleet, KF_DOC_VMS, text, len);
	free(text);
	return (double)len;
}

static void
fleet_heartbeat(fleet_t *fleet, uint32_t index, u_int flags)
{
	kf_peer_msg msg = { .body.type = KF_PEER_HEARTBEAT };
	kf_peer_heartbeat *hb = &msg.body.kf_peer_body_u.heartbeat;
	kf_addr_t from = { VM_NET + index, CONTROL_PORT };
	char name[KF_NAME_BYTES];
	uint8_t buf[512];
	size_t len;

	msg.from.vm = vm_name_and_id(index, name);
	msg.from.incarnation = ++fleet->sequence;
	hb->sequence = 1;
	hb->addr = VM_NET + index;
	hb->ports = (u_int)CONTROL_PORT << 16 | PEER_PORT;
	hb->zone = corpus_zone(zone_index(fleet, index));
	hb->state = 1 << 8 | flags;
	hb->confirmed_age_ms = (u_int)KF_CONTACT_NEVER_MS;
	if (kf_peer_seal(&msg, fleet->keys, fleet->now.wall_ms / 1000, buf,
		sizeof(buf), &len) != KF_OK)
		corpus_require(NULL, "heartbeat");
	kf_control_on_datagram(fleet->control, fleet->now, from, buf, len);
}

static void
fleet_tick(fleet_t *fleet)
{
	fleet->now.mono_us += KF_CONTROL_TICK_MS * 1000;
	fleet->now.wall_ms += KF_CONTROL_TICK_MS;
	kf_control_on_tick(fleet->control, fleet->now);
}

static void
fleet_load_declaration(fleet_t *fleet, uint32_t upstreams)
{
	corpus_t corpus = { upstreams, upstreams * 3 / 8,
		zone_index(fleet, fleet->count - 1) + 1, "local" };
	corpus_text_t text = corpus_write(&corpus);

	fleet_deliver_document(fleet, KF_DOC_DECLARATION, text.text, text.len);
	fleet->upstream =
	    kf_control_view(fleet->control)->decl->upstreams[0].id;
	free(text.text);
}

/*
 * Delivers the keys, the VM list and a heartbeat of each VM.  The declaration
 * follows last, because a view would be built for each change after it.
 * Returns the size of the VM list in bytes.
 */
static double
fleet_load_members(fleet_t *fleet)
{
	double bytes;
	uint32_t i;

	fleet_deliver_document(
	    fleet, KF_DOC_KEYS, keys_text, sizeof(keys_text) - 1);
	bytes = fleet_load_vm_list(fleet);
	for (i = 1; i < fleet->count; i++)
		fleet_heartbeat(fleet, i, 0);
	return bytes;
}

/* Runs one second of ticks without input.  The core sends its heartbeats. */
static void
fleet_run_idle(void *ctx)
{
	fleet_t *fleet = ctx;
	int i;

	for (i = 0; i < TICKS_PER_S; i++)
		fleet_tick(fleet);
}

/* Restarts a VM: its heartbeat has a new incarnation. */
static void
fleet_restart_vm(void *ctx)
{
	fleet_t *fleet = ctx;
	uint64_t views = fleet->views;

	fleet_heartbeat(fleet, 1, 0);
	if (fleet->views == views)
		corpus_require(NULL, "view of a restarted VM");
}

/* Changes a digest in every tick, as the heartbeats of a busy fleet do. */
static void
fleet_run_busy(void *ctx)
{
	fleet_t *fleet = ctx;
	int i;

	for (i = 0; i < BUSY_S * TICKS_PER_S; i++) {
		kf_view_digest_t digest = { .incarnation = 1,
			.load = ++fleet->load };

		kf_control_on_digest(
		    fleet->control, fleet->now, fleet->upstream, &digest);
		fleet_tick(fleet);
	}
}

typedef struct results {
	series_t list, held, idle, restart, busy;
} results_t;

static void
measure_fleet(const plan_t *plan, uint32_t count, results_t *r)
{
	fleet_t fleet = {
		.count = count,
		.now = { .mono_us = 1000000, .wall_ms = 1000000 },
	};
	double before = meter_heap_bytes();

	fleet.keys = corpus_keys();
	fleet.control = control_new(&fleet, plan->seed);
	series_add(&r->list, count, fleet_load_members(&fleet));
	fleet_load_declaration(
	    &fleet, plan->smoke ? SMOKE_UPSTREAMS : UPSTREAMS);
	series_add(&r->held, count, meter_heap_bytes() - before);
	fleet_run_idle(&fleet);
	series_add(&r->idle, count,
	    meter_median_ns(fleet_run_idle, &fleet) / 1e3 / TICKS_PER_S);
	series_add(&r->restart, count,
	    meter_median_ns(fleet_restart_vm, &fleet) / 1e3);
	series_add(&r->busy, count,
	    meter_median_ns(fleet_run_busy, &fleet) / 1e3 / BUSY_S);
	kf_control_delete(fleet.control);
	kf_keyring_delete(fleet.keys);
}

void
measure_control(const plan_t *plan)
{
	const uint32_t *size = sizes_of(&vm_sizes, plan);
	results_t r = {
		.list = { .name = "control.vm_list", .x = "vms", .y = "bytes" },
		.held = { .name = "control.held", .x = "vms", .y = "bytes" },
		.idle = { .name = "control.tick", .x = "vms", .y = "us" },
		.restart = { .name = "control.vm_restart",
		    .x = "vms",
		    .y = "us" },
		.busy = { .name = "control.busy", .x = "vms", .y = "us_per_s" },
	};
	size_t i;

	for (i = 0; i < MEASURE_SIZES && size[i] != 0; i++)
		measure_fleet(plan, size[i], &r);
	series_print(&r.list);
	series_print(&r.held);
	series_print(&r.idle);
	series_print(&r.restart);
	series_print(&r.busy);
}
