#include <stdio.h>
#include <string.h>

#include "command.h"
#include "report.h"

enum {
	TIMEOUT_MS = 2000,
	TIMEOUT_MAX_MS = 60000,
};

typedef struct section {
	const char *name;
	void (*print)(const fleet_t *fleet, format_t format);
} section_t;

static const section_t sections[] = {
	{ "summary", report_summary },
	{ "upstreams", report_upstreams },
	{ "selectors", report_selectors },
	{ "vms", report_vms },
	{ "refusals", report_refusals },
	{ "flows", report_flows },
	{ "counters", report_counters },
};

enum { SECTION_COUNT = sizeof(sections) / sizeof(sections[0]) };

typedef struct show {
	common_options_t common;
	const section_t *section; /* NULL: all sections */
	bool section_given;
	int64_t timeout_ms;
	fleet_t *fleet;
} show_t;

static const struct argp_option options[] = {
	{ .name = "server",
	    .key = 's',
	    .arg = "IP:PORT",
	    .doc = "RPC address of a balancer (required, repeatable)" },
	{ .name = "timeout-ms",
	    .key = 't',
	    .arg = "N",
	    .doc = "longest wait for each step of a call (2000)" },
	{ 0 },
};

static void
set_section(show_t *show, struct argp_state *state, const char *name)
{
	size_t i;

	if (show->section_given)
		argp_error(state, "more than one section is given");
	show->section_given = true;
	if (strcmp(name, "all") == 0)
		return;
	for (i = 0; i < SECTION_COUNT; i++) {
		if (strcmp(sections[i].name, name) == 0)
			show->section = &sections[i];
	}
	if (show->section == NULL)
		argp_error(state,
		    "section '%s' is not one of: all, summary, "
		    "upstreams, selectors, vms, refusals, flows, counters",
		    name);
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	show_t *show = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &show->common;
		return 0;
	case 's':
		if (fleet_add(show->fleet, arg) != KF_OK)
			argp_error(state, "%s", kf_status_message());
		return 0;
	case 't':
		show->timeout_ms = option_number(state, arg, 1, TIMEOUT_MAX_MS);
		return 0;
	case ARGP_KEY_ARG:
		set_section(show, state, arg);
		return 0;
	case ARGP_KEY_END:
		if (show->fleet->count == 0)
			argp_error(state, "no --server is given");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
command_show(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.args_doc = "[all|summary|upstreams|selectors|vms|refusals|"
			    "flows|counters]",
		.doc = "Shows the state that running balancers report.",
		.children = format_children,
	};
	show_t show = { .timeout_ms = TIMEOUT_MS, .fleet = fleet_new() };
	size_t i, failed;

	common_options_init(&show.common);
	argp_parse(&argp, argc, argv, 0, NULL, &show);
	failed = fleet_query(show.fleet, show.timeout_ms);
	for (i = 0; i < SECTION_COUNT; i++) {
		if (show.section == NULL || show.section == &sections[i])
			sections[i].print(show.fleet, show.common.format);
	}
	fleet_delete(show.fleet);
	return failed == 0 ? EXIT_OK : EXIT_FINDING;
}
