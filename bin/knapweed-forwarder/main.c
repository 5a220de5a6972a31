#include <stdlib.h>

#include "kf/forwarder_daemon.h"
#include "kf/program.h"

const char *argp_program_version = "knapweed-forwarder 0.1.0";

static void *
load(const char *path, const kf_overrides_t *overrides, kf_error_fn *on_error,
    void *ctx)
{
	kf_forwarder_settings_t *settings;

	settings = calloc(1, sizeof(*settings));
	if (settings == NULL) {
		on_error(ctx, path, 0, "out of memory");
		return NULL;
	}
	if (kf_settings_table_load(&kf_forwarder_settings_table, path,
		overrides, on_error, ctx, settings) == KF_OK)
		return settings;
	free(settings);
	return NULL;
}

static kf_status_t
run(const char *path, const kf_overrides_t *overrides, const void *settings)
{
	return kf_forwarder_daemon_run(path, overrides, settings);
}

int
main(int argc, char **argv)
{
	static const kf_program_t program = {
		.name = "knapweed-forwarder",
		.doc = "Forwards packets of clients' flows to upstreams.",
		.load = load,
		.run = run,
		.unload = free,
	};

	return kf_program_main(&program, argc, argv);
}
