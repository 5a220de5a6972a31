#include <event2/event.h>
#include <stdlib.h>

#include "kf/io_loop.h"
#include "kf/status.h"

typedef struct watch {
	io_loop_t *loop;
	struct event *event;
	bool *ready;
} watch_t;

struct io_loop {
	struct event_base *base;
	struct event *timer;
	watch_t watches[IO_LOOP_MAX_FDS];
	int watch_count;
	bool stop; /* end the wait */
};

static void
on_readable(evutil_socket_t fd, short events, void *ctx)
{
	watch_t *w = ctx;

	(void)fd;
	(void)events;
	*w->ready = true;
	w->loop->stop = true;
}

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
	io_loop_t *l = ctx;

	(void)fd;
	(void)events;
	l->stop = true;
}

static struct event_base *
base_new(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	if (config == NULL)
		return NULL;
	event_config_avoid_method(config, "epoll");
	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
	event_config_set_flag(config, EVENT_BASE_FLAG_IGNORE_ENV);
	base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

io_loop_t *
io_loop_new(void)
{
	io_loop_t *l = calloc(1, sizeof(*l));

	if (l != NULL)
		l->base = base_new();
	if (l != NULL && l->base != NULL)
		l->timer = event_new(l->base, -1, 0, on_timer, l);
	if (l != NULL && l->timer != NULL)
		return l;
	io_loop_delete(l);
	kf_status_set(KF_ERR_NO_MEMORY, "no memory for an event loop");
	return NULL;
}

void
io_loop_delete(io_loop_t *l)
{
	int i;

	if (l == NULL)
		return;
	for (i = 0; i < l->watch_count; i++)
		event_free(l->watches[i].event);
	if (l->timer != NULL)
		event_free(l->timer);
	if (l->base != NULL)
		event_base_free(l->base);
	free(l);
}

bool
io_loop_watch(io_loop_t *l, int fd, bool *ready)
{
	watch_t *w = &l->watches[l->watch_count];

	if (l->watch_count == IO_LOOP_MAX_FDS)
		return false;
	*w = (watch_t){ .loop = l, .ready = ready };
	w->event = event_new(l->base, fd, EV_READ | EV_PERSIST, on_readable, w);
	if (w->event == NULL)
		return false;
	l->watch_count++;
	return event_add(w->event, NULL) == 0;
}

void
io_loop_wait(io_loop_t *l, int wait_ms)
{
	struct timeval wait = {
		.tv_sec = wait_ms / 1000,
		.tv_usec = wait_ms % 1000 * 1000,
	};

	event_add(l->timer, &wait);
	while (!l->stop && event_base_loop(l->base, EVLOOP_ONCE) == 0)
		;
	event_del(l->timer);
	/* Not before the wait: a request may have ended since the last one. */
	l->stop = false;
}

void
io_loop_stop(io_loop_t *l)
{
	l->stop = true;
}

struct event_base *
io_loop_base(io_loop_t *l)
{
	return l->base;
}
