#ifndef KF_CONTROL_LOOP_H
#define KF_CONTROL_LOOP_H

#include "kf/forwarder_settings.h"

#include "forward_log.h"
#include "packet_thread.h"

/*
 * NAME
 *	control_loop - everything of the process but packets
 *
 * DESCRIPTION
 *	Runs on the calling thread: the store, other VMs, readiness, metrics,
 *	settings and signals.  SIGTERM takes the VM out of rotation; it goes on
 *	forwarding until shortly before the process would be killed.  SIGHUP,
 *	or a changed settings file, reads the settings again.
 */

typedef struct control_loop control_loop_t;

/* What the loop reads, for kf_signals_block. */
extern const int control_loop_signals[];

control_loop_t *control_loop_new(const char *settings_path,
    const kf_forwarder_settings_t *settings, packet_thread_t *packets,
    forward_log_t *forward_log, kf_eventlog_t *log);
void control_loop_delete(control_loop_t *loop);

/*
 * Starts the packet thread with the first configuration and returns when the
 * process is to end.
 */
kf_status_t control_loop_run(control_loop_t *loop);

#endif
