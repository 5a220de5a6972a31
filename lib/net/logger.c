#include <apr_thread_mutex.h>

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kf/clock.h"
#include "kf/eventlog.h"
#include "kf/logger.h"

enum { LINE_BYTES = 1024 };

struct kf_logger {
	apr_pool_t *pool;
	apr_thread_mutex_t *mutex; /* protects current_second to suppressed */
	kf_eventlog_t *log;
	uint32_t limit_per_s;	/* decision lines */
	int64_t current_second; /* of the wall clock */
	uint32_t logged_this_second;
	uint64_t suppressed; /* since the last line that was written */
};

kf_logger_t *
kf_logger_new(const kf_settings_t *settings)
{
	kf_logger_t *logger;

	logger = calloc(1, sizeof(*logger));
	if (logger == NULL)
		return NULL;
	logger->limit_per_s = settings->decisions_per_s;
	logger->log = kf_eventlog_new(
	    settings->name, settings->log_level, settings->log_file);
	if (logger->log == NULL ||
	    apr_pool_create(&logger->pool, NULL) != APR_SUCCESS ||
	    apr_thread_mutex_create(&logger->mutex, APR_THREAD_MUTEX_DEFAULT,
		logger->pool) != APR_SUCCESS) {
		kf_logger_delete(logger);
		return NULL;
	}
	return logger;
}

void
kf_logger_delete(kf_logger_t *logger)
{
	if (logger == NULL)
		return;
	kf_eventlog_delete(logger->log);
	if (logger->pool != NULL)
		apr_pool_destroy(logger->pool);
	free(logger);
}

void
kf_logger_event(kf_logger_t *logger, kf_log_level_t level, const char *event,
    const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	kf_eventlog_writev(logger->log, level, event, fmt, ap);
	va_end(ap);
}

/*
 * Returns whether the rate limit allows a decision line now.  If so, sets
 * *suppressed to the number of lines suppressed since the last one.
 */
static bool
decision_line_allowed(kf_logger_t *logger, kf_time_t now, uint64_t *suppressed)
{
	bool allowed;

	apr_thread_mutex_lock(logger->mutex);
	if (logger->current_second != now.wall_ms / 1000) {
		logger->current_second = now.wall_ms / 1000;
		logger->logged_this_second = 0;
	}
	allowed = logger->logged_this_second < logger->limit_per_s;
	if (allowed) {
		logger->logged_this_second++;
		*suppressed = logger->suppressed;
		logger->suppressed = 0;
	} else
		logger->suppressed++;
	apr_thread_mutex_unlock(logger->mutex);
	return allowed;
}

/* Appends " key=value" unless value is NULL or the line is full. */
static void
append_text(char *line, size_t *len, const char *key, const char *value)
{
	int n;

	if (value == NULL || *len >= LINE_BYTES)
		return;
	n = snprintf(line + *len, LINE_BYTES - *len, " %s=%s", key, value);
	if (n > 0)
		*len += (size_t)n;
}

uint64_t
kf_logger_decision(kf_logger_t *logger, kf_time_t now, const kf_decision_t *d)
{
	char line[LINE_BYTES], caller[KF_ADDR_TEXT_BYTES];
	uint64_t suppressed = 0;
	size_t len = 0;

	if (!kf_eventlog_enabled(logger->log, KF_LOG_INFO))
		return 0;
	if (!decision_line_allowed(logger, now, &suppressed))
		return 1;
	line[0] = '\0';
	append_text(line, &len, "service", d->service);
	append_text(line, &len, "selector", d->selector);
	append_text(line, &len, "upstream", d->upstream);
	append_text(line, &len, "to_vm", d->vm);
	append_text(line, &len, "reason",
	    d->reason == KF_REASON_NONE ? NULL : kf_reason_name(d->reason));
	if (suppressed > 0)
		kf_logger_event(logger, KF_LOG_INFO, "suppressed", "lines=%llu",
		    (unsigned long long)suppressed);
	kf_logger_event(logger, KF_LOG_INFO, kf_event_name(d->event),
	    "caller=%s flow=%016llx xid=%u proc=%u revision=%u%s",
	    kf_addr_format(d->caller, caller), (unsigned long long)d->flow,
	    d->xid, d->proc, d->revision, line);
	return 0;
}

void
kf_logger_control(kf_logger_t *logger, const kf_control_record_t *r)
{
	bool refused = r->event == KF_CONTROL_DOC_REFUSED;

	kf_logger_event(logger, refused ? KF_LOG_WARN : KF_LOG_INFO,
	    kf_control_event_name(r->event),
	    "subject=%s state=%s revision=%u version=%llu%s%s%s",
	    r->text == NULL ? "-" : r->text, r->state == NULL ? "-" : r->state,
	    r->revision, (unsigned long long)r->version,
	    r->reason == NULL ? "" : " reason=\"",
	    r->reason == NULL ? "" : r->reason, r->reason == NULL ? "" : "\"");
}
