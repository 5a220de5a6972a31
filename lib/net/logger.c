#include <log4c.h>

#include <apr_thread_mutex.h>

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kf/clock.h"
#include "kf/logger.h"

enum { LINE_BYTES = 1024 };

struct kf_logger {
	apr_pool_t *pool;
	apr_thread_mutex_t *mutex; /* log4c appenders are not thread-safe */
	log4c_category_t *category;
	FILE *file;
	kf_log_level_t level;
	char name[KF_NAME_BYTES];
	uint32_t limit_per_s;
	int64_t second;
	uint32_t logged;
	uint64_t suppressed;
};

/* The stream appenders of log4c put a prefix before each line. */
static int
appender_append(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	FILE *file = log4c_appender_get_udata(appender);

	if (fputs(event->evt_msg, file) == EOF || fflush(file) == EOF)
		return -1;
	return 0;
}

static const log4c_appender_type_t line_appender = {
	.name = "line",
	.append = appender_append,
};

static const int priorities[] = {
	[KF_LOG_ERROR] = LOG4C_PRIORITY_ERROR,
	[KF_LOG_WARN] = LOG4C_PRIORITY_WARN,
	[KF_LOG_INFO] = LOG4C_PRIORITY_INFO,
	[KF_LOG_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

static void
logger_open(kf_logger_t *logger, const kf_settings_t *settings)
{
	log4c_appender_t *appender;

	log4c_init();
	log4c_appender_type_set(&line_appender);
	appender = log4c_appender_get("knapweed");
	log4c_appender_set_type(appender, &line_appender);
	log4c_appender_set_udata(appender, logger->file);
	logger->category = log4c_category_get("knapweed");
	log4c_category_set_appender(logger->category, appender);
	log4c_category_set_additivity(logger->category, 0);
	log4c_category_set_priority(
	    logger->category, priorities[settings->log_level]);
}

kf_logger_t *
kf_logger_new(const kf_settings_t *settings)
{
	kf_logger_t *logger;

	logger = calloc(1, sizeof(*logger));
	if (logger == NULL)
		return NULL;
	memcpy(logger->name, settings->name, sizeof(logger->name));
	logger->level = settings->log_level;
	logger->limit_per_s = settings->decisions_per_s;
	logger->file = stderr;
	if (strcmp(settings->log_file, "stderr") != 0)
		logger->file = fopen(settings->log_file, "ae");
	if (logger->file == NULL) {
		kf_status_set(
		    KF_ERR_IO, "cannot open log file %s", settings->log_file);
		free(logger);
		return NULL;
	}
	if (apr_pool_create(&logger->pool, NULL) != APR_SUCCESS ||
	    apr_thread_mutex_create(&logger->mutex, APR_THREAD_MUTEX_DEFAULT,
		logger->pool) != APR_SUCCESS) {
		free(logger);
		return NULL;
	}
	logger_open(logger, settings);
	return logger;
}

void
kf_logger_delete(kf_logger_t *logger)
{
	if (logger == NULL)
		return;
	log4c_fini();
	apr_pool_destroy(logger->pool);
	free(logger);
}

static void
logger_write(kf_logger_t *logger, kf_log_level_t level, const char *line)
{
	apr_thread_mutex_lock(logger->mutex);
	log4c_category_log(logger->category, priorities[level], "%s\n", line);
	apr_thread_mutex_unlock(logger->mutex);
}

void
kf_logger_event(kf_logger_t *logger, kf_log_level_t level, const char *event,
    const char *fmt, ...)
{
	char line[LINE_BYTES], pairs[LINE_BYTES / 2];
	kf_time_t now = kf_clock_now();
	va_list ap;

	if (level > logger->level)
		return;
	va_start(ap, fmt);
	vsnprintf(pairs, sizeof(pairs), fmt, ap);
	va_end(ap);
	snprintf(line, sizeof(line), "ts=%lld.%03lld vm=%s event=%s%s%s",
	    (long long)(now.wall_ms / 1000), (long long)(now.wall_ms % 1000),
	    logger->name, event, pairs[0] == '\0' ? "" : " ", pairs);
	logger_write(logger, level, line);
}

/* Whether another decision line may be written in this second. */
static bool
logger_allowed(kf_logger_t *logger, kf_time_t now, uint64_t *suppressed)
{
	bool allowed;

	apr_thread_mutex_lock(logger->mutex);
	if (logger->second != now.wall_ms / 1000) {
		logger->second = now.wall_ms / 1000;
		logger->logged = 0;
	}
	allowed = logger->logged < logger->limit_per_s;
	if (allowed) {
		logger->logged++;
		*suppressed = logger->suppressed;
		logger->suppressed = 0;
	} else
		logger->suppressed++;
	apr_thread_mutex_unlock(logger->mutex);
	return allowed;
}

/* Appends " key=value" if there is a value. */
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

	if (logger->level < KF_LOG_INFO)
		return 0;
	if (!logger_allowed(logger, now, &suppressed))
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
