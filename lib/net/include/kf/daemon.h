#ifndef KF_DAEMON_H
#define KF_DAEMON_H

#include "kf/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_daemon - the balancer process
 *
 * DESCRIPTION
 *	Opens the sockets, starts the traffic threads and runs the control
 *	thread on the calling thread.  Returns after the graceful stop that
 *	SIGTERM or SIGINT starts.
 */

kf_status_t kf_daemon_run(const kf_settings_t *settings);

#ifdef __cplusplus
}
#endif

#endif
