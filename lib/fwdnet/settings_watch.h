#ifndef KF_SETTINGS_WATCH_H
#define KF_SETTINGS_WATCH_H

#include "kf/eventlog.h"
#include "kf/forwarder_settings.h"

/*
 * NAME
 *	settings_watch - rereads the settings file of a running process
 *
 * DESCRIPTION
 *	Detects a change of the file by its text.  If the new file has an
 *	error, the settings in use stay.  If settings have changed that are
 *	read only at start-up, the log says that a restart is needed.
 */

typedef struct settings_watch {
	const char *path;
	const kf_overrides_t *overrides;
	kf_eventlog_t *log;
	kf_forwarder_settings_t settings; /* in use */
	char *text; /* contents of the file when last read */
} settings_watch_t;

void settings_watch_init(settings_watch_t *watch, const char *path,
    const kf_overrides_t *overrides, const kf_forwarder_settings_t *settings,
    kf_eventlog_t *log);
void settings_watch_free(settings_watch_t *watch);

/* Reads the file; returns true if it has changed and was applied. */
bool settings_watch_check(settings_watch_t *watch);

#endif
