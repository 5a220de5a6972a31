#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "kf/daemon.h"

enum {
	EXIT_RUN = 1,	   /* the process could not run */
	EXIT_SETTINGS = 2, /* the settings were refused */
};

const char *argp_program_version = "knapweedd 0.1.0";

typedef struct arguments {
	const char *config;
	int check_only;
} arguments_t;

static const struct argp_option options[] = {
	{ "config", 'c', "FILE", 0, "settings of this process (required)", 0 },
	{ "check", 'n', NULL, 0, "check the settings and exit", 0 },
	{ 0 },
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	arguments_t *arguments = state->input;

	switch (key) {
	case 'c':
		arguments->config = arg;
		return 0;
	case 'n':
		arguments->check_only = 1;
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument '%s'", arg);
		return 0;
	case ARGP_KEY_END:
		if (arguments->config == NULL)
			argp_error(state, "--config is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.doc = "Balances ONC RPC over UDP between callers and upstreams.",
};

static void
print_error(void *ctx, const char *file, int line, const char *text)
{
	(void)ctx;
	fprintf(stderr, "%s:%d: %s\n", file, line, text);
}

int
main(int argc, char **argv)
{
	arguments_t arguments = { 0 };
	kf_settings_t *settings;
	kf_status_t status;

	argp_err_exit_status = EXIT_SETTINGS;
	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	settings = kf_settings_load(arguments.config, print_error, NULL);
	if (settings == NULL)
		return EXIT_SETTINGS;
	status = arguments.check_only ? KF_OK : kf_daemon_run(settings);
	if (status != KF_OK)
		fprintf(stderr, "knapweedd: %s\n", kf_status_message());
	kf_settings_delete(settings);
	return status == KF_OK ? EXIT_SUCCESS : EXIT_RUN;
}
