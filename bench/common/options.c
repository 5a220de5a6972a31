#include <argp.h>
#include <stdlib.h>

#include "kf/bench_options.h"

enum { OPTION_QUICK = 256, OPTION_CONF };

static const struct argp_option arguments[] = {
	{ "deployment", 'd', "NAME", 0, "kowhai or bengal", 0 },
	{ "seed", 's', "N", 0, "seed of all random choices", 0 },
	{ "quick", OPTION_QUICK, NULL, 0, "tiny sizes", 0 },
	{ "conf", OPTION_CONF, "DIR", 0, "directory of the deployments", 0 },
	{ 0 },
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	kf_bench_options_t *options = state->input;

	switch (key) {
	case 'd':
		options->deployment = arg;
		return 0;
	case 's':
		options->seed = strtoull(arg, NULL, 0);
		return 0;
	case OPTION_QUICK:
		options->quick = true;
		return 0;
	case OPTION_CONF:
		options->conf_dir = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

void
kf_bench_options_parse(
    kf_bench_options_t *options, int argc, char **argv, const char *doc)
{
	struct argp parser = {
		.options = arguments,
		.parser = parse_option,
		.doc = doc,
	};

	*options = (kf_bench_options_t){
		.deployment = "kowhai",
		.conf_dir = "conf",
		.seed = 20261204,
	};
	if (argp_parse(&parser, argc, argv, 0, NULL, options) != 0)
		exit(1);
}
