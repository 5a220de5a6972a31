#ifndef KF_PROGRAM_H
#define KF_PROGRAM_H

#include "kf/settings_table.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_program_main - command line of a daemon
 *
 * DESCRIPTION
 *	Parses --config, --set and --check, loads the settings and runs the
 *daemon. Returns the exit status: 0 on success, 1 if the daemon could not run,
 *	2 if the settings were refused.  Exits with 2 on wrong usage.
 */

typedef struct kf_program {
	const char *name;
	const char *doc; /* summary line of --help */
	/* Returns the settings, or NULL after reporting every error. */
	void *(*load)(const char *path, const kf_overrides_t *overrides,
	    kf_error_fn *on_error, void *ctx);
	kf_status_t (*run)(const char *path, const kf_overrides_t *overrides,
	    const void *settings);
	void (*unload)(void *settings);
} kf_program_t;

int kf_program_main(const kf_program_t *program, int argc, char **argv);

#ifdef __cplusplus
}
#endif

#endif
