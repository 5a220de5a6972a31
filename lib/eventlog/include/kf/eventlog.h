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
 *	kf_eventlog - one line of key=value pairs for each event
 *
 * DESCRIPTION
 *	Writes to standard output, standard error or a file.  A line that the
 *	reader of a pipe has no room for is dropped; the next line that gets
 *	through tells how many were.  Any thread may write.
 */

typedef enum kf_log_level {
	KF_LOG_ERROR = 0,
	KF_LOG_WARN,
	KF_LOG_INFO,
	KF_LOG_DEBUG,
} kf_log_level_t;

/* Names by level, NULL at the end. */
extern const char *const kf_log_levels[];

typedef struct kf_eventlog kf_eventlog_t;

/* file: a path, "stdout" or "stderr". */
kf_eventlog_t *kf_eventlog_new(
    const char *vm, kf_log_level_t level, const char *file);
void kf_eventlog_delete(kf_eventlog_t *log);

bool kf_eventlog_enabled(const kf_eventlog_t *log, kf_log_level_t level);

/* Writes "ts=... vm=... event=..." followed by the formatted pairs. */
void kf_eventlog_write(kf_eventlog_t *log, kf_log_level_t level,
    const char *event, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));
void kf_eventlog_writev(kf_eventlog_t *log, kf_log_level_t level,
    const char *event, const char *fmt, va_list ap)
    __attribute__((format(printf, 4, 0)));

/* Lines dropped so far. */
uint64_t kf_eventlog_dropped(const kf_eventlog_t *log);

#ifdef __cplusplus
}
#endif

#endif
