#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "platform.h"

enum {
	OPT_LISTEN = 'l',
	OPT_CONTROL = 'c',
	OPT_DIR = 'd',
	OPT_FILE = 256,
	OPT_FIRST_VERSION,
};

static const struct argp_option option_table[] = {
	{ "listen", OPT_LISTEN, "ADDRESS", 0, "HTTP address", 0 },
	{ "control", OPT_CONTROL, "ADDRESS", 0, "Control port", 0 },
	{ "dir", OPT_DIR, "DIR", 0,
	    "Directory with declaration.ini, keys.ini and vms.ini", 0 },
	{ "file", OPT_FILE, "KIND=PATH", 0,
	    "File of one kind of document (repeatable)", 0 },
	{ "first-version", OPT_FIRST_VERSION, "N", 0,
	    "Version of the first documents (start time in ms)", 0 },
	{ 0 },
};

static kf_status_t
set_file(kf_platform_options_t *o, const char *arg)
{
	const char *path;
	int kind;

	path = strchr(arg, '=');
	if (path == NULL)
		return kf_status_set(
		    KF_ERR_INVALID, "'%s' is not KIND=PATH", arg);
	kind = kf_platform_kind(arg, (size_t)(path - arg));
	if (kind < 0)
		return kf_status_set(
		    KF_ERR_INVALID, "unknown kind of document '%s'", arg);
	o->files[kind] = path + 1;
	return KF_OK;
}

static kf_status_t
set_option(kf_platform_options_t *o, int key, const char *arg)
{
	switch (key) {
	case OPT_LISTEN:
		return kf_sim_addr_parse(arg, &o->listen);
	case OPT_CONTROL:
		return kf_sim_addr_parse(arg, &o->control);
	case OPT_DIR:
		o->dir = arg;
		return KF_OK;
	case OPT_FILE:
		return set_file(o, arg);
	case OPT_FIRST_VERSION:
		return kf_sim_parse_u64(
		    arg, UINT64_MAX / 16, &o->first_version);
	default:
		return KF_ERR_UNSUPPORTED;
	}
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	kf_platform_options_t *o = state->input;
	kf_status_t status;

	if (key == ARGP_KEY_END && o->listen.port == 0)
		argp_error(state, "--listen is required");
	if (arg == NULL)
		return ARGP_ERR_UNKNOWN;
	status = set_option(o, key, arg);
	return kf_sim_argp_result(state, status);
}

static int
run(const kf_platform_options_t *options)
{
	kf_platform_t *platform;
	kf_sim_loop_t *loop;

	loop = kf_sim_loop_new();
	platform = loop == NULL ? NULL : kf_platform_new(loop, options);
	if (platform == NULL) {
		fprintf(stderr, "standin-platform: %s\n", kf_status_message());
		kf_sim_loop_delete(loop);
		return 1;
	}
	printf("event=ready\n");
	kf_sim_loop_run(loop);
	printf("event=summary ");
	kf_platform_print(platform, stdout);
	printf("\n");
	kf_platform_delete(platform);
	kf_sim_loop_delete(loop);
	return 0;
}

int
main(int argc, char **argv)
{
	static const struct argp argp = { .options = option_table,
		.parser = parse_option,
		.doc = "Serves documents over HTTP as the configuration "
		       "service does, on loopback addresses only." };
	kf_platform_options_t options = { 0 };

	/* The start time keeps versions increasing across restarts. */
	options.first_version = (uint64_t)kf_sim_wall_ms();
	setvbuf(stdout, NULL, _IOLBF, 0);
	argp_parse(&argp, argc, argv, ARGP_NO_ARGS, NULL, &options);
	return run(&options);
}
