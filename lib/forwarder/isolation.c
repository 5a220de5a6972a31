#include "kf/isolation.h"

void
kf_isolation_heard(kf_isolation_t *i, int64_t now_us)
{
	i->heard_us = now_us;
	i->unanswered = 0;
}

void
kf_isolation_unanswered(kf_isolation_t *i)
{
	if (i->unanswered < KF_ISOLATION_MIN_UNANSWERED)
		i->unanswered++;
}

bool
kf_isolation_is_isolated(
    const kf_isolation_t *i, int64_t contact_us, int64_t now_us)
{
	return contact_us != INT64_MIN &&
	    now_us - contact_us > KF_ISOLATION_CONTACT_US &&
	    now_us - i->heard_us > KF_ISOLATION_SILENCE_US &&
	    i->unanswered >= KF_ISOLATION_MIN_UNANSWERED;
}
