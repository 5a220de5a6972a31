#include <stdarg.h>
#include <stdio.h>

#include "kf/status.h"

enum { MESSAGE_BYTES = 512 };

static _Thread_local char last_message[MESSAGE_BYTES];

static const char *const names[KF_STATUS_COUNT] = {
	[KF_OK] = "ok",
	[KF_ERR_INVALID] = "invalid",
	[KF_ERR_NO_MEMORY] = "no_memory",
	[KF_ERR_TRUNCATED] = "truncated",
	[KF_ERR_AUTH] = "auth",
	[KF_ERR_EXPIRED] = "expired",
	[KF_ERR_NOT_FOUND] = "not_found",
	[KF_ERR_STALE] = "stale",
	[KF_ERR_CONFLICT] = "conflict",
	[KF_ERR_FULL] = "full",
	[KF_ERR_IO] = "io",
	[KF_ERR_TIMEOUT] = "timeout",
	[KF_ERR_UNSUPPORTED] = "unsupported",
};

kf_status_t
kf_status_set(kf_status_t status, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(last_message, sizeof(last_message), fmt, ap);
	va_end(ap);
	return status;
}

const char *
kf_status_message(void)
{
	return last_message;
}

const char *
kf_status_name(kf_status_t status)
{
	if ((unsigned)status >= KF_STATUS_COUNT)
		return "unknown";
	return names[status];
}
