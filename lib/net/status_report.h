#ifndef KF_STATUS_REPORT_H
#define KF_STATUS_REPORT_H

#include "kf/control.h"
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

void status_report_fill(kf_rpc_status *status, apr_pool_t *pool,
    const char *name, kf_time_t now, const kf_control_t *control,
    traffic_thread_t **traffic, uint32_t traffic_count);

#endif
