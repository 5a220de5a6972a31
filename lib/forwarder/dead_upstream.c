#include "kf/dead_upstream.h"

/* Interval after a probe that tests the links; 4 per second at most. */
enum { CONTROL_INTERVAL_US = 250000 };

static bool
is_recent(int64_t event_us, int64_t age_us, int64_t now_us)
{
	return event_us != 0 && now_us - event_us < age_us;
}

bool
kf_dead_upstream_replaced(kf_dead_upstream_t *d)
{
	bool was_dead = d->liveness == KF_LIVENESS_DEAD;

	d->replaced = true;
	d->liveness = KF_LIVENESS_DEAD;
	return !was_dead;
}

void
kf_dead_upstream_not_replaced(kf_dead_upstream_t *d)
{
	d->replaced = false;
	d->evidence_us = 0;
}

bool
kf_dead_upstream_may_reset(
    const kf_dead_upstream_t *d, int64_t max_age_us, int64_t now_us)
{
	return d->liveness == KF_LIVENESS_DEAD &&
	    (d->replaced || is_recent(d->evidence_us, max_age_us, now_us));
}

void
kf_dead_upstream_want_probe(kf_dead_upstream_t *d)
{
	d->probe_wanted = true;
}

bool
kf_dead_upstream_wanted_probe_due(const kf_dead_upstream_t *d, int64_t now_us)
{
	return d->liveness == KF_LIVENESS_DEAD && d->probe_wanted &&
	    !d->probing && !d->replaced &&
	    now_us - d->probe_sent_us >= KF_DEAD_CHECK_US;
}

bool
kf_dead_upstream_alive(kf_dead_upstream_t *d, int64_t now_us)
{
	bool was_dead = d->liveness == KF_LIVENESS_DEAD;

	if (d->replaced)
		return false;
	d->liveness = KF_LIVENESS_ALIVE;
	d->failed_probes = 0;
	d->checks = 0;
	d->probe_wanted = false;
	d->alive_us = now_us;
	return was_dead;
}

bool
kf_dead_upstream_accepted(kf_dead_upstream_t *d, int64_t now_us)
{
	d->probing = false;
	d->accepted_us = now_us;
	d->control_failed_us = 0;
	return kf_dead_upstream_alive(d, now_us);
}

void
kf_dead_upstream_unanswered(
    kf_dead_upstream_t *d, int64_t since_us, bool reported, int64_t now_us)
{
	int64_t silent_since_us =
	    since_us > d->alive_us ? since_us : d->alive_us;

	if (d->liveness != KF_LIVENESS_ALIVE ||
	    is_recent(d->accepted_us, KF_DEAD_QUIET_US, now_us) ||
	    (!reported && now_us - silent_since_us < KF_DEAD_SUSPECT_US))
		return;
	d->liveness = KF_LIVENESS_SUSPECT;
	d->silent_since_us = silent_since_us;
	d->failed_probes = 0;
}

bool
kf_dead_upstream_probe_due(const kf_dead_upstream_t *d, int64_t now_us)
{
	return kf_dead_upstream_wanted_probe_due(d, now_us) ||
	    (d->liveness != KF_LIVENESS_ALIVE && !d->probing && !d->replaced &&
		now_us >= d->next_probe_us);
}

bool
kf_dead_upstream_may_be_control(const kf_dead_upstream_t *d, int64_t now_us)
{
	return d->liveness == KF_LIVENESS_ALIVE && !d->probing &&
	    now_us >= d->next_probe_us &&
	    !is_recent(d->control_failed_us, KF_DEAD_CHECK_US, now_us);
}

bool
kf_dead_upstream_needs_control(const kf_dead_upstream_t *d, int64_t links_us,
    int64_t control_us, int64_t now_us)
{
	return d->liveness == KF_LIVENESS_SUSPECT && d->probing &&
	    now_us - d->probe_sent_us >= KF_DEAD_CONTROL_DELAY_US &&
	    links_us < d->probe_sent_us && control_us < d->probe_sent_us;
}

static int64_t
probe_interval_us(const kf_dead_upstream_t *d)
{
	switch (d->liveness) {
	case KF_LIVENESS_SUSPECT:
		return KF_DEAD_RETRY_US;
	case KF_LIVENESS_DEAD:
		return d->checks < KF_DEAD_FIRST_CHECKS
		    ? KF_DEAD_CHECK_US
		    : KF_DEAD_LATER_CHECK_US;
	default:
		return CONTROL_INTERVAL_US;
	}
}

void
kf_dead_upstream_probe_sent(kf_dead_upstream_t *d, int64_t now_us)
{
	d->probing = true;
	d->probe_wanted = false;
	d->probe_sent_us = now_us;
	d->checks += d->liveness == KF_LIVENESS_DEAD;
	d->next_probe_us = now_us + probe_interval_us(d);
}

/* A timer that ran early, or a VM that was suspended meanwhile, does not show
 * that the upstream had the time to answer. */
static bool
had_time_to_answer(const kf_dead_upstream_t *d, int64_t now_us)
{
	int64_t took_us = now_us - d->probe_sent_us;

	return took_us >= KF_DEAD_PROBE_TIMEOUT_US * 9 / 10 &&
	    took_us <= KF_DEAD_PROBE_TIMEOUT_US * 5;
}

/* Counts a failed probe of a suspect; returns true if it is dead. */
static bool
suspect_probe_failed(kf_dead_upstream_t *d, int64_t links_us,
    int64_t dead_after_us, int64_t now_us)
{
	/* The probe was sent before the upstream became a suspect, or its
	 * failure may be due to the links. */
	if (!had_time_to_answer(d, now_us) ||
	    d->probe_sent_us < d->silent_since_us ||
	    links_us < d->probe_sent_us) {
		d->failed_probes = 0;
		return false;
	}
	d->failed_probes++;
	if (d->failed_probes < KF_DEAD_FAILED_PROBES ||
	    now_us - d->silent_since_us < dead_after_us)
		return false;
	d->liveness = KF_LIVENESS_DEAD;
	d->next_probe_us = d->probe_sent_us + KF_DEAD_CHECK_US;
	d->evidence_us = d->probe_sent_us;
	return true;
}

bool
kf_dead_upstream_probe_failed(kf_dead_upstream_t *d, int64_t links_us,
    int64_t dead_after_us, int64_t now_us)
{
	if (!d->probing)
		return false;
	d->probing = false;
	switch (d->liveness) {
	case KF_LIVENESS_SUSPECT:
		return suspect_probe_failed(d, links_us, dead_after_us, now_us);
	case KF_LIVENESS_DEAD:
		/* Its links, or those of the VM, have not been well since. */
		if (!had_time_to_answer(d, now_us))
			return false;
		d->evidence_us = d->probe_sent_us;
		return true;
	default:
		d->control_failed_us = now_us;
		return false;
	}
}
