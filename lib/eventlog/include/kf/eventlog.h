#ifndef KF_EVENTLOG_H
#define KF_EVENTLOG_H

#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>

#include "kf/status.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_eventlog - log of events as key=value pairs
 *
 * DESCRIPTION
 *	Writes one line for each event to standard output, standard error or a
 *	file.  A line for which a pipe has no room is dropped; a log_dropped
 *	line reports the number before the next line that is written.  Control
 *	characters in values show as "?".  Any thread may write.
 */

typedef enum kf_log_level {
	KF_LOG_ERROR = 0,
	KF_LOG_WARN,
	KF_LOG_INFO,
	KF_LOG_DEBUG,
} kf_log_level_t;

/* Names indexed by level; ends with NULL. */
extern const char *const kf_log_levels[];

typedef struct kf_eventlog kf_eventlog_t;

/* Opens the log of a VM; file is a path, "stdout" or "stderr". */
kf_eventlog_t *kf_eventlog_new(
    const char *vm, kf_log_level_t level, const char *file);
void kf_eventlog_delete(kf_eventlog_t *log);

/* Returns whether lines of this level are written. */
bool kf_eventlog_enabled(const kf_eventlog_t *log, kf_log_level_t level);

/* Writes "ts=... vm=... event=..." followed by the formatted pairs. */
void kf_eventlog_write(kf_eventlog_t *log, kf_log_level_t level,
    const char *event, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));
void kf_eventlog_writev(kf_eventlog_t *log, kf_log_level_t level,
    const char *event, const char *fmt, va_list ap)
    __attribute__((format(printf, 4, 0)));

/* Returns the number of lines dropped so far. */
uint64_t kf_eventlog_dropped(const kf_eventlog_t *log);

#ifdef __cplusplus
}
#endif

#endif
