#include <stdio.h>

#include "kf/document.h"
#include "kf/forwarder_settings.h"
#include "kf/settings.h"
#include "command.h"

enum { RANGE_BYTES = 128 };

typedef struct keys_options {
	common_options_t common;
	kf_document_kind_t kind; /* KF_DOCUMENT_UNKNOWN: list every kind */
} keys_options_t;

static const struct argp_option options[] = {
	{ .name = "kind",
	    .key = 'k',
	    .arg = "KIND",
	    .doc = "only declaration, vms, keys, settings or forwarder" },
	{ 0 },
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	keys_options_t *keys = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &keys->common;
		return 0;
	case 'k':
		keys->kind = kf_document_kind_parse(arg);
		if (keys->kind == KF_DOCUMENT_UNKNOWN)
			argp_error(state,
			    "kind '%s' is not one of: "
			    "declaration, vms, keys, settings, forwarder",
			    arg);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void
add_fields(table_t *table, kf_document_kind_t kind, const kf_field_t *fields,
    size_t count)
{
	char range[RANGE_BYTES];
	size_t i;

	for (i = 0; i < count; i++) {
		kf_field_range(&fields[i], range, sizeof(range));
		table_add_cell(table, "%s", kf_document_kind_name(kind));
		table_add_cell(table, "%s", fields[i].section);
		table_add_cell(table, "%s", fields[i].key);
		table_add_cell(
		    table, "%s", fields[i].unit != NULL ? fields[i].unit : "");
		table_add_cell(table, "%s", range);
		table_add_cell(table, "%s",
		    fields[i].default_value != NULL ? fields[i].default_value
						    : "required");
		table_add_cell(table, "%s", fields[i].text);
	}
}

static void
add_kind(table_t *table, kf_document_kind_t kind)
{
	const kf_section_t *sections;
	size_t i, count;

	if (kind == KF_DOCUMENT_SETTINGS) {
		const kf_field_t *fields = kf_settings_fields(&count);

		add_fields(table, kind, fields, count);
		return;
	}
	if (kind == KF_DOCUMENT_FORWARDER) {
		add_fields(table, kind, kf_forwarder_settings_table.fields,
		    kf_forwarder_settings_table.count);
		return;
	}
	sections = kf_document_sections(kind, &count);
	for (i = 0; i < count; i++)
		add_fields(
		    table, kind, sections[i].fields, sections[i].field_count);
}

int
command_keys(int argc, char **argv)
{
	static const char *const columns[] = { "kind", "section", "key", "unit",
		"range", "default", "meaning", NULL };
	static const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.doc = "Lists the keys of documents and settings with unit, "
		       "range and default.",
		.children = format_children,
	};
	keys_options_t keys = { 0 };
	table_t *table;
	kf_document_kind_t kind;

	common_options_init(&keys.common);
	argp_parse(&argp, argc, argv, 0, NULL, &keys);
	table = table_new("key", columns);
	for (kind = KF_DOCUMENT_DECLARATION; kind < KF_DOCUMENT_KIND_COUNT;
	     kind++) {
		if (keys.kind == KF_DOCUMENT_UNKNOWN || keys.kind == kind)
			add_kind(table, kind);
	}
	table_finish(table, keys.common.format);
	return EXIT_OK;
}
