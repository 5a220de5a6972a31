#include <stdlib.h>

#include "kf/bench_fifo.h"

typedef struct queued_request {
	struct queued_request *next;
	uint64_t number;
} queued_request_t;

typedef struct queue {
	queued_request_t *head;
	queued_request_t *last;
	uint32_t queued;
	uint32_t in_flight;
} upstream_queue_t;

struct kf_fifo {
	kf_fifo_config_t config;
	upstream_queue_t *queues; /* one per upstream */
	uint32_t next;
};

kf_fifo_t *
kf_fifo_new(const kf_fifo_config_t *config)
{
	kf_fifo_t *fifo;

	fifo = calloc(1, sizeof(*fifo));
	if (fifo == NULL)
		abort();
	fifo->config = *config;
	fifo->queues = calloc(config->upstreams, sizeof(upstream_queue_t));
	if (fifo->queues == NULL)
		abort();
	return fifo;
}

static uint64_t
queue_pop(upstream_queue_t *queue)
{
	queued_request_t *request = queue->head;
	uint64_t number = request->number;

	queue->head = request->next;
	queue->queued--;
	free(request);
	return number;
}

static void
queue_push(upstream_queue_t *queue, uint64_t number)
{
	queued_request_t *request = calloc(1, sizeof(*request));

	if (request == NULL)
		abort();
	request->number = number;
	if (queue->head == NULL)
		queue->head = request;
	else
		queue->last->next = request;
	queue->last = request;
	queue->queued++;
}

void
kf_fifo_delete(kf_fifo_t *fifo)
{
	uint32_t i;

	for (i = 0; i < fifo->config.upstreams; i++) {
		while (fifo->queues[i].head != NULL)
			queue_pop(&fifo->queues[i]);
	}
	free(fifo->queues);
	free(fifo);
}

static void
on_answer(void *ctx, const kf_sim_event_t *ev)
{
	kf_fifo_t *fifo = ctx;

	fifo->config.on_end(fifo->config.ctx, ev->number, true);
}

static void
on_refusal(void *ctx, const kf_sim_event_t *ev)
{
	kf_fifo_t *fifo = ctx;

	fifo->config.on_end(fifo->config.ctx, ev->number, false);
}

static void
schedule_after(kf_fifo_t *fifo, kf_sim_event_fn *fn, int64_t us,
    uint32_t upstream, uint64_t number)
{
	kf_sim_event_t ev = {
		.at_us = kf_schedule_now(fifo->config.schedule).mono_us + us,
		.fn = fn,
		.ctx = fifo,
		.upstream = upstream,
		.number = number,
	};

	kf_schedule_add(fifo->config.schedule, &ev);
}

static void on_done(void *ctx, const kf_sim_event_t *ev);

static void
start(kf_fifo_t *fifo, uint32_t upstream, uint64_t number)
{
	int64_t hold_us = 2 * fifo->config.link_us +
	    fifo->config.service_us(fifo->config.ctx, number);

	fifo->queues[upstream].in_flight++;
	schedule_after(fifo, on_done, hold_us, upstream, number);
}

static void
on_done(void *ctx, const kf_sim_event_t *ev)
{
	kf_fifo_t *fifo = ctx;
	upstream_queue_t *queue = &fifo->queues[ev->upstream];

	queue->in_flight--;
	schedule_after(
	    fifo, on_answer, fifo->config.link_us, ev->upstream, ev->number);
	if (queue->head != NULL)
		start(fifo, ev->upstream, queue_pop(queue));
}

void
kf_fifo_offer(kf_fifo_t *fifo, uint64_t number)
{
	uint32_t upstream = fifo->next++ % fifo->config.upstreams;
	upstream_queue_t *queue = &fifo->queues[upstream];

	if (queue->in_flight < fifo->config.slots)
		start(fifo, upstream, number);
	else if (fifo->config.limit > 0 && queue->queued >= fifo->config.limit)
		schedule_after(fifo, on_refusal, 2 * fifo->config.link_us,
		    upstream, number);
	else
		queue_push(queue, number);
}
