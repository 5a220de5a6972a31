#ifndef KF_CONTROL_THREAD_H
#define KF_CONTROL_THREAD_H

#include "kf/control.h"
#include "kf/logger.h"
#include "kf/settings.h"

#include "traffic_thread.h"

/*
 * NAME
 *	control_thread - sockets, clock and RPC server of the control core
 *
 * DESCRIPTION
 *	Runs on the calling thread until a signal ends it.  SIGTERM and
 *	SIGINT make the VM leave: it stops when no request is in progress.
 *	A VM that a backup has fenced, or that peers take for an older process
 *	than one they know, leaves in the same way and starts over.
 */

typedef struct control_thread control_thread_t;

/* What the thread reads, for kf_signals_block. */
extern const int control_thread_signals[];

control_thread_t *control_thread_new(const kf_settings_t *settings,
    kf_vm_id_t self, traffic_thread_t **traffic, uint32_t traffic_count,
    kf_logger_t *logger);
/*
 * Returns 0 if the process is to end, or the incarnation above which it is to
 * start over.
 */
uint64_t control_thread_run(control_thread_t *thread);
void control_thread_delete(control_thread_t *thread);

#endif
