#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kf/bench_fleet.h"
#include "kf/membership.h"
#include "kf/peer.h"
#include "kf/rpc.h"

enum {
	FAKES_MAX = 512,
	PEER_IP = 0x7f090001,
	PEER_PORT = 7100,
	TOKEN_LIFETIME_S = 3600,
	MAX_FLOWS = 200000,
	MAX_REPLY_BYTES = 64 << 20,
	PATHS = 4,
};

typedef struct vm {
	kf_fleet_t *fleet;
	uint32_t index;
	kf_traffic_t *core; /* NULL: not running */
	kf_declref_t *decl;
	kf_liveness_t liveness[KF_FLEET_VMS_MAX];
	int64_t gone_us[KF_FLEET_VMS_MAX];
	bool listed[KF_FLEET_VMS_MAX];
} vm_t;

typedef struct fake_entry {
	uint32_t id;
	kf_fake_t *fake;
	kf_view_digest_t digest;
} fake_entry_t;

struct kf_fleet {
	kf_fleet_config_t config;
	kf_schedule_t *schedule;
	vm_t vms[KF_FLEET_VMS_MAX];
	fake_entry_t fakes[FAKES_MAX];
	uint32_t fake_count;
	kf_fleet_bytes_t bytes;
};

static int64_t
now_us(const kf_fleet_t *fleet)
{
	return kf_schedule_now(fleet->schedule).mono_us;
}

kf_vm_id_t
kf_fleet_vm_id(uint32_t vm)
{
	return (kf_vm_id_t){ .vm = 1000 + vm, .incarnation = 1 };
}

static fake_entry_t *
fake_find(const kf_fleet_t *fleet, uint32_t upstream)
{
	uint32_t i;

	for (i = 0; i < fleet->fake_count; i++) {
		if (fleet->fakes[i].id == upstream)
			return (fake_entry_t *)&fleet->fakes[i];
	}
	return NULL;
}

const kf_fake_t *
kf_fleet_fake(const kf_fleet_t *fleet, uint32_t upstream)
{
	fake_entry_t *entry = fake_find(fleet, upstream);

	return entry == NULL ? NULL : entry->fake;
}

/* Event handlers. */

static void
on_caller_datagram(void *ctx, const kf_sim_event_t *ev)
{
	vm_t *vm = ctx;

	if (vm->core != NULL)
		kf_traffic_on_caller(vm->core,
		    kf_schedule_now(vm->fleet->schedule), &ev->route, ev->data,
		    ev->len);
}

static void
on_peer_datagram(void *ctx, const kf_sim_event_t *ev)
{
	vm_t *vm = ctx;

	if (vm->core != NULL)
		kf_traffic_on_peer(vm->core,
		    kf_schedule_now(vm->fleet->schedule), ev->from, ev->data,
		    ev->len);
}

static void
on_upstream_reply(void *ctx, const kf_sim_event_t *ev)
{
	vm_t *vm = ctx;

	if (vm->core != NULL)
		kf_traffic_on_upstream(vm->core,
		    kf_schedule_now(vm->fleet->schedule), ev->upstream,
		    ev->path, ev->data, ev->len);
}

static void
on_fake_datagram(void *ctx, const kf_sim_event_t *ev)
{
	kf_fake_on_datagram(ctx, ev->vm, ev->path, ev->data, ev->len);
}

static void
on_caller_reply(void *ctx, const kf_sim_event_t *ev)
{
	kf_fleet_t *fleet = ctx;

	fleet->config.on_reply(
	    fleet->config.ctx, &ev->route, ev->data, ev->len);
}

static void
on_tick(void *ctx, const kf_sim_event_t *ev)
{
	vm_t *vm = ctx;
	kf_sim_event_t next = *ev;

	if (vm->core == NULL)
		return;
	kf_traffic_on_tick(vm->core, kf_schedule_now(vm->fleet->schedule));
	next.at_us += KF_TRAFFIC_TICK_MS * 1000;
	kf_schedule_add(vm->fleet->schedule, &next);
}

/* Callbacks of the traffic cores and of the fake upstreams. */

static void
send_caller(void *ctx, const kf_route_t *route, const uint8_t *data, size_t len)
{
	vm_t *vm = ctx;
	kf_sim_event_t ev = {
		.at_us = now_us(vm->fleet) + vm->fleet->config.caller_us,
		.fn = on_caller_reply,
		.ctx = vm->fleet,
		.route = *route,
		.data = (uint8_t *)data,
		.len = len,
	};

	kf_schedule_add(vm->fleet->schedule, &ev);
}

static void
count_bytes(kf_fleet_t *fleet, const uint8_t *data, size_t len)
{
	/* The type follows the key id, the VM id and the incarnation. */
	const size_t type_offset = 16;
	uint32_t type;

	if (len < type_offset + 4)
		return;
	type = kf_get_u32(data + type_offset);
	len += KF_UDP_IP_BYTES;
	if (type == KF_PEER_FORWARD)
		fleet->bytes.forward += len;
	else if (type == KF_PEER_LEASE || type == KF_PEER_LEASE_ACK)
		fleet->bytes.lease += len;
	else
		fleet->bytes.replication += len;
}

static void
send_peer(void *ctx, kf_addr_t to, const uint8_t *data, size_t len)
{
	vm_t *vm = ctx;
	uint32_t index = to.ip - PEER_IP;
	kf_sim_event_t ev = {
		.at_us = now_us(vm->fleet) + vm->fleet->config.link_us,
		.fn = on_peer_datagram,
		.from = { PEER_IP + vm->index, PEER_PORT },
		.data = (uint8_t *)data,
		.len = len,
	};

	if (index >= vm->fleet->config.vms)
		return;
	count_bytes(vm->fleet, data, len);
	ev.ctx = &vm->fleet->vms[index];
	kf_schedule_add(vm->fleet->schedule, &ev);
}

static void
send_upstream(void *ctx, uint32_t upstream, kf_addr_t to, uint32_t path,
    const uint8_t *data, size_t len)
{
	vm_t *vm = ctx;
	fake_entry_t *entry = fake_find(vm->fleet, upstream);
	kf_sim_event_t ev = {
		.at_us = now_us(vm->fleet) + vm->fleet->config.link_us,
		.fn = on_fake_datagram,
		.vm = vm->index,
		.path = path,
		.data = (uint8_t *)data,
		.len = len,
	};

	(void)to;
	if (entry == NULL)
		return;
	ev.ctx = entry->fake;
	kf_schedule_add(vm->fleet->schedule, &ev);
}

static void
reset_path(void *ctx, uint32_t upstream, uint32_t path)
{
	(void)ctx;
	(void)upstream;
	(void)path;
}

static void
decision(void *ctx, const kf_decision_t *d)
{
	vm_t *vm = ctx;
	const kf_fleet_config_t *config = &vm->fleet->config;

	if (config->on_decision != NULL)
		config->on_decision(config->ctx, vm->index, d);
}

static void
fake_reply(void *ctx, uint32_t upstream, uint32_t vm, uint32_t path,
    const uint8_t *data, size_t len)
{
	kf_fleet_t *fleet = ctx;
	kf_sim_event_t ev = {
		.at_us = now_us(fleet) + fleet->config.link_us,
		.fn = on_upstream_reply,
		.ctx = &fleet->vms[vm],
		.upstream = upstream,
		.path = path,
		.data = (uint8_t *)data,
		.len = len,
	};

	kf_schedule_add(fleet->schedule, &ev);
}

static int64_t
fake_service_us(void *ctx, uint32_t upstream, uint32_t prog, uint32_t proc)
{
	kf_fleet_t *fleet = ctx;

	return fleet->config.service_us(
	    fleet->config.ctx, upstream, prog, proc);
}

static void
fake_on_run(void *ctx, uint32_t upstream, uint64_t number)
{
	kf_fleet_t *fleet = ctx;

	if (fleet->config.on_run != NULL)
		fleet->config.on_run(fleet->config.ctx, upstream, number);
}

/* Views. */

static void
add_fakes(kf_fleet_t *fleet, const kf_declaration_t *decl)
{
	kf_fake_ops_t ops = {
		.ctx = fleet,
		.service_us = fake_service_us,
		.on_run = fake_on_run,
		.reply = fake_reply,
	};
	uint32_t i;

	for (i = 0; i < decl->upstream_count; i++) {
		const kf_upstream_t *u = &decl->upstreams[i];

		if (fake_find(fleet, u->id) != NULL ||
		    fleet->fake_count == FAKES_MAX)
			continue;
		fleet->fakes[fleet->fake_count++] = (fake_entry_t){
			.id = u->id,
			.fake =
			    kf_fake_new(u->id, u->slots, fleet->schedule, &ops),
		};
	}
}

static const kf_view_digest_t *
find_digest(void *ctx, uint32_t upstream)
{
	fake_entry_t *entry = fake_find(ctx, upstream);

	return entry == NULL || entry->digest.incarnation == 0 ? NULL
							       : &entry->digest;
}

static uint32_t
list_vms(const vm_t *vm, kf_view_vm_t *list)
{
	const kf_fleet_t *fleet = vm->fleet;
	uint32_t i, n = 0;

	for (i = 0; i < fleet->config.vms; i++) {
		kf_view_vm_t *entry = &list[n];

		if (!vm->listed[i])
			continue;
		*entry = (kf_view_vm_t){
			.id = kf_fleet_vm_id(i),
			.zone = kf_conf_zone(
			    fleet->config.conf, i, fleet->config.vms),
			.peer_addr = { PEER_IP + i, PEER_PORT },
			.shards = 1,
			.liveness = vm->liveness[i],
			.gone_since_us = vm->gone_us[i],
		};
		snprintf(entry->name, sizeof(entry->name), "vm-%u", i + 1);
		n++;
	}
	return n;
}

void
kf_fleet_publish(kf_fleet_t *fleet, uint32_t index)
{
	vm_t *vm = &fleet->vms[index];
	kf_view_vm_t list[KF_FLEET_VMS_MAX];
	kf_view_input_t input = {
		.self = kf_fleet_vm_id(index),
		.settled = true,
		.decl = vm->decl,
		.declaration_version = kf_declref_get(vm->decl)->revision,
		.keys = fleet->config.conf->keys,
		.vms = list,
		.digest = find_digest,
		.ctx = fleet,
	};
	kf_view_t *view;

	if (vm->core == NULL)
		return;
	input.vm_count = list_vms(vm, list);
	view = kf_view_new(&input);
	if (view == NULL)
		abort();
	kf_traffic_on_view(vm->core, kf_schedule_now(fleet->schedule), view);
	kf_view_release(view);
}

void
kf_fleet_set_liveness(
    kf_fleet_t *fleet, uint32_t vm, uint32_t other, kf_liveness_t liveness)
{
	fleet->vms[vm].liveness[other] = liveness;
	fleet->vms[vm].listed[other] = true;
	if (liveness == KF_VM_GONE)
		fleet->vms[vm].gone_us[other] = now_us(fleet);
}

void
kf_fleet_set_declaration(kf_fleet_t *fleet, uint32_t vm, kf_declref_t *decl)
{
	add_fakes(fleet, kf_declref_get(decl));
	kf_declref_retain(decl);
	kf_declref_release(fleet->vms[vm].decl);
	fleet->vms[vm].decl = decl;
}

static void
store_digest(void *ctx, const kf_traffic_upstream_t *upstream)
{
	fake_entry_t *entry = fake_find(ctx, upstream->id);

	if (entry != NULL && upstream->owned)
		entry->digest = upstream->digest;
}

/* Collects the owners' digests and publishes them to all VMs. */
static void
on_exchange(void *ctx, const kf_sim_event_t *ev)
{
	kf_fleet_t *fleet = ctx;
	kf_sim_event_t next = *ev;
	uint32_t i;

	for (i = 0; i < fleet->config.vms; i++) {
		if (fleet->vms[i].core != NULL)
			kf_traffic_each_upstream(fleet->vms[i].core,
			    kf_schedule_now(fleet->schedule), store_digest,
			    fleet);
	}
	for (i = 0; i < fleet->config.vms; i++)
		kf_fleet_publish(fleet, i);
	next.at_us += KF_FLEET_EXCHANGE_US;
	kf_schedule_add(fleet->schedule, &next);
}

/* Start and stop. */

static kf_traffic_t *
core_new(vm_t *vm)
{
	const kf_fleet_config_t *fc = &vm->fleet->config;
	int64_t horizon_s = TOKEN_LIFETIME_S + KF_RETRANSMIT_HORIZON_S;
	kf_traffic_config_t config = {
		.self = kf_fleet_vm_id(vm->index),
		.zone = kf_conf_zone(fc->conf, vm->index, fc->vms),
		.seed = fc->seed * 31 + vm->index,
		.policy = fc->policy,
		.paths = PATHS,
		.token_lifetime_s = TOKEN_LIFETIME_S,
		.flow_limits = {
			.max_flows = MAX_FLOWS,
			.max_reply_bytes = MAX_REPLY_BYTES,
			.idle_expiry_us = horizon_s * 1000000,
			.reply_expiry_us =
			    (int64_t)KF_RETRANSMIT_HORIZON_S * 1000000,
		},
		.ops = {
			.ctx = vm,
			.send_caller = send_caller,
			.send_peer = send_peer,
			.send_upstream = send_upstream,
			.reset_path = reset_path,
			.decision = decision,
		},
	};
	kf_traffic_t *core;

	kf_admission_config_init(&config.admission);
	config.admission.ingress_pps = fc->ingress_pps;
	core = kf_traffic_new(&config);
	if (core == NULL) {
		fprintf(stderr, "%s\n", kf_status_message());
		exit(1);
	}
	return core;
}

static void
vm_start(kf_fleet_t *fleet, uint32_t index)
{
	vm_t *vm = &fleet->vms[index];
	kf_sim_event_t tick = {
		.at_us = now_us(fleet) + (int64_t)index * 1000,
		.fn = on_tick,
		.ctx = vm,
	};

	vm->core = core_new(vm);
	kf_schedule_add(fleet->schedule, &tick);
	kf_fleet_publish(fleet, index);
}

kf_fleet_t *
kf_fleet_new(const kf_fleet_config_t *config, kf_schedule_t *schedule)
{
	kf_fleet_t *fleet;
	kf_sim_event_t exchange = { .fn = on_exchange };
	uint32_t running = config->running == 0 ? config->vms : config->running;
	uint32_t i, j;

	fleet = calloc(1, sizeof(*fleet));
	if (fleet == NULL || config->vms > KF_FLEET_VMS_MAX)
		abort();
	fleet->config = *config;
	fleet->schedule = schedule;
	for (i = 0; i < config->vms; i++) {
		fleet->vms[i].fleet = fleet;
		fleet->vms[i].index = i;
		kf_fleet_set_declaration(fleet, i, config->decl);
		for (j = 0; j < running; j++)
			kf_fleet_set_liveness(fleet, i, j, KF_VM_ALIVE);
	}
	for (i = 0; i < running; i++)
		vm_start(fleet, i);
	exchange.ctx = fleet;
	exchange.at_us = now_us(fleet) + KF_FLEET_EXCHANGE_US;
	kf_schedule_add(schedule, &exchange);
	return fleet;
}

void
kf_fleet_delete(kf_fleet_t *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->config.vms; i++) {
		kf_traffic_delete(fleet->vms[i].core);
		kf_declref_release(fleet->vms[i].decl);
	}
	for (i = 0; i < fleet->fake_count; i++)
		kf_fake_delete(fleet->fakes[i].fake);
	free(fleet);
}

void
kf_fleet_start(kf_fleet_t *fleet, uint32_t vm)
{
	uint32_t i;

	for (i = 0; i < fleet->config.vms; i++) {
		if (i == vm || fleet->vms[i].core != NULL)
			kf_fleet_set_liveness(fleet, vm, i, KF_VM_ALIVE);
	}
	vm_start(fleet, vm);
}

void
kf_fleet_kill(kf_fleet_t *fleet, uint32_t vm)
{
	kf_traffic_delete(fleet->vms[vm].core);
	fleet->vms[vm].core = NULL;
}

void
kf_fleet_call(kf_fleet_t *fleet, uint32_t vm, const kf_route_t *route,
    const uint8_t *data, size_t len)
{
	kf_sim_event_t ev = {
		.at_us = now_us(fleet) + fleet->config.caller_us,
		.fn = on_caller_datagram,
		.ctx = &fleet->vms[vm],
		.route = *route,
		.data = (uint8_t *)data,
		.len = len,
	};

	kf_schedule_add(fleet->schedule, &ev);
}

bool
kf_fleet_alive(const kf_fleet_t *fleet, uint32_t vm)
{
	return fleet->vms[vm].core != NULL;
}

kf_traffic_t *
kf_fleet_core(const kf_fleet_t *fleet, uint32_t vm)
{
	return fleet->vms[vm].core;
}

kf_fleet_bytes_t
kf_fleet_bytes(const kf_fleet_t *fleet)
{
	return fleet->bytes;
}
