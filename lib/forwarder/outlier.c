#include <math.h>

#include "forwarder_internal.h"

enum {
	/* Late requests of this time count. */
	MEMORY_US = 3000000,
	EJECT_MIN_US = 6000000,
	EJECT_MAX_US = 24000000,
	/* Ejections are in a row if they follow each other within this time. */
	ROW_US = 12000000,
	/* At most one in this many upstreams of a service is ejected. */
	EJECT_SHARE = 3,
};

/* Answers after which the mean of a service is trusted, and then the weight of
 * a new one is 1 to this number. */
enum { MEAN_ANSWERS = 32 };
/* One answer counts as twice the mean at most, so that some slow upstreams do
 * not set the mean. */
static const double mean_clip = 2;
/* A request is late after this many times the mean.  The work of a request
 * spreads by a factor of 1.6 and is at most 6 times its mean, so that about
 * one in 800 is late at a sound upstream. */
static const double late_factor = 4;
/* An outlier has three late requests in a second, and more by twice the mean
 * of the other upstreams of its kind of zone, which get the same load: all have
 * some in an overload, when packets are lost, and when routers move flows. */
static const double outlier_min = 2.5;
static const double outlier_factor = 2;

static int64_t
late_after_us(const kf_pool_t *pool)
{
	double us = late_factor * pool->answer_mean_us;

	if (pool->answers < MEAN_ANSWERS)
		return LATE_UNKNOWN_US;
	return us < LATE_MIN_US ? LATE_MIN_US : (int64_t)us;
}

static void
learn_answer_time(kf_pool_t *pool, int64_t took_us)
{
	double us = (double)took_us;

	if (pool->answers < MEAN_ANSWERS)
		pool->answers++;
	else if (us > mean_clip * pool->answer_mean_us)
		us = mean_clip * pool->answer_mean_us;
	pool->answer_mean_us += (us - pool->answer_mean_us) / pool->answers;
}

static double
faded(double count, int64_t since_us, int64_t now_us)
{
	return count * exp(-(double)(now_us - since_us) / MEMORY_US);
}

static size_t
count_outliers(kf_target_t *const *targets, size_t count, int64_t now_us)
{
	size_t i, outliers = 0;

	for (i = 0; i < count; i++)
		outliers += now_us < targets[i]->outlier_until_us;
	return outliers;
}

/* Late requests of all upstreams in the same kind of zone as a target. */
static double *
group_late(kf_forwarder_t *f, kf_pool_t *pool, const kf_target_t *target)
{
	return target->info.zone == kf_directory_zone(f->directory)
	    ? &pool->late_near
	    : &pool->late_far;
}

static bool
is_outlier(kf_forwarder_t *f, kf_pool_t *pool, const kf_target_t *target,
    int64_t now_us)
{
	double *late = group_late(f, pool, target);
	size_t all = pool->near_count + pool->far_count;
	size_t count =
	    late == &pool->late_near ? pool->near_count : pool->far_count;
	double others =
	    count < 2 ? 0 : (*late - target->late) / (double)(count - 1);

	return target->late >= outlier_min + outlier_factor * others &&
	    (count_outliers(pool->near, pool->near_count, now_us) +
		count_outliers(pool->far, pool->far_count, now_us) + 1) *
		EJECT_SHARE <=
	    all;
}

static void
eject(kf_forwarder_t *f, kf_target_t *target, int64_t now_us)
{
	kf_forward_record_t record = {
		.event = KF_FORWARD_OUTLIER,
		.target = target,
	};
	int64_t time_us = EJECT_MIN_US;
	uint32_t i;

	if (now_us - target->outlier_until_us > ROW_US)
		target->outlier_ejections = 0;
	for (i = 0; i < target->outlier_ejections && time_us < EJECT_MAX_US;
	     i++)
		time_us *= 2;
	target->outlier_ejections++;
	target->outlier_until_us = now_us + time_us;
	forwarder_record(f, &record);
	target->late = 0;
}

/* Counts a late request against an upstream. */
static void
count_late(kf_forwarder_t *f, kf_target_t *target, int64_t now_us)
{
	kf_pool_t *pool = kf_directory_pool(f->directory, target->info.service);

	/* Requests sent before an ejection say nothing new. */
	if (pool == NULL || now_us < target->outlier_until_us)
		return;
	target->late = faded(target->late, target->late_us, now_us) + 1;
	target->late_us = now_us;
	pool->late_near = faded(pool->late_near, pool->late_us, now_us);
	pool->late_far = faded(pool->late_far, pool->late_us, now_us);
	pool->late_us = now_us;
	*group_late(f, pool, target) += 1;
	if (is_outlier(f, pool, target, now_us)) {
		*group_late(f, pool, target) -= target->late;
		eject(f, target, now_us);
	}
}

static void
report_late(kf_forwarder_t *f, kf_flow_t *flow, int64_t now_us)
{
	kf_target_t *target = kf_directory_find(f->directory, flow->token);
	kf_forward_record_t record =
	    flow_record(f, flow, KF_FORWARD_LATE, target, now_us);

	record.since_us = now_us - flow->asked_us;
	record.verdict = KF_MAY_HAVE_RUN;
	flow->late = true;
	if (target == NULL)
		return;
	forwarder_record(f, &record);
	if (f->late_count < KF_FORWARDER_MAX_LATE)
		f->late[f->late_count++] = target->token;
	count_late(f, target, now_us);
}

static void
check_late(kf_forwarder_t *f, kf_flow_t *flow, int64_t now_us)
{
	const kf_pool_t *pool;

	if (flow->asked_us == 0 || flow->late)
		return;
	pool = kf_directory_pool(f->directory, flow->service);
	if (pool != NULL && now_us - flow->asked_us >= late_after_us(pool))
		report_late(f, flow, now_us);
}

void
outlier_follow(kf_forwarder_t *f, kf_flow_t *flow, const kf_packet_t *packet,
    int64_t now_us)
{
	kf_pool_t *pool;

	check_late(f, flow, now_us);
	if (flow->asked_us != 0 && packet->acknowledged != flow->asked_ack) {
		pool = kf_directory_pool(f->directory, flow->service);
		if (pool != NULL)
			learn_answer_time(pool, now_us - flow->asked_us);
		flow->asked_us = 0;
	}
	if (flow->asked_us == 0 && packet->payload_bytes > 0) {
		flow->asked_us = now_us;
		flow->asked_ack = packet->acknowledged;
		flow->late = false;
	}
}

/*
 * A client whose request was acknowledged sends nothing until the answer
 * comes.  Silence is no evidence while routers move flows between VMs: the
 * answer may have been acknowledged at another one.
 */
void
outlier_scan(kf_forwarder_t *f, int64_t now_us)
{
	kf_flow_t *flow = kf_conntrack_first(f->flows, KF_FLOW_OPEN);

	while (flow != NULL && now_us - flow->last_us >= LATE_MIN_US) {
		if (flow->asked_us - f->moved_us >= MOVE_GUARD_US)
			check_late(f, flow, now_us);
		flow = kf_conntrack_next(f->flows, flow);
	}
}

size_t
kf_forwarder_take_late(
    kf_forwarder_t *f, uint32_t tokens[KF_FORWARDER_MAX_LATE])
{
	size_t i, count = f->late_count;

	for (i = 0; i < count; i++)
		tokens[i] = f->late[i];
	f->late_count = 0;
	return count;
}

void
kf_forwarder_late_elsewhere(kf_forwarder_t *f, uint32_t token, int64_t now_us)
{
	kf_target_t *target = kf_directory_find(f->directory, token);

	if (target != NULL)
		count_late(f, target, now_us);
}
