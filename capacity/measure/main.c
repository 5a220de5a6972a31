#include <argp.h>
#include <stdio.h>
#include <string.h>

#include <apr_general.h>

#include "measure.h"

typedef struct measure {
	const char *name;
	void (*run)(const plan_t *plan);
} measure_t;

static const measure_t measures[] = {
	{ "declaration", measure_declaration },
	{ "view", measure_view },
	{ "members", measure_members },
	{ "distribution", measure_distribution },
	{ "flows", measure_flows },
	{ "traffic", measure_traffic },
	{ "codecs", measure_codecs },
	{ "control", measure_control },
};

enum { MEASURE_COUNT = sizeof(measures) / sizeof(measures[0]) };

typedef struct args {
	plan_t plan;
	bool chosen[MEASURE_COUNT];
	bool any_chosen;
} args_t;

static const struct argp_option options[] = {
	{ .name = "smoke",
	    .key = 's',
	    .doc = "small sizes, to test the program itself" },
	{ 0 },
};

static void
choose_measure(args_t *args, const char *name, struct argp_state *state)
{
	size_t i;

	for (i = 0; i < MEASURE_COUNT; i++) {
		if (strcmp(measures[i].name, name) != 0)
			continue;
		args->chosen[i] = true;
		args->any_chosen = true;
		return;
	}
	argp_error(state, "no measurement named '%s'", name);
}

static error_t
parse_argument(int key, char *arg, struct argp_state *state)
{
	args_t *args = state->input;

	switch (key) {
	case 's':
		args->plan.smoke = true;
		return 0;
	case ARGP_KEY_ARG:
		choose_measure(args, arg, state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_argument,
		.args_doc = "[MEASUREMENT...]",
		.doc = "Measures how memory, time and bytes grow with the size "
		       "of the fleet, and prints them as key=value.",
	};
	args_t args = { .plan.seed = 20261204 };
	size_t i;

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	apr_initialize();
	printf("seed=%llu repeats=%d smoke=%d\n",
	    (unsigned long long)args.plan.seed, MEASURE_REPEATS,
	    args.plan.smoke);
	for (i = 0; i < MEASURE_COUNT; i++) {
		if (!args.any_chosen || args.chosen[i])
			measures[i].run(&args.plan);
	}
	apr_terminate();
	return 0;
}
