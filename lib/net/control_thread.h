#ifndef KF_CONTROL_THREAD_H
#define KF_CONTROL_THREAD_H

#include "kf/control.h"
#include "kf/logger.h"
#include "kf/settings.h"

#include "traffic_thread.h"

/*
 * NAME
 *	control_thread - event loop of the control core
 *
 * DESCRIPTION
 *	Owns the sockets, the clock and the RPC server of the control core and
 *	runs on the calling thread.  On SIGTERM or SIGINT the VM leaves: it
 *	stops once no request has been in progress for a while, or after a
 *	time limit.  A VM that a backup has fenced, or of which peers know a
 *	newer incarnation, leaves in the same way and restarts as a new
 *	incarnation.
 */

typedef struct control_thread control_thread_t;

/* Signals that the thread handles, ends with 0; for kf_signals_block. */
extern const int control_thread_signals[];

control_thread_t *control_thread_new(const kf_settings_t *settings,
    kf_vm_id_t self, traffic_thread_t **traffic, uint32_t traffic_count,
    kf_logger_t *logger);
/*
 * Returns 0 if the process is to exit, or the incarnation that the next run in
 * this process must exceed.
 */
uint64_t control_thread_run(control_thread_t *thread);
void control_thread_delete(control_thread_t *thread);

#endif
