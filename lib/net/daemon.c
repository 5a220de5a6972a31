#include <apr_general.h>

#include <curl/curl.h>

#include "kf/clock.h"
#include "kf/daemon.h"
#include "kf/signals.h"

#include "control_thread.h"

/*
 * Runs the threads as a new incarnation, greater than *known_incarnation, until
 * they stop.  Then sets *known_incarnation to the incarnation that the next run
 * must exceed, or to 0 if the process is to exit.
 */
static kf_status_t
run_incarnation(const kf_settings_t *settings, kf_logger_t *logger,
    uint64_t *known_incarnation)
{
	traffic_thread_t *traffic[KF_SETTINGS_MAX_THREADS] = { 0 };
	kf_vm_id_t self = {
		.vm = settings->vm_id,
		.incarnation = (uint64_t)kf_clock_now().wall_ms,
	};
	control_thread_t *control = NULL;
	kf_status_t status = KF_OK;
	uint32_t i;

	/* Peers ignore a VM whose incarnation is lower than one they know. */
	if (self.incarnation <= *known_incarnation)
		self.incarnation = *known_incarnation + 1;
	*known_incarnation = 0;
	for (i = 0; i < settings->traffic_threads; i++) {
		traffic[i] = traffic_thread_new(settings, self, i, logger);
		if (traffic[i] == NULL)
			status = KF_ERR_IO;
	}
	if (status == KF_OK)
		control = control_thread_new(
		    settings, self, traffic, settings->traffic_threads, logger);
	for (i = 0; control != NULL && i < settings->traffic_threads; i++)
		status = traffic_thread_start(traffic[i]);
	if (control == NULL)
		status = KF_ERR_IO;
	if (status == KF_OK) {
		kf_logger_event(logger, KF_LOG_INFO, "started",
		    "incarnation=%llu shards=%u",
		    (unsigned long long)self.incarnation,
		    settings->traffic_threads);
		*known_incarnation = control_thread_run(control);
	} else
		kf_logger_event(logger, KF_LOG_ERROR, "start_failed",
		    "reason=\"%s\"", kf_status_message());
	for (i = 0; i < settings->traffic_threads; i++)
		traffic_thread_delete(traffic[i]);
	control_thread_delete(control);
	return status;
}

kf_status_t
kf_daemon_run(const kf_settings_t *settings)
{
	kf_logger_t *logger;
	kf_status_t status;
	uint64_t known_incarnation = 0;

	kf_signals_block(control_thread_signals);
	if (apr_initialize() != APR_SUCCESS)
		return kf_status_set(KF_ERR_IO, "cannot initialise APR");
	curl_global_init(CURL_GLOBAL_DEFAULT);
	logger = kf_logger_new(settings);
	if (logger == NULL)
		return KF_ERR_IO;
	do {
		status = run_incarnation(settings, logger, &known_incarnation);
	} while (status == KF_OK && known_incarnation != 0);
	kf_logger_event(logger, KF_LOG_INFO, "stopped", "status=%s",
	    kf_status_name(status));
	kf_logger_delete(logger);
	curl_global_cleanup();
	apr_terminate();
	return status;
}
