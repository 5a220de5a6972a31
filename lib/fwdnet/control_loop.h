#ifndef KF_CONTROL_LOOP_H
#define KF_CONTROL_LOOP_H

#include "kf/forwarder_settings.h"

#include "forward_log.h"
#include "packet_thread.h"

/*
 * NAME
 *	control_loop - main loop of everything but packets
 *
 * DESCRIPTION
 *	Runs on the calling thread and handles the store, other VMs, the
 *	readiness check, metrics, settings and signals.  On SIGTERM the VM
 *	reports that it is not ready and keeps forwarding until packets stop
 *	coming or the grace period is nearly over.  SIGHUP or a change of the
 *	settings file rereads the settings.
 */

typedef struct control_loop control_loop_t;

/* Signals that the loop handles, for kf_signals_block; ends with 0. */
extern const int control_loop_signals[];

control_loop_t *control_loop_new(const char *settings_path,
    const kf_overrides_t *overrides, const kf_forwarder_settings_t *settings,
    packet_thread_t *packets, forward_log_t *forward_log, kf_eventlog_t *log);
void control_loop_delete(control_loop_t *loop);

/*
 * Runs the loop until the process is to exit.  The packet thread is started
 * when the first configuration is known.
 */
kf_status_t control_loop_run(control_loop_t *loop);

#endif
