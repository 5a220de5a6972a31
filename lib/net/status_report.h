#ifndef KF_STATUS_REPORT_H
#define KF_STATUS_REPORT_H

#include "kf/control.h"
#include "kf/settings.h"
#include "control_prog.h"

#include "traffic_thread.h"

/*
 * NAME
 *	status_report - status of a balancer for operators
 *
 * DESCRIPTION
 *	Fills the status reply of the RPC server.  Its strings and arrays are
 *	allocated from the pool, which the caller clears after use.
 */

/* Totals over all threads of the process. */
typedef struct status_totals {
	kf_counters_t counters;
	uint32_t requests_in_progress;
	uint32_t flows;
	uint64_t flow_bytes;
} status_totals_t;

/* Adds the counters and state of all threads to totals, initially zero. */
void status_report_add_totals(status_totals_t *totals,
    const kf_control_t *control, traffic_thread_t **traffic,
    uint32_t traffic_count);

void status_report_fill(kf_rpc_status *status, apr_pool_t *pool,
    const kf_settings_t *settings, kf_time_t now, const kf_control_t *control,
    const status_totals_t *totals);

#endif
