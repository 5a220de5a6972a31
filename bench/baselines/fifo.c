#include <stdlib.h>

#include "kf/bench_fifo.h"

typedef struct waiting {
	struct waiting *next;
	uint64_t number;
} waiting_t;

typedef struct line {
	waiting_t *head;
	waiting_t *last;
	uint32_t queued;
	uint32_t in_flight;
} line_t;

struct kf_fifo {
	kf_fifo_config_t config;
	line_t *lines; /* one per upstream */
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
	fifo->lines = calloc(config->upstreams, sizeof(line_t));
	if (fifo->lines == NULL)
		abort();
	return fifo;
}

static uint64_t
line_pop(line_t *line)
{
	waiting_t *w = line->head;
	uint64_t number = w->number;

	line->head = w->next;
	line->queued--;
	free(w);
	return number;
}

static void
line_push(line_t *line, uint64_t number)
{
	waiting_t *w = calloc(1, sizeof(*w));

	if (w == NULL)
		abort();
	w->number = number;
	if (line->head == NULL)
		line->head = w;
	else
		line->last->next = w;
	line->last = w;
	line->queued++;
}

void
kf_fifo_delete(kf_fifo_t *fifo)
{
	uint32_t i;

	for (i = 0; i < fifo->config.upstreams; i++) {
		while (fifo->lines[i].head != NULL)
			line_pop(&fifo->lines[i]);
	}
	free(fifo->lines);
	free(fifo);
}

static void
on_answer(void *ctx, const kf_happening_t *h)
{
	kf_fifo_t *fifo = ctx;

	fifo->config.on_end(fifo->config.ctx, h->number, true);
}

static void
on_refusal(void *ctx, const kf_happening_t *h)
{
	kf_fifo_t *fifo = ctx;

	fifo->config.on_end(fifo->config.ctx, h->number, false);
}

static void
later(kf_fifo_t *fifo, kf_happening_fn *fn, int64_t us, uint32_t upstream,
    uint64_t number)
{
	kf_happening_t h = {
		.at_us = kf_schedule_now(fifo->config.schedule).mono_us + us,
		.fn = fn,
		.ctx = fifo,
		.upstream = upstream,
		.number = number,
	};

	kf_schedule_add(fifo->config.schedule, &h);
}

static void on_done(void *ctx, const kf_happening_t *h);

static void
start(kf_fifo_t *fifo, uint32_t upstream, uint64_t number)
{
	int64_t hold_us = 2 * fifo->config.link_us +
	    fifo->config.service_us(fifo->config.ctx, number);

	fifo->lines[upstream].in_flight++;
	later(fifo, on_done, hold_us, upstream, number);
}

static void
on_done(void *ctx, const kf_happening_t *h)
{
	kf_fifo_t *fifo = ctx;
	line_t *line = &fifo->lines[h->upstream];

	line->in_flight--;
	later(fifo, on_answer, fifo->config.link_us, h->upstream, h->number);
	if (line->head != NULL)
		start(fifo, h->upstream, line_pop(line));
}

void
kf_fifo_offer(kf_fifo_t *fifo, uint64_t number)
{
	uint32_t upstream = fifo->next++ % fifo->config.upstreams;
	line_t *line = &fifo->lines[upstream];

	if (line->in_flight < fifo->config.slots)
		start(fifo, upstream, number);
	else if (fifo->config.limit > 0 && line->queued >= fifo->config.limit)
		later(fifo, on_refusal, 2 * fifo->config.link_us, upstream,
		    number);
	else
		line_push(line, number);
}
