#include <stdlib.h>

#include "forwarder_internal.h"

static const char *const event_names[KF_FORWARD_EVENT_COUNT] = {
	[KF_FORWARD_PLACED] = "flow_placed",
	[KF_FORWARD_HEDGED] = "flow_hedged",
	[KF_FORWARD_OPENED] = "flow_opened",
	[KF_FORWARD_NOT_OPENED] = "flow_not_opened",
	[KF_FORWARD_REFUSED] = "flow_refused",
	[KF_FORWARD_DROPPED] = "packet_dropped",
	[KF_FORWARD_EJECTED] = "upstream_ejected",
	[KF_FORWARD_RETURNED] = "upstream_returned",
	[KF_FORWARD_LATE] = "request_late",
	[KF_FORWARD_SHORT] = "answer_short",
	[KF_FORWARD_OUTLIER] = "upstream_outlier",
	[KF_FORWARD_DEAD] = "upstream_dead",
	[KF_FORWARD_ALIVE] = "upstream_alive",
	[KF_FORWARD_RESET] = "flow_reset",
	[KF_FORWARD_COLD_LIMITED] = "cold_limited",
};

const char *
kf_forward_event_name(kf_forward_event_t event)
{
	return event_names[event];
}

kf_forwarder_t *
kf_forwarder_new(uint64_t zone, const kf_forwarder_callbacks_t *callbacks)
{
	kf_forwarder_t *f;

	f = calloc(1, sizeof(*f));
	if (f == NULL)
		return NULL;
	f->callbacks = *callbacks;
	f->position = (kf_position_t){ .vm_count = 1 };
	f->due_us = INT64_MAX;
	f->stability_us = INT64_MAX;
	f->store_view = (kf_store_view_t){ INT64_MIN, INT64_MIN };
	f->directory = kf_directory_new(zone);
	f->flows = kf_conntrack_new();
	if (f->directory == NULL || f->flows == NULL) {
		kf_status_set(KF_ERR_NO_MEMORY, "no memory for the forwarder");
		kf_forwarder_delete(f);
		return NULL;
	}
	return f;
}

void
kf_forwarder_delete(kf_forwarder_t *f)
{
	if (f == NULL)
		return;
	kf_route_table_delete(f->routes);
	kf_directory_delete(f->directory);
	kf_conntrack_delete(f->flows);
	kf_pending_syns_clear(&f->pending_syns);
	free(f->dead.zones);
	free(f);
}

kf_status_t
kf_forwarder_set_routes(kf_forwarder_t *f, kf_route_table_t *table)
{
	if (f->routes != NULL && table->version < f->routes->version) {
		kf_status_set(KF_ERR_STALE,
		    "route table version %llu is older than the current "
		    "version %llu",
		    (unsigned long long)table->version,
		    (unsigned long long)f->routes->version);
		kf_route_table_delete(table);
		return KF_ERR_STALE;
	}
	kf_route_table_delete(f->routes);
	f->routes = table;
	return KF_OK;
}

const kf_route_table_t *
kf_forwarder_routes(const kf_forwarder_t *f)
{
	return f->routes;
}

kf_directory_t *
kf_forwarder_directory(kf_forwarder_t *f)
{
	return f->directory;
}

void
kf_forwarder_set_position(
    kf_forwarder_t *f, kf_position_t position, int64_t now_us)
{
	if (position.vm_count != f->position.vm_count)
		f->vm_count_changed_us = now_us;
	f->position = position;
}

void
kf_forwarder_set_store_view(kf_forwarder_t *f, const kf_store_view_t *view)
{
	f->store_view = *view;
}

int64_t
forwarder_evidence_age_us(const kf_forwarder_t *f, int64_t limit_us)
{
	return f->stability_us < limit_us ? f->stability_us : limit_us;
}

void
forwarder_record(kf_forwarder_t *f, const kf_forward_record_t *record)
{
	f->stats.events[record->event]++;
	if (record->reason != KF_REASON_NONE)
		f->stats.by_reason[record->reason]++;
	f->callbacks.record(f->callbacks.record_ctx, record);
}

kf_forward_record_t
make_flow_record(const kf_forwarder_t *f, const kf_flow_t *flow,
    kf_forward_event_t event, const kf_target_t *target, int64_t now_us)
{
	return (kf_forward_record_t){
		.event = event,
		.client = flow->client,
		.address = flow->address,
		.route = kf_route_table_find(f->routes, flow->address),
		.target = target,
		.flow_hash = flow->hash,
		.copies = flow->copies,
		.tries = flow->tries,
		.since_us = now_us - flow->started_us,
		.verdict = KF_NOT_RUN,
	};
}

static void
record_packet_event(kf_forwarder_t *f, const kf_packet_t *packet,
    kf_forward_event_t event, kf_reason_t reason)
{
	kf_forward_record_t record = {
		.event = event,
		.client = packet->client,
		.address = packet->address,
		.route = kf_route_table_find(f->routes, packet->address),
		.flow_hash = kf_flow_hash(packet->client, packet->address),
		.copies = packet->syn ? packet->acknowledged : 0,
		.verdict = packet->syn ? KF_NOT_RUN : KF_MAY_HAVE_RUN,
		.reason = reason,
	};

	forwarder_record(f, &record);
}

void
forwarder_drop(kf_forwarder_t *f, const kf_packet_t *packet, kf_reason_t reason)
{
	record_packet_event(f, packet, KF_FORWARD_DROPPED, reason);
}

void
forwarder_refuse(
    kf_forwarder_t *f, const kf_packet_t *packet, kf_reason_t reason)
{
	f->callbacks.reset(f->callbacks.ctx, packet);
	record_packet_event(f, packet, KF_FORWARD_REFUSED, reason);
}

/*
 * Adds a record for a request on an open flow that this VM has no record of:
 * the flow was idle for LOAD_IDLE_US, or opened at another VM.  Returns NULL
 * for packets without data, which occupy no slot.
 */
static kf_flow_t *
resume_flow(kf_forwarder_t *f, const kf_packet_t *packet, kf_target_t *target,
    int64_t now_us)
{
	kf_flow_t *flow;

	if (packet->payload_bytes == 0)
		return NULL;
	flow = kf_conntrack_add_open(
	    f->flows, packet->client, packet->address, packet->token);
	if (flow == NULL)
		return NULL;
	flow->service = target->info.service;
	flow->started_us = now_us;
	flow->reused = true;
	target->open++;
	return flow;
}

/* Updates the record of a flow with a packet from its client. */
static void
track_packet(kf_forwarder_t *f, const kf_packet_t *packet, kf_target_t *target,
    int64_t now_us)
{
	kf_flow_t *flow;

	flow = kf_conntrack_find(f->flows, packet->client, packet->address);
	if (flow != NULL && flow->state == KF_FLOW_IDLE) {
		if (dead_idle_packet(f, flow, packet, target, now_us))
			return;
		flow = NULL;
	}
	if (flow == NULL)
		flow = resume_flow(f, packet, target, now_us);
	if (flow == NULL)
		return;
	if (flow->state == KF_FLOW_OPENING && packet->rst)
		connect_reset(f, flow, packet->token, now_us);
	else if (flow->state == KF_FLOW_OPENING)
		connect_opened(f, flow, packet->token, now_us);
	dead_note_packet(f, flow, packet, target, now_us);
	if (flow->state == KF_FLOW_OPEN)
		outlier_track_packet(f, flow, packet, now_us);
	if (packet->fin || packet->rst) {
		flow_close(f, flow);
		return;
	}
	flow->last_packet_us = now_us;
	kf_conntrack_touch(f->flows, flow);
}

/*
 * Resets a flow whose upstream has left the store, if its client may repeat the
 * request, and drops other packets: a request that must run once may have run.
 */
static void
handle_unknown_token(kf_forwarder_t *f, const kf_packet_t *packet,
    const kf_route_t *route, int64_t now_us)
{
	int64_t max_age_us =
	    forwarder_evidence_age_us(f, KF_UNKNOWN_TOKENS_MAX_AGE_US);

	if (route != NULL && route->idempotent && !packet->rst &&
	    kf_unknown_tokens_is_gone(&f->unknown_tokens, packet->token,
		&f->store_view, max_age_us, now_us))
		forwarder_refuse(f, packet, KF_REASON_UPSTREAM_LOST);
	else
		forwarder_drop(f, packet, KF_REASON_TOKEN_BAD);
}

/* Handles a packet other than a SYN. */
static void
forward_open_flow(kf_forwarder_t *f, int64_t now_us, const kf_packet_t *packet,
    const uint8_t *datagram, size_t len)
{
	const kf_route_t *route =
	    kf_route_table_find(f->routes, packet->address);
	kf_target_t *target = kf_directory_find(f->directory, packet->token);

	if (route != NULL && route->removed && !packet->rst) {
		forwarder_refuse(f, packet, KF_REASON_NO_SERVICE);
		return;
	}
	if (packet->token == KF_TOKEN_NONE) {
		forwarder_drop(f, packet, KF_REASON_NO_FLOW);
		return;
	}
	if (target == NULL) {
		handle_unknown_token(f, packet, route, now_us);
		return;
	}
	if (dead_answers_packet(f, packet, route, target, now_us))
		return;
	track_packet(f, packet, target, now_us);
	f->callbacks.send(
	    f->callbacks.ctx, &target->info, packet->token, datagram, len);
}

void
kf_forwarder_packet(kf_forwarder_t *f, int64_t now_us,
    const kf_packet_t *packet, const uint8_t *datagram, size_t len)
{
	f->stats.packets++;
	if (!packet->syn)
		forward_open_flow(f, now_us, packet, datagram, len);
	else if (f->routes != NULL)
		connect_syn(f, now_us, packet, datagram, len);
	else if (!kf_pending_syns_add(
		     &f->pending_syns, packet, datagram, len, now_us))
		forwarder_drop(f, packet, KF_REASON_NO_CONFIG);
}

/* Handles the SYNs that have waited for the first configuration. */
static void
connect_pending(kf_forwarder_t *f, int64_t now_us)
{
	size_t i;

	for (i = 0; i < f->pending_syns.count; i++) {
		const kf_pending_syn_t *syn = &f->pending_syns.list[i];

		if (now_us - syn->received_us < KF_PENDING_SYNS_MAX_AGE_US)
			connect_syn(
			    f, now_us, &syn->packet, syn->datagram, syn->len);
		else
			forwarder_drop(f, &syn->packet, KF_REASON_NO_CONFIG);
	}
	kf_pending_syns_clear(&f->pending_syns);
}

static void
run_due_openings(kf_forwarder_t *f, int64_t now_us)
{
	kf_flow_t *flow, *next;

	f->due_us = INT64_MAX;
	for (flow = kf_conntrack_first(f->flows, KF_FLOW_OPENING); flow != NULL;
	     flow = next) {
		next = kf_conntrack_next(f->flows, flow);
		if (flow->due_us <= now_us)
			connect_step(f, flow, now_us);
		else if (flow->due_us < f->due_us)
			f->due_us = flow->due_us;
	}
}

static int64_t
next_tick_us(const kf_forwarder_t *f, int64_t now_us)
{
	int64_t due_us = f->due_us;

	if (f->pending_syns.count > 0 && now_us + PENDING_INTERVAL_US < due_us)
		due_us = now_us + PENDING_INTERVAL_US;
	if (f->dead.dead_count > 0 && f->dead.reset_us < due_us)
		due_us = f->dead.reset_us;
	return due_us;
}

int64_t
kf_forwarder_tick(kf_forwarder_t *f, int64_t now_us)
{
	if (f->pending_syns.count > 0 && f->routes != NULL)
		connect_pending(f, now_us);
	if (f->due_us <= now_us)
		run_due_openings(f, now_us);
	outlier_run_due(f, now_us);
	dead_reset_flows(f, now_us);
	if (f->expiry_us <= now_us) {
		expire_idle(f, now_us);
		f->expiry_us = now_us + EXPIRY_INTERVAL_US;
	}
	return next_tick_us(f, now_us);
}

void
kf_forwarder_stats(const kf_forwarder_t *f, kf_forwarder_stats_t *stats)
{
	*stats = f->stats;
	stats->opening = kf_conntrack_count(f->flows, KF_FLOW_OPENING);
	stats->open = kf_conntrack_count(f->flows, KF_FLOW_OPEN);
}

void
forwarder_check_isolation(kf_forwarder_t *f, int64_t now_us)
{
	kf_directory_set_last_resort(f->directory,
	    f->zone_settings.last_resort &&
		kf_directory_own_zone_evacuated(f->directory) &&
		kf_isolation_is_isolated(
		    &f->isolation, f->store_view.confirmed_us, now_us));
}

bool
kf_forwarder_take_isolation(kf_forwarder_t *f, bool *isolated)
{
	*isolated = kf_directory_last_resort(f->directory);
	if (*isolated == f->isolation_logged)
		return false;
	f->isolation_logged = *isolated;
	return true;
}

kf_position_t
kf_forwarder_position(const kf_forwarder_t *f)
{
	return f->position;
}

size_t
kf_forwarder_demands(
    kf_forwarder_t *f, int64_t now_us, kf_service_demand_t *demands, size_t max)
{
	size_t i, count = 0;

	for (i = 0; i < kf_directory_pool_count(f->directory); i++) {
		kf_pool_t *pool = kf_directory_pool_at(f->directory, i);
		double demand = admission_report_demand(pool, now_us);

		if (demand >= 1 && count < max)
			demands[count++] = (kf_service_demand_t){
				.service = pool->service,
				.asked_per_s = (uint32_t)demand,
			};
	}
	return count;
}

void
kf_forwarder_set_other_vms_demand(
    kf_forwarder_t *f, kf_other_vms_demand_fn *demand, void *ctx)
{
	size_t i;

	for (i = 0; i < kf_directory_pool_count(f->directory); i++) {
		kf_pool_t *pool = kf_directory_pool_at(f->directory, i);

		pool->other_vms_demand_per_s = demand(ctx, pool->service);
	}
}

typedef struct cold_ranks {
	const kf_route_table_t *routes;
	kf_cold_rank_fn *rank;
	void *ctx;
} cold_ranks_t;

static uint32_t
cold_allowance(void *ctx, const kf_target_t *target, const kf_cold_view_t *view)
{
	const cold_ranks_t *ranks = ctx;
	double per_s =
	    kf_route_table_cold_per_s(ranks->routes, target->info.service);

	return kf_cold_allowance(
	    kf_cold_share(&view->bounds, per_s, view->vm_count),
	    ranks->rank(ranks->ctx, target->info.id));
}

void
kf_forwarder_set_cold_view(kf_forwarder_t *f, const kf_cold_report_t *report,
    kf_cold_rank_fn *rank, void *ctx, int64_t now_us)
{
	cold_ranks_t ranks = {
		.routes = f->routes,
		.rank = rank,
		.ctx = ctx,
	};

	kf_directory_set_cold_view(
	    f->directory, report, cold_allowance, &ranks, now_us);
}
