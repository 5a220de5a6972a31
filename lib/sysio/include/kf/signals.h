#ifndef KF_SIGNALS_H
#define KF_SIGNALS_H

#include "kf/status.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_signals - signals read from a descriptor
 *
 * DESCRIPTION
 *	Lists of signals end with 0.  Block the signals before any thread is
 *	started; otherwise they are delivered to a thread that does not block
 *	them.
 */

/* Blocks signals and SIGPIPE in this thread and in those it starts later. */
void kf_signals_block(const int *signals);

/* Opens a non-blocking signalfd, which yields struct signalfd_siginfo. */
kf_status_t kf_signals_open(const int *signals, int *fd);

#ifdef __cplusplus
}
#endif

#endif
