#include <apr_pools.h>

#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "kf/clock.h"
#include "kf/control_server.h"
#include "kf/signals.h"
#include "kf/udp.h"

#include "control_thread.h"
#include "fetch.h"
#include "metrics.h"
#include "status_report.h"

enum {
	FD_CONTROL = 0,
	FD_FETCH,
	FD_SIGNAL,
	FD_RPC, /* first descriptor of the RPC server */
	POLL_FDS_MAX = 1024,
	DATAGRAM_BATCH_MAX = 256, /* read before other descriptors */
	COLLECT_INTERVAL_US = 100000,
	/*
	 * A leaving VM serves requests until none has been in progress for
	 * DRAIN_IDLE_US.  Callers that stay active get DRAIN_MAX_US to move to
	 * another VM.
	 */
	DRAIN_IDLE_US = 2000000,
	DRAIN_MAX_US = 10000000,
};

const int control_thread_signals[] = { SIGTERM, SIGINT, 0 };

struct control_thread {
	kf_settings_t settings;
	kf_vm_id_t self;
	kf_logger_t *logger;
	kf_control_t *core;
	fetch_t *fetch;
	metrics_t *metrics; /* NULL if disabled */
	traffic_thread_t **traffic;
	uint32_t traffic_count;
	apr_pool_t *report_pool; /* memory of one status reply */
	int control_fd;
	int signal_fd;
	bool leaving;
	/* The next run must exceed it; 0: the process exits. */
	uint64_t restart_above_incarnation;
	bool handover_started;
	int64_t leaving_since_us;
	int64_t last_busy_us; /* when a request was last in progress */
	int64_t last_collect_us;
	kf_time_t now;
	uint8_t buf[KF_UDP_MAX_BYTES];
};

static void
on_send(void *ctx, kf_addr_t to, const uint8_t *data, size_t len)
{
	control_thread_t *t = ctx;

	kf_udp_send(t->control_fd, to, data, len);
}

static void
on_fetch_platform(
    void *ctx, kf_doc_kind_t kind, uint64_t after_version, uint32_t wait_ms)
{
	control_thread_t *t = ctx;

	fetch_platform(t->fetch, kind, after_version, wait_ms);
}

static void
on_fetch_peer(
    void *ctx, kf_doc_source_t source, kf_addr_t peer, kf_doc_kind_t kind)
{
	control_thread_t *t = ctx;

	fetch_peer(t->fetch, source, peer, kind);
}

static void
on_publish(void *ctx, kf_view_t *view)
{
	control_thread_t *t = ctx;
	uint32_t i;

	for (i = 0; i < t->traffic_count; i++)
		traffic_thread_set_view(t->traffic[i], view);
}

static void
on_record(void *ctx, const kf_control_record_t *record)
{
	control_thread_t *t = ctx;

	kf_logger_control(t->logger, record);
}

static void
rpc_status(void *ctx, kf_rpc_status *status)
{
	control_thread_t *t = ctx;
	status_totals_t totals = { 0 };

	status_report_add_totals(
	    &totals, t->core, t->traffic, t->traffic_count);
	status_report_fill(
	    status, t->report_pool, &t->settings, t->now, t->core, &totals);
}

/*
 * Returns a document to a peer.  Only VMs of the fleet get the key document,
 * because whoever has a key can create tokens.
 */
static void
rpc_fetch(void *ctx, uint32_t caller_ip, uint32_t kind, kf_rpc_doc *doc)
{
	control_thread_t *t = ctx;
	kf_doc_t found;

	if (kind >= KF_DOC_KINDS ||
	    (kind == KF_DOC_KEYS &&
		!kf_control_is_fleet_ip(t->core, caller_ip)))
		return;
	found = kf_control_doc(t->core, (kf_doc_kind_t)kind);
	if (found.version.platform_version == 0)
		return;
	doc->found = 1;
	doc->revision = found.version.revision;
	doc->platform_version = found.version.platform_version;
	doc->text.text_val = (char *)found.text;
	doc->text.text_len = (u_int)found.len;
}

static void
rpc_release(void *ctx)
{
	control_thread_t *t = ctx;

	apr_pool_clear(t->report_pool);
}

static kf_status_t
open_rpc(control_thread_t *t)
{
	kf_control_server_ops_t ops = {
		.ctx = t,
		.status = rpc_status,
		.fetch = rpc_fetch,
		.release = rpc_release,
	};
	kf_status_t status;

	status = kf_control_server_listen(t->settings.rpc_address, &ops);
	/* Peers know only the control address of each other. */
	if (status == KF_OK &&
	    !kf_addr_equal(
		t->settings.rpc_address, t->settings.control_address))
		status =
		    kf_control_server_listen(t->settings.control_address, &ops);
	return status;
}

static kf_status_t
make_core(control_thread_t *t, kf_vm_id_t self)
{
	const kf_settings_t *s = &t->settings;
	kf_control_config_t config = {
		.membership = {
			.self = self,
			.name = s->name,
			.zone = s->zone,
			.control = s->control_address,
			.peer = s->peer_address,
			.shards = s->traffic_threads,
			.seed = self.incarnation ^ self.vm,
		},
		.seeds = s->seeds,
		.seed_count = s->seed_count,
		.start_window_ms = s->start_window_ms,
		.seed = self.incarnation * 17 + self.vm,
		.ops = {
			.ctx = t,
			.send = on_send,
			.fetch_platform = on_fetch_platform,
			.fetch_peer = on_fetch_peer,
			.publish = on_publish,
			.record = on_record,
		},
	};

	t->core = kf_control_new(&config, kf_clock_now());
	return t->core == NULL ? KF_ERR_NO_MEMORY : KF_OK;
}

static kf_status_t
open_metrics(control_thread_t *t)
{
	if (t->settings.metrics_address.port == 0)
		return KF_OK;
	t->metrics = metrics_new(t->settings.metrics_address);
	return t->metrics == NULL ? KF_ERR_IO : KF_OK;
}

control_thread_t *
control_thread_new(const kf_settings_t *settings, kf_vm_id_t self,
    traffic_thread_t **traffic, uint32_t traffic_count, kf_logger_t *logger)
{
	control_thread_t *t;

	t = calloc(1, sizeof(*t));
	if (t == NULL)
		return NULL;
	t->settings = *settings;
	t->self = self;
	t->logger = logger;
	t->traffic = traffic;
	t->traffic_count = traffic_count;
	t->control_fd = t->signal_fd = -1;
	if (apr_pool_create(&t->report_pool, NULL) != APR_SUCCESS) {
		free(t);
		return NULL;
	}
	if (kf_udp_open(settings->control_address, KF_UDP_ERRORS,
		&t->control_fd) != KF_OK ||
	    kf_signals_open(control_thread_signals, &t->signal_fd) != KF_OK ||
	    open_rpc(t) != KF_OK || open_metrics(t) != KF_OK ||
	    make_core(t, self) != KF_OK ||
	    (t->fetch = fetch_new(settings->platform_url,
		 settings->control_address.ip)) == NULL) {
		control_thread_delete(t);
		return NULL;
	}
	return t;
}

void
control_thread_delete(control_thread_t *t)
{
	if (t == NULL)
		return;
	metrics_delete(t->metrics);
	fetch_delete(t->fetch);
	kf_control_delete(t->core);
	if (t->control_fd >= 0)
		close(t->control_fd);
	if (t->signal_fd >= 0)
		close(t->signal_fd);
	apr_pool_destroy(t->report_pool);
	free(t);
}

static void
read_control(control_thread_t *t)
{
	kf_addr_t addr;
	ssize_t len;
	int i;

	while (kf_udp_unreachable(t->control_fd, &addr))
		kf_control_on_unreachable(t->core, t->now, addr);
	for (i = 0; i < DATAGRAM_BATCH_MAX; i++) {
		len = kf_udp_recv(t->control_fd, t->buf, sizeof(t->buf), &addr);
		if (len < 0)
			return;
		kf_control_on_datagram(
		    t->core, t->now, addr, t->buf, (size_t)len);
	}
}

static void
read_fetch_results(control_thread_t *t)
{
	fetch_result_t *r;

	while ((r = fetch_take(t->fetch)) != NULL) {
		switch (r->outcome) {
		case FETCH_DOCUMENT:
			kf_control_on_document(t->core, t->now, r->kind,
			    r->source, r->version,
			    r->text == NULL ? "" : r->text, r->len);
			break;
		case FETCH_UNCHANGED:
			kf_control_on_unchanged(t->core, t->now, r->kind);
			break;
		case FETCH_FAILED:
			kf_control_on_fetch_failed(
			    t->core, t->now, r->kind, r->source);
			break;
		}
		fetch_result_delete(r);
	}
}

static void
read_signal(control_thread_t *t)
{
	struct signalfd_siginfo info;

	while (read(t->signal_fd, &info, sizeof(info)) == sizeof(info)) {
		t->restart_above_incarnation = 0;
		if (t->leaving)
			continue;
		t->leaving = true;
		t->last_busy_us = t->leaving_since_us = t->now.mono_us;
		kf_logger_event(t->logger, KF_LOG_INFO, "leaving", "signal=%u",
		    info.ssi_signo);
		kf_control_set_leaving(t->core, t->now);
	}
}

/* Makes the VM leave and restart with an incarnation above the one given. */
static void
restart_above_incarnation(
    control_thread_t *t, uint64_t incarnation, const char *reason)
{
	if (t->leaving)
		return;
	t->leaving = true;
	t->restart_above_incarnation = incarnation;
	t->last_busy_us = t->leaving_since_us = t->now.mono_us;
	kf_logger_event(
	    t->logger, KF_LOG_WARN, "restarting", "reason=%s", reason);
	kf_control_set_leaving(t->core, t->now);
}

/*
 * Passes the state of the traffic threads to the control core; returns the
 * number of requests in progress.
 */
static uint32_t
collect_traffic(control_thread_t *t)
{
	traffic_snapshot_t snapshot;
	uint32_t i, j, in_progress = 0;

	for (i = 0; i < t->traffic_count; i++) {
		if (traffic_thread_snapshot(t->traffic[i], &snapshot) != KF_OK)
			continue;
		in_progress += snapshot.in_progress;
		if (snapshot.fenced)
			restart_above_incarnation(
			    t, t->self.incarnation, "fenced");
		for (j = 0; j < snapshot.upstream_count; j++) {
			const kf_traffic_upstream_t *u = &snapshot.upstreams[j];

			if (u->owned)
				kf_control_on_digest(
				    t->core, t->now, u->id, &u->digest);
		}
		free(snapshot.upstreams);
	}
	return in_progress;
}

/*
 * Makes the traffic threads of a leaving VM hand over their flow records once
 * it has been idle for DRAIN_IDLE_US or has been leaving for DRAIN_MAX_US.
 * Returns true when all have done so.
 */
static bool
hand_over_traffic(control_thread_t *t)
{
	bool handover_done = true;
	uint32_t i;

	if (!t->handover_started &&
	    t->now.mono_us - t->last_busy_us < DRAIN_IDLE_US &&
	    t->now.mono_us - t->leaving_since_us < DRAIN_MAX_US)
		return false;
	if (!t->handover_started)
		kf_logger_event(t->logger, KF_LOG_INFO, "handing_over",
		    "after_ms=%lld",
		    (long long)((t->now.mono_us - t->leaving_since_us) / 1000));
	t->handover_started = true;
	for (i = 0; i < t->traffic_count; i++)
		handover_done =
		    traffic_thread_hand_over(t->traffic[i]) && handover_done;
	return handover_done;
}

static void
update_metrics(control_thread_t *t)
{
	metrics_values_t values = {
		.revision = kf_control_doc(t->core, KF_DOC_DECLARATION)
				.version.revision,
		.platform_age_ms = kf_control_platform_age_ms(t->core, t->now),
	};

	if (t->metrics == NULL)
		return;
	status_report_add_totals(
	    &values.totals, t->core, t->traffic, t->traffic_count);
	metrics_set(t->metrics, &values);
}

/* Runs the periodic work; returns false when a leaving VM may stop. */
static bool
control_tick(control_thread_t *t)
{
	uint64_t newer;

	if (t->now.mono_us - t->last_collect_us >= COLLECT_INTERVAL_US) {
		t->last_collect_us = t->now.mono_us;
		if (collect_traffic(t) > 0)
			t->last_busy_us = t->now.mono_us;
		update_metrics(t);
	}
	kf_control_on_tick(t->core, t->now);
	newer = kf_control_newer_incarnation(t->core);
	if (newer != 0)
		restart_above_incarnation(t, newer, "newer_incarnation_known");
	return !t->leaving || !hand_over_traffic(t);
}

uint64_t
control_thread_run(control_thread_t *t)
{
	struct pollfd fds[POLL_FDS_MAX];
	int64_t tick_us = 0, last_us;
	bool run = true;
	int count, rpc_count;

	while (run) {
		fds[FD_CONTROL] =
		    (struct pollfd){ .fd = t->control_fd, .events = POLLIN };
		fds[FD_FETCH] = (struct pollfd){ .fd = fetch_wake_fd(t->fetch),
			.events = POLLIN };
		fds[FD_SIGNAL] =
		    (struct pollfd){ .fd = t->signal_fd, .events = POLLIN };
		rpc_count = kf_control_server_pollfds(
		    fds + FD_RPC, POLL_FDS_MAX - FD_RPC);
		count = poll(fds, (nfds_t)FD_RPC + (nfds_t)rpc_count,
		    KF_CONTROL_TICK_MS);
		last_us = t->now.mono_us;
		t->now = kf_clock_now();
		/*
		 * Heartbeats that were queued during a pause do not show that
		 * their senders are alive now.
		 */
		if (last_us > 0 && t->now.mono_us - last_us > KF_PAUSE_US)
			kf_udp_discard(t->control_fd);
		if (t->now.mono_us - tick_us >= KF_CONTROL_TICK_MS * 1000) {
			tick_us = t->now.mono_us;
			run = control_tick(t);
		}
		if (count <= 0)
			continue;
		if (fds[FD_CONTROL].revents != 0)
			read_control(t);
		if (fds[FD_FETCH].revents != 0)
			read_fetch_results(t);
		if (fds[FD_SIGNAL].revents != 0)
			read_signal(t);
		kf_control_server_handle(fds + FD_RPC, rpc_count);
	}
	return t->restart_above_incarnation;
}
