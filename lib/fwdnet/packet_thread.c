#include <apr_thread_proc.h>

#include <sys/epoll.h>
#include <sys/eventfd.h>

#include <stdlib.h>
#include <unistd.h>

#include "kf/clock.h"
#include "kf/udp.h"

#include "packet_socket.h"
#include "packet_thread.h"

enum {
	/* Longest wait without packets; bounds the delay until idle flows are
	 * removed. */
	MAX_WAIT_MS = 250,
	/* Batches handled between two ticks, so that timers run on time under
	 * heavy load. */
	MAX_BATCHES = 8,
};

struct packet_thread {
	apr_pool_t *pool;
	apr_thread_mutex_t *mutex; /* protects forwarder */
	apr_thread_t *thread;
	kf_forwarder_t *forwarder;
	packet_socket_t *packet_socket;
	int64_t now_us;
	int epoll_fd;
	int wake_fd; /* wakes the thread */
	bool stopping;
};

static void
on_send(void *ctx, const kf_upstream_info_t *upstream, uint32_t token,
    const uint8_t *datagram, size_t len)
{
	packet_thread_t *t = ctx;

	packet_socket_send(t->packet_socket, upstream, token, datagram, len);
}

static void
on_reset(void *ctx, const kf_packet_t *packet)
{
	packet_thread_t *t = ctx;

	packet_socket_send_reset(t->packet_socket, packet);
}

static void
on_packet(
    void *ctx, const kf_packet_t *packet, const uint8_t *datagram, size_t len)
{
	packet_thread_t *t = ctx;

	kf_forwarder_packet(t->forwarder, t->now_us, packet, datagram, len);
}

static kf_status_t
watch_fd(int epoll_fd, int fd)
{
	struct epoll_event event = { .events = EPOLLIN, .data.fd = fd };

	return epoll_ctl(epoll_fd, EPOLL_CTL_ADD, fd, &event) == 0
	    ? KF_OK
	    : kf_status_set(KF_ERR_IO, "cannot watch a descriptor with epoll");
}

static kf_status_t
thread_open(packet_thread_t *t, kf_addr_t address)
{
	t->packet_socket = packet_socket_new(address);
	if (t->packet_socket == NULL)
		return KF_ERR_IO;
	t->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	t->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (t->epoll_fd < 0 || t->wake_fd < 0)
		return kf_status_set(
		    KF_ERR_IO, "cannot open descriptors of the packet thread");
	if (watch_fd(t->epoll_fd, packet_socket_fd(t->packet_socket)) !=
		KF_OK ||
	    watch_fd(t->epoll_fd, t->wake_fd) != KF_OK)
		return KF_ERR_IO;
	return apr_thread_mutex_create(
		   &t->mutex, APR_THREAD_MUTEX_DEFAULT, t->pool) == APR_SUCCESS
	    ? KF_OK
	    : kf_status_set(KF_ERR_NO_MEMORY, "no memory for a mutex");
}

packet_thread_t *
packet_thread_new(kf_addr_t address, uint64_t zone, forward_log_t *forward_log,
    apr_pool_t *pool)
{
	packet_thread_t *t;

	t = calloc(1, sizeof(*t));
	if (t == NULL)
		return NULL;
	t->pool = pool;
	t->epoll_fd = -1;
	t->wake_fd = -1;
	t->forwarder = kf_forwarder_new(zone,
	    &(kf_forwarder_callbacks_t){
		.ctx = t,
		.send = on_send,
		.reset = on_reset,
		.record_ctx = forward_log,
		.record = forward_log_record,
	    });
	if (t->forwarder == NULL || thread_open(t, address) != KF_OK) {
		packet_thread_delete(t);
		return NULL;
	}
	return t;
}

void
packet_thread_delete(packet_thread_t *t)
{
	if (t == NULL)
		return;
	if (t->epoll_fd >= 0)
		close(t->epoll_fd);
	if (t->wake_fd >= 0)
		close(t->wake_fd);
	packet_socket_delete(t->packet_socket);
	kf_forwarder_delete(t->forwarder);
	free(t);
}

kf_forwarder_t *
packet_thread_lock(packet_thread_t *t)
{
	apr_thread_mutex_lock(t->mutex);
	return t->forwarder;
}

void
packet_thread_unlock(packet_thread_t *t)
{
	apr_thread_mutex_unlock(t->mutex);
}

/* Handles received packets and due timers; returns when the next is due. */
static int64_t
run_once(packet_thread_t *t)
{
	kf_forwarder_t *forwarder = packet_thread_lock(t);
	int64_t due_us;
	int batches = 0;

	do
		t->now_us = kf_clock_now().mono_us;
	while (packet_socket_receive(t->packet_socket, on_packet, t) ==
		PACKET_SOCKET_BATCH &&
	    ++batches < MAX_BATCHES);
	due_us = kf_forwarder_tick(forwarder, t->now_us);
	packet_thread_unlock(t);
	packet_socket_flush(t->packet_socket);
	return due_us;
}

static void *APR_THREAD_FUNC
thread_main(apr_thread_t *thread, void *ctx)
{
	packet_thread_t *t = ctx;
	struct epoll_event event;
	uint64_t wakes;
	int64_t due_us;

	(void)thread;
	while (!__atomic_load_n(&t->stopping, __ATOMIC_ACQUIRE)) {
		due_us = run_once(t);
		epoll_wait(t->epoll_fd, &event, 1,
		    kf_wait_ms(due_us, t->now_us, MAX_WAIT_MS));
		/* Fails if nobody has woken the thread. */
		(void)!read(t->wake_fd, &wakes, sizeof(wakes));
	}
	return NULL;
}

kf_status_t
packet_thread_start(packet_thread_t *t)
{
	return apr_thread_create(&t->thread, NULL, thread_main, t, t->pool) ==
		APR_SUCCESS
	    ? KF_OK
	    : kf_status_set(KF_ERR_IO, "cannot start the packet thread");
}

void
packet_thread_discard(packet_thread_t *t)
{
	kf_udp_discard(packet_socket_fd(t->packet_socket));
}

void
packet_thread_wake(packet_thread_t *t)
{
	uint64_t one = 1;

	/* If it fails, the thread wakes within MAX_WAIT_MS. */
	(void)!write(t->wake_fd, &one, sizeof(one));
}

void
packet_thread_stop(packet_thread_t *t)
{
	apr_status_t status;

	if (t->thread == NULL)
		return;
	__atomic_store_n(&t->stopping, true, __ATOMIC_RELEASE);
	packet_thread_wake(t);
	apr_thread_join(&status, t->thread);
	t->thread = NULL;
}

void
packet_thread_stats(packet_thread_t *t, packet_thread_stats_t *stats)
{
	kf_forwarder_t *forwarder = packet_thread_lock(t);

	kf_forwarder_stats(forwarder, &stats->forwarder);
	stats->patience_us = kf_forwarder_hedge_delay_us(forwarder);
	stats->zones_evacuated =
	    kf_directory_evacuated_count(kf_forwarder_directory(forwarder));
	packet_thread_unlock(t);
	stats->malformed = packet_socket_malformed(t->packet_socket);
	stats->unsent = packet_socket_unsent(t->packet_socket);
}
