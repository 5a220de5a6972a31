#include <sys/signalfd.h>

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "kf/clock.h"
#include "kf/route_table.h"
#include "kf/signals.h"
#include "kf/udp.h"

#include "cold_update.h"
#include "control_loop.h"
#include "forward_metrics.h"
#include "forward_state.h"
#include "http_server.h"
#include "settings_watch.h"
#include "store_sync.h"
#include "upstream_probe.h"
#include "zone_balancing.h"

enum {
	MAX_WAIT_MS = 100,
	/* Limit of an HTTP response body.  A page of the store is at most about
	 * 1 MB, in base64; 500 items of the largest size take several pages. */
	MAX_BODY_BYTES = 64 << 20,
	BEACON_BYTES = 2048,
	/* Reports of failed requests handled per call; the rest waits for the
	 * next call. */
	MAX_REPORTS = 64,
	SETTINGS_INTERVAL_US = 1000000,
	/* Less than half the interval of beacons, which is 450 ms. */
	DEMANDS_INTERVAL_US = 200000,
	/* Forwarding ends this long before the grace period does, so that the
	 * process can exit before it is killed, also on a slow VM. */
	STOP_MARGIN_MS = 1000,
	/* Routers move flows after two failed health checks, made every
	 * 500 ms. */
	STOP_MIN_US = 2500000,
	/* A leaving VM exits early if no packet has arrived for this time. */
	STOP_IDLE_US = 1000000,
	/* If the first configuration comes later than this after the start,
	 * the packets that wait in the socket are dropped: clients give up
	 * opening a flow after 1.4 s. */
	MAX_PACKET_WAIT_US = 1000000,
	/* After a pause of the process of this length, open HTTP connections
	 * may be dead. */
	PAUSE_US = 1000000,
	HTTP_OK = 200,
	HTTP_BAD_REQUEST = 400,
	HTTP_ERROR = 500,
	HTTP_UNAVAILABLE = 503,
};

static const char plain_text_type[] = "text/plain; charset=utf-8";

const int control_loop_signals[] = { SIGTERM, SIGINT, SIGHUP, 0 };

struct control_loop {
	settings_watch_t watch;
	int64_t settings_checked_us; /* last check of the settings file */
	packet_thread_t *packets;
	forward_log_t *forward_log;
	kf_eventlog_t *log;
	applier_t applier;
	io_loop_t *io;
	http_client_t *client;
	store_sync_t *sync;
	kf_peering_t *peering;
	kf_peering_view_t view;
	kf_store_position_t announced;
	kf_service_demand_t demands[KF_PEERING_MAX_DEMANDS];
	size_t demand_count;
	int64_t demands_exchanged_us; /* last exchange of demands */
	upstream_probe_t *probe;
	http_server_t *ready_server;
	http_server_t *peer_server;
	int signal_fd;
	int beacon_fd;
	bool signal_ready; /* signal_fd is readable */
	bool beacon_ready;
	int64_t started_us;
	bool forwarding;
	bool ready;
	bool leaving;
	int64_t leaving_since_us;
	uint64_t last_packet_count;
	int64_t last_packet_us;
	int64_t now_us;
};

static kf_peering_self_t
own_peering_state(const control_loop_t *l)
{
	kf_peering_self_t self = {
		.position = store_sync_position(l->sync),
		.contact_us = store_sync_contact_us(l->sync),
		.leaving = l->leaving,
		.demand_count = l->demand_count,
	};

	memcpy(self.demands, l->demands, sizeof(self.demands));
	return self;
}

/* Responds with body, or with status 500 if body is NULL. */
static void
respond(http_response_t *r, void *body, const char *type)
{
	r->body = body;
	r->type = type;
	r->status = body == NULL ? HTTP_ERROR : HTTP_OK;
}

static void
serve_ready(void *ctx, const char *path, const http_request_t *request,
    http_response_t *r)
{
	const control_loop_t *l = ctx;

	(void)request;
	if (strcmp(path, l->watch.settings.ready_path) == 0)
		r->status =
		    l->ready && !l->leaving ? HTTP_OK : HTTP_UNAVAILABLE;
}

static void
serve_changes(
    control_loop_t *l, const http_request_t *request, http_response_t *r)
{
	kf_store_position_t after = {
		.era = strtoull(http_request_query(request, "era"), NULL, 10),
		.revision =
		    strtoull(http_request_query(request, "after"), NULL, 10),
	};

	if (store_sync_position(l->sync).revision == 0) {
		r->status = HTTP_UNAVAILABLE;
		return;
	}
	respond(r, store_sync_changes(l->sync, after, &r->len),
	    "application/octet-stream");
}

static void
serve_metrics(control_loop_t *l, http_response_t *r)
{
	forward_metrics_t metrics = {
		.sync = *store_sync_stats(l->sync),
		.opening = &l->forward_log->opening,
		.position = store_sync_position(l->sync),
		.config_version = applier_config_version(&l->applier),
		.config_parts_refused =
		    applier_config_parts_refused(&l->applier),
		.items_refused = l->applier.refused,
		.entries_hidden = l->applier.entries.count,
		.entry_conflicts = l->applier.entries.conflicts,
		.log_dropped = kf_eventlog_dropped(l->log),
		.contact_age_ms = kf_age_ms(l->view.contact_us, l->now_us),
		.vm_count = l->view.vm_count,
		.late_beacons = l->view.late_beacons,
		.ready = l->ready && !l->leaving,
	};

	packet_thread_stats(l->packets, &metrics.packets);
	respond(r, forward_metrics_render(&metrics, &r->len),
	    "text/plain; version=0.0.4; charset=utf-8");
}

static void
serve_state(control_loop_t *l, http_response_t *r)
{
	forward_state_t state = {
		.vm = l->watch.settings.name,
		.zone = l->watch.settings.zone,
		.ready = l->ready && !l->leaving,
		.leaving = l->leaving,
		.position = store_sync_position(l->sync),
		.own_contact_us = store_sync_contact_us(l->sync),
		.view = l->view,
		.now_us = l->now_us,
	};

	respond(r, forward_state_render(&state, l->packets, &r->len),
	    plain_text_type);
}

static void
serve_explain(
    control_loop_t *l, const http_request_t *request, http_response_t *r)
{
	kf_addr_t client, address;

	if (kf_addr_parse(http_request_query(request, "client"), &client) !=
		KF_OK ||
	    kf_addr_parse(http_request_query(request, "address"), &address) !=
		KF_OK) {
		r->status = HTTP_BAD_REQUEST;
		return;
	}
	respond(r,
	    forward_state_explain(
		l->packets, client, address, l->now_us, &r->len),
	    plain_text_type);
}

static void
serve_peer(void *ctx, const char *path, const http_request_t *request,
    http_response_t *r)
{
	control_loop_t *l = ctx;

	l->now_us = kf_clock_now().mono_us;
	if (strcmp(path, "/changes") == 0)
		serve_changes(l, request, r);
	else if (strcmp(path, "/metrics") == 0)
		serve_metrics(l, r);
	else if (strcmp(path, "/state") == 0)
		serve_state(l, r);
	else if (strcmp(path, "/explain") == 0)
		serve_explain(l, request, r);
}

static void
set_seeds(control_loop_t *l)
{
	uint32_t ips[KF_FORWARDER_MAX_SEEDS], i;

	for (i = 0; i < l->watch.settings.seed_count; i++)
		ips[i] = l->watch.settings.seeds[i].ip;
	kf_peering_set_seeds(l->peering, ips, l->watch.settings.seed_count);
}

/*
 * Returns true if a VM that starts can ask other VMs first.  A VM that is
 * itself a seed lists the store instead.
 */
static bool
has_other_seeds(const kf_forwarder_settings_t *s)
{
	uint32_t i;

	for (i = 0; i < s->seed_count; i++)
		if (s->seeds[i].ip == s->peer_address.ip)
			return false;
	return s->seed_count > 0;
}

static void
on_pull_failed(void *ctx, uint32_t ip)
{
	control_loop_t *l = ctx;

	kf_peering_avoid_source(l->peering, ip, l->now_us);
}

/* Passes the age that evidence for resets may have; 0: not known. */
static void
set_stability(control_loop_t *l)
{
	int64_t ms = l->watch.settings.stability_ms;

	kf_forwarder_set_stability(
	    packet_thread_lock(l->packets), ms == 0 ? INT64_MAX : ms * 1000);
	packet_thread_unlock(l->packets);
}

static kf_status_t
loop_open(control_loop_t *l)
{
	const kf_forwarder_settings_t *s = &l->watch.settings;
	kf_peering_config_t peering = {
		.ip = s->peer_address.ip,
		.zone = kf_name_key(s->zone),
		.random_seed = (uint64_t)l->now_us ^ s->peer_address.ip,
	};
	store_sync_config_t sync = {
		.store = s->store_address,
		.peer_port = s->peer_address.port,
		.ask_peers = has_other_seeds(s),
		.bound_us = kf_forwarder_shortest_bound_us(s),
		.pull_failed = on_pull_failed,
		.ctx = l,
	};

	if (kf_signals_open(control_loop_signals, &l->signal_fd) != KF_OK ||
	    kf_udp_open(s->peer_address, 0, &l->beacon_fd) != KF_OK)
		return KF_ERR_IO;
	l->io = io_loop_new();
	if (l->io == NULL ||
	    !io_loop_watch(l->io, l->signal_fd, &l->signal_ready) ||
	    !io_loop_watch(l->io, l->beacon_fd, &l->beacon_ready))
		return KF_ERR_NO_MEMORY;
	l->client = http_client_new(l->io, MAX_BODY_BYTES);
	if (l->client == NULL)
		return KF_ERR_NO_MEMORY;
	l->sync = store_sync_new(l->client, &l->applier, l->log, &sync);
	l->peering = kf_peering_new(&peering);
	if (l->sync == NULL || l->peering == NULL)
		return kf_status_set(KF_ERR_NO_MEMORY, "out of memory");
	l->probe =
	    upstream_probe_new(l->io, l->packets, s->dead_after_ms * 1000);
	if (l->probe == NULL)
		return KF_ERR_NO_MEMORY;
	set_stability(l);
	set_seeds(l);
	l->ready_server =
	    http_server_new(l->io, s->ready_address, serve_ready, l);
	l->peer_server = http_server_new(l->io, s->peer_address, serve_peer, l);
	return l->ready_server == NULL || l->peer_server == NULL ? KF_ERR_IO
								 : KF_OK;
}

control_loop_t *
control_loop_new(const char *settings_path, const kf_overrides_t *overrides,
    const kf_forwarder_settings_t *settings, packet_thread_t *packets,
    forward_log_t *forward_log, kf_eventlog_t *log)
{
	control_loop_t *l;

	l = calloc(1, sizeof(*l));
	if (l == NULL)
		return NULL;
	settings_watch_init(&l->watch, settings_path, overrides, settings, log);
	l->packets = packets;
	l->forward_log = forward_log;
	l->log = log;
	applier_init(&l->applier, packets, log);
	l->signal_fd = -1;
	l->beacon_fd = -1;
	l->now_us = kf_clock_now().mono_us;
	l->started_us = l->now_us;
	l->view.contact_us = INT64_MIN;
	if (loop_open(l) != KF_OK) {
		control_loop_delete(l);
		return NULL;
	}
	return l;
}

void
control_loop_delete(control_loop_t *l)
{
	if (l == NULL)
		return;
	http_server_delete(l->ready_server);
	http_server_delete(l->peer_server);
	store_sync_delete(l->sync);
	http_client_delete(l->client);
	upstream_probe_delete(l->probe);
	io_loop_delete(l->io);
	kf_peering_delete(l->peering);
	applier_clear(&l->applier);
	if (l->beacon_fd >= 0)
		close(l->beacon_fd);
	if (l->signal_fd >= 0)
		close(l->signal_fd);
	settings_watch_free(&l->watch);
	free(l);
}

static void
send_beacons(control_loop_t *l, kf_peering_reason_t reason)
{
	kf_addr_t to = { .port = l->watch.settings.peer_address.port };
	uint8_t beacon[KF_PEERING_BEACON_MAX_BYTES];
	uint32_t ips[KF_PEERING_MAX_TARGETS];
	kf_peering_self_t self = own_peering_state(l);
	size_t i, count, len;

	count = kf_peering_due_targets(l->peering, reason, l->now_us, ips);
	for (i = 0; i < count; i++) {
		to.ip = ips[i];
		len = kf_peering_encode_beacon(
		    l->peering, &self, to.ip, l->now_us, beacon);
		kf_udp_send(l->beacon_fd, to, beacon, len);
	}
}

static void
receive_beacons(control_loop_t *l)
{
	uint8_t data[BEACON_BYTES];
	kf_addr_t from;
	ssize_t len;

	while (
	    (len = kf_udp_recv(l->beacon_fd, data, sizeof(data), &from)) >= 0) {
		if (kf_peering_receive(
			l->peering, data, (size_t)len, l->now_us) != KF_OK)
			kf_eventlog_write(l->log, KF_LOG_DEBUG,
			    "beacon_refused", "from_ip=%08x reason=\"%s\"",
			    from.ip, kf_status_message());
	}
}

static void
log_lost_vms(control_loop_t *l)
{
	uint32_t ips[KF_PEERING_MAX_LOST];
	char text[KF_ADDR_TEXT_BYTES];
	int64_t silent_us;
	size_t i, count = kf_peering_take_lost(l->peering, ips, &silent_us);

	for (i = 0; i < count; i++)
		kf_eventlog_write(l->log, KF_LOG_WARN, "vm_lost",
		    "peer=%s silent_ms=%lld",
		    kf_addr_format(
			(kf_addr_t){ .ip = ips[i],
			    .port = l->watch.settings.peer_address.port },
			text),
		    (long long)silent_us / 1000);
}

/* Passes the rank of this VM to the forwarder and logs changes of known VMs. */
static void
update_view(control_loop_t *l)
{
	kf_peering_self_t self = own_peering_state(l);
	kf_peering_view_t view = kf_peering_view(l->peering, &self, l->now_us);
	kf_forwarder_t *forwarder;

	/* view.vm_count is left out: the known VMs of other zones change all
	 * the time. */
	if (view.zone_count != l->view.zone_count ||
	    view.rank != l->view.rank) {
		forwarder = packet_thread_lock(l->packets);
		kf_forwarder_set_position(forwarder,
		    (kf_position_t){
			.rank = view.rank,
			.vm_count = view.zone_count,
		    },
		    l->now_us);
		cold_update(forwarder, &l->watch.settings, l->peering,
		    view.zone_count, l->leaving, l->now_us);
		packet_thread_unlock(l->packets);
		kf_eventlog_write(l->log, KF_LOG_INFO, "vms",
		    "known=%u zone=%u rank=%u", view.vm_count, view.zone_count,
		    view.rank);
	}
	log_lost_vms(l);
	applier_end_lapses(&l->applier, l->now_us);
	if (view.contact_us != l->view.contact_us)
		applier_set_confirmed(&l->applier, view.contact_us);
	l->view = view;
	forward_log_set_replica_state(
	    l->forward_log, self.position, view.contact_us);
}

/*
 * Starts the packet thread when the first configuration is known.  Packets that
 * arrive earlier wait in the socket: after a restart of all VMs, a client whose
 * packet is dropped retransmits it up to 800 ms later.
 */
static kf_status_t
update_forwarding(control_loop_t *l)
{
	kf_status_t status;

	if (l->forwarding || !store_sync_can_forward(l->sync))
		return KF_OK;
	if (l->now_us - l->started_us > MAX_PACKET_WAIT_US)
		packet_thread_discard(l->packets);
	status = packet_thread_start(l->packets);
	l->forwarding = status == KF_OK;
	return status;
}

static void
update_ready(control_loop_t *l)
{
	bool ready = store_sync_ready(l->sync);

	if (ready == l->ready)
		return;
	l->ready = ready;
	kf_eventlog_write(l->log, KF_LOG_INFO, "ready",
	    "era=%llu revision=%llu config=%llu contact_age_ms=%lld",
	    (unsigned long long)store_sync_position(l->sync).era,
	    (unsigned long long)store_sync_position(l->sync).revision,
	    (unsigned long long)applier_config_version(&l->applier),
	    (long long)kf_age_ms(l->view.contact_us, l->now_us));
}

static uint32_t
other_vms_demand(void *ctx, uint64_t service)
{
	const control_loop_t *l = ctx;

	return kf_peering_other_vms_demand_per_s(
	    l->peering, service, l->now_us);
}

/*
 * Passes the demand of each service from the forwarder to the beacons, and that
 * of other VMs and the owners of cold upstreams' allowances to the forwarder.
 */
static void
update_demands(control_loop_t *l)
{
	kf_forwarder_t *forwarder;

	if (l->now_us - l->demands_exchanged_us < DEMANDS_INTERVAL_US)
		return;
	l->demands_exchanged_us = l->now_us;
	forwarder = packet_thread_lock(l->packets);
	l->demand_count = kf_forwarder_demands(
	    forwarder, l->now_us, l->demands, KF_PEERING_MAX_DEMANDS);
	kf_forwarder_set_other_vms_demand(forwarder, other_vms_demand, l);
	zone_balancing_update(
	    forwarder, l->peering, &l->watch.settings, l->log, l->now_us);
	cold_update(forwarder, &l->watch.settings, l->peering,
	    l->view.zone_count, l->leaving, l->now_us);
	packet_thread_unlock(l->packets);
}

/*
 * Passes reports of failed requests from the forwarder to the other VMs of the
 * zone, and theirs to the forwarder.
 */
static void
exchange_reports(control_loop_t *l)
{
	uint32_t own[KF_FORWARDER_MAX_FAILED], heard[MAX_REPORTS];
	size_t i, own_count, heard_count;
	kf_forwarder_t *forwarder;

	heard_count = kf_peering_take_reports(l->peering, heard, MAX_REPORTS);
	forwarder = packet_thread_lock(l->packets);
	own_count = kf_forwarder_take_failed(forwarder, own);
	for (i = 0; i < heard_count; i++)
		kf_forwarder_add_peer_failure(forwarder, heard[i], l->now_us);
	packet_thread_unlock(l->packets);
	for (i = 0; i < own_count; i++)
		kf_peering_report_failure(l->peering, own[i], l->now_us);
}

static void
check_settings(control_loop_t *l)
{
	l->settings_checked_us = l->now_us;
	if (!settings_watch_check(&l->watch))
		return;
	store_sync_set_store(l->sync, l->watch.settings.store_address);
	store_sync_set_bound(
	    l->sync, kf_forwarder_shortest_bound_us(&l->watch.settings));
	set_stability(l);
	set_seeds(l);
}

static void
begin_shutdown(control_loop_t *l)
{
	if (l->leaving)
		return;
	l->leaving = true;
	l->leaving_since_us = l->now_us;
	l->last_packet_us = l->now_us;
	kf_eventlog_write(l->log, KF_LOG_INFO, "stopping", "grace_ms=%lld",
	    (long long)l->watch.settings.grace_ms);
	send_beacons(l, KF_PEERING_UPDATE);
}

static void
receive_signals(control_loop_t *l)
{
	struct signalfd_siginfo info;

	while (
	    read(l->signal_fd, &info, sizeof(info)) == (ssize_t)sizeof(info)) {
		if (info.ssi_signo == SIGHUP)
			check_settings(l);
		else
			begin_shutdown(l);
	}
}

/* Returns true if a leaving VM may exit. */
static bool
should_exit(control_loop_t *l)
{
	int64_t limit_us = (l->watch.settings.grace_ms - STOP_MARGIN_MS) * 1000;
	packet_thread_stats_t stats;

	if (!l->leaving)
		return false;
	packet_thread_stats(l->packets, &stats);
	if (stats.forwarder.packets != l->last_packet_count) {
		l->last_packet_count = stats.forwarder.packets;
		l->last_packet_us = l->now_us;
	}
	return l->now_us - l->leaving_since_us >= limit_us ||
	    (l->now_us - l->leaving_since_us >= STOP_MIN_US &&
		l->now_us - l->last_packet_us >= STOP_IDLE_US);
}

static int64_t
next_due_us(const control_loop_t *l)
{
	int64_t store_us = store_sync_due_us(l->sync, l->now_us);
	int64_t beacon_us = kf_peering_next_beacon_us(l->peering);

	return store_us < beacon_us ? store_us : beacon_us;
}

static void
wait_for_work(control_loop_t *l)
{
	int64_t before_us = l->now_us;

	io_loop_wait(l->io, kf_wait_ms(next_due_us(l), l->now_us, MAX_WAIT_MS));
	l->now_us = kf_clock_now().mono_us;
	if (l->now_us - before_us >= PAUSE_US) {
		kf_eventlog_write(l->log, KF_LOG_WARN, "paused", "ms=%lld",
		    (long long)((l->now_us - before_us) / 1000));
		store_sync_restart(l->sync, l->now_us);
	}
	if (l->signal_ready)
		receive_signals(l);
	if (l->beacon_ready)
		receive_beacons(l);
	l->signal_ready = false;
	l->beacon_ready = false;
}

static kf_status_t
run_iteration(control_loop_t *l)
{
	kf_status_t status;
	kf_peering_reason_t reason;
	kf_store_position_t position;

	http_client_run(l->client);
	status = update_forwarding(l);
	update_view(l);
	update_demands(l);
	exchange_reports(l);
	store_sync_run(l->sync, &l->view, l->now_us);
	position = store_sync_position(l->sync);
	reason = position.revision == 0 ? KF_PEERING_STARTING
	    : kf_store_position_compare(position, l->announced) != 0
	    ? KF_PEERING_UPDATE
	    : KF_PEERING_PERIODIC;
	l->announced = position;
	send_beacons(l, reason);
	update_ready(l);
	if (l->now_us - l->settings_checked_us >= SETTINGS_INTERVAL_US)
		check_settings(l);
	return status;
}

kf_status_t
control_loop_run(control_loop_t *l)
{
	kf_status_t status;

	check_settings(l);
	do {
		status = run_iteration(l);
		if (status != KF_OK)
			return status;
		wait_for_work(l);
	} while (!should_exit(l));
	return KF_OK;
}
