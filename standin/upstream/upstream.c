#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "kf/call_info.h"

#include "tokens.h"
#include "upstream.h"

/* Service time multiplier after a start, while caches are empty. */
enum { COLD_FACTOR = 3 };

/* Result of KF_UPSTREAM_PROC_CANCEL. */
enum {
	CANCEL_UNKNOWN = 0,
	CANCEL_REMOVED = 1, /* removed from the queue, not run */
	CANCEL_RUNNING = 2, /* already started; its reply follows */
};

typedef struct request {
	kf_addr_t src;
	uint32_t xid;
	uint32_t vm;
	uint32_t prog;
	uint32_t proc;
	bool has_number;
	uint64_t number;
	uint64_t digest;
	int64_t deadline_us; /* 0: none */
	uint32_t verf_flavor;
	uint32_t verf_len;
	uint8_t verf[KF_RPC_AUTH_MAX_BYTES];
} request_t;

typedef struct slot {
	kf_sim_upstream_t *upstream;
	kf_sim_timer_t timer;
	bool busy;
	uint32_t executions;
	request_t request;
} slot_t;

typedef struct stats {
	uint64_t received;
	uint64_t started;
	uint64_t answered;
	uint64_t shed;
	uint64_t refused;
	uint64_t late;
	uint64_t cancelled;
	uint64_t wrong_incarnation;
	uint64_t malformed;
	uint64_t ignored;
	uint64_t lost;
	uint64_t status;
	uint64_t started_draining;
	int64_t last_started_draining_ms; /* since the start of the drain */
	uint32_t max_in_flight;
	uint32_t max_queued;
} stats_t;

struct kf_sim_upstream {
	kf_sim_loop_t *loop;
	kf_ledger_t *ledger;
	kf_sim_upstream_options_t options;
	kf_sim_random_t random;
	int fd;
	uint64_t incarnation;
	int64_t cold_until_us;
	int64_t drain_since_us;
	bool draining;
	bool frozen;
	double service_time_factor;
	kf_sim_false_report_t false_report;
	kf_sim_tokens_t tokens;
	uint32_t fault_counts[KF_SIM_FAULT_COUNT];
	slot_t slots[KF_SIM_MAX_SLOTS];
	uint32_t in_flight;
	request_t *queue; /* ring buffer */
	uint32_t queue_head;
	uint32_t queued;
	kf_addr_t known_sources[KF_SIM_MAX_SOURCES]; /* ring of the latest */
	size_t known_source_count;
	kf_addr_t ignored_sources[KF_SIM_MAX_SOURCES];
	size_t ignored_source_count;
	stats_t stats;
	uint8_t buf[KF_SIM_DATAGRAM_BYTES];
	uint8_t out[KF_SIM_DATAGRAM_BYTES];
};

static kf_load_report_t
upstream_load_report(const kf_sim_upstream_t *u)
{
	kf_load_report_t report = { .incarnation = u->incarnation,
		.in_flight = u->in_flight,
		.queued = u->queued,
		.slots = u->options.slots };

	if (u->draining)
		report.flags |= KF_LOAD_DRAINING;
	if (kf_sim_mono_us() < u->cold_until_us)
		report.flags |= KF_LOAD_COLD;
	if (u->queued >= u->options.queue)
		report.flags |= KF_LOAD_SHEDDING;
	if (u->false_report == KF_SIM_FALSE_REPORT_IDLE) {
		report.in_flight = 0;
		report.queued = 0;
		report.flags = 0;
	} else if (u->false_report == KF_SIM_FALSE_REPORT_FULL) {
		report.in_flight = report.slots;
		report.queued = u->options.queue;
		report.flags |= KF_LOAD_SHEDDING;
	}
	return report;
}

static void
upstream_send_reply(
    kf_sim_upstream_t *u, const request_t *request, const kf_rpc_reply_t *reply)
{
	size_t len;

	if (u->frozen) {
		u->stats.lost++;
		return;
	}
	len = kf_rpc_reply_write(reply, u->out, sizeof(u->out));
	if (len > 0)
		kf_sim_udp_send(u->fd, request->src, u->out, len);
}

static void
upstream_send_denied(
    kf_sim_upstream_t *u, const request_t *request, uint32_t deny_auth_stat)
{
	kf_rpc_reply_t reply = { .xid = request->xid,
		.reply_stat = KF_RPC_MSG_DENIED,
		.reject_stat = 1,
		.auth_stat = deny_auth_stat };

	upstream_send_reply(u, request, &reply);
}

static void
upstream_send_success(kf_sim_upstream_t *u, const request_t *request,
    const uint8_t *results, size_t len)
{
	uint8_t token[KF_SIM_TOKEN_VERIFIER_BYTES];
	uint8_t verf[KF_LOAD_REPORT_BYTES];
	kf_load_report_t report;
	kf_rpc_reply_t reply = { .xid = request->xid,
		.reply_stat = KF_RPC_MSG_ACCEPTED,
		.accept_stat = KF_RPC_SUCCESS,
		.results = results,
		.results_len = len };

	if (u->options.tokens) {
		kf_sim_tokens_issue(&u->tokens, token);
		reply.verf.flavor = KF_RPC_AUTH_SHORT;
		reply.verf.len = sizeof(token);
		reply.verf.body = token;
	} else if (u->options.stock) {
		reply.verf.flavor = request->verf_flavor;
		reply.verf.len = request->verf_len;
		reply.verf.body = request->verf;
	} else {
		report = upstream_load_report(u);
		kf_load_report_write(&report, verf);
		reply.verf.flavor = KF_FLAVOR_LOAD_REPORT;
		reply.verf.len = sizeof(verf);
		reply.verf.body = verf;
	}
	upstream_send_reply(u, request, &reply);
}

static bool
upstream_consume_fault(kf_sim_upstream_t *u, kf_sim_fault_t fault)
{
	if (u->fault_counts[fault] == 0)
		return false;
	u->fault_counts[fault]--;
	return true;
}

static void
upstream_send_system_err(kf_sim_upstream_t *u, const request_t *request)
{
	kf_rpc_reply_t reply = { .xid = request->xid,
		.reply_stat = KF_RPC_MSG_ACCEPTED,
		.accept_stat = KF_RPC_SYSTEM_ERR };

	upstream_send_reply(u, request, &reply);
}

static void
upstream_send_result(
    kf_sim_upstream_t *u, const request_t *request, uint32_t executions)
{
	static uint8_t results[KF_SIM_DATAGRAM_BYTES];
	kf_sim_result_t result = { .number = request->number,
		.digest = request->digest,
		.executions = executions,
		.filler_len = u->options.reply_bytes };
	size_t len = 0;

	if (upstream_consume_fault(u, KF_SIM_FAULT_FAIL)) {
		upstream_send_system_err(u, request);
		return;
	}
	if (upstream_consume_fault(u, KF_SIM_FAULT_CORRUPT))
		result.number++;
	memcpy(result.upstream, u->options.name, sizeof(result.upstream));
	if (request->has_number)
		len = kf_sim_result_write(&result, results, sizeof(results));
	u->stats.answered++;
	upstream_send_success(u, request, results, len);
}

static int64_t
upstream_draw_service_us(kf_sim_upstream_t *u)
{
	double mean =
	    (double)u->options.service_time_us * u->service_time_factor;

	if (kf_sim_mono_us() < u->cold_until_us)
		mean *= COLD_FACTOR;
	return kf_sim_random_exp(&u->random, mean);
}

static uint32_t
upstream_record_execution(kf_sim_upstream_t *u, const request_t *request)
{
	kf_ledger_entry_t entry = { .number = request->number,
		.upstream = u->options.name,
		.tag = u->options.tag,
		.prog = request->prog,
		.proc = request->proc,
		.xid = request->xid,
		.vm = request->vm };

	u->stats.started++;
	if (u->draining) {
		u->stats.started_draining++;
		u->stats.last_started_draining_ms =
		    (kf_sim_mono_us() - u->drain_since_us) / 1000;
	}
	return request->has_number ? kf_ledger_add(u->ledger, &entry) : 0;
}

static void
upstream_start_request(kf_sim_upstream_t *u, const request_t *request)
{
	slot_t *slot = u->slots;

	while (slot->busy)
		slot++;
	slot->busy = true;
	slot->request = *request;
	slot->executions = upstream_record_execution(u, request);
	if (++u->in_flight > u->stats.max_in_flight)
		u->stats.max_in_flight = u->in_flight;
	if (kf_sim_timer_set(u->loop, &slot->timer,
		kf_sim_mono_us() + upstream_draw_service_us(u)) != KF_OK) {
		/* Already recorded as started, so it must not be denied. */
		slot->busy = false;
		u->in_flight--;
		u->stats.lost++;
	}
}

/* Denies a request whose deadline has passed and returns true. */
static bool
upstream_deny_expired(kf_sim_upstream_t *u, const request_t *request)
{
	if (request->deadline_us == 0 ||
	    kf_sim_mono_us() < request->deadline_us)
		return false;
	u->stats.late++;
	upstream_send_denied(u, request, KF_RPC_AUTH_FAILED);
	return true;
}

static void
upstream_start_queued(kf_sim_upstream_t *u)
{
	const request_t *request;

	while (u->queued > 0 && u->in_flight < u->options.slots) {
		request = &u->queue[u->queue_head];
		u->queue_head = (u->queue_head + 1) % u->options.queue;
		u->queued--;
		if (!upstream_deny_expired(u, request))
			upstream_start_request(u, request);
	}
}

static void
slot_on_service_end(void *ctx)
{
	slot_t *slot = ctx;
	kf_sim_upstream_t *u = slot->upstream;

	slot->busy = false;
	u->in_flight--;
	upstream_send_result(u, &slot->request, slot->executions);
	upstream_start_queued(u);
}

static void
upstream_shed(kf_sim_upstream_t *u, const request_t *request)
{
	u->stats.shed++;
	/* A stock server drops the call like a full receive buffer. */
	if (!u->options.stock)
		upstream_send_denied(u, request, KF_RPC_AUTH_FAILED);
}

static void
upstream_enqueue(kf_sim_upstream_t *u, const request_t *request)
{
	if (upstream_deny_expired(u, request))
		return;
	if (u->in_flight < u->options.slots) {
		upstream_start_request(u, request);
		return;
	}
	if (u->queued >= u->options.queue) {
		upstream_shed(u, request);
		return;
	}
	u->queue[(u->queue_head + u->queued) % u->options.queue] = *request;
	if (++u->queued > u->stats.max_queued)
		u->stats.max_queued = u->queued;
}

static request_t *
queue_at(kf_sim_upstream_t *u, uint32_t i)
{
	return &u->queue[(u->queue_head + i) % u->options.queue];
}

static uint32_t
upstream_cancel(kf_sim_upstream_t *u, uint32_t xid, uint32_t vm)
{
	uint32_t i;

	for (i = 0; i < u->options.slots; i++)
		if (u->slots[i].busy && u->slots[i].request.xid == xid &&
		    u->slots[i].request.vm == vm)
			return CANCEL_RUNNING;
	for (i = 0; i < u->queued; i++)
		if (queue_at(u, i)->xid == xid && queue_at(u, i)->vm == vm)
			break;
	if (i == u->queued)
		return CANCEL_UNKNOWN;
	for (; i + 1 < u->queued; i++)
		*queue_at(u, i) = *queue_at(u, i + 1);
	u->queued--;
	u->stats.cancelled++;
	return CANCEL_REMOVED;
}

static void
upstream_handle_control_call(
    kf_sim_upstream_t *u, const request_t *request, const kf_rpc_call_t *call)
{
	uint8_t results[KF_LOAD_REPORT_BYTES];
	kf_load_report_t report;

	switch (call->proc) {
	case KF_UPSTREAM_PROC_NULL:
		upstream_send_success(u, request, NULL, 0);
		return;
	case KF_UPSTREAM_PROC_STATUS:
		u->stats.status++;
		report = upstream_load_report(u);
		kf_load_report_write(&report, results);
		upstream_send_success(u, request, results, sizeof(results));
		return;
	case KF_UPSTREAM_PROC_CANCEL:
		if (call->args_len < 8)
			break;
		kf_put_u32(results,
		    upstream_cancel(
			u, kf_get_u32(call->args), kf_get_u32(call->args + 4)));
		upstream_send_success(u, request, results, 4);
		return;
	default:
		break;
	}
	u->stats.malformed++;
}

/*
 * Reads the call info verifier.  Denies a call that is meant for another
 * incarnation and returns false.
 */
static bool
upstream_read_info(
    kf_sim_upstream_t *u, request_t *request, const kf_rpc_call_t *call)
{
	kf_call_info_t info;

	if (u->options.stock || kf_call_info_read(&call->verf, &info) != KF_OK)
		return true;
	request->vm = info.vm;
	request->deadline_us =
	    kf_sim_mono_us() + (int64_t)info.deadline_ms * 1000;
	if (info.upstream_incarnation == 0 ||
	    info.upstream_incarnation == u->incarnation)
		return true;
	u->stats.wrong_incarnation++;
	upstream_send_denied(u, request, KF_RPC_AUTH_REJECTEDVERF);
	return false;
}

/* Checks the token and applies injected refusals; false if denied. */
static bool
upstream_admit(
    kf_sim_upstream_t *u, const request_t *request, const kf_rpc_call_t *call)
{
	uint32_t deny_auth_stat = 0;

	if (u->options.tokens)
		deny_auth_stat = kf_sim_tokens_check(&u->tokens, &call->cred,
		    request->has_number &&
			kf_sim_number_non_idempotent(request->number));
	if (deny_auth_stat == 0 &&
	    upstream_consume_fault(u, KF_SIM_FAULT_REFUSE))
		deny_auth_stat = KF_RPC_AUTH_FAILED;
	if (deny_auth_stat == 0)
		return true;
	u->stats.refused++;
	upstream_send_denied(u, request, deny_auth_stat);
	return false;
}

static void
request_init(request_t *request, kf_addr_t src, const kf_rpc_call_t *call)
{
	memset(request, 0, offsetof(request_t, verf));
	request->src = src;
	request->xid = call->xid;
	request->prog = call->prog;
	request->proc = call->proc;
	request->verf_flavor = call->verf.flavor;
	request->verf_len = call->verf.len;
	memcpy(request->verf, call->verf.body, call->verf.len);
	if (call->args_len >= 8) {
		request->has_number = true;
		request->number = kf_get_u64(call->args);
		request->digest =
		    kf_sim_args_digest(call->args, call->args_len);
	}
}

static void
upstream_receive(kf_sim_upstream_t *u, kf_addr_t src, size_t len)
{
	static request_t request;
	kf_rpc_call_t call;

	u->stats.received++;
	if (kf_rpc_call_parse(u->buf, len, &call) != KF_OK) {
		u->stats.malformed++;
		return;
	}
	request_init(&request, src, &call);
	if (!u->options.stock && call.prog == KF_UPSTREAM_PROG) {
		upstream_handle_control_call(u, &request, &call);
		return;
	}
	if (!upstream_read_info(u, &request, &call) ||
	    !upstream_admit(u, &request, &call))
		return;
	/* The null procedure does no work and needs no slot. */
	if (call.proc == 0)
		upstream_send_success(u, &request, NULL, 0);
	else
		upstream_enqueue(u, &request);
}

static bool
upstream_is_ignored_source(const kf_sim_upstream_t *u, kf_addr_t src)
{
	size_t i;

	for (i = 0; i < u->ignored_source_count; i++)
		if (kf_addr_equal(u->ignored_sources[i], src) ||
		    (u->ignored_sources[i].ip == 0 &&
			u->ignored_sources[i].port == src.port))
			return true;
	return false;
}

static void
upstream_record_source(kf_sim_upstream_t *u, kf_addr_t src)
{
	size_t known = u->known_source_count;
	size_t i;

	if (known > KF_SIM_MAX_SOURCES)
		known = KF_SIM_MAX_SOURCES;
	for (i = 0; i < known; i++)
		if (kf_addr_equal(u->known_sources[i], src))
			return;
	u->known_sources[u->known_source_count++ % KF_SIM_MAX_SOURCES] = src;
}

static void
upstream_on_readable(void *ctx)
{
	kf_sim_upstream_t *u = ctx;
	kf_addr_t src;
	ssize_t n;

	while (
	    (n = kf_sim_udp_recv(u->fd, &src, u->buf, sizeof(u->buf))) >= 0) {
		upstream_record_source(u, src);
		if (u->frozen || upstream_is_ignored_source(u, src))
			u->stats.ignored++;
		else
			upstream_receive(u, src, (size_t)n);
	}
}

static void
upstream_start_incarnation(kf_sim_upstream_t *u)
{
	uint64_t now_ms = (uint64_t)kf_sim_wall_ms();

	u->incarnation = now_ms > u->incarnation ? now_ms : u->incarnation + 1;
	u->cold_until_us =
	    kf_sim_mono_us() + (int64_t)u->options.cold_s * 1000000;
}

static void
upstream_init_slots(kf_sim_upstream_t *u)
{
	slot_t *slot;

	for (slot = u->slots; slot < u->slots + KF_SIM_MAX_SLOTS; slot++) {
		slot->upstream = u;
		slot->timer.fn = slot_on_service_end;
		slot->timer.ctx = slot;
	}
}

kf_sim_upstream_t *
kf_sim_upstream_new(kf_sim_loop_t *loop, kf_ledger_t *ledger,
    const kf_sim_upstream_options_t *options)
{
	kf_sim_upstream_t *u;

	u = calloc(1, sizeof(*u));
	if (u == NULL) {
		kf_status_set(KF_ERR_NO_MEMORY, "no memory");
		return NULL;
	}
	u->loop = loop;
	u->ledger = ledger;
	u->options = *options;
	u->random.state = options->seed;
	u->service_time_factor = 1;
	u->fd = -1;
	upstream_init_slots(u);
	upstream_start_incarnation(u);
	u->queue = calloc(options->queue, sizeof(*u->queue));
	if (u->queue == NULL ||
	    kf_sim_udp_open(options->addr, &u->fd) != KF_OK ||
	    kf_sim_loop_add(loop, u->fd, upstream_on_readable, u) != KF_OK) {
		kf_sim_upstream_delete(u);
		return NULL;
	}
	return u;
}

static void
upstream_discard_requests(kf_sim_upstream_t *u)
{
	slot_t *slot;

	for (slot = u->slots; slot < u->slots + KF_SIM_MAX_SLOTS; slot++) {
		kf_sim_timer_cancel(u->loop, &slot->timer);
		slot->busy = false;
	}
	u->stats.lost += u->in_flight + u->queued;
	u->in_flight = 0;
	u->queued = 0;
}

void
kf_sim_upstream_delete(kf_sim_upstream_t *u)
{
	if (u == NULL)
		return;
	upstream_discard_requests(u);
	if (u->fd >= 0) {
		kf_sim_loop_remove(u->loop, u->fd);
		close(u->fd);
	}
	free(u->queue);
	free(u);
}

const char *
kf_sim_upstream_name(const kf_sim_upstream_t *u)
{
	return u->options.name;
}

void
kf_sim_upstream_set_draining(kf_sim_upstream_t *u, bool draining)
{
	if (draining && !u->draining)
		u->drain_since_us = kf_sim_mono_us();
	u->draining = draining;
}

void
kf_sim_upstream_set_frozen(kf_sim_upstream_t *u, bool frozen)
{
	u->frozen = frozen;
}

void
kf_sim_upstream_set_service_time_factor(kf_sim_upstream_t *u, double factor)
{
	u->service_time_factor = factor;
}

void
kf_sim_upstream_set_false_report(
    kf_sim_upstream_t *u, kf_sim_false_report_t false_report)
{
	u->false_report = false_report;
}

void
kf_sim_upstream_restart(kf_sim_upstream_t *u)
{
	upstream_discard_requests(u);
	u->draining = false;
	upstream_start_incarnation(u);
}

void
kf_sim_upstream_revoke_tokens(kf_sim_upstream_t *u)
{
	kf_sim_tokens_revoke(&u->tokens);
}

void
kf_sim_upstream_set_fault_count(
    kf_sim_upstream_t *u, kf_sim_fault_t fault, uint32_t count)
{
	u->fault_counts[fault] = count;
}

static kf_status_t
upstream_ignore_source(kf_sim_upstream_t *u, kf_addr_t addr)
{
	if (u->ignored_source_count == KF_SIM_MAX_SOURCES)
		return kf_status_set(KF_ERR_FULL, "too many ignored sources");
	u->ignored_sources[u->ignored_source_count++] = addr;
	return KF_OK;
}

kf_status_t
kf_sim_upstream_ignore_port(kf_sim_upstream_t *u, uint16_t port)
{
	kf_addr_t any = { .port = port };
	kf_status_t status = KF_OK;
	size_t i;

	if (port != 0)
		return upstream_ignore_source(u, any);
	for (i = 0; i < u->known_source_count && i < KF_SIM_MAX_SOURCES; i++)
		if (status == KF_OK &&
		    !upstream_is_ignored_source(u, u->known_sources[i]))
			status = upstream_ignore_source(u, u->known_sources[i]);
	return status;
}

void
kf_sim_upstream_print(const kf_sim_upstream_t *u, FILE *out)
{
	const stats_t *s = &u->stats;
	const struct {
		const char *name;
		uint64_t value;
	} rows[] = {
		{ "incarnation", u->incarnation },
		{ "draining", u->draining },
		{ "in_flight", u->in_flight },
		{ "queued", u->queued },
		{ "received", s->received },
		{ "started", s->started },
		{ "answered", s->answered },
		{ "shed", s->shed },
		{ "refused", s->refused },
		{ "late", s->late },
		{ "cancelled", s->cancelled },
		{ "wrong_incarnation", s->wrong_incarnation },
		{ "malformed", s->malformed },
		{ "ignored", s->ignored },
		{ "lost", s->lost },
		{ "status_calls", s->status },
		{ "started_draining", s->started_draining },
		{ "last_started_draining_ms",
		    (uint64_t)s->last_started_draining_ms },
		{ "max_in_flight", s->max_in_flight },
		{ "max_queued", s->max_queued },
	};
	size_t i;

	fprintf(out, "upstream=%s", u->options.name);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		fprintf(out, " %s=%llu", rows[i].name,
		    (unsigned long long)rows[i].value);
}
