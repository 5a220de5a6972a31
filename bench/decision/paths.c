#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "kf/call_info.h"
#include "kf/peer_seal.h"

#include "paths.h"

enum {
	ARGS_BYTES = 64,
	PROC_IDEMPOTENT = 1,
	PROC_NON_IDEMPOTENT = 2,
	BATCH_SIZE = 256,
	MAX_FLOW_RECORDS = 400000,
};

static double
clock_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec * 1e9 + (double)ts.tv_nsec;
}

/* Advances the clock by the 1 us between packets. */
static void
advance_clock(rig_t *rig)
{
	rig->now.mono_us++;
}

static size_t
write_call(const rig_t *rig, uint32_t xid, uint32_t proc, const uint8_t *token,
    uint8_t *buf, size_t cap)
{
	static const uint8_t args[ARGS_BYTES];
	kf_rpc_call_t call = {
		.xid = xid,
		.prog = rig->service->program,
		.vers = 1,
		.proc = proc,
		.args = proc == 0 ? NULL : args,
		.args_len = proc == 0 ? 0 : sizeof(args),
	};

	if (token != NULL)
		call.cred = (kf_rpc_auth_t){ .flavor = KF_RPC_AUTH_SHORT,
			.len = KF_TOKEN_BYTES,
			.body = token };
	return kf_rpc_call_write(&call, buf, cap);
}

static path_cost_t
run_ingress_forward(rig_t *rig, uint32_t count)
{
	uint8_t token[KF_TOKEN_BYTES], buf[512];
	kf_route_t route = rig_route(rig, 1);
	path_cost_t cost;
	double start;
	size_t len;
	uint32_t i;

	rig_token(rig, 1, token);
	len = write_call(rig, 1, PROC_IDEMPOTENT, token, buf, sizeof(buf));
	start = clock_ns();
	for (i = 0; i < count; i++) {
		advance_clock(rig);
		rig->pending_count = 0;
		kf_traffic_on_caller(
		    rig->vms[rig->non_owner].core, rig->now, &route, buf, len);
	}
	cost.ns = (clock_ns() - start) / count;
	cost.bytes_in = (double)len;
	cost.bytes_out = (double)rig->pending[0].len;
	rig->pending_count = 0;
	return cost;
}

/* Work of the owner for a request that another VM forwards. */
static path_cost_t
run_owner(rig_t *rig, uint32_t count)
{
	static datagram_t batch[BATCH_SIZE];
	uint8_t token[KF_TOKEN_BYTES], buf[512];
	kf_route_t route = rig_route(rig, 2);
	path_cost_t cost = { 0 };
	uint32_t done, i, xid = 1;
	double start;
	size_t len;

	rig_token(rig, 2, token);
	for (done = 0; done < count; done += BATCH_SIZE) {
		for (i = 0; i < BATCH_SIZE; i++) {
			rig->pending_count = 0;
			len = write_call(rig, xid++, PROC_IDEMPOTENT, token,
			    buf, sizeof(buf));
			kf_traffic_on_caller(rig->vms[rig->non_owner].core,
			    rig->now, &route, buf, len);
			batch[i] = rig->pending[0];
		}
		rig->pending_count = 0;
		start = clock_ns();
		for (i = 0; i < BATCH_SIZE; i++) {
			advance_clock(rig);
			kf_traffic_on_peer(rig->vms[rig->owner].core, rig->now,
			    batch[i].to, batch[i].data, batch[i].len);
			rig_answer(rig);
		}
		cost.ns += clock_ns() - start;
	}
	cost.ns /= done;
	cost.bytes_in = (double)batch[0].len;
	cost.bytes_out = (double)(rig->to_upstream.len + rig->to_caller.len);
	return cost;
}

/* Work of owner and backup for a non-idempotent request. */
static path_cost_t
run_owner_non_idempotent(rig_t *rig, uint32_t count)
{
	uint8_t token[KF_TOKEN_BYTES], buf[512];
	kf_route_t route = rig_route(rig, 3);
	path_cost_t cost = { 0 };
	kf_rpc_reply_t reply;
	double start;
	size_t len = 0;
	uint32_t i;

	rig_token(rig, 3, token);
	for (i = 0; i < count; i++) {
		len = write_call(
		    rig, i + 1, PROC_NON_IDEMPOTENT, token, buf, sizeof(buf));
		advance_clock(rig);
		start = clock_ns();
		kf_traffic_on_caller(
		    rig->vms[rig->owner].core, rig->now, &route, buf, len);
		rig_deliver(rig);
		rig_answer(rig);
		rig_deliver(rig);
		cost.ns += clock_ns() - start;
		if (kf_rpc_reply_parse(rig->to_caller.data, rig->to_caller.len,
			&reply) != KF_OK ||
		    reply.xid != i + 1)
			abort();
		memcpy(token, reply.verf.body + 8, KF_TOKEN_BYTES);
	}
	cost.ns /= count;
	cost.bytes_in = (double)len;
	cost.bytes_out = (double)(rig->to_upstream.len + rig->to_caller.len);
	return cost;
}

static path_cost_t
run_caller(rig_t *rig, uint32_t count, const uint8_t *buf, size_t len)
{
	kf_route_t route = rig_route(rig, 4);
	path_cost_t cost;
	double start;
	uint32_t i;

	start = clock_ns();
	for (i = 0; i < count; i++) {
		advance_clock(rig);
		kf_traffic_on_caller(
		    rig->vms[rig->non_owner].core, rig->now, &route, buf, len);
	}
	cost.ns = (clock_ns() - start) / count;
	cost.bytes_in = (double)len;
	cost.bytes_out = (double)rig->to_caller.len;
	return cost;
}

static path_cost_t
run_nullproc(rig_t *rig, uint32_t count)
{
	uint8_t buf[512];
	size_t len = write_call(rig, 1, 0, NULL, buf, sizeof(buf));

	return run_caller(rig, count, buf, len);
}

static path_cost_t
run_refusal_forged(rig_t *rig, uint32_t count)
{
	uint8_t token[KF_TOKEN_BYTES], buf[512];
	size_t len;

	rig_token(rig, 4, token);
	token[KF_TOKEN_BYTES - 1] ^= 1;
	len = write_call(rig, 1, PROC_IDEMPOTENT, token, buf, sizeof(buf));
	return run_caller(rig, count, buf, len);
}

static path_cost_t
run_refusal_no_flow(rig_t *rig, uint32_t count)
{
	uint8_t buf[512];
	size_t len =
	    write_call(rig, 1, PROC_NON_IDEMPOTENT, NULL, buf, sizeof(buf));

	return run_caller(rig, count, buf, len);
}

static path_cost_t
run_token_open(rig_t *rig, uint32_t count)
{
	uint8_t bytes[KF_TOKEN_BYTES];
	kf_route_t route = rig_route(rig, 5);
	path_cost_t cost = { .bytes_in = KF_TOKEN_BYTES };
	kf_token_t token;
	double start;
	uint32_t i;

	rig_token(rig, 5, bytes);
	start = clock_ns();
	for (i = 0; i < count; i++) {
		if (kf_token_open(bytes, sizeof(bytes), rig->keys,
			rig->now.wall_ms / 1000, route.caller.ip,
			&token) != KF_OK)
			abort();
	}
	cost.ns = (clock_ns() - start) / count;
	return cost;
}

static path_cost_t
run_token_seal(rig_t *rig, uint32_t count)
{
	uint8_t bytes[KF_TOKEN_BYTES];
	kf_token_t token = { .service = 1, .upstream = 2, .flow = 3 };
	path_cost_t cost = { .bytes_out = KF_TOKEN_BYTES };
	double start;
	uint32_t i;

	start = clock_ns();
	for (i = 0; i < count; i++) {
		token.flow = i;
		if (kf_token_seal(&token, rig->keys, rig->now.wall_ms / 1000, i,
			bytes) != KF_OK)
			abort();
	}
	cost.ns = (clock_ns() - start) / count;
	return cost;
}

/* MAC over a forwarded datagram, without encoding it. */
static path_cost_t
run_peer_mac(rig_t *rig, uint32_t count)
{
	uint8_t data[320] = { 0 }, mac[KF_MAC_BYTES];
	path_cost_t cost = { .bytes_in = sizeof(data) };
	double start;
	uint32_t id, i;

	if (kf_keyring_current(rig->keys, rig->now.wall_ms / 1000, &id) !=
	    KF_OK)
		abort();
	start = clock_ns();
	for (i = 0; i < count; i++) {
		kf_put_u32(data, i);
		if (kf_keyring_mac(rig->keys, id, rig->now.wall_ms / 1000, data,
			sizeof(data), NULL, 0, mac) != KF_OK)
			abort();
	}
	cost.ns = (clock_ns() - start) / count;
	return cost;
}

/*
 * The number is path_t.packets.  An answered request takes 2 datagrams, the
 * forwarded call and the upstream's reply.  A non-idempotent one adds INTENT,
 * INTENT_ACK and DONE.
 */
const path_t paths[] = {
	{ "ingress_forward", run_ingress_forward, 1 },
	{ "owner_dispatch_answer", run_owner, 2 },
	{ "owner_once_with_backup", run_owner_non_idempotent, 5 },
	{ "nullproc_placement", run_nullproc, 1 },
	{ "refusal_forged_token", run_refusal_forged, 1 },
	{ "refusal_no_flow", run_refusal_no_flow, 1 },
	{ "token_open", run_token_open, 0 },
	{ "token_seal", run_token_seal, 0 },
	{ "peer_mac", run_peer_mac, 0 },
};

const size_t path_count = sizeof(paths) / sizeof(paths[0]);

double
flow_record_bytes(uint32_t flows, size_t reply_bytes)
{
	kf_flow_limits_t limits = {
		.max_flows = MAX_FLOW_RECORDS,
		.max_reply_bytes = (size_t)flows * (reply_bytes + 256),
		.idle_expiry_us = INT64_C(3720000000),
		.reply_expiry_us = INT64_C(120000000),
	};
	kf_flow_table_t *table = kf_flow_table_new(&limits);
	uint8_t *reply = calloc(1, reply_bytes + 1);
	kf_flow_stats_t before, after;
	const uint8_t *stored;
	size_t len;
	uint32_t i;

	if (table == NULL || reply == NULL)
		abort();
	before = kf_flow_table_stats(table);
	for (i = 0; i < flows; i++) {
		kf_request_id_t id = { .flow = (i + 1) *
			    UINT64_C(11400714819323198485),
			.xid = i + 1 };

		if (kf_flow_begin(table, 1, &id, &stored, &len) != KF_FLOW_NEW)
			abort();
		if (reply_bytes > 0)
			kf_flow_finish(table, 1, &id, KF_ANSWERED,
			    KF_REASON_NONE, reply, reply_bytes);
	}
	after = kf_flow_table_stats(table);
	kf_flow_table_delete(table);
	free(reply);
	return (double)(after.memory_bytes - before.memory_bytes +
		   after.reply_bytes) /
	    flows;
}
