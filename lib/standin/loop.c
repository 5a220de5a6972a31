#include <sys/epoll.h>
#include <sys/signalfd.h>

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "kf/standin.h"

enum { MAX_FDS = 65536, EVENTS_PER_WAIT = 64 };

typedef struct source {
	kf_sim_fn *fn;
	void *ctx;
} source_t;

struct kf_sim_loop {
	int epoll_fd;
	int signal_fd;
	bool stopped;
	source_t *sources; /* indexed by descriptor */
	kf_sim_timer_t **heap;
	size_t count;
	size_t cap;
};

int64_t
kf_sim_mono_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t
kf_sim_wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void
loop_on_signal(void *ctx)
{
	kf_sim_loop_t *loop = ctx;
	struct signalfd_siginfo info;

	if (read(loop->signal_fd, &info, sizeof(info)) > 0)
		kf_sim_loop_stop(loop);
}

static int
loop_open_signals(void)
{
	sigset_t set;

	signal(SIGPIPE, SIG_IGN);
	/* Shells start background processes with SIGINT ignored; reset it. */
	signal(SIGINT, SIG_DFL);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	if (sigprocmask(SIG_BLOCK, &set, NULL) != 0)
		return -1;
	return signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
}

kf_sim_loop_t *
kf_sim_loop_new(void)
{
	kf_sim_loop_t *loop;

	loop = calloc(1, sizeof(*loop));
	if (loop == NULL)
		return NULL;
	loop->sources = calloc(MAX_FDS, sizeof(*loop->sources));
	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	loop->signal_fd = loop_open_signals();
	if (loop->sources == NULL || loop->epoll_fd < 0 ||
	    loop->signal_fd < 0 ||
	    kf_sim_loop_add(loop, loop->signal_fd, loop_on_signal, loop) !=
		KF_OK) {
		kf_sim_loop_delete(loop);
		return NULL;
	}
	return loop;
}

void
kf_sim_loop_delete(kf_sim_loop_t *loop)
{
	if (loop == NULL)
		return;
	if (loop->epoll_fd >= 0)
		close(loop->epoll_fd);
	if (loop->signal_fd >= 0)
		close(loop->signal_fd);
	free(loop->sources);
	free(loop->heap);
	free(loop);
}

kf_status_t
kf_sim_loop_add(kf_sim_loop_t *loop, int fd, kf_sim_fn *fn, void *ctx)
{
	struct epoll_event event = { .events = EPOLLIN, .data.fd = fd };

	if (fd >= MAX_FDS)
		return kf_status_set(KF_ERR_FULL, "too many descriptors");
	loop->sources[fd].fn = fn;
	loop->sources[fd].ctx = ctx;
	if (epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, fd, &event) != 0)
		return kf_status_set(KF_ERR_IO, "cannot watch a descriptor");
	return KF_OK;
}

void
kf_sim_loop_remove(kf_sim_loop_t *loop, int fd)
{
	epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
	loop->sources[fd].fn = NULL;
}

void
kf_sim_loop_stop(kf_sim_loop_t *loop)
{
	loop->stopped = true;
}

static void
heap_place(kf_sim_loop_t *loop, size_t i, kf_sim_timer_t *timer)
{
	loop->heap[i] = timer;
	timer->slot = i + 1;
}

static void
heap_sift_up(kf_sim_loop_t *loop, size_t i, kf_sim_timer_t *timer)
{
	while (i > 0 && loop->heap[(i - 1) / 2]->at_us > timer->at_us) {
		heap_place(loop, i, loop->heap[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	heap_place(loop, i, timer);
}

static void
heap_sift_down(kf_sim_loop_t *loop, size_t i, kf_sim_timer_t *timer)
{
	size_t child;

	while ((child = 2 * i + 1) < loop->count) {
		if (child + 1 < loop->count &&
		    loop->heap[child + 1]->at_us < loop->heap[child]->at_us)
			child++;
		if (loop->heap[child]->at_us >= timer->at_us)
			break;
		heap_place(loop, i, loop->heap[child]);
		i = child;
	}
	heap_place(loop, i, timer);
}

kf_status_t
kf_sim_timer_set(kf_sim_loop_t *loop, kf_sim_timer_t *timer, int64_t at_us)
{
	kf_sim_timer_t **grown;
	size_t cap;

	kf_sim_timer_cancel(loop, timer);
	if (loop->count == loop->cap) {
		cap = loop->cap == 0 ? 64 : loop->cap * 2;
		grown = realloc(loop->heap, cap * sizeof(kf_sim_timer_t *));
		if (grown == NULL)
			return kf_status_set(KF_ERR_NO_MEMORY, "no memory");
		loop->heap = grown;
		loop->cap = cap;
	}
	timer->at_us = at_us;
	heap_sift_up(loop, loop->count++, timer);
	return KF_OK;
}

void
kf_sim_timer_cancel(kf_sim_loop_t *loop, kf_sim_timer_t *timer)
{
	kf_sim_timer_t *last;
	size_t i;

	if (timer->slot == 0)
		return;
	i = timer->slot - 1;
	timer->slot = 0;
	last = loop->heap[--loop->count];
	if (last == timer)
		return;
	heap_sift_down(loop, i, last);
	heap_sift_up(loop, last->slot - 1, last);
}

/* Runs the timers that are due and returns the time until the next in us. */
static int64_t
loop_run_timers(kf_sim_loop_t *loop)
{
	kf_sim_timer_t *timer;
	int64_t now;

	now = kf_sim_mono_us();
	while (loop->count > 0 && !loop->stopped) {
		timer = loop->heap[0];
		if (timer->at_us > now)
			return timer->at_us - now;
		kf_sim_timer_cancel(loop, timer);
		timer->fn(timer->ctx);
	}
	return 1000000;
}

void
kf_sim_loop_run(kf_sim_loop_t *loop)
{
	struct epoll_event events[EVENTS_PER_WAIT];
	struct timespec wait;
	int64_t wait_us;
	source_t *source;
	int i, n;

	while (!loop->stopped) {
		wait_us = loop_run_timers(loop);
		if (loop->stopped)
			break;
		wait.tv_sec = wait_us / 1000000;
		wait.tv_nsec = wait_us % 1000000 * 1000;
		n = epoll_pwait2(
		    loop->epoll_fd, events, EVENTS_PER_WAIT, &wait, NULL);
		for (i = 0; i < n; i++) {
			source = &loop->sources[events[i].data.fd];
			if (source->fn != NULL)
				source->fn(source->ctx);
		}
	}
}
