#include <err.h>
#include <stdio.h>

#include "kf/diff.h"
#include "command.h"

typedef struct diff_options {
	common_options_t common;
	const char *files[2];
} diff_options_t;

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	diff_options_t *options = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &options->common;
		state->child_inputs[1] = &options->common;
		return 0;
	case ARGP_KEY_ARG:
		if (state->arg_num >= 2)
			argp_error(state, "more than two files are given");
		options->files[state->arg_num] = arg;
		return 0;
	case ARGP_KEY_END:
		if (state->arg_num < 2)
			argp_error(state, "OLD and NEW are needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void
print_entries(const kf_diff_t *diff, format_t format)
{
	static const char *const columns[] = { "change", "object", "name",
		"key", "old", "new", NULL };
	table_t *table = table_new("change", columns);
	size_t i;

	for (i = 0; i < diff->entry_count; i++) {
		const kf_diff_entry_t *entry = &diff->entries[i];

		table_add_cell(table, "%s", kf_diff_kind_name(entry->kind));
		table_add_cell(table, "%s", entry->object);
		table_add_cell(table, "%s", entry->name);
		table_add_cell(table, "%s", entry->key);
		table_add_cell(table, "%s", entry->old_value);
		table_add_cell(table, "%s", entry->new_value);
	}
	table_finish(table, format);
}

static void
print_services(const kf_diff_t *diff, format_t format)
{
	static const char *const columns[] = { "service", "moved_percent",
		"moved_after_ramps_percent", NULL };
	table_t *table = table_new("moved", columns);
	size_t i;

	for (i = 0; i < diff->service_count; i++) {
		table_add_cell(table, "%s", diff->services[i].service);
		table_add_cell(table, "%.2f", diff->services[i].percent);
		table_add_cell(
		    table, "%.2f", diff->services[i].percent_after_ramps);
	}
	table_finish(table, format);
}

static void
print_moves(const kf_diff_t *diff, format_t format)
{
	static const char *const columns[] = { "service", "from_selector",
		"to_selector", "moved_percent", "moved_after_ramps_percent",
		NULL };
	table_t *table = table_new("move", columns);
	size_t i;

	for (i = 0; i < diff->move_count; i++) {
		const kf_diff_move_t *move = &diff->moves[i];

		table_add_cell(table, "%s", move->service);
		table_add_cell(table, "%s", move->from);
		table_add_cell(table, "%s", move->to);
		table_add_cell(table, "%.2f", move->percent);
		table_add_cell(table, "%.2f", move->percent_after_ramps);
	}
	table_finish(table, format);
}

static void
print_revisions(const kf_diff_t *diff, format_t format)
{
	static const char *const columns[] = { "old_revision", "new_revision",
		"changes", NULL };
	table_t *table = table_new("revision", columns);

	table_add_cell(table, "%u", diff->old_revision);
	table_add_cell(table, "%u", diff->new_revision);
	table_add_cell(table, "%zu", diff->entry_count);
	table_finish(table, format);
}

static int
print_diff(const diff_options_t *options, const kf_declaration_t *old_decl,
    const kf_declaration_t *new_decl)
{
	format_t format = options->common.format;
	kf_diff_t *diff;

	diff = kf_diff_new(old_decl, new_decl, options->common.at_s * 1000);
	if (diff == NULL)
		errx(EXIT_FINDING, "out of memory");
	print_revisions(diff, format);
	print_entries(diff, format);
	print_services(diff, format);
	print_moves(diff, format);
	kf_diff_delete(diff);
	if (new_decl->revision > old_decl->revision ||
	    new_decl->digest == old_decl->digest)
		return EXIT_OK;
	fprintf(stderr,
	    "%s: revision %u is not above %u; balancers may keep the old one\n",
	    options->files[1], new_decl->revision, old_decl->revision);
	return EXIT_FINDING;
}

int
command_diff(int argc, char **argv)
{
	static const struct argp argp = {
		.parser = parse_option,
		.args_doc = "OLD NEW",
		.doc = "Shows what the declaration NEW changes and which part "
		       "of the flows of each service it moves.",
		.children = time_children,
	};
	diff_options_t options = { 0 };
	kf_declaration_t *old_decl, *new_decl;
	int status = EXIT_FINDING;

	common_options_init(&options.common);
	argp_parse(&argp, argc, argv, 0, NULL, &options);
	old_decl = declaration_load(options.files[0]);
	new_decl = declaration_load(options.files[1]);
	if (old_decl != NULL && new_decl != NULL)
		status = print_diff(&options, old_decl, new_decl);
	kf_declaration_delete(old_decl);
	kf_declaration_delete(new_decl);
	return status;
}
