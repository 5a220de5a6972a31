#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kf/membership.h"
#include "kf/peer_seal.h"

#include "corpus.h"
#include "measure.h"
#include "meter.h"
#include "series.h"

enum {
	VMS_PER_ZONE = 727,
	CONTROL_PORT = 7100,
	PEER_PORT = 7000,
	VM_NET = 0x7f100000,
	OWNED_UPSTREAMS = 5, /* 80,000 upstreams / 16,000 VMs */
	ROUNDS = 20,
	TICKS = 200,
};

static const sizes_t member_sizes = {
	.full = { 100, 1000, 4000, 16000 },
	.smoke = { 10, 20, 40 },
};

static const sizes_t fleet_sizes = {
	.full = { 8, 64, 700, 16000 },
	.smoke = { 4, 8, 16 },
};

typedef struct fleet {
	uint32_t count;
	kf_membership_t *m;
	kf_keyring_t *keys;
	int64_t now_us;
	uint32_t sequence;
	uint64_t datagrams;
	uint64_t bytes;
} fleet_t;

static uint32_t
zone_of(uint32_t count, uint32_t index)
{
	return corpus_zone(index % ((count + VMS_PER_ZONE - 1) / VMS_PER_ZONE));
}

static void
fleet_load_vm_list(fleet_t *fleet)
{
	kf_vm_list_t list = { .count = fleet->count };
	uint32_t i;

	list.vms =
	    corpus_require(calloc(fleet->count, sizeof(*list.vms)), "VM list");
	for (i = 0; i < fleet->count; i++) {
		list.vms[i] = (kf_vm_entry_t){
			.id = corpus_vm_id(i).vm,
			.addr = { .ip = VM_NET + i, .port = CONTROL_PORT },
			.zone = zone_of(fleet->count, i),
		};
		snprintf(
		    list.vms[i].name, sizeof(list.vms[i].name), "vm-%05u", i);
	}
	kf_membership_on_list(fleet->m, fleet->now_us, &list, 1);
	free(list.vms);
}

/* Adds evidence that each VM is alive, as a snapshot of a peer does. */
static void
fleet_add_evidence(fleet_t *fleet)
{
	uint32_t i;

	for (i = 1; i < fleet->count; i++) {
		kf_peer_evidence evidence = {
			.id = { .vm = corpus_vm_id(i).vm,
			    .incarnation = corpus_vm_id(i).incarnation },
			.addr = VM_NET + i,
			.ports = (u_int)CONTROL_PORT << 16 | PEER_PORT,
			.zone = zone_of(fleet->count, i),
			.state = 1 << 8,
		};

		kf_membership_on_evidence(
		    fleet->m, fleet->now_us, &evidence, 1);
	}
}

static fleet_t
fleet_new(uint32_t count, uint64_t seed)
{
	kf_membership_config_t config = {
		.self = corpus_vm_id(0),
		.name = "vm-00000",
		.zone = zone_of(count, 0),
		.control = { .ip = VM_NET, .port = CONTROL_PORT },
		.peer = { .ip = VM_NET, .port = PEER_PORT },
		.shards = 1,
		.seed = seed,
	};
	fleet_t fleet = { .count = count, .now_us = 1000000 };

	fleet.m = corpus_require(kf_membership_new(&config), "membership");
	fleet.keys = corpus_keys();
	kf_membership_tick(fleet.m, fleet.now_us);
	fleet_load_vm_list(&fleet);
	fleet_add_evidence(&fleet);
	return fleet;
}

static void
fleet_delete(fleet_t *fleet)
{
	kf_membership_delete(fleet->m);
	kf_keyring_delete(fleet->keys);
}

static void
fleet_run_ticks(void *ctx)
{
	fleet_t *fleet = ctx;
	int i;

	for (i = 0; i < TICKS; i++) {
		fleet->now_us += 1000;
		kf_membership_tick(fleet->m, fleet->now_us);
	}
}

static void
fleet_send_heartbeat(fleet_t *fleet, const kf_heartbeat_target_t *target)
{
	kf_peer_msg msg = { .body.type = KF_PEER_HEARTBEAT };
	kf_peer_heartbeat *hb = &msg.body.kf_peer_body_u.heartbeat;
	kf_peer_digest digests[KF_PEER_MAX_DIGESTS];
	uint8_t buf[4096];
	size_t len, room;

	memset(digests, 0, sizeof(digests));
	kf_membership_fill_heartbeat(fleet->m, fleet->now_us, target, hb);
	room = kf_membership_digest_max(fleet->m, hb);
	hb->digests.digests_len =
	    room < OWNED_UPSTREAMS ? (u_int)room : OWNED_UPSTREAMS;
	hb->digests.digests_val = digests;
	msg.from.vm = corpus_vm_id(0).vm;
	msg.from.incarnation = corpus_vm_id(0).incarnation;
	if (kf_peer_seal(&msg, fleet->keys, 1000, buf, sizeof(buf), &len) !=
	    KF_OK)
		return;
	fleet->datagrams++;
	fleet->bytes += len + KF_UDP_IP_BYTES;
}

/*
 * Sends heartbeat rounds.  kf_membership_tick() is not called, so that all VMs
 * stay alive and each round has all its targets and evidence.
 */
static void
fleet_run_rounds(void *ctx)
{
	kf_heartbeat_target_t targets[KF_TARGETS_MAX];
	fleet_t *fleet = ctx;
	size_t count, i;
	int round;

	for (round = 0; round < ROUNDS; round++) {
		fleet->now_us += KF_HEARTBEAT_US;
		count = kf_membership_targets(
		    fleet->m, fleet->now_us, targets, KF_TARGETS_MAX);
		for (i = 0; i < count; i++)
			fleet_send_heartbeat(fleet, &targets[i]);
	}
}

static void
fleet_receive_heartbeats(void *ctx)
{
	fleet_t *fleet = ctx;
	uint32_t i, vm;

	for (i = 0; i < TICKS; i++) {
		vm = 1 + i % (fleet->count - 1);
		kf_peer_id from = { corpus_vm_id(vm).vm,
			corpus_vm_id(vm).incarnation };
		kf_peer_heartbeat hb = {
			.sequence = ++fleet->sequence,
			.addr = VM_NET + vm,
			.ports = (u_int)CONTROL_PORT << 16 | PEER_PORT,
			.zone = zone_of(fleet->count, vm),
			.state = 1 << 8,
		};

		kf_membership_on_heartbeat(fleet->m, fleet->now_us, &hb, from,
		    (kf_addr_t){ VM_NET + vm, CONTROL_PORT });
	}
}

static void
measure_member_cost(const plan_t *plan)
{
	const uint32_t *size = sizes_of(&member_sizes, plan);
	series_t held = {
		.name = "members.held", .x = "members", .y = "bytes"
	};
	series_t tick = { .name = "members.tick", .x = "members", .y = "us" };
	series_t round = {
		.name = "members.heartbeat_round", .x = "members", .y = "us"
	};
	series_t receive = {
		.name = "members.heartbeat_taken", .x = "members", .y = "us"
	};
	size_t i;

	for (i = 0; i < MEASURE_SIZES && size[i] != 0; i++) {
		double before = meter_heap_bytes();
		fleet_t fleet = fleet_new(size[i], plan->seed);

		series_add(&held, size[i], meter_heap_bytes() - before);
		series_add(&tick, size[i],
		    meter_median_ns(fleet_run_ticks, &fleet) / 1e3 / TICKS);
		series_add(&receive, size[i],
		    meter_median_ns(fleet_receive_heartbeats, &fleet) / 1e3 /
			TICKS);
		series_add(&round, size[i],
		    meter_median_ns(fleet_run_rounds, &fleet) / 1e3 / ROUNDS);
		fleet_delete(&fleet);
	}
	series_print(&held);
	series_print(&tick);
	series_print(&receive);
	series_print(&round);
}

static void
measure_heartbeat_bytes(const plan_t *plan)
{
	const uint32_t *size = sizes_of(&fleet_sizes, plan);
	series_t bytes = { .name = "members.control_sent",
		.x = "members",
		.y = "bytes_per_s" };
	series_t count = {
		.name = "members.heartbeats", .x = "members", .y = "per_s"
	};
	double seconds = ROUNDS * KF_HEARTBEAT_US / 1e6;
	size_t i;

	for (i = 0; i < MEASURE_SIZES && size[i] != 0; i++) {
		fleet_t fleet = fleet_new(size[i], plan->seed);

		fleet_run_rounds(&fleet);
		series_add(&bytes, size[i], (double)fleet.bytes / seconds);
		series_add(&count, size[i], (double)fleet.datagrams / seconds);
		fleet_delete(&fleet);
	}
	series_print(&bytes);
	series_print(&count);
}

void
measure_members(const plan_t *plan)
{
	measure_member_cost(plan);
	measure_heartbeat_bytes(plan);
}
