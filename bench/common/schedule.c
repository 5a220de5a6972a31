#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "kf/bench_schedule.h"

struct kf_schedule {
	kf_sim_event_t *heap;
	size_t count;
	size_t cap;
	uint64_t next_order;
	int64_t start_us;
	int64_t now_us;
	int64_t wall_ms; /* at start_us */
};

kf_schedule_t *
kf_schedule_new(int64_t start_us, int64_t wall_ms)
{
	kf_schedule_t *s;

	s = calloc(1, sizeof(*s));
	if (s == NULL)
		abort();
	s->start_us = start_us;
	s->now_us = start_us;
	s->wall_ms = wall_ms;
	return s;
}

void
kf_schedule_delete(kf_schedule_t *s)
{
	size_t i;

	for (i = 0; i < s->count; i++)
		free(s->heap[i].data);
	free(s->heap);
	free(s);
}

static bool
event_before(const kf_sim_event_t *a, const kf_sim_event_t *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->order < b->order;
}

static void
swap(kf_schedule_t *s, size_t a, size_t b)
{
	kf_sim_event_t t = s->heap[a];

	s->heap[a] = s->heap[b];
	s->heap[b] = t;
}

static void
grow(kf_schedule_t *s)
{
	size_t cap = s->cap == 0 ? 1024 : s->cap * 2;
	kf_sim_event_t *heap;

	heap = realloc(s->heap, cap * sizeof(*heap));
	if (heap == NULL)
		abort();
	s->heap = heap;
	s->cap = cap;
}

void
kf_schedule_add(kf_schedule_t *s, const kf_sim_event_t *ev)
{
	kf_sim_event_t *slot;
	size_t i;

	if (s->count == s->cap)
		grow(s);
	i = s->count++;
	slot = &s->heap[i];
	*slot = *ev;
	slot->order = s->next_order++;
	slot->data = NULL;
	if (ev->len > 0) {
		slot->data = malloc(ev->len);
		if (slot->data == NULL)
			abort();
		memcpy(slot->data, ev->data, ev->len);
	}
	while (i > 0 && event_before(&s->heap[i], &s->heap[(i - 1) / 2])) {
		swap(s, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static void
sift_down(kf_schedule_t *s)
{
	size_t i = 0, least, child;

	for (;;) {
		least = i;
		for (child = 2 * i + 1; child <= 2 * i + 2; child++) {
			if (child < s->count &&
			    event_before(&s->heap[child], &s->heap[least]))
				least = child;
		}
		if (least == i)
			return;
		swap(s, i, least);
		i = least;
	}
}

void
kf_schedule_run(kf_schedule_t *s, int64_t until_us)
{
	kf_sim_event_t ev;

	while (s->count > 0 && s->heap[0].at_us <= until_us) {
		ev = s->heap[0];
		s->heap[0] = s->heap[--s->count];
		sift_down(s);
		if (ev.at_us > s->now_us)
			s->now_us = ev.at_us;
		ev.fn(ev.ctx, &ev);
		free(ev.data);
	}
	if (until_us > s->now_us)
		s->now_us = until_us;
}

kf_time_t
kf_schedule_now(const kf_schedule_t *s)
{
	return (kf_time_t){
		.mono_us = s->now_us,
		.wall_ms = s->wall_ms + (s->now_us - s->start_us) / 1000,
	};
}
