#include <stdlib.h>
#include <string.h>

#include "kf/bench_fake_upstream.h"
#include "kf/call_info.h"
#include "kf/rpc.h"

enum { REPLY_BYTES = 256 };

typedef struct queued_request {
	struct queued_request *next;
	uint32_t vm;
	uint32_t path;
	uint32_t xid;
	uint32_t prog;
	uint32_t proc;
	uint64_t number;
} queued_request_t;

struct kf_fake {
	uint32_t upstream;
	uint32_t slots;
	kf_schedule_t *schedule;
	kf_fake_ops_t ops;
	queued_request_t *head;
	queued_request_t **tail;
	kf_fake_load_t load;
};

kf_fake_t *
kf_fake_new(uint32_t upstream, uint32_t slots, kf_schedule_t *schedule,
    const kf_fake_ops_t *ops)
{
	kf_fake_t *fake;

	fake = calloc(1, sizeof(*fake));
	if (fake == NULL)
		abort();
	fake->upstream = upstream;
	fake->slots = slots;
	fake->schedule = schedule;
	fake->ops = *ops;
	fake->tail = &fake->head;
	return fake;
}

void
kf_fake_delete(kf_fake_t *fake)
{
	queued_request_t *w;

	while ((w = fake->head) != NULL) {
		fake->head = w->next;
		free(w);
	}
	free(fake);
}

static void
report_write(const kf_fake_t *fake, uint8_t body[KF_LOAD_REPORT_BYTES])
{
	kf_load_report_t report = {
		.incarnation = 1,
		.in_flight = fake->load.in_flight,
		.queued = fake->load.queued,
		.slots = fake->slots,
	};

	kf_load_report_write(&report, body);
}

static void
reply_send(kf_fake_t *fake, uint32_t vm, uint32_t path, uint32_t xid,
    const uint8_t *results, size_t len)
{
	uint8_t body[KF_LOAD_REPORT_BYTES], buf[REPLY_BYTES];
	kf_rpc_reply_t reply = {
		.xid = xid,
		.reply_stat = KF_RPC_MSG_ACCEPTED,
		.accept_stat = KF_RPC_SUCCESS,
		.verf = { .flavor = KF_FLAVOR_LOAD_REPORT,
		    .len = sizeof(body),
		    .body = body },
		.results = results,
		.results_len = len,
	};
	size_t size;

	report_write(fake, body);
	size = kf_rpc_reply_write(&reply, buf, sizeof(buf));
	fake->ops.reply(fake->ops.ctx, fake->upstream, vm, path, buf, size);
}

static void
control_call(
    kf_fake_t *fake, uint32_t vm, uint32_t path, const kf_rpc_call_t *call)
{
	uint8_t body[KF_LOAD_REPORT_BYTES];

	report_write(fake, body);
	reply_send(fake, vm, path, call->xid, body,
	    call->proc == KF_UPSTREAM_PROC_STATUS ? sizeof(body) : 0);
}

static void on_done(void *ctx, const kf_sim_event_t *ev);

static void
start(kf_fake_t *fake, const queued_request_t *w)
{
	kf_sim_event_t done = {
		.at_us = kf_schedule_now(fake->schedule).mono_us +
		    fake->ops.service_us(
			fake->ops.ctx, fake->upstream, w->prog, w->proc),
		.fn = on_done,
		.ctx = fake,
		.vm = w->vm,
		.path = w->path,
		.upstream = w->xid,
		.number = w->number,
	};

	fake->load.in_flight++;
	fake->load.ran++;
	if (fake->ops.on_run != NULL)
		fake->ops.on_run(fake->ops.ctx, fake->upstream, w->number);
	kf_schedule_add(fake->schedule, &done);
}

static void
on_done(void *ctx, const kf_sim_event_t *ev)
{
	kf_fake_t *fake = ctx;
	uint8_t results[8];
	queued_request_t *w;

	fake->load.in_flight--;
	kf_put_u64(results, ev->number);
	reply_send(
	    fake, ev->vm, ev->path, ev->upstream, results, sizeof(results));
	w = fake->head;
	if (w == NULL)
		return;
	fake->head = w->next;
	if (fake->head == NULL)
		fake->tail = &fake->head;
	fake->load.queued--;
	start(fake, w);
	free(w);
}

static void
enqueue(kf_fake_t *fake, const queued_request_t *request)
{
	queued_request_t *w = malloc(sizeof(*w));

	if (w == NULL)
		abort();
	*w = *request;
	*fake->tail = w;
	fake->tail = &w->next;
	fake->load.queued++;
}

void
kf_fake_on_datagram(kf_fake_t *fake, uint32_t vm, uint32_t path,
    const uint8_t *data, size_t len)
{
	queued_request_t request = { .vm = vm, .path = path };
	kf_rpc_call_t call;

	if (kf_rpc_call_parse(data, len, &call) != KF_OK)
		return;
	if (call.prog == KF_UPSTREAM_PROG) {
		control_call(fake, vm, path, &call);
		return;
	}
	request.xid = call.xid;
	request.prog = call.prog;
	request.proc = call.proc;
	if (call.args_len >= 8)
		request.number = kf_get_u64(call.args);
	if (fake->load.in_flight < fake->slots)
		start(fake, &request);
	else
		enqueue(fake, &request);
}

kf_fake_load_t
kf_fake_load(const kf_fake_t *fake)
{
	return fake->load;
}
