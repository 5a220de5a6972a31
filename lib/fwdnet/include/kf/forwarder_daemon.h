#ifndef KF_FORWARDER_DAEMON_H
#define KF_FORWARDER_DAEMON_H

#include "kf/forwarder_settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_forwarder_daemon - main function of the packet forwarder
 *
 * DESCRIPTION
 *	Opens the sockets, starts the packet thread and runs the control loop
 *	on the calling thread until SIGTERM or SIGINT has led to a graceful
 *	shutdown.
 */

/* overrides apply again when the settings file has changed. */
kf_status_t kf_forwarder_daemon_run(const char *settings_path,
    const kf_overrides_t *overrides, const kf_forwarder_settings_t *settings);

#ifdef __cplusplus
}
#endif

#endif
