#ifndef KF_SIGNALS_H
#define KF_SIGNALS_H

#include "kf/status.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_signals - signals that one thread reads from a descriptor
 *
 * DESCRIPTION
 *	Lists of signals end with 0.  They are blocked before threads are
 *	started, so that no other thread takes them.
 */

/* Blocks signals, and SIGPIPE, in this thread and those it starts. */
void kf_signals_block(const int *signals);

/* Opens a non-blocking descriptor of struct signalfd_siginfo. */
kf_status_t kf_signals_open(const int *signals, int *fd);

#ifdef __cplusplus
}
#endif

#endif
