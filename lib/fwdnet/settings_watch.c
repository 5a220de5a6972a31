#include <stdlib.h>
#include <string.h>

#include "kf/file.h"

#include "settings_watch.h"

void
settings_watch_init(settings_watch_t *w, const char *path,
    const kf_overrides_t *overrides, const kf_forwarder_settings_t *settings,
    kf_eventlog_t *log)
{
	*w = (settings_watch_t){
		.path = path,
		.overrides = overrides,
		.log = log,
		.settings = *settings,
	};
}

void
settings_watch_free(settings_watch_t *w)
{
	free(w->text);
}

static void
on_error(void *ctx, const char *file, int line, const char *text)
{
	settings_watch_t *w = ctx;

	kf_eventlog_write(w->log, KF_LOG_ERROR, "settings_error",
	    "file=%s line=%d reason=\"%s\"", file, line, text);
}

/*
 * Returns true if settings differ that need a restart: the sockets and the log
 * are opened only at start-up.
 */
static bool
needs_restart(
    const kf_forwarder_settings_t *a, const kf_forwarder_settings_t *b)
{
	return !kf_addr_equal(a->packet_address, b->packet_address) ||
	    !kf_addr_equal(a->ready_address, b->ready_address) ||
	    !kf_addr_equal(a->peer_address, b->peer_address) ||
	    strcmp(a->zone, b->zone) != 0 || a->log_level != b->log_level ||
	    a->decisions_per_s != b->decisions_per_s ||
	    a->dead_after_ms != b->dead_after_ms || a->sample != b->sample ||
	    strcmp(a->log_file, b->log_file) != 0;
}

static bool
apply_settings(settings_watch_t *w, const char *text, size_t len)
{
	kf_forwarder_settings_t read = { 0 };
	bool restart;

	if (kf_settings_table_parse(&kf_forwarder_settings_table, w->path, text,
		len, on_error, w, &read) != KF_OK ||
	    kf_settings_table_override(&kf_forwarder_settings_table,
		w->overrides, on_error, w, &read) != KF_OK) {
		kf_eventlog_write(w->log, KF_LOG_ERROR, "reload",
		    "outcome=refused reason=\"%s\"", kf_status_message());
		return false;
	}
	restart = needs_restart(&w->settings, &read);
	w->settings.store_address = read.store_address;
	memcpy(w->settings.seeds, read.seeds, sizeof(read.seeds));
	w->settings.seed_count = read.seed_count;
	w->settings.grace_ms = read.grace_ms;
	w->settings.drain_bound_ms = read.drain_bound_ms;
	w->settings.apply_bound_ms = read.apply_bound_ms;
	w->settings.evacuate_bound_ms = read.evacuate_bound_ms;
	w->settings.stability_ms = read.stability_ms;
	w->settings.zone_balance = read.zone_balance;
	w->settings.last_resort = read.last_resort;
	w->settings.transfer_us_per_kb = read.transfer_us_per_kb;
	w->settings.cold_excess = read.cold_excess;
	w->settings.cold_slack = read.cold_slack;
	memcpy(
	    w->settings.ready_path, read.ready_path, sizeof(read.ready_path));
	kf_eventlog_write(w->log, restart ? KF_LOG_WARN : KF_LOG_INFO, "reload",
	    "outcome=%s seeds=%u grace_ms=%lld",
	    restart ? "partial_needs_restart" : "taken", read.seed_count,
	    (long long)read.grace_ms);
	return true;
}

bool
settings_watch_check(settings_watch_t *w)
{
	bool taken = false;
	char *text;
	size_t len;

	if (kf_file_read(w->path, KF_DOCUMENT_MAX_BYTES, &text, &len) !=
	    KF_OK) {
		kf_eventlog_write(w->log, KF_LOG_WARN, "reload",
		    "outcome=unreadable reason=\"%s\"", kf_status_message());
		return false;
	}
	if (w->text != NULL && strcmp(text, w->text) != 0)
		taken = apply_settings(w, text, len);
	free(w->text);
	w->text = text;
	return taken;
}
