#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "kf/program.h"

enum {
	EXIT_RUN_FAILED = 1,	   /* the process could not run */
	EXIT_SETTINGS_REFUSED = 2, /* the settings were refused */
};

typedef struct arguments {
	const char *config;
	kf_overrides_t overrides;
	int check_only;
} arguments_t;

static const struct argp_option options[] = {
	{ "config", 'c', "FILE", 0, "settings of this process (required)", 0 },
	{ "set", 's', "SECTION.KEY=VALUE", 0,
	    "use this value and not that of the settings file; an empty VALUE "
	    "changes nothing",
	    0 },
	{ "check", 'n', NULL, 0, "check the settings and exit", 0 },
	{ 0 },
};

static void
add_override(
    kf_overrides_t *overrides, const char *text, struct argp_state *state)
{
	if (overrides->count == KF_MAX_OVERRIDES)
		argp_error(state, "--set is given more than %d times",
		    KF_MAX_OVERRIDES);
	else
		overrides->texts[overrides->count++] = text;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	arguments_t *arguments = state->input;

	switch (key) {
	case 'c':
		arguments->config = arg;
		return 0;
	case 's':
		add_override(&arguments->overrides, arg, state);
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

static void
print_error(void *ctx, const char *file, int line, const char *text)
{
	(void)ctx;
	fprintf(stderr, "%s:%d: %s\n", file, line, text);
}

int
kf_program_main(const kf_program_t *program, int argc, char **argv)
{
	const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.doc = program->doc,
	};
	arguments_t arguments = { 0 };
	kf_status_t status = KF_OK;
	void *settings;

	argp_err_exit_status = EXIT_SETTINGS_REFUSED;
	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	settings = program->load(
	    arguments.config, &arguments.overrides, print_error, NULL);
	if (settings == NULL)
		return EXIT_SETTINGS_REFUSED;
	if (!arguments.check_only)
		status = program->run(
		    arguments.config, &arguments.overrides, settings);
	if (status != KF_OK)
		fprintf(stderr, "%s: %s\n", program->name, kf_status_message());
	program->unload(settings);
	return status == KF_OK ? EXIT_SUCCESS : EXIT_RUN_FAILED;
}
