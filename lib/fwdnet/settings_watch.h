#ifndef KF_SETTINGS_WATCH_H
#define KF_SETTINGS_WATCH_H

#include "kf/eventlog.h"
#include "kf/forwarder_settings.h"

/*
 * NAME
 *	settings_watch - the settings file of a running process
 *
 * DESCRIPTION
 *	The file may change with and without a signal.  A file with an error
 *	changes nothing; settings that are taken at the start only are logged
 *	as needing a restart.
 */

typedef struct settings_watch {
	const char *path;
	kf_eventlog_t *log;
	kf_forwarder_settings_t settings; /* in force */
	char *text;			  /* of the file when last read */
} settings_watch_t;

void settings_watch_init(settings_watch_t *watch, const char *path,
    const kf_forwarder_settings_t *settings, kf_eventlog_t *log);
void settings_watch_free(settings_watch_t *watch);

/* Reads the file; returns true if settings have been taken from it. */
bool settings_watch_check(settings_watch_t *watch);

#endif
