#include <apr_general.h>

#include "kf/forwarder_daemon.h"
#include "kf/signals.h"

#include "control_loop.h"

static kf_status_t
run_threads(const char *path, const kf_overrides_t *overrides,
    const kf_forwarder_settings_t *settings, kf_eventlog_t *log,
    apr_pool_t *pool)
{
	kf_status_t status = KF_ERR_IO;
	control_loop_t *loop = NULL;
	packet_thread_t *packets;
	forward_log_t forward_log;

	forward_log_init(
	    &forward_log, log, settings->decisions_per_s, settings->sample);
	packets = packet_thread_new(settings->packet_address,
	    kf_name_key(settings->zone), &forward_log, pool);
	if (packets != NULL)
		loop = control_loop_new(
		    path, overrides, settings, packets, &forward_log, log);
	if (loop != NULL) {
		kf_eventlog_write(
		    log, KF_LOG_INFO, "started", "zone=%s", settings->zone);
		status = control_loop_run(loop);
		packet_thread_stop(packets);
		kf_eventlog_write(log, KF_LOG_INFO, "stopped", "%s", "");
	}
	control_loop_delete(loop);
	packet_thread_delete(packets);
	return status;
}

kf_status_t
kf_forwarder_daemon_run(const char *path, const kf_overrides_t *overrides,
    const kf_forwarder_settings_t *settings)
{
	kf_eventlog_t *log;
	apr_pool_t *pool;
	kf_status_t status;

	kf_signals_block(control_loop_signals);
	if (apr_initialize() != APR_SUCCESS ||
	    apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return kf_status_set(KF_ERR_NO_MEMORY, "cannot initialize APR");
	log = kf_eventlog_new(
	    settings->name, settings->log_level, settings->log_file);
	if (log == NULL)
		return KF_ERR_IO;
	status = run_threads(path, overrides, settings, log, pool);
	if (status != KF_OK)
		kf_eventlog_write(log, KF_LOG_ERROR, "start_failed",
		    "reason=\"%s\"", kf_status_message());
	kf_eventlog_delete(log);
	apr_terminate();
	return status;
}
