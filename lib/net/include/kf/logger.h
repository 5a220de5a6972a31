#ifndef KF_LOGGER_H
#define KF_LOGGER_H

#include "kf/control.h"
#include "kf/settings.h"
#include "kf/traffic.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_logger - one line of key=value pairs for each event
 *
 * DESCRIPTION
 *	Writes through log4c to standard error or a file.  Decision lines are
 *	limited to a number a second, so that a flood cannot fill the disk or
 *	the processor; suppressed lines are counted.  Any thread may log.
 */

typedef struct kf_logger kf_logger_t;

kf_logger_t *kf_logger_new(const kf_settings_t *settings);
void kf_logger_delete(kf_logger_t *logger);

/* Writes "ts=... vm=... event=..." followed by the formatted pairs. */
void kf_logger_event(kf_logger_t *logger, kf_log_level_t level,
    const char *event, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/* Returns 1 if the line was suppressed, else 0. */
uint64_t kf_logger_decision(
    kf_logger_t *logger, kf_time_t now, const kf_decision_t *decision);

void kf_logger_control(kf_logger_t *logger, const kf_control_record_t *record);

#ifdef __cplusplus
}
#endif

#endif
