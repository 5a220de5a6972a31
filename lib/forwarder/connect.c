#include <math.h>
#include <string.h>

#include "forwarder_internal.h"

/* Weights of a new opening time in its mean and deviation, as in RFC 6298. */
static const double mean_weight = 1.0 / 8;
static const double deviation_weight = 1.0 / 4;
static const double deviation_factor = 4;

int64_t
kf_forwarder_patience_us(const kf_forwarder_t *f)
{
	double us =
	    f->opening_mean_us + deviation_factor * f->opening_deviation_us;

	if (us < PATIENCE_MIN_US)
		return PATIENCE_MIN_US;
	return us > PATIENCE_MAX_US ? PATIENCE_MAX_US : (int64_t)us;
}

static void
learn_opening_time(kf_forwarder_t *f, int64_t took_us)
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
record_health(kf_forwarder_t *f, kf_target_t *target, kf_forward_event_t event)
{
	kf_forward_record_t record = {
		.event = event,
		.target = target,
		.tries = target->failures,
	};

	forwarder_record(f, &record);
}

static void
note_silence(kf_forwarder_t *f, kf_flow_try_t *attempt, int64_t now_us)
{
	kf_target_t *target;

	if (attempt->counted_out)
		return;
	attempt->counted_out = true;
	target = kf_directory_find(f->directory, attempt->token);
	if (target != NULL && kf_target_unanswered(target, now_us))
		record_health(f, target, KF_FORWARD_EJECTED);
}

/* Every attempt older than SILENCE_US has had its chance. */
static void
note_copy(kf_forwarder_t *f, kf_flow_t *flow, int64_t now_us)
{
	uint8_t i;

	for (i = 0; i < flow->tries; i++)
		if (now_us - flow->attempt[i].sent_us >= SILENCE_US)
			note_silence(f, &flow->attempt[i], now_us);
}

static void
send_syn(kf_forwarder_t *f, const kf_flow_t *flow, const kf_target_t *target)
{
	f->callbacks.send(f->callbacks.ctx, &target->info, target->token,
	    flow->syn, flow->syn_bytes);
}

/* Sends the opening packet to an upstream that has not had it. */
static bool
try_next(kf_forwarder_t *f, kf_flow_t *flow, int64_t now_us)
{
	kf_forward_record_t record;
	kf_choice_t choice;

	if (flow->tries == KF_FLOW_MAX_TRIES)
		return false;
	choice = kf_choose(kf_directory_pool(f->directory, flow->service), flow,
	    f->position, now_us);
	if (choice.target == NULL)
		return false;
	flow->attempt[flow->tries++] = (kf_flow_try_t){
		.token = choice.target->token,
		.sent_us = now_us,
	};
	if (flow->tries == 1)
		flow->counted = true;
	if (flow->counted)
		choice.target->opening++;
	send_syn(f, flow, choice.target);
	record = flow_record(f, flow,
	    flow->tries == 1 ? KF_FORWARD_PLACED : KF_FORWARD_HEDGED,
	    choice.target, now_us);
	record.eligible = choice.eligible;
	record.load = choice.load;
	forwarder_record(f, &record);
	return true;
}

/* Sends the packet again to every upstream that has not been silent. */
static void
repeat_tries(kf_forwarder_t *f, const kf_flow_t *flow, int64_t now_us)
{
	const kf_target_t *target;
	uint8_t i;

	for (i = 0; i < flow->tries; i++) {
		target =
		    kf_directory_find(f->directory, flow->attempt[i].token);
		if (target != NULL && kf_target_eligible(target, now_us))
			send_syn(f, flow, target);
	}
}

static void
connect_copy(kf_forwarder_t *f, kf_flow_t *flow, const kf_packet_t *packet,
    int64_t now_us)
{
	flow->copies = packet->acknowledged;
	note_copy(f, flow, now_us);
	if (!try_next(f, flow, now_us))
		repeat_tries(f, flow, now_us);
}

/* A flow that opened here; the answer to its SYN may have been lost. */
static void
repeat_open(
    kf_forwarder_t *f, kf_flow_t *flow, const uint8_t *datagram, size_t len)
{
	const kf_target_t *target =
	    kf_directory_find(f->directory, flow->token);

	if (target != NULL)
		f->callbacks.send(f->callbacks.ctx, &target->info,
		    target->token, datagram, len);
}

static void
connect_new(kf_forwarder_t *f, int64_t now_us, const kf_packet_t *packet,
    const kf_route_t *route, const uint8_t *datagram, size_t len)
{
	uint64_t service = kf_route_service(
	    route, kf_flow_hash(packet->client, packet->address));
	kf_flow_t *flow;

	if (admission_refuses(f, route, service, now_us)) {
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
	if (!try_next(f, flow, now_us)) {
		kf_conntrack_remove(f->flows, flow);
		forwarder_refuse(f, packet, KF_REASON_NO_UPSTREAM);
		return;
	}
	schedule(f, flow, now_us + kf_forwarder_patience_us(f));
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
	if (flow != NULL && flow->sequence != packet->sequence) {
		/* The port is used again. */
		flow_close(f, flow);
		flow = NULL;
	}
	if (flow == NULL)
		connect_new(f, now_us, packet, route, datagram, len);
	else if (flow->state == KF_FLOW_OPEN)
		repeat_open(f, flow, datagram, len);
	else
		connect_copy(f, flow, packet, now_us);
}

void
connect_reset(
    kf_forwarder_t *f, kf_flow_t *flow, uint32_t token, int64_t now_us)
{
	uint8_t i;

	for (i = 0; i < flow->tries && flow->attempt[i].token != token; i++)
		note_silence(f, &flow->attempt[i], now_us);
}

/*
 * Neither a copy nor an opened flow: the first upstream reset the client, or
 * the flow goes on at another VM.
 */
static void
note_refusal(kf_forwarder_t *f, kf_flow_t *flow, int64_t now_us)
{
	if (flow->copies == 0 && now_us - f->moved_us >= MOVE_GUARD_US)
		note_silence(f, &flow->attempt[0], now_us);
}

/* When the next step of a flow is due. */
static int64_t
next_step_us(const kf_forwarder_t *f, const kf_flow_t *flow, int64_t now_us)
{
	const int64_t steps_us[] = {
		THIRD_TRY_FACTOR * kf_forwarder_patience_us(f),
		REFUSAL_US,
		OPENING_LIFE_US,
	};
	int64_t due_us = OPENING_LIFE_US;
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

	if (age_us >= OPENING_LIFE_US) {
		record =
		    flow_record(f, flow, KF_FORWARD_NOT_OPENED, NULL, now_us);
		record.reason = KF_REASON_UPSTREAM_LOST;
		forwarder_record(f, &record);
		flow_close(f, flow);
		return;
	}
	/* By now the client has most likely given up. */
	if (age_us >= THIRD_TRY_FACTOR * kf_forwarder_patience_us(f))
		flow_release_tries(f, flow);
	if (age_us >= REFUSAL_US)
		note_refusal(f, flow, now_us);
	else
		try_next(f, flow, now_us);
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
			learn_opening_time(f, now_us - attempt->sent_us);
		else if (i + 1 < flow->tries)
			/* A later one was faster by at least the patience. */
			note_silence(f, attempt, now_us);
	}
	flow->token = token;
	flow->last_us = now_us;
	kf_conntrack_touch(f->flows, flow);
	target = kf_directory_find(f->directory, token);
	if (target != NULL) {
		target->open++;
		if (target->failures >= KF_TARGET_EJECT_FAILURES)
			record_health(f, target, KF_FORWARD_RETURNED);
		kf_target_opened(target);
	}
	record = flow_record(f, flow, KF_FORWARD_OPENED, target, now_us);
	record.verdict = KF_MAY_HAVE_RUN;
	forwarder_record(f, &record);
}
