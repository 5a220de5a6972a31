#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "kf/explain.h"
#include "command.h"

typedef struct explain {
	common_options_t common;
	const char *file;
	const char *service;
	int64_t point; /* share point; -1: not given */
	const kf_declaration_t *decl;
} explain_t;

static const struct argp_option options[] = {
	{ .name = "service",
	    .key = 's',
	    .arg = "NAME",
	    .doc = "only this service" },
	{ .name = "point",
	    .key = 'p',
	    .arg = "N",
	    .doc = "where a flow with this share point goes, 0 to 65535" },
	{ 0 },
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	explain_t *explain = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &explain->common;
		state->child_inputs[1] = &explain->common;
		return 0;
	case 's':
		explain->service = arg;
		return 0;
	case 'p':
		explain->point =
		    option_number(state, arg, 0, KF_SHARE_POINTS - 1);
		return 0;
	case ARGP_KEY_ARG:
		if (state->arg_num > 0)
			argp_error(state, "more than one file is given");
		explain->file = arg;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "no file is given");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void
print_service(const explain_t *explain, const kf_service_t *service)
{
	static const char *const columns[] = { "service", "address", "program",
		"class", "deadline_ms", NULL };
	table_t *table = table_new("service", columns);
	char buf[KF_ADDR_TEXT_BYTES];

	table_add_cell(table, "%s", service->name);
	table_add_cell(table, "%s", kf_addr_format(service->addr, buf));
	if (service->program != 0)
		table_add_cell(table, "0x%08" PRIx32, service->program);
	else
		table_add_cell(table, "any");
	table_add_cell(table, "%s", kf_class_name(service->cls));
	table_add_cell(table, "%" PRId64, service->deadline_ms);
	table_finish(table, explain->common.format);
}

static void
print_procedures(const explain_t *explain, const kf_service_t *service)
{
	static const char *const columns[] = { "service", "procedure",
		"idempotent", "class", NULL };
	table_t *table = table_new("procedure", columns);
	uint32_t i;

	for (i = 0; i < service->procedure_count; i++) {
		const kf_procedure_t *procedure = &service->procedures[i];

		table_add_cell(table, "%s", service->name);
		table_add_cell(table, "%" PRIu32, procedure->number);
		table_add_cell(
		    table, "%s", procedure->idempotent ? "yes" : "no");
		table_add_cell(table, "%s", kf_class_name(procedure->cls));
	}
	table_finish(table, explain->common.format);
}

static void
add_points_cell(table_t *table, const kf_explain_selector_t *row)
{
	if (row->first_point < row->end_point)
		table_add_cell(table, "%" PRIu32 "-%" PRIu32, row->first_point,
		    row->end_point - 1);
	else
		table_add_cell(table, "none");
}

static void
print_selectors(const explain_t *explain, const kf_explanation_t *explanation)
{
	static const char *const columns[] = { "service", "selector",
		"share_percent", "points", "live", "draining", "slots",
		"zone_preference", "match", NULL };
	table_t *table = table_new("selector", columns);
	char buf[KF_LABELS_TEXT_BYTES];
	uint32_t i;

	for (i = 0; i < explanation->selector_count; i++) {
		const kf_explain_selector_t *row = &explanation->selectors[i];
		const kf_selector_t *selector = row->selector;

		table_add_cell(table, "%s", explanation->service->name);
		table_add_cell(table, "%s", selector->name);
		table_add_cell(table, "%.3f", row->share_percent);
		add_points_cell(table, row);
		table_add_cell(table, "%" PRIu32, row->live_count);
		table_add_cell(table, "%" PRIu32, row->draining_count);
		table_add_cell(table, "%" PRIu64, row->live_slots);
		table_add_cell(table, "%s",
		    kf_zone_preference_name(selector->zone_preference));
		table_add_cell(table, "%s",
		    kf_labels_format(
			selector->match, selector->match_count, buf));
	}
	table_finish(table, explain->common.format);
}

static void
add_upstream_cells(table_t *table, const kf_upstream_t *upstream)
{
	char buf[KF_ADDR_TEXT_BYTES];

	table_add_cell(table, "%s", upstream->name);
	table_add_cell(table, "%s", upstream->zone_name);
	table_add_cell(table, "%s", kf_addr_format(upstream->addr, buf));
	table_add_cell(table, "%" PRIu32, upstream->slots);
}

static void
print_upstreams(const explain_t *explain, const kf_explanation_t *explanation)
{
	static const char *const columns[] = { "selector", "upstream", "zone",
		"address", "slots", "state", "labels", NULL };
	table_t *table = table_new("upstream", columns);
	char buf[KF_LABELS_TEXT_BYTES];
	uint32_t i, k;

	for (i = 0; i < explanation->selector_count; i++) {
		const kf_selector_t *selector =
		    explanation->selectors[i].selector;

		for (k = 0; k < selector->upstream_count; k++) {
			const kf_upstream_t *upstream =
			    &explain->decl->upstreams[selector->upstreams[k]];

			table_add_cell(table, "%s", selector->name);
			add_upstream_cells(table, upstream);
			table_add_cell(table, "%s",
			    upstream->draining ? "draining" : "live");
			table_add_cell(table, "%s",
			    kf_labels_format(
				upstream->labels, upstream->label_count, buf));
		}
	}
	table_finish(table, explain->common.format);
}

static void
add_candidate_cells(table_t *table, const kf_selector_t *selector,
    const kf_upstream_t *upstream)
{
	const kf_label_t *failed;

	switch (kf_explain_upstream(selector, upstream, &failed)) {
	case KF_ELIGIBLE:
		table_add_cell(table, "yes");
		table_add_cell(table, "live and matches");
		return;
	case KF_INELIGIBLE_DRAINING:
		table_add_cell(table, "no");
		table_add_cell(table, "draining");
		return;
	case KF_INELIGIBLE_NO_MATCH:
		table_add_cell(table, "no");
		table_add_cell(
		    table, "has no %s=%s", failed->key, failed->value);
		return;
	}
}

static void
print_candidates(const explain_t *explain, const kf_selector_t *selector)
{
	static const char *const columns[] = { "upstream", "zone", "address",
		"slots", "candidate", "reason", NULL };
	table_t *table = table_new("candidate", columns);
	uint32_t i;

	for (i = 0; i < explain->decl->upstream_count; i++) {
		const kf_upstream_t *upstream = &explain->decl->upstreams[i];

		if (upstream->service != selector->service)
			continue;
		add_upstream_cells(table, upstream);
		add_candidate_cells(table, selector, upstream);
	}
	table_finish(table, explain->common.format);
}

static const char *
zone_destination(const kf_selector_t *selector, const kf_explain_zone_t *zone)
{
	if (selector->zone_preference == KF_ZONE_ANY)
		return "candidates of every zone";
	if (zone->live_count == 0)
		return "other zones, it has no candidate";
	return "own candidates, others if all are full";
}

/* Prints where a new flow goes, for each zone of the receiving balancer. */
static void
print_zones(const explain_t *explain, const kf_selector_t *selector)
{
	static const char *const columns[] = { "balancer_zone", "candidates",
		"slots", "goes_to", NULL };
	table_t *table = table_new("zone", columns);
	kf_explain_zone_t zones[KF_EXPLAIN_MAX_ZONES];
	size_t i, count;

	count = kf_explain_zones(explain->decl, selector, zones);
	for (i = 0; i < count; i++) {
		table_add_cell(table, "%s", zones[i].name);
		table_add_cell(table, "%" PRIu32, zones[i].live_count);
		table_add_cell(table, "%" PRIu64, zones[i].live_slots);
		table_add_cell(
		    table, "%s", zone_destination(selector, &zones[i]));
	}
	table_finish(table, explain->common.format);
}

static void
print_point(const explain_t *explain, const kf_explanation_t *explanation)
{
	static const char *const columns[] = { "service", "point", "selector",
		"points", "share_percent", "zone_preference", NULL };
	const kf_explain_selector_t *row =
	    kf_explain_point(explanation, (uint32_t)explain->point);
	table_t *table = table_new("point", columns);

	table_add_cell(table, "%s", explanation->service->name);
	table_add_cell(table, "%" PRId64, explain->point);
	table_add_cell(table, "%s", row->selector->name);
	add_points_cell(table, row);
	table_add_cell(table, "%.3f", row->share_percent);
	table_add_cell(table, "%s",
	    kf_zone_preference_name(row->selector->zone_preference));
	table_finish(table, explain->common.format);
	print_zones(explain, row->selector);
	print_candidates(explain, row->selector);
}

static void
explain_service(const explain_t *explain, const kf_service_t *service)
{
	kf_explanation_t explanation;

	kf_explain_service(
	    explain->decl, service, explain->common.at_s * 1000, &explanation);
	if (explain->point >= 0) {
		print_point(explain, &explanation);
		return;
	}
	print_service(explain, service);
	print_procedures(explain, service);
	print_selectors(explain, &explanation);
	print_upstreams(explain, &explanation);
}

static int
explain_services(const explain_t *explain)
{
	const kf_declaration_t *decl = explain->decl;
	bool found = false;
	uint32_t i;

	for (i = 0; i < decl->service_count; i++) {
		if (explain->service != NULL &&
		    strcmp(explain->service, decl->services[i].name) != 0)
			continue;
		explain_service(explain, &decl->services[i]);
		found = true;
	}
	if (found)
		return EXIT_OK;
	fprintf(stderr, "%s: no service '%s' is declared\n", explain->file,
	    explain->service);
	return EXIT_FINDING;
}

int
command_explain(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.args_doc = "DECLARATION",
		.doc = "Shows which selector has which share of the flows of "
		       "each service, and its upstreams.",
		.children = time_children,
	};
	explain_t explain = { .point = -1 };
	kf_declaration_t *decl;
	int status;

	common_options_init(&explain.common);
	argp_parse(&argp, argc, argv, 0, NULL, &explain);
	decl = declaration_load(explain.file);
	if (decl == NULL)
		return EXIT_FINDING;
	explain.decl = decl;
	status = explain_services(&explain);
	kf_declaration_delete(decl);
	return status;
}
