#include <math.h>

#include "kf/backoff.h"

#include "capacity.h"
#include "forwarder_internal.h"

enum {
	/* Time constant of the decay of the count of failed requests. */
	FAILURE_DECAY_US = 3000000,
	EJECT_MIN_US = 6000000,
	EJECT_MAX_US = 24000000,
	/* Consecutive ejections get longer.  An ejection is consecutive if it
	 * starts at most this long after the end of the last one. */
	EJECTION_STREAK_US = 12000000,
	/* At most one in this many upstreams of a service is ejected as an
	 * outlier. */
	EJECT_ONE_IN = 3,
};

/* The mean answer time of a service is used from this number of answers on. The
 * n-th answer has the weight 1/n; after this number the weight stays the same.
 */
enum { MEAN_ANSWERS = 32 };
/* An answer time counts as at most this multiple of the mean, so that a few
 * slow upstreams do not dominate it. */
static const double max_answer_factor = 2;
/* A service has little load below this share of the flow limit. */
static const double calm_load = 0.5;
/* A request is late after this multiple of the mean.  Service times spread by a
 * factor of 1.6 and are at most 6 times their mean, so that about one request
 * in 800 is late at a healthy upstream. */
static const double late_factor = 4;
/* The count of failed requests that makes an upstream an outlier: three within
 * a second, plus outlier_factor times the mean count of the other upstreams of
 * its zone group (own zone or other zones), which get the same load.  The mean
 * is added because all upstreams have failed requests in an overload, when
 * packets are lost, and when routers move flows. */
static const double outlier_min = 2.5;
static const double outlier_factor = 2;
/* While a service is overloaded, sound upstreams reject requests too, most at
 * the start of a flood.  An outlier then fails at least this share of the
 * requests that an upstream gets in FAILURE_DECAY_US. */
static const double overloaded_outlier_share = 0.25;

static int64_t
late_after_us(const kf_pool_t *pool)
{
	double us = late_factor * pool->answer_mean_us;

	/* In a backlog requests of sound upstreams are late, too. */
	if (pool->answers < MEAN_ANSWERS || pool->backlog)
		return LATE_DEFAULT_US;
	return us < LATE_MIN_US ? LATE_MIN_US : (int64_t)us;
}

static void
update_answer_time(kf_pool_t *pool, int64_t took_us)
{
	double us = (double)took_us;

	if (pool->answers < MEAN_ANSWERS)
		pool->answers++;
	else if (us > max_answer_factor * pool->answer_mean_us)
		us = max_answer_factor * pool->answer_mean_us;
	pool->answer_mean_us += (us - pool->answer_mean_us) / pool->answers;
}

/* Answers while the service has little load show how soon clients acknowledge
 * them. */
static void
update_calm_answer_time(kf_pool_t *pool, int64_t took_us)
{
	double error = (double)took_us - pool->calm_answer_us;

	if (pool->load.current >= calm_load)
		return;
	if (pool->calm_answers < MEAN_ANSWERS)
		pool->calm_answers++;
	pool->calm_answer_us += error / pool->calm_answers;
	pool->calm_deviation_us +=
	    (fabs(error) - pool->calm_deviation_us) / pool->calm_answers;
}

static double
decayed(double count, int64_t since_us, int64_t now_us)
{
	return count * exp(-(double)(now_us - since_us) / FAILURE_DECAY_US);
}

static size_t
count_outliers(kf_target_t *const *targets, size_t count, int64_t now_us)
{
	size_t i, outliers = 0;

	for (i = 0; i < count; i++)
		outliers += now_us < targets[i]->outlier_until_us;
	return outliers;
}

/* Returns the count of failed requests of a target's zone group: the upstreams
 * of this VM's zone, or those of all other zones. */
static double *
group_failed(kf_forwarder_t *f, kf_pool_t *pool, const kf_target_t *target)
{
	return target->info.zone == kf_directory_zone(f->directory)
	    ? &pool->failed_own_zone
	    : &pool->failed_other_zones;
}

/* Returns the count of failed requests that an outlier has at least. */
static double
min_failed(const kf_pool_t *pool, int64_t now_us)
{
	size_t upstreams = pool->own_zone_count + pool->other_zones_count;
	double failed;

	if (!admission_is_overloaded(pool, now_us))
		return outlier_min;
	failed = overloaded_outlier_share *
	    admission_all_demand_per_s(pool, now_us) * FAILURE_DECAY_US /
	    1000000 / (double)upstreams;
	return failed > outlier_min ? failed : outlier_min;
}

static bool
is_outlier(kf_forwarder_t *f, kf_pool_t *pool, const kf_target_t *target,
    int64_t now_us)
{
	double *failed = group_failed(f, pool, target);
	size_t all = pool->own_zone_count + pool->other_zones_count;
	size_t count = failed == &pool->failed_own_zone
	    ? pool->own_zone_count
	    : pool->other_zones_count;
	double others =
	    count < 2 ? 0 : (*failed - target->failed) / (double)(count - 1);

	return target->failed >=
	    min_failed(pool, now_us) + outlier_factor * others &&
	    (count_outliers(pool->own_zone, pool->own_zone_count, now_us) +
		count_outliers(
		    pool->other_zones, pool->other_zones_count, now_us) +
		1) *
		EJECT_ONE_IN <=
	    all;
}

static void
eject(kf_forwarder_t *f, kf_target_t *target, int64_t now_us)
{
	kf_forward_record_t record = {
		.event = KF_FORWARD_OUTLIER,
		.target = target,
	};

	if (now_us - target->outlier_until_us > EJECTION_STREAK_US)
		target->outlier_ejections = 0;
	target->outlier_until_us = now_us +
	    kf_backoff_us(
		EJECT_MIN_US, EJECT_MAX_US, target->outlier_ejections++);
	forwarder_record(f, &record);
	target->failed = 0;
}

/* Counts a failed request against an upstream. */
static void
count_failed(kf_forwarder_t *f, kf_target_t *target, int64_t now_us)
{
	kf_pool_t *pool = kf_directory_pool(f->directory, target->info.service);

	/* Requests sent before the ejection may still fail during it. */
	if (pool == NULL || now_us < target->outlier_until_us)
		return;
	target->failed =
	    decayed(target->failed, target->last_failed_us, now_us) + 1;
	target->last_failed_us = now_us;
	pool->failed_own_zone =
	    decayed(pool->failed_own_zone, pool->last_failed_us, now_us);
	pool->failed_other_zones =
	    decayed(pool->failed_other_zones, pool->last_failed_us, now_us);
	pool->last_failed_us = now_us;
	*group_failed(f, pool, target) += 1;
	if (is_outlier(f, pool, target, now_us)) {
		*group_failed(f, pool, target) -= target->failed;
		eject(f, target, now_us);
	}
}

/* Records and counts a failed request; queues it for the zone's other VMs. */
static void
report_failed(kf_forwarder_t *f, kf_flow_t *flow,
    const kf_forward_record_t *record, int64_t now_us)
{
	kf_target_t *target = kf_directory_find(f->directory, flow->token);

	flow->failed = true;
	if (target == NULL)
		return;
	forwarder_record(f, record);
	if (f->failed_count < KF_FORWARDER_MAX_FAILED)
		f->failed[f->failed_count++] = target->token;
	count_failed(f, target, now_us);
}

static kf_forward_record_t
make_request_record(const kf_forwarder_t *f, const kf_flow_t *flow,
    kf_forward_event_t event, int64_t now_us)
{
	kf_forward_record_t record = make_flow_record(f, flow, event,
	    kf_directory_find(f->directory, flow->token), now_us);

	record.since_us = now_us - flow->request_started_us;
	record.verdict = KF_MAY_HAVE_RUN;
	return record;
}

/* Returns true if an upstream has failed more requests than healthy ones do by
 * long service times. */
static bool
has_failed_often(const kf_target_t *target, int64_t now_us)
{
	return now_us < target->outlier_until_us ||
	    decayed(target->failed, target->last_failed_us, now_us) >=
	    outlier_min;
}

static void
check_late(kf_forwarder_t *f, kf_flow_t *flow, int64_t now_us)
{
	kf_forward_record_t record;
	kf_target_t *target;
	const kf_pool_t *pool;

	if (flow->request_started_us == 0 || flow->answering)
		return;
	pool = kf_directory_pool(f->directory, flow->service);
	if (pool == NULL ||
	    now_us - flow->request_started_us < late_after_us(pool))
		return;
	if (!flow->failed) {
		record = make_request_record(f, flow, KF_FORWARD_LATE, now_us);
		report_failed(f, flow, &record, now_us);
	}
	target = kf_directory_find(f->directory, flow->token);
	if (target != NULL &&
	    (has_failed_often(target, now_us) ||
		now_us - flow->request_started_us >= KF_DEAD_SINGLE_REQUEST_US))
		dead_note_unanswered(
		    f, target, flow->request_started_us, false, now_us);
}

/* Handles the first acknowledgement of an answer. */
static void
begin_answer(kf_forwarder_t *f, kf_flow_t *flow, int64_t now_us)
{
	kf_pool_t *pool = kf_directory_pool(f->directory, flow->service);

	if (pool != NULL) {
		update_calm_answer_time(
		    pool, now_us - flow->request_started_us);
		update_answer_time(pool, now_us - flow->request_started_us);
		capacity_add_answer(
		    pool, now_us - flow->request_started_us, now_us);
	}
	flow->answering = true;
	flow_clear_busy(f, flow);
}

/* Handles the end of an answer, which is known when the client ends the flow or
 * sends another request. */
static void
end_answer(kf_forwarder_t *f, kf_flow_t *flow, uint32_t bytes, int64_t now_us)
{
	kf_forward_record_t record;
	uint32_t usual_bytes;

	usual_bytes =
	    kf_answer_sizes_add(&f->answer_sizes, flow->address, bytes);
	if (usual_bytes != 0 && !flow->failed) {
		record = make_request_record(f, flow, KF_FORWARD_SHORT, now_us);
		record.answer_bytes = bytes;
		record.usual_bytes = usual_bytes;
		report_failed(f, flow, &record, now_us);
	}
	flow->answering = false;
	flow->request_started_us = 0;
}

void
outlier_track_packet(kf_forwarder_t *f, kf_flow_t *flow,
    const kf_packet_t *packet, int64_t now_us)
{
	uint32_t answer_bytes = packet->acknowledged - flow->request_ack;
	bool sends_request = packet->payload_bytes > 0;

	/* A packet that was overtaken has an older acknowledgement number. */
	if ((int32_t)answer_bytes < 0)
		answer_bytes = 0;
	check_late(f, flow, now_us);
	if (flow->request_started_us != 0 && !flow->answering &&
	    answer_bytes > 0)
		begin_answer(f, flow, now_us);
	if (flow->answering && answer_bytes > 0 &&
	    (packet->fin || sends_request))
		end_answer(f, flow, answer_bytes, now_us);
	if (flow->request_started_us == 0 && sends_request) {
		flow->request_started_us = now_us;
		flow->request_ack = packet->acknowledged;
		flow->failed = false;
		admission_add_request(f, flow, now_us);
		flow->reused = true;
		flow_set_busy(f, flow);
	}
}

/*
 * A client whose request has been acknowledged sends no packets until the
 * answer arrives, so late requests are found by a timer.  Requests that started
 * before or shortly after a change of the number of VMs are skipped: routers
 * may have moved the flow, and the answer may be acknowledged at another VM.
 */
void
outlier_scan(kf_forwarder_t *f, int64_t now_us)
{
	kf_flow_t *flow = kf_conntrack_first(f->flows, KF_FLOW_OPEN);

	while (flow != NULL && now_us - flow->last_packet_us >= LATE_MIN_US) {
		if (flow->request_started_us - f->vm_count_changed_us >=
		    REROUTE_GUARD_US)
			check_late(f, flow, now_us);
		flow = kf_conntrack_next(f->flows, flow);
	}
}

void
outlier_run_due(kf_forwarder_t *f, int64_t now_us)
{
	if (f->outlier_us > now_us)
		return;
	outlier_scan(f, now_us);
	f->outlier_us = now_us + OUTLIER_INTERVAL_US;
}

size_t
kf_forwarder_take_failed(
    kf_forwarder_t *f, uint32_t tokens[KF_FORWARDER_MAX_FAILED])
{
	size_t i, count = f->failed_count;

	for (i = 0; i < count; i++)
		tokens[i] = f->failed[i];
	f->failed_count = 0;
	return count;
}

void
kf_forwarder_add_peer_failure(kf_forwarder_t *f, uint32_t token, int64_t now_us)
{
	kf_target_t *target = kf_directory_find(f->directory, token);

	if (target == NULL)
		return;
	count_failed(f, target, now_us);
	if (target->dead.liveness == KF_LIVENESS_ALIVE &&
	    has_failed_often(target, now_us) && dead_has_flows(f, target))
		dead_note_unanswered(f, target, now_us, true, now_us);
}
