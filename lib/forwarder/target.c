#include "kf/backoff.h"
#include "kf/packet.h"
#include "kf/target.h"

/* Upstreams are 1.6 times slower in their cold start, on the deployments
 * served. */
static const double cold_slot_factor = 1 / 1.6;

static const char *const health_names[KF_HEALTH_COUNT] = {
	[KF_HEALTH_GOOD] = "good",
	[KF_HEALTH_PROBE] = "probe",
	[KF_HEALTH_DOUBTFUL] = "doubtful",
	[KF_HEALTH_EJECTED] = "ejected",
};

static const char *const listing_names[KF_LISTING_COUNT] = {
	[KF_LISTED] = "listed",
	[KF_LISTING_MISSING] = "missing",
	[KF_LISTING_GONE] = "gone",
};

const char *
kf_health_name(kf_health_t health)
{
	return health_names[health];
}

const char *
kf_listing_name(kf_listing_t listing)
{
	return listing_names[listing];
}

uint32_t
kf_token_of(uint64_t upstream_id)
{
	uint32_t token = (uint32_t)(upstream_id ^ (upstream_id >> 32));

	return token == KF_TOKEN_NONE ? 1 : token;
}

bool
kf_target_has_left(const kf_target_t *target)
{
	return target->listing == KF_LISTING_GONE && !target->lapsed;
}

bool
kf_upstream_is_warm(const kf_upstream_info_t *info, int64_t wall_ms)
{
	return info->born_ms > 0 &&
	    wall_ms - info->born_ms >
	    info->cold_left_us / 1000 + KF_TARGET_CLOCK_ERROR_MS;
}

bool
kf_target_cold_limited(const kf_target_t *target, int64_t now_us)
{
	if (target->cold_view == NULL || target->cold_view->bounds.excess <= 0)
		return false;
	return target->last_resort ||
	    (!target->info.warm && now_us < target->cold_end_us);
}

uint32_t
kf_target_cold_left(const kf_target_t *target, int64_t now_us)
{
	return kf_cold_view_is_certain(target->cold_view, now_us)
	    ? kf_cold_window_left(
		  &target->cold_window, target->cold_allowance, now_us)
	    : 0;
}

bool
kf_target_cold_refuses(const kf_target_t *target, int64_t now_us)
{
	return kf_target_cold_limited(target, now_us) &&
	    kf_target_cold_left(target, now_us) == 0;
}

void
kf_target_add_opening(kf_target_t *target, int64_t now_us)
{
	if (kf_target_cold_limited(target, now_us))
		kf_cold_window_add(&target->cold_window, now_us);
}

double
kf_target_slots(const kf_target_t *target, int64_t now_us)
{
	double slots = target->info.slots == 0 ? 1 : target->info.slots;

	return now_us < target->cold_end_us ? slots * cold_slot_factor : slots;
}

bool
kf_target_eligible(const kf_target_t *target, int64_t now_us)
{
	if (target->info.draining || target->token_conflict ||
	    (target->evacuated && !target->last_resort) ||
	    kf_target_cold_refuses(target, now_us))
		return false;
	switch (target->listing) {
	case KF_LISTED:
		return true;
	case KF_LISTING_MISSING:
		return now_us - target->unlisted_us <
		    KF_TARGET_MISSING_GRACE_US;
	default:
		return false;
	}
}

kf_health_t
kf_target_health(const kf_target_t *target, int64_t now_us)
{
	if (target->dead.liveness == KF_LIVENESS_DEAD ||
	    now_us < target->ejected_until_us ||
	    now_us < target->outlier_until_us)
		return KF_HEALTH_EJECTED;
	if (target->failures >= KF_TARGET_EJECT_FAILURES)
		return target->opening == 0 ? KF_HEALTH_PROBE
					    : KF_HEALTH_EJECTED;
	return now_us < target->doubtful_until_us ? KF_HEALTH_DOUBTFUL
						  : KF_HEALTH_GOOD;
}

void
kf_target_opened(kf_target_t *target)
{
	target->failures = 0;
	target->ejections = 0;
	target->doubtful_until_us = 0;
	target->ejected_until_us = 0;
}

void
kf_target_reset(kf_target_t *target)
{
	kf_target_opened(target);
	target->failed = 0;
	target->outlier_ejections = 0;
	target->outlier_until_us = 0;
	target->dead = (kf_dead_upstream_t){ 0 };
}

bool
kf_target_unanswered(kf_target_t *target, int64_t now_us)
{
	/* SYNs sent before the ejection may remain unanswered during it. */
	if (now_us < target->ejected_until_us)
		return false;
	target->failures++;
	target->doubtful_until_us = now_us + KF_TARGET_DOUBTFUL_US;
	if (target->failures < KF_TARGET_EJECT_FAILURES)
		return false;
	target->ejected_until_us = now_us +
	    kf_backoff_us(KF_TARGET_EJECT_MIN_US, KF_TARGET_EJECT_MAX_US,
		target->ejections++);
	return true;
}
