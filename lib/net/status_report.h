#ifndef KF_STATUS_REPORT_H
#define KF_STATUS_REPORT_H

#include "kf/control.h"
#include "kf/settings.h"
#include "control_prog.h"

#include "traffic_thread.h"

/*
 * NAME
 *	status_report - what a balancer tells operators
 *
 * DESCRIPTION
 *	The strings and arrays come from one APR pool, which the caller
 *	clears after use.
 */

/* Totals over the threads of a process. */
typedef struct status_sum {
	kf_counters_t counters;
	uint32_t requests_in_progress;
	uint32_t flows;
	uint64_t flow_bytes;
} status_sum_t;

/* Adds the state of all threads to a sum that starts at zero. */
void status_report_sum(status_sum_t *sum, const kf_control_t *control,
    traffic_thread_t **traffic, uint32_t traffic_count);

void status_report_fill(kf_rpc_status *status, apr_pool_t *pool,
    const kf_settings_t *settings, kf_time_t now, const kf_control_t *control,
    const status_sum_t *sum);

#endif
