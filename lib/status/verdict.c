#include "kf/verdict.h"

static const char *const verdict_names[KF_VERDICT_COUNT] = {
	[KF_NOT_RUN] = "not_run",
	[KF_MAY_HAVE_RUN] = "may_have_run",
	[KF_ANSWERED] = "answered",
};

static const char *const reason_names[KF_REASON_COUNT] = {
	[KF_REASON_NONE] = "none",
	[KF_REASON_MALFORMED] = "malformed",
	[KF_REASON_NO_SERVICE] = "no_service",
	[KF_REASON_TOKEN_BAD] = "token_bad",
	[KF_REASON_TOKEN_EXPIRED] = "token_expired",
	[KF_REASON_TOKEN_SERVICE] = "token_service",
	[KF_REASON_NO_FLOW] = "no_flow",
	[KF_REASON_NO_UPSTREAM] = "no_upstream",
	[KF_REASON_OVERLOAD] = "overload",
	[KF_REASON_DEADLINE] = "deadline",
	[KF_REASON_OWNER_LOST] = "owner_lost",
	[KF_REASON_IN_DOUBT] = "in_doubt",
	[KF_REASON_UPSTREAM_LOST] = "upstream_lost",
	[KF_REASON_FENCED] = "fenced",
	[KF_REASON_DUPLICATE] = "duplicate",
	[KF_REASON_LATE_REPLY] = "late_reply",
	[KF_REASON_UPSTREAM_SHED] = "upstream_shed",
	[KF_REASON_NO_CONFIG] = "no_config",
	[KF_REASON_DRAINING] = "draining",
};

const char *
kf_verdict_name(kf_verdict_t verdict)
{
	if ((unsigned)verdict >= KF_VERDICT_COUNT)
		return "unknown";
	return verdict_names[verdict];
}

const char *
kf_reason_name(kf_reason_t reason)
{
	if ((unsigned)reason >= KF_REASON_COUNT)
		return "unknown";
	return reason_names[reason];
}
