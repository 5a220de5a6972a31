#include "kf/daemon.h"
#include "kf/program.h"

const char *argp_program_version = "knapweedd 0.1.0";

static void *
load(const char *path, const kf_overrides_t *overrides, kf_error_fn *on_error,
    void *ctx)
{
	return kf_settings_load(path, overrides, on_error, ctx);
}

static kf_status_t
run(const char *path, const kf_overrides_t *overrides, const void *settings)
{
	(void)path;
	(void)overrides;
	return kf_daemon_run(settings);
}

static void
unload(void *settings)
{
	kf_settings_delete(settings);
}

int
main(int argc, char **argv)
{
	static const kf_program_t program = {
		.name = "knapweedd",
		.doc = "Balances ONC RPC over UDP between callers and "
		       "upstreams.",
		.load = load,
		.run = run,
		.unload = unload,
	};

	return kf_program_main(&program, argc, argv);
}
