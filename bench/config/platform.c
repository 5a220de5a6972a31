#include <stdlib.h>

#include "platform.h"

/* A read that waits for a newer version. */
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
	int64_t second; /* in which reads_in_second were started */
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

/* Happenings carry the kind in vm and the reader in number. */

static void
on_deliver(void *ctx, const kf_happening_t *h)
{
	platform_t *p = ctx;
	platform_answer_t answer = {
		.reader = h->number,
		.kind = (kf_doc_kind_t)h->vm,
		.version = p->versions[h->vm],
		.text = p->texts[h->vm],
	};

	p->on_answer(p->ctx, &answer);
}

static void
on_unchanged(void *ctx, const kf_happening_t *h)
{
	platform_t *p = ctx;
	platform_answer_t answer = { .reader = h->number,
		.kind = (kf_doc_kind_t)h->vm };

	p->on_answer(p->ctx, &answer);
}

static void
on_failed(void *ctx, const kf_happening_t *h)
{
	platform_t *p = ctx;
	platform_answer_t answer = { .reader = h->number,
		.kind = (kf_doc_kind_t)h->vm,
		.failed = true };

	p->on_answer(p->ctx, &answer);
}

static void
later(platform_t *p, kf_happening_fn *fn, int64_t us, kf_doc_kind_t kind,
    uint64_t reader, uint32_t watch)
{
	kf_happening_t h = {
		.at_us = kf_schedule_now(p->schedule).mono_us + us,
		.fn = fn,
		.ctx = p,
		.vm = (uint32_t)kind,
		.number = reader,
		.upstream = watch,
	};

	kf_schedule_add(p->schedule, &h);
}

static void
answer_watches(platform_t *p, kf_doc_kind_t kind, kf_happening_fn *fn)
{
	watch_t **link = &p->watches, *w;

	while ((w = *link) != NULL) {
		if (w->kind != kind) {
			link = &w->next;
			continue;
		}
		later(p, fn, p->link_us, kind, w->reader, 0);
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
on_watch_over(void *ctx, const kf_happening_t *h)
{
	platform_t *p = ctx;
	watch_t **link, *w;

	for (link = &p->watches; (w = *link) != NULL; link = &w->next) {
		if ((uint32_t)w->id != h->upstream)
			continue;
		later(p, on_unchanged, p->link_us, w->kind, w->reader, 0);
		*link = w->next;
		free(w);
		return;
	}
}

/* The read has reached the platform: path is the wait, upstream the version. */
static void
on_read(void *ctx, const kf_happening_t *h)
{
	platform_t *p = ctx;
	kf_doc_kind_t kind = (kf_doc_kind_t)h->vm;
	watch_t *w;

	if (p->down)
		later(p, on_failed, p->link_us, kind, h->number, 0);
	else if (p->versions[kind] > h->upstream)
		later(p, on_deliver, p->link_us, kind, h->number, 0);
	else if (h->path == 0)
		later(p, on_unchanged, p->link_us, kind, h->number, 0);
	else {
		w = calloc(1, sizeof(*w));
		if (w == NULL)
			abort();
		*w = (watch_t){ .next = p->watches,
			.id = ++p->next_watch,
			.reader = h->number,
			.kind = kind };
		p->watches = w;
		later(p, on_watch_over, (int64_t)h->path * 1000, kind, 0,
		    (uint32_t)w->id);
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
	kf_happening_t h = {
		.at_us = kf_schedule_now(p->schedule).mono_us + p->link_us,
		.fn = on_read,
		.ctx = p,
		.vm = (uint32_t)kind,
		.number = reader,
		.upstream = (uint32_t)after_version,
		.path = wait_ms,
	};

	count_read(p);
	kf_schedule_add(p->schedule, &h);
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
