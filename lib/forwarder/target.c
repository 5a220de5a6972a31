#include "kf/backoff.h"
#include "kf/packet.h"
#include "kf/target.h"

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
kf_target_eligible(const kf_target_t *target, int64_t now_us)
{
	if (target->info.draining || target->token_conflict ||
	    target->evacuated)
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
