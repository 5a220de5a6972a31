#include <math.h>
#include <string.h>

#include "forwarder_internal.h"

/* Weights of a new opening time in its mean and deviation, and the factor of
 * the deviation in the hedge delay; the values are those of RFC 6298. */
static const double mean_weight = 1.0 / 8;
static const double deviation_weight = 1.0 / 4;
static const double deviation_factor = 4;

int64_t
kf_forwarder_hedge_delay_us(const kf_forwarder_t *f)
{
	double us =
	    f->opening_mean_us + deviation_factor * f->opening_deviation_us;

	if (us < HEDGE_DELAY_MIN_US)
		return HEDGE_DELAY_MIN_US;
	return us > HEDGE_DELAY_MAX_US ? HEDGE_DELAY_MAX_US : (int64_t)us;
}

static void
update_opening_time(kf_forwarder_t *f, int64_t took_us)
{
	double error = (double)took_us - f->opening_mean_us;

	f->opening_mean_us += mean_weight * error;
	f->opening_deviation_us +=
	    deviation_weight * (fabs(error) - f->opening_deviation_us);
}

static void
schedule(kf_forwarder_t *f, kf_flow_t *flow, int64_t due_us)
{
	flow->due_us = due_us;
	if (due_us < f->due_us)
		f->due_us = due_us;
}

static void
record_target_event(
    kf_forwarder_t *f, kf_target_t *target, kf_forward_event_t event)
{
	kf_forward_record_t record = {
		.event = event,
		.target = target,
		.tries = target->failures,
	};

	forwarder_record(f, &record);
}

static void
count_unanswered(kf_forwarder_t *f, kf_flow_try_t *attempt, int64_t now_us)
{
	kf_target_t *target;

	if (attempt->unanswered_counted)
		return;
	attempt->unanswered_counted = true;
	target = kf_directory_find(f->directory, attempt->token);
	dead_note_unanswered(f, target, attempt->sent_us, false, now_us);
	if (target != NULL &&
	    target->info.zone != kf_directory_zone(f->directory))
		kf_isolation_unanswered(&f->isolation);
	if (target != NULL && kf_target_unanswered(target, now_us))
		record_target_event(f, target, KF_FORWARD_EJECTED);
}

/* The client has sent a copy: counts the tries that should have been answered
 * by now. */
static void
count_unanswered_tries(kf_forwarder_t *f, kf_flow_t *flow, int64_t now_us)
{
	uint8_t i;

	for (i = 0; i < flow->tries; i++)
		if (now_us - flow->attempt[i].sent_us >= UNANSWERED_AFTER_US)
			count_unanswered(f, &flow->attempt[i], now_us);
}

static void
send_syn(kf_forwarder_t *f, const kf_flow_t *flow, kf_target_t *target,
    int64_t now_us)
{
	kf_target_add_opening(target, now_us);
	f->callbacks.send(f->callbacks.ctx, &target->info, target->token,
	    flow->syn, flow->syn_bytes);
}

/* Records that a cold upstream without allowance does not get the SYN; target
 * may be NULL. */
static void
record_cold_limited(kf_forwarder_t *f, const kf_flow_t *flow,
    const kf_target_t *target, int64_t now_us)
{
	kf_forward_record_t record =
	    make_flow_record(f, flow, KF_FORWARD_COLD_LIMITED, target, now_us);

	forwarder_record(f, &record);
}

/* Sends the SYN to an upstream not tried yet; returns false if none is left. */
static bool
try_next_upstream(kf_forwarder_t *f, kf_flow_t *flow, int64_t now_us)
{
	kf_pool_t *pool = kf_directory_pool(f->directory, flow->service);
	kf_forward_record_t record;
	kf_choice_t choice;
	uint64_t zone = 0;

	if (flow->tries == KF_FLOW_MAX_TRIES)
		return false;
	forwarder_check_isolation(f, now_us);
	if (flow->tries == 0)
		zone = zone_share_next(f, pool,
		    kf_route_table_find(f->routes, flow->address), now_us);
	choice = kf_choose(pool, flow, f->position, zone, now_us);
	if (choice.target != NULL && choice.target->last_resort)
		f->stats.last_resort++;
	if (choice.cold_passed > 0)
		record_cold_limited(f, flow, NULL, now_us);
	if (choice.target == NULL)
		return false;
	if (flow->tries == 0 &&
	    choice.target->info.zone != kf_directory_zone(f->directory)) {
		f->stats.other_zone++;
		if (zone == 0)
			kf_zone_plan_count_unplanned(&pool->zones);
	}
	flow->attempt[flow->tries++] = (kf_flow_try_t){
		.token = choice.target->token,
		.sent_us = now_us,
	};
	if (flow->tries == 1)
		flow->load_counted = true;
	else
		admission_add_repeated_syn(f, flow->service, now_us);
	if (flow->load_counted)
		choice.target->opening++;
	send_syn(f, flow, choice.target, now_us);
	record = make_flow_record(f, flow,
	    flow->tries == 1 ? KF_FORWARD_PLACED : KF_FORWARD_HEDGED,
	    choice.target, now_us);
	record.eligible = choice.eligible;
	record.load = choice.load;
	forwarder_record(f, &record);
	return true;
}

/* Sends the SYN again to every tried upstream that may still get new flows. */
static void
resend_to_tried(kf_forwarder_t *f, const kf_flow_t *flow, int64_t now_us)
{
	kf_target_t *target;
	uint8_t i;

	for (i = 0; i < flow->tries; i++) {
		target =
		    kf_directory_find(f->directory, flow->attempt[i].token);
		if (target == NULL)
			continue;
		if (kf_target_eligible(target, now_us))
			send_syn(f, flow, target, now_us);
		else if (kf_target_cold_refuses(target, now_us))
			record_cold_limited(f, flow, target, now_us);
	}
}

static void
connect_retransmission(kf_forwarder_t *f, kf_flow_t *flow,
    const kf_packet_t *packet, int64_t now_us)
{
	flow->copies = packet->acknowledged;
	admission_add_repeated_syn(f, flow->service, now_us);
	count_unanswered_tries(f, flow, now_us);
	if (!try_next_upstream(f, flow, now_us))
		resend_to_tried(f, flow, now_us);
}

/* Forwards a copy of the SYN of an open flow, as the answer may have been lost,
 * unless its upstream is cold and may get no SYN now. */
static void
resend_to_open(kf_forwarder_t *f, const kf_flow_t *flow,
    const uint8_t *datagram, size_t len, int64_t now_us)
{
	kf_target_t *target = kf_directory_find(f->directory, flow->token);

	if (target == NULL)
		return;
	if (kf_target_cold_refuses(target, now_us)) {
		record_cold_limited(f, flow, target, now_us);
		return;
	}
	kf_target_add_opening(target, now_us);
	f->callbacks.send(
	    f->callbacks.ctx, &target->info, target->token, datagram, len);
}

static void
connect_new(kf_forwarder_t *f, int64_t now_us, const kf_packet_t *packet,
    const kf_route_t *route, const uint8_t *datagram, size_t len)
{
	uint64_t service = kf_route_service(
	    route, kf_flow_hash(packet->client, packet->address));
	kf_flow_t *flow;

	if (packet->acknowledged > 0)
		admission_add_repeated_syn(f, service, now_us);
	if (admission_refuses(
		f, route, service, packet->acknowledged, now_us)) {
		forwarder_refuse(f, packet, KF_REASON_OVERLOAD);
		return;
	}
	if (len > KF_FLOW_SYN_BYTES) {
		forwarder_refuse(f, packet, KF_REASON_MALFORMED);
		return;
	}
	flow = kf_conntrack_add(f->flows, packet->client, packet->address);
	if (flow == NULL) {
		forwarder_refuse(f, packet, KF_REASON_OVERLOAD);
		return;
	}
	flow->sequence = packet->sequence;
	flow->service = service;
	flow->copies = packet->acknowledged;
	flow->started_us = now_us;
	flow->syn_bytes = (uint8_t)len;
	memcpy(flow->syn, datagram, len);
	if (!try_next_upstream(f, flow, now_us)) {
		kf_conntrack_remove(f->flows, flow);
		forwarder_refuse(f, packet, KF_REASON_NO_UPSTREAM);
		return;
	}
	schedule(f, flow, now_us + kf_forwarder_hedge_delay_us(f));
}

void
connect_syn(kf_forwarder_t *f, int64_t now_us, const kf_packet_t *packet,
    const uint8_t *datagram, size_t len)
{
	const kf_route_t *route =
	    kf_route_table_find(f->routes, packet->address);
	kf_flow_t *flow;

	if (route == NULL || route->removed) {
		forwarder_refuse(f, packet, KF_REASON_NO_SERVICE);
		return;
	}
	flow = kf_conntrack_find(f->flows, packet->client, packet->address);
	if (flow != NULL &&
	    (flow->state == KF_FLOW_IDLE ||
		flow->sequence != packet->sequence)) {
		/* The client reuses the port for a new flow. */
		flow_close(f, flow);
		flow = NULL;
	}
	if (flow == NULL)
		connect_new(f, now_us, packet, route, datagram, len);
	else if (flow->state == KF_FLOW_OPEN)
		resend_to_open(f, flow, datagram, len, now_us);
	else
		connect_retransmission(f, flow, packet, now_us);
}

void
connect_reset(
    kf_forwarder_t *f, kf_flow_t *flow, uint32_t token, int64_t now_us)
{
	uint8_t i;

	for (i = 0; i < flow->tries && flow->attempt[i].token != token; i++)
		count_unanswered(f, &flow->attempt[i], now_us);
}

/*
 * Counts an opening that the first upstream has refused.  A flow that neither
 * opens nor has its SYN retransmitted was reset by its first upstream, unless
 * routers have moved it to another VM.
 */
static void
count_refused_opening(kf_forwarder_t *f, kf_flow_t *flow, int64_t now_us)
{
	if (flow->copies == 0 &&
	    now_us - f->vm_count_changed_us >= REROUTE_GUARD_US)
		count_unanswered(f, &flow->attempt[0], now_us);
}

/* Returns the time of the next connect_step of a flow. */
static int64_t
next_step_us(const kf_forwarder_t *f, const kf_flow_t *flow, int64_t now_us)
{
	const int64_t steps_us[] = {
		THIRD_TRY_FACTOR * kf_forwarder_hedge_delay_us(f),
		REFUSED_AFTER_US,
		OPENING_TIMEOUT_US,
	};
	int64_t due_us = OPENING_TIMEOUT_US;
	size_t i;

	for (i = 0; i < sizeof(steps_us) / sizeof(steps_us[0]); i++)
		if (steps_us[i] > now_us - flow->started_us &&
		    steps_us[i] < due_us)
			due_us = steps_us[i];
	return flow->started_us + due_us;
}

void
connect_step(kf_forwarder_t *f, kf_flow_t *flow, int64_t now_us)
{
	kf_forward_record_t record;
	int64_t age_us = now_us - flow->started_us;

	if (age_us >= OPENING_TIMEOUT_US) {
		record = make_flow_record(
		    f, flow, KF_FORWARD_NOT_OPENED, NULL, now_us);
		record.reason = KF_REASON_UPSTREAM_LOST;
		forwarder_record(f, &record);
		flow_close(f, flow);
		return;
	}
	/* The client has most likely given up, so the flow no longer counts
	 * as load. */
	if (age_us >= THIRD_TRY_FACTOR * kf_forwarder_hedge_delay_us(f))
		flow_release_tries(f, flow);
	if (age_us >= REFUSED_AFTER_US)
		count_refused_opening(f, flow, now_us);
	else
		try_next_upstream(f, flow, now_us);
	schedule(f, flow, next_step_us(f, flow, now_us));
}

void
connect_opened(
    kf_forwarder_t *f, kf_flow_t *flow, uint32_t token, int64_t now_us)
{
	kf_forward_record_t record;
	kf_target_t *target;
	uint8_t i;

	flow_release_tries(f, flow);
	for (i = 0; i < flow->tries; i++) {
		kf_flow_try_t *attempt = &flow->attempt[i];

		if (attempt->token == token)
			update_opening_time(f, now_us - attempt->sent_us);
		else if (i + 1 < flow->tries)
			/* A later try was faster by the hedge delay or
			 * more. */
			count_unanswered(f, attempt, now_us);
	}
	flow->token = token;
	flow->last_packet_us = now_us;
	kf_conntrack_touch(f->flows, flow);
	target = kf_directory_find(f->directory, token);
	if (target != NULL) {
		target->open++;
		/* The client sends a request as soon as its flow is open. */
		flow_set_busy(f, flow);
		if (target->failures >= KF_TARGET_EJECT_FAILURES)
			record_target_event(f, target, KF_FORWARD_RETURNED);
		kf_target_opened(target);
		dead_note_alive(f, target, now_us);
	}
	record = make_flow_record(f, flow, KF_FORWARD_OPENED, target, now_us);
	record.verdict = KF_MAY_HAVE_RUN;
	forwarder_record(f, &record);
}
