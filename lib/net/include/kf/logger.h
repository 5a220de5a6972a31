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
 *	kf_logger - event and decision log of the balancer
 *
 * DESCRIPTION
 *	Writes one line of key=value pairs for each event, through log4c, to
 *	standard output, standard error or a file.  The number of decision
 *	lines per second is limited, so that a flood of requests can neither
 *	fill the disk nor use up the CPU; suppressed lines are counted.  All
 *	functions but new and delete may be called from any thread.
 */

typedef struct kf_logger kf_logger_t;

kf_logger_t *kf_logger_new(const kf_settings_t *settings);
void kf_logger_delete(kf_logger_t *logger);

/* Writes "ts=... vm=... event=..." followed by the formatted pairs. */
void kf_logger_event(kf_logger_t *logger, kf_log_level_t level,
    const char *event, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/* Logs a decision; returns 1 if the rate limit suppressed the line, else 0. */
uint64_t kf_logger_decision(
    kf_logger_t *logger, kf_time_t now, const kf_decision_t *decision);

/* Logs an event of the control core. */
void kf_logger_control(kf_logger_t *logger, const kf_control_record_t *record);

#ifdef __cplusplus
}
#endif

#endif
