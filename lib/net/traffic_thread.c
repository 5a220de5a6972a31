#include <apr_hash.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>

#include <sys/epoll.h>
#include <sys/eventfd.h>

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "kf/clock.h"
#include "kf/proxy.h"
#include "kf/udp.h"

#include "traffic_thread.h"

enum {
	EVENTS_MAX = 64,
	/* Datagrams read from one socket before the next is served. */
	DATAGRAM_BATCH_MAX = 64,
	SNAPSHOT_INTERVAL_US = 100000,
	/* A longer gap between two iterations of the loop is a pause. */
	PAUSE_MIN_US = 1000000,
};

typedef enum source_kind {
	SOURCE_WAKE = 0, /* eventfd that other threads write */
	SOURCE_INGRESS,
	SOURCE_PEER,
	SOURCE_PATH, /* socket connected to an upstream */
} source_kind_t;

typedef struct path_key {
	uint32_t upstream;
	uint32_t path;
} path_key_t;

/* A descriptor registered with epoll. */
typedef struct source {
	source_kind_t kind;
	int fd;
	path_key_t key;	  /* SOURCE_PATH */
	kf_addr_t remote; /* SOURCE_PATH */
} source_t;

struct traffic_thread {
	kf_settings_t settings;
	kf_logger_t *logger;
	kf_traffic_t *core;
	apr_pool_t *pool;
	apr_thread_t *thread;
	apr_thread_mutex_t *mutex; /* protects next_view to handover_done */
	kf_view_t *next_view;
	traffic_snapshot_t snapshot;
	uint32_t snapshot_cap;
	bool stopping;
	bool handover_requested; /* the core is to hand over its records */
	bool handover_done;
	apr_hash_t *paths; /* source_t by path_key_t */
	source_t wake;
	source_t ingress;
	source_t peer;
	int epoll_fd;
	int64_t last_snapshot_us;
	kf_time_t now;
	kf_counters_t counters; /* events that the core does not count */
	uint8_t buf[KF_UDP_MAX_BYTES];
	uint8_t out[KF_UDP_MAX_BYTES]; /* datagram with PROXY header */
};

static void
epoll_add_source(traffic_thread_t *t, source_t *source)
{
	struct epoll_event event = { .events = EPOLLIN, .data.ptr = source };

	epoll_ctl(t->epoll_fd, EPOLL_CTL_ADD, source->fd, &event);
}

static void
send_caller(void *ctx, const kf_route_t *route, const uint8_t *data, size_t len)
{
	traffic_thread_t *t = ctx;

	if (t->settings.encapsulation == KF_ENCAPSULATION_NONE) {
		kf_udp_send(t->ingress.fd, route->caller, data, len);
		return;
	}
	if (len + KF_PROXY_HEADER_BYTES > sizeof(t->out))
		return;
	kf_proxy_write(route->service, route->caller, t->out);
	memcpy(t->out + KF_PROXY_HEADER_BYTES, data, len);
	kf_udp_send(
	    t->ingress.fd, route->fabric, t->out, len + KF_PROXY_HEADER_BYTES);
}

static void
send_peer(void *ctx, kf_addr_t to, const uint8_t *data, size_t len)
{
	traffic_thread_t *t = ctx;

	kf_udp_send(t->peer.fd, to, data, len);
}

static source_t *
path_open(traffic_thread_t *t, path_key_t key, kf_addr_t remote)
{
	source_t *source;

	source = calloc(1, sizeof(*source));
	if (source == NULL)
		return NULL;
	source->kind = SOURCE_PATH;
	source->key = key;
	source->remote = remote;
	if (kf_udp_connect(t->settings.peer_address.ip, remote, &source->fd) !=
	    KF_OK) {
		free(source);
		return NULL;
	}
	apr_hash_set(t->paths, &source->key, sizeof(source->key), source);
	epoll_add_source(t, source);
	return source;
}

static void
path_close(traffic_thread_t *t, source_t *source)
{
	apr_hash_set(t->paths, &source->key, sizeof(source->key), NULL);
	close(source->fd);
	free(source);
}

static void
send_upstream(void *ctx, uint32_t upstream, kf_addr_t to, uint32_t path,
    const uint8_t *data, size_t len)
{
	traffic_thread_t *t = ctx;
	path_key_t key = { upstream, path };
	source_t *source;

	source = apr_hash_get(t->paths, &key, sizeof(key));
	if (source != NULL && !kf_addr_equal(source->remote, to)) {
		path_close(t, source);
		source = NULL;
	}
	if (source == NULL)
		source = path_open(t, key, to);
	if (source == NULL)
		return;
	/*
	 * The error is that of an earlier datagram, and this one was not sent.
	 * If the port is still closed, the next read reports ECONNREFUSED.
	 */
	if (write(source->fd, data, len) < 0 && errno == ECONNREFUSED)
		(void)!write(source->fd, data, len);
}

static void
reset_path(void *ctx, uint32_t upstream, uint32_t path)
{
	traffic_thread_t *t = ctx;
	path_key_t key = { upstream, path };
	source_t *source;

	source = apr_hash_get(t->paths, &key, sizeof(key));
	if (source != NULL)
		path_close(t, source);
}

static void
on_decision(void *ctx, const kf_decision_t *decision)
{
	traffic_thread_t *t = ctx;

	kf_counters_add(&t->counters, KF_COUNT_LOG_SUPPRESSED,
	    kf_logger_decision(t->logger, t->now, decision));
}

static void
read_ingress(traffic_thread_t *t)
{
	bool encapsulated =
	    t->settings.encapsulation == KF_ENCAPSULATION_PROXY_V2;
	kf_route_t route;
	kf_addr_t from;
	size_t offset;
	ssize_t len;
	int i;

	for (i = 0; i < DATAGRAM_BATCH_MAX; i++) {
		len = kf_udp_recv(t->ingress.fd, t->buf, sizeof(t->buf), &from);
		if (len < 0)
			return;
		route = (kf_route_t){ .caller = from,
			.service = t->settings.ingress_address,
			.fabric = from };
		offset = 0;
		if (encapsulated &&
		    kf_proxy_parse(t->buf, (size_t)len, &route.caller,
			&route.service, &offset) != KF_OK)
			offset = (size_t)len; /* empty: counted as malformed */
		kf_traffic_on_caller(t->core, t->now, &route, t->buf + offset,
		    (size_t)len - offset);
	}
}

static void
read_peer(traffic_thread_t *t)
{
	kf_addr_t from;
	ssize_t len;
	int i;

	for (i = 0; i < DATAGRAM_BATCH_MAX; i++) {
		len = kf_udp_recv(t->peer.fd, t->buf, sizeof(t->buf), &from);
		if (len < 0)
			return;
		kf_traffic_on_peer(t->core, t->now, from, t->buf, (size_t)len);
	}
}

static void
read_path(traffic_thread_t *t, source_t *source)
{
	path_key_t key = source->key;
	ssize_t len;
	int i;

	for (i = 0; i < DATAGRAM_BATCH_MAX; i++) {
		len = read(source->fd, t->buf, sizeof(t->buf));
		if (len < 0) {
			if (errno == ECONNREFUSED)
				kf_traffic_on_upstream_error(
				    t->core, t->now, key.upstream, key.path);
			return;
		}
		kf_traffic_on_upstream(t->core, t->now, key.upstream, key.path,
		    t->buf, (size_t)len);
		/* The core may have closed this path. */
		if (apr_hash_get(t->paths, &key, sizeof(key)) != source)
			return;
	}
}

/*
 * Handles what other threads have requested: a new view, the handover, the
 * stop.  Returns false when the thread is to stop.
 */
static bool
handle_wake(traffic_thread_t *t)
{
	kf_view_t *view;
	uint64_t count;
	bool stopping, handover_requested;

	if (read(t->wake.fd, &count, sizeof(count)) < 0)
		count = 0;
	apr_thread_mutex_lock(t->mutex);
	view = t->next_view;
	t->next_view = NULL;
	stopping = t->stopping;
	handover_requested = t->handover_requested;
	apr_thread_mutex_unlock(t->mutex);
	if (handover_requested)
		kf_traffic_on_shutdown(t->core, t->now);
	if (view != NULL) {
		kf_traffic_on_view(t->core, t->now, view);
		kf_view_release(view);
	}
	return !stopping;
}

static void
on_upstream_state(void *ctx, const kf_traffic_upstream_t *upstream)
{
	traffic_thread_t *t = ctx;
	traffic_snapshot_t *s = &t->snapshot;
	kf_traffic_upstream_t *grown;
	uint32_t cap;

	if (s->upstream_count == t->snapshot_cap) {
		cap = t->snapshot_cap * 2 + 16;
		grown = realloc(s->upstreams, cap * sizeof(*grown));
		if (grown == NULL)
			return;
		s->upstreams = grown;
		t->snapshot_cap = cap;
	}
	s->upstreams[s->upstream_count++] = *upstream;
}

static void
update_snapshot(traffic_thread_t *t)
{
	if (t->now.mono_us - t->last_snapshot_us < SNAPSHOT_INTERVAL_US)
		return;
	t->last_snapshot_us = t->now.mono_us;
	apr_thread_mutex_lock(t->mutex);
	t->snapshot.in_progress = kf_traffic_in_progress(t->core);
	t->snapshot.fenced = kf_traffic_fenced(t->core);
	t->snapshot.flows = kf_traffic_flow_stats(t->core);
	t->handover_done = kf_traffic_shutdown_complete(t->core);
	t->snapshot.upstream_count = 0;
	kf_traffic_each_upstream(t->core, t->now, on_upstream_state, t);
	apr_thread_mutex_unlock(t->mutex);
}

static bool
handle_event(traffic_thread_t *t, source_t *source)
{
	switch (source->kind) {
	case SOURCE_WAKE:
		return handle_wake(t);
	case SOURCE_INGRESS:
		read_ingress(t);
		break;
	case SOURCE_PEER:
		read_peer(t);
		break;
	case SOURCE_PATH:
		read_path(t, source);
		break;
	}
	return true;
}

/*
 * Handles the events of one epoll_wait.  An event may close a path, and free
 * its source, before a later event of the same wait.  So the keys are copied
 * first, and an event is skipped if its source is no longer in the table.
 */
static bool
handle_events(traffic_thread_t *t, struct epoll_event *events, int count)
{
	path_key_t keys[EVENTS_MAX];
	bool run = true;
	int i;

	for (i = 0; i < count; i++) {
		source_t *source = events[i].data.ptr;

		keys[i] = source->key;
	}
	for (i = 0; i < count; i++) {
		source_t *source = events[i].data.ptr;

		if (source != &t->wake && source != &t->ingress &&
		    source != &t->peer &&
		    apr_hash_get(t->paths, &keys[i], sizeof(keys[i])) != source)
			continue;
		run = handle_event(t, source) && run;
	}
	return run;
}

/* Drops the datagrams that arrived while the process did not run. */
static void
handle_pause(traffic_thread_t *t, int64_t last_us)
{
	kf_udp_discard(t->ingress.fd);
	kf_udp_discard(t->peer.fd);
	kf_traffic_on_pause(t->core, t->now);
	kf_logger_event(t->logger, KF_LOG_WARN, "traffic_paused",
	    "pause_ms=%lld", (long long)((t->now.mono_us - last_us) / 1000));
}

static void *APR_THREAD_FUNC
traffic_main(apr_thread_t *thread, void *ctx)
{
	struct epoll_event events[EVENTS_MAX];
	traffic_thread_t *t = ctx;
	int64_t tick_us = 0, last_us;
	bool run = true;
	int count;

	(void)thread;
	while (run) {
		count = epoll_wait(
		    t->epoll_fd, events, EVENTS_MAX, KF_TRAFFIC_TICK_MS);
		last_us = t->now.mono_us;
		t->now = kf_clock_now();
		if (last_us > 0 && t->now.mono_us - last_us > PAUSE_MIN_US)
			handle_pause(t, last_us);
		/*
		 * Timers run before events: after a pause, queued requests may
		 * have expired.
		 */
		if (t->now.mono_us - tick_us >= KF_TRAFFIC_TICK_MS * 1000) {
			tick_us = t->now.mono_us;
			kf_traffic_on_tick(t->core, t->now);
		}
		if (count > 0)
			run = handle_events(t, events, count);
		update_snapshot(t);
	}
	return NULL;
}

static kf_status_t
open_sockets(traffic_thread_t *t, uint32_t shard)
{
	kf_addr_t peer = t->settings.peer_address;
	kf_status_t status;

	peer.port = (uint16_t)(peer.port + shard);
	t->wake.kind = SOURCE_WAKE;
	t->ingress.kind = SOURCE_INGRESS;
	t->peer.kind = SOURCE_PEER;
	t->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	t->wake.fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (t->epoll_fd < 0 || t->wake.fd < 0)
		return kf_status_set(
		    KF_ERR_IO, "cannot create epoll or eventfd");
	status = kf_udp_open(t->settings.ingress_address,
	    t->settings.traffic_threads > 1 ? KF_UDP_SHARE_PORT : 0,
	    &t->ingress.fd);
	if (status == KF_OK)
		status = kf_udp_open(peer, 0, &t->peer.fd);
	if (status != KF_OK)
		return status;
	epoll_add_source(t, &t->wake);
	epoll_add_source(t, &t->ingress);
	epoll_add_source(t, &t->peer);
	return KF_OK;
}

static kf_status_t
make_core(traffic_thread_t *t, kf_vm_id_t self, uint32_t shard)
{
	const kf_settings_t *s = &t->settings;
	int64_t idle_expiry_s = s->token_lifetime_s + KF_RETRANSMIT_HORIZON_S;
	kf_traffic_config_t config = {
		.self = self,
		.zone = s->zone,
		.shard = shard,
		.seed = self.incarnation * 31 + self.vm + shard,
		.policy = KF_POLICY_STRIDE,
		.paths = s->upstream_paths,
		.token_lifetime_s = s->token_lifetime_s,
		.flow_limits = {
			.max_flows = s->max_flows,
			.max_reply_bytes = (size_t)s->max_reply_cache_bytes,
			.idle_expiry_us = idle_expiry_s * 1000000,
			.reply_expiry_us =
			    (int64_t)KF_RETRANSMIT_HORIZON_S * 1000000,
		},
		.ops = {
			.ctx = t,
			.send_caller = send_caller,
			.send_peer = send_peer,
			.send_upstream = send_upstream,
			.reset_path = reset_path,
			.decision = on_decision,
		},
	};

	kf_admission_config_init(&config.admission);
	config.admission.queue_bytes = (uint64_t)s->queue_bytes;
	config.admission.ingress_pps = s->ingress_packets_per_s;
	t->core = kf_traffic_new(&config);
	return t->core == NULL ? KF_ERR_NO_MEMORY : KF_OK;
}

traffic_thread_t *
traffic_thread_new(const kf_settings_t *settings, kf_vm_id_t self,
    uint32_t shard, kf_logger_t *logger)
{
	traffic_thread_t *t;

	t = calloc(1, sizeof(*t));
	if (t == NULL)
		return NULL;
	t->settings = *settings;
	t->logger = logger;
	t->epoll_fd = t->wake.fd = t->ingress.fd = t->peer.fd = -1;
	if (apr_pool_create(&t->pool, NULL) != APR_SUCCESS ||
	    apr_thread_mutex_create(
		&t->mutex, APR_THREAD_MUTEX_DEFAULT, t->pool) != APR_SUCCESS) {
		free(t);
		return NULL;
	}
	t->paths = apr_hash_make(t->pool);
	if (open_sockets(t, shard) != KF_OK ||
	    make_core(t, self, shard) != KF_OK) {
		traffic_thread_delete(t);
		return NULL;
	}
	return t;
}

kf_status_t
traffic_thread_start(traffic_thread_t *t)
{
	if (apr_thread_create(&t->thread, NULL, traffic_main, t, t->pool) !=
	    APR_SUCCESS)
		return kf_status_set(
		    KF_ERR_NO_MEMORY, "cannot start a traffic thread");
	return KF_OK;
}

static void
wake(traffic_thread_t *t)
{
	uint64_t one = 1;

	(void)!write(t->wake.fd, &one, sizeof(one));
}

void
traffic_thread_stop(traffic_thread_t *t)
{
	apr_status_t status;

	if (t->thread == NULL)
		return;
	apr_thread_mutex_lock(t->mutex);
	t->stopping = true;
	apr_thread_mutex_unlock(t->mutex);
	wake(t);
	apr_thread_join(&status, t->thread);
	t->thread = NULL;
}

void
traffic_thread_delete(traffic_thread_t *t)
{
	apr_hash_index_t *hi;
	int fds[4], i;

	if (t == NULL)
		return;
	traffic_thread_stop(t);
	for (hi = apr_hash_first(t->pool, t->paths); hi != NULL;
	     hi = apr_hash_next(hi)) {
		source_t *source = apr_hash_this_val(hi);

		close(source->fd);
		free(source);
	}
	kf_traffic_delete(t->core);
	kf_view_release(t->next_view);
	free(t->snapshot.upstreams);
	fds[0] = t->epoll_fd;
	fds[1] = t->wake.fd;
	fds[2] = t->ingress.fd;
	fds[3] = t->peer.fd;
	for (i = 0; i < 4; i++) {
		if (fds[i] >= 0)
			close(fds[i]);
	}
	apr_pool_destroy(t->pool);
	free(t);
}

bool
traffic_thread_hand_over(traffic_thread_t *t)
{
	bool handover_done;

	apr_thread_mutex_lock(t->mutex);
	t->handover_requested = true;
	handover_done = t->handover_done;
	apr_thread_mutex_unlock(t->mutex);
	wake(t);
	return handover_done;
}

void
traffic_thread_set_view(traffic_thread_t *t, kf_view_t *view)
{
	apr_thread_mutex_lock(t->mutex);
	kf_view_release(t->next_view);
	t->next_view = kf_view_retain(view);
	apr_thread_mutex_unlock(t->mutex);
	wake(t);
}

kf_status_t
traffic_thread_snapshot(traffic_thread_t *t, traffic_snapshot_t *out)
{
	kf_status_t status = KF_OK;
	size_t bytes;

	apr_thread_mutex_lock(t->mutex);
	*out = t->snapshot;
	bytes = out->upstream_count * sizeof(*out->upstreams);
	out->upstreams = malloc(bytes + 1);
	if (out->upstreams == NULL)
		status = KF_ERR_NO_MEMORY;
	else if (bytes > 0)
		memcpy(out->upstreams, t->snapshot.upstreams, bytes);
	apr_thread_mutex_unlock(t->mutex);
	return status;
}

void
traffic_thread_add_counters(const traffic_thread_t *t, kf_counters_t *totals)
{
	kf_counters_sum(totals, kf_traffic_counters(t->core));
	kf_counters_sum(totals, &t->counters);
}
