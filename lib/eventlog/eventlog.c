#include <log4c.h>

#include <apr_thread_mutex.h>

#include <ctype.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "kf/clock.h"
#include "kf/eventlog.h"

enum {
	LINE_BYTES = 1024, /* below PIPE_BUF, so that writes are atomic */
	NAME_BYTES = 64,
	FILE_MODE = 0644,
};

struct kf_eventlog {
	apr_pool_t *pool;
	apr_thread_mutex_t *mutex; /* log4c appenders are not thread-safe */
	log4c_category_t *category;
	int fd;
	kf_log_level_t level;
	char vm[NAME_BYTES];
	uint64_t dropped;
	uint64_t dropped_reported; /* part of dropped that was logged */
};

const char *const kf_log_levels[] = { "error", "warn", "info", "debug", NULL };

static const int priorities[] = {
	[KF_LOG_ERROR] = LOG4C_PRIORITY_ERROR,
	[KF_LOG_WARN] = LOG4C_PRIORITY_WARN,
	[KF_LOG_INFO] = LOG4C_PRIORITY_INFO,
	[KF_LOG_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

/* Does not block on a full pipe; returns whether the line was written. */
static bool
write_line(int fd, const char *line)
{
	struct pollfd writable = { .fd = fd, .events = POLLOUT };
	size_t len = strlen(line);

	return poll(&writable, 1, 0) == 1 &&
	    (writable.revents & POLLOUT) != 0 &&
	    write(fd, line, len) == (ssize_t)len;
}

/* Used because the stream appenders of log4c add a prefix to each line. */
static int
appender_append(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	kf_eventlog_t *log = log4c_appender_get_udata(appender);

	if (write_line(log->fd, event->evt_msg))
		return 0;
	__atomic_fetch_add(&log->dropped, 1, __ATOMIC_RELAXED);
	return -1;
}

static const log4c_appender_type_t line_appender = {
	.name = "line",
	.append = appender_append,
};

static void
eventlog_open_category(kf_eventlog_t *log)
{
	log4c_appender_t *appender;

	log4c_init();
	log4c_appender_type_set(&line_appender);
	appender = log4c_appender_get("knapweed");
	log4c_appender_set_type(appender, &line_appender);
	log4c_appender_set_udata(appender, log);
	log->category = log4c_category_get("knapweed");
	log4c_category_set_appender(log->category, appender);
	log4c_category_set_additivity(log->category, 0);
	log4c_category_set_priority(log->category, priorities[log->level]);
}

static int
open_file(const char *file)
{
	if (strcmp(file, "stdout") == 0)
		return STDOUT_FILENO;
	if (strcmp(file, "stderr") == 0)
		return STDERR_FILENO;
	return open(file, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, FILE_MODE);
}

kf_eventlog_t *
kf_eventlog_new(const char *vm, kf_log_level_t level, const char *file)
{
	kf_eventlog_t *log;

	log = calloc(1, sizeof(*log));
	if (log == NULL)
		return NULL;
	snprintf(log->vm, sizeof(log->vm), "%s", vm);
	log->level = level;
	log->fd = open_file(file);
	if (log->fd < 0) {
		kf_status_set(KF_ERR_IO, "cannot open log file %s", file);
		free(log);
		return NULL;
	}
	if (apr_pool_create(&log->pool, NULL) != APR_SUCCESS ||
	    apr_thread_mutex_create(&log->mutex, APR_THREAD_MUTEX_DEFAULT,
		log->pool) != APR_SUCCESS) {
		kf_status_set(KF_ERR_NO_MEMORY, "no memory for the log");
		free(log);
		return NULL;
	}
	eventlog_open_category(log);
	return log;
}

void
kf_eventlog_delete(kf_eventlog_t *log)
{
	if (log == NULL)
		return;
	log4c_fini();
	if (log->fd != STDOUT_FILENO && log->fd != STDERR_FILENO)
		close(log->fd);
	apr_pool_destroy(log->pool);
	free(log);
}

bool
kf_eventlog_enabled(const kf_eventlog_t *log, kf_log_level_t level)
{
	return level <= log->level;
}

/* Logs the number of lines dropped since the last report, if any. */
static void
report_dropped(kf_eventlog_t *log)
{
	uint64_t dropped = kf_eventlog_dropped(log);

	if (dropped == log->dropped_reported)
		return;
	log4c_category_log(log->category, priorities[KF_LOG_WARN],
	    "vm=%s event=log_dropped lines=%llu\n", log->vm,
	    (unsigned long long)(dropped - log->dropped_reported));
	if (kf_eventlog_dropped(log) == dropped)
		log->dropped_reported = dropped;
}

/* Keys and names of the store may have any bytes; a line break in one would
 * begin a line of its own. */
static void
replace_control_characters(char *text)
{
	for (; *text != '\0'; text++)
		if (iscntrl((unsigned char)*text))
			*text = '?';
}

void
kf_eventlog_writev(kf_eventlog_t *log, kf_log_level_t level, const char *event,
    const char *fmt, va_list ap)
{
	char line[LINE_BYTES], pairs[LINE_BYTES / 2];
	kf_time_t now;

	if (!kf_eventlog_enabled(log, level))
		return;
	now = kf_clock_now();
	vsnprintf(pairs, sizeof(pairs), fmt, ap);
	replace_control_characters(pairs);
	snprintf(line, sizeof(line), "ts=%lld.%03lld vm=%s event=%s%s%s",
	    (long long)(now.wall_ms / 1000), (long long)(now.wall_ms % 1000),
	    log->vm, event, pairs[0] == '\0' ? "" : " ", pairs);
	apr_thread_mutex_lock(log->mutex);
	report_dropped(log);
	log4c_category_log(log->category, priorities[level], "%s\n", line);
	apr_thread_mutex_unlock(log->mutex);
}

void
kf_eventlog_write(kf_eventlog_t *log, kf_log_level_t level, const char *event,
    const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	kf_eventlog_writev(log, level, event, fmt, ap);
	va_end(ap);
}

uint64_t
kf_eventlog_dropped(const kf_eventlog_t *log)
{
	return __atomic_load_n(&log->dropped, __ATOMIC_RELAXED);
}
