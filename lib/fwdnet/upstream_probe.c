#include <sys/socket.h>

#include <event2/event.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <unistd.h>

#include "kf/clock.h"
#include "kf/status.h"
#include "kf/udp.h"

#include "upstream_probe.h"

/* Interval at which the forwarder is asked for probes.  It delays the reset of
 * flows, which clients with goals of 250 to 400 ms wait for. */
enum { POLL_INTERVAL_US = 20000 };

/* A refused connection is tried once more this long after the first: the result
 * is due later, and the upstream may accept connections by then. */
enum { REFUSED_RETRY_US = 80000 };

typedef struct connection {
	upstream_probe_t *probe;
	kf_probe_t target;
	int64_t started_us;
	bool retried;
	int fd; /* -1: refused, or not in use */
	bool in_use;
	bool cancelled; /* could not be made */
	struct event *writable;
	struct event *retry;
	struct event *timeout;
} connection_t;

struct upstream_probe {
	struct event_base *base;
	packet_thread_t *packets;
	struct event *poll_timer;
	connection_t connections[UPSTREAM_PROBE_MAX];
};

static void
connection_close(connection_t *c)
{
	if (c->writable != NULL)
		event_free(c->writable);
	c->writable = NULL;
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
}

static void
connection_end(connection_t *c, bool accepted)
{
	upstream_probe_t *p = c->probe;
	kf_forwarder_t *forwarder;
	bool dead;

	connection_close(c);
	event_del(c->retry);
	event_del(c->timeout);
	c->in_use = false;
	forwarder = packet_thread_lock(p->packets);
	dead = kf_forwarder_probe_result(
	    forwarder, c->target.token, accepted, kf_clock_now().mono_us);
	packet_thread_unlock(p->packets);
	if (dead)
		packet_thread_wake(p->packets);
}

/* Ends a probe that could not be made. */
static void
connection_cancel(connection_t *c)
{
	c->in_use = false;
	kf_forwarder_probe_cancelled(
	    packet_thread_lock(c->probe->packets), c->target.token);
	packet_thread_unlock(c->probe->packets);
}

static bool
is_accepted(int fd)
{
	struct pollfd pollfd = { .fd = fd, .events = POLLOUT };
	socklen_t len = sizeof(int);
	int error = 0;

	return fd >= 0 && poll(&pollfd, 1, 0) == 1 &&
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) == 0 &&
	    error == 0;
}

static void
retry_later(connection_t *c)
{
	int64_t left_us =
	    c->started_us + REFUSED_RETRY_US - kf_clock_now().mono_us;
	const struct timeval delay = { .tv_usec = left_us > 0 ? left_us : 0 };

	if (c->retried)
		return;
	c->retried = true;
	event_add(c->retry, &delay);
}

/*
 * A refused connection is reported as failed when its time is over, like one
 * without an answer: until then other upstreams can show that the links work.
 */
static void
on_writable(evutil_socket_t fd, short events, void *ctx)
{
	connection_t *c = ctx;

	(void)events;
	if (is_accepted(fd)) {
		connection_end(c, true);
		return;
	}
	connection_close(c);
	retry_later(c);
}

/* After a pause of the process the connection may be accepted already. */
static void
on_timeout(evutil_socket_t fd, short events, void *ctx)
{
	connection_t *c = ctx;

	(void)fd;
	(void)events;
	if (c->cancelled)
		connection_cancel(c);
	else
		connection_end(c, is_accepted(c->fd));
}

static void
connection_open(connection_t *c)
{
	struct sockaddr_in to = kf_sockaddr(c->target.address);

	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (c->fd >= 0 &&
	    (connect(c->fd, (struct sockaddr *)&to, sizeof(to)) == 0 ||
		errno == EINPROGRESS)) {
		c->writable =
		    event_new(c->probe->base, c->fd, EV_WRITE, on_writable, c);
		if (c->writable != NULL && event_add(c->writable, NULL) == 0)
			return;
		errno = ENOMEM;
	}
	/* A fault of this VM, such as a lack of descriptors, says nothing about
	 * the upstream. */
	c->cancelled = errno != ECONNREFUSED;
	connection_close(c);
	if (!c->cancelled)
		retry_later(c);
}

static void
on_retry(evutil_socket_t fd, short events, void *ctx)
{
	(void)fd;
	(void)events;
	connection_open(ctx);
}

static void
connection_begin(connection_t *c, const kf_probe_t *probe)
{
	const struct timeval timeout = { .tv_usec = KF_DEAD_PROBE_TIMEOUT_US };

	c->target = *probe;
	c->started_us = kf_clock_now().mono_us;
	c->retried = false;
	c->in_use = true;
	c->cancelled = false;
	event_base_update_cache_time(c->probe->base);
	event_add(c->timeout, &timeout);
	connection_open(c);
}

static connection_t *
find_unused(upstream_probe_t *p)
{
	size_t i;

	for (i = 0; i < UPSTREAM_PROBE_MAX; i++)
		if (!p->connections[i].in_use)
			return &p->connections[i];
	return NULL;
}

static size_t
count_unused(const upstream_probe_t *p)
{
	size_t i, count = 0;

	for (i = 0; i < UPSTREAM_PROBE_MAX; i++)
		count += !p->connections[i].in_use;
	return count;
}

static void
on_poll(evutil_socket_t fd, short events, void *ctx)
{
	kf_probe_t probes[UPSTREAM_PROBE_MAX];
	upstream_probe_t *p = ctx;
	kf_forwarder_t *forwarder;
	size_t i, count;

	(void)fd;
	(void)events;
	forwarder = packet_thread_lock(p->packets);
	count = kf_forwarder_take_probes(
	    forwarder, kf_clock_now().mono_us, probes, count_unused(p));
	packet_thread_unlock(p->packets);
	for (i = 0; i < count; i++)
		connection_begin(find_unused(p), &probes[i]);
}

static bool
probe_open(upstream_probe_t *p, bool enabled)
{
	const struct timeval interval = { .tv_usec = POLL_INTERVAL_US };
	size_t i;

	for (i = 0; i < UPSTREAM_PROBE_MAX; i++) {
		connection_t *c = &p->connections[i];

		c->probe = p;
		c->fd = -1;
		c->retry = evtimer_new(p->base, on_retry, c);
		c->timeout = evtimer_new(p->base, on_timeout, c);
		if (c->retry == NULL || c->timeout == NULL)
			return false;
	}
	p->poll_timer = event_new(p->base, -1, EV_PERSIST, on_poll, p);
	return p->poll_timer != NULL &&
	    (!enabled || event_add(p->poll_timer, &interval) == 0);
}

upstream_probe_t *
upstream_probe_new(
    io_loop_t *loop, packet_thread_t *packets, int64_t dead_after_us)
{
	upstream_probe_t *p;

	p = calloc(1, sizeof(*p));
	if (p == NULL) {
		kf_status_set(KF_ERR_NO_MEMORY, "no memory for probes");
		return NULL;
	}
	p->base = io_loop_base(loop);
	p->packets = packets;
	if (!probe_open(p, dead_after_us > 0)) {
		kf_status_set(KF_ERR_NO_MEMORY, "no memory for probes");
		upstream_probe_delete(p);
		return NULL;
	}
	kf_forwarder_set_dead_after(packet_thread_lock(packets), dead_after_us);
	packet_thread_unlock(packets);
	return p;
}

void
upstream_probe_delete(upstream_probe_t *p)
{
	size_t i;

	if (p == NULL)
		return;
	for (i = 0; i < UPSTREAM_PROBE_MAX; i++) {
		connection_t *c = &p->connections[i];

		if (c->probe == NULL)
			continue;
		connection_close(c);
		if (c->retry != NULL)
			event_free(c->retry);
		if (c->timeout != NULL)
			event_free(c->timeout);
	}
	if (p->poll_timer != NULL)
		event_free(p->poll_timer);
	free(p);
}
