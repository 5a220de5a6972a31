#include <stdlib.h>

#include "platform.h"

/* A pending read that is answered when a newer version is published. */
typedef struct watch {
	struct watch *next;
	uint64_t id;
	uint64_t reader;
	kf_doc_kind_t kind;
} watch_t;

struct platform {
	kf_schedule_t *schedule;
	int64_t link_us;
	platform_answer_fn *on_answer;
	void *ctx;
	char *texts[KF_DOC_KINDS];
	uint64_t versions[KF_DOC_KINDS];
	bool down;
	watch_t *watches;
	uint64_t next_watch;
	uint64_t reads;
	int64_t second; /* to which reads_in_second applies */
	uint64_t reads_in_second;
	uint64_t peak;
};

platform_t *
platform_new(kf_schedule_t *schedule, int64_t link_us,
    platform_answer_fn *on_answer, void *ctx)
{
	platform_t *p = calloc(1, sizeof(*p));

	if (p == NULL)
		abort();
	p->schedule = schedule;
	p->link_us = link_us;
	p->on_answer = on_answer;
	p->ctx = ctx;
	return p;
}

void
platform_delete(platform_t *p)
{
	watch_t *w;
	int kind;

	while ((w = p->watches) != NULL) {
		p->watches = w->next;
		free(w);
	}
	for (kind = 0; kind < KF_DOC_KINDS; kind++)
		free(p->texts[kind]);
	free(p);
}

/* In the events of this file, vm is the document kind, number the reader. */

static void
on_deliver(void *ctx, const kf_sim_event_t *ev)
{
	platform_t *p = ctx;
	platform_answer_t answer = {
		.reader = ev->number,
		.kind = (kf_doc_kind_t)ev->vm,
		.version = p->versions[ev->vm],
		.text = p->texts[ev->vm],
	};

	p->on_answer(p->ctx, &answer);
}

static void
on_unchanged(void *ctx, const kf_sim_event_t *ev)
{
	platform_t *p = ctx;
	platform_answer_t answer = { .reader = ev->number,
		.kind = (kf_doc_kind_t)ev->vm };

	p->on_answer(p->ctx, &answer);
}

static void
on_failed(void *ctx, const kf_sim_event_t *ev)
{
	platform_t *p = ctx;
	platform_answer_t answer = { .reader = ev->number,
		.kind = (kf_doc_kind_t)ev->vm,
		.failed = true };

	p->on_answer(p->ctx, &answer);
}

static void
schedule_after(platform_t *p, kf_sim_event_fn *fn, int64_t us,
    kf_doc_kind_t kind, uint64_t reader, uint32_t watch)
{
	kf_sim_event_t ev = {
		.at_us = kf_schedule_now(p->schedule).mono_us + us,
		.fn = fn,
		.ctx = p,
		.vm = (uint32_t)kind,
		.number = reader,
		.upstream = watch,
	};

	kf_schedule_add(p->schedule, &ev);
}

static void
answer_watches(platform_t *p, kf_doc_kind_t kind, kf_sim_event_fn *fn)
{
	watch_t **link = &p->watches, *w;

	while ((w = *link) != NULL) {
		if (w->kind != kind) {
			link = &w->next;
			continue;
		}
		schedule_after(p, fn, p->link_us, kind, w->reader, 0);
		*link = w->next;
		free(w);
	}
}

void
platform_publish(platform_t *p, kf_doc_kind_t kind, char *text)
{
	free(p->texts[kind]);
	p->texts[kind] = text;
	p->versions[kind]++;
	if (!p->down)
		answer_watches(p, kind, on_deliver);
}

void
platform_set_down(platform_t *p, bool down)
{
	int kind;

	p->down = down;
	if (!down)
		return;
	for (kind = 0; kind < KF_DOC_KINDS; kind++)
		answer_watches(p, (kf_doc_kind_t)kind, on_failed);
}

static void
on_watch_timeout(void *ctx, const kf_sim_event_t *ev)
{
	platform_t *p = ctx;
	watch_t **link, *w;

	for (link = &p->watches; (w = *link) != NULL; link = &w->next) {
		if ((uint32_t)w->id != ev->upstream)
			continue;
		schedule_after(
		    p, on_unchanged, p->link_us, w->kind, w->reader, 0);
		*link = w->next;
		free(w);
		return;
	}
}

/*
 * A read arrives at the platform: path is the wait in ms, upstream the version
 * that the reader has.
 */
static void
on_read(void *ctx, const kf_sim_event_t *ev)
{
	platform_t *p = ctx;
	kf_doc_kind_t kind = (kf_doc_kind_t)ev->vm;
	watch_t *w;

	if (p->down)
		schedule_after(p, on_failed, p->link_us, kind, ev->number, 0);
	else if (p->versions[kind] > ev->upstream)
		schedule_after(p, on_deliver, p->link_us, kind, ev->number, 0);
	else if (ev->path == 0)
		schedule_after(
		    p, on_unchanged, p->link_us, kind, ev->number, 0);
	else {
		w = calloc(1, sizeof(*w));
		if (w == NULL)
			abort();
		*w = (watch_t){ .next = p->watches,
			.id = ++p->next_watch,
			.reader = ev->number,
			.kind = kind };
		p->watches = w;
		schedule_after(p, on_watch_timeout, (int64_t)ev->path * 1000,
		    kind, 0, (uint32_t)w->id);
	}
}

static void
count_read(platform_t *p)
{
	int64_t second = kf_schedule_now(p->schedule).mono_us / 1000000;

	p->reads++;
	if (second != p->second) {
		p->second = second;
		p->reads_in_second = 0;
	}
	if (++p->reads_in_second > p->peak)
		p->peak = p->reads_in_second;
}

void
platform_read(platform_t *p, uint64_t reader, kf_doc_kind_t kind,
    uint64_t after_version, uint32_t wait_ms)
{
	kf_sim_event_t ev = {
		.at_us = kf_schedule_now(p->schedule).mono_us + p->link_us,
		.fn = on_read,
		.ctx = p,
		.vm = (uint32_t)kind,
		.number = reader,
		.upstream = (uint32_t)after_version,
		.path = wait_ms,
	};

	count_read(p);
	kf_schedule_add(p->schedule, &ev);
}

uint64_t
platform_version(const platform_t *p, kf_doc_kind_t kind)
{
	return p->versions[kind];
}

uint64_t
platform_reads(const platform_t *p)
{
	return p->reads;
}

uint64_t
platform_peak_reads(platform_t *p)
{
	uint64_t peak = p->peak;

	p->peak = 0;
	p->reads_in_second = 0;
	return peak;
}
