#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kf/document.h"
#include "kf/file.h"
#include "kf/forwarder_settings.h"
#include "kf/settings.h"
#include "command.h"

typedef struct check {
	common_options_t common;
	kf_document_kind_t kind; /* KF_DOCUMENT_UNKNOWN: detect from the text */
	char **files;
	int file_count;
} check_t;

static const struct argp_option options[] = {
	{ .name = "kind",
	    .key = 'k',
	    .arg = "KIND",
	    .doc = "declaration, vms, keys, settings or forwarder; default: "
		   "found by the sections and keys" },
	{ 0 },
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	check_t *check = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &check->common;
		return 0;
	case 'k':
		check->kind = kf_document_kind_parse(arg);
		if (check->kind == KF_DOCUMENT_UNKNOWN)
			argp_error(state,
			    "kind '%s' is not one of: "
			    "declaration, vms, keys, settings, forwarder",
			    arg);
		return 0;
	case ARGP_KEY_ARGS:
		check->files = state->argv + state->next;
		check->file_count = state->argc - state->next;
		state->next = state->argc;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "no file is given");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/*
 * Each check_* function returns an allocated one-line summary of a valid
 * document.  It returns NULL if the document is refused, after the errors were
 * printed, or if out of memory.
 */
static char *
check_declaration(const char *path, const char *text, size_t len)
{
	kf_declaration_t *decl;
	char *line = NULL;

	decl = kf_declaration_parse(path, text, len, print_error, NULL);
	if (decl == NULL)
		return NULL;
	if (asprintf(&line,
		"revision %u, %u services, %u upstreams, %u selectors",
		decl->revision, decl->service_count, decl->upstream_count,
		decl->selector_count) < 0)
		line = NULL;
	kf_declaration_delete(decl);
	return line;
}

static char *
check_vms(const char *path, const char *text, size_t len)
{
	kf_vm_list_t *list;
	char *line = NULL;
	uint32_t i, leaving = 0;

	list = kf_vm_list_parse(path, text, len, print_error, NULL);
	if (list == NULL)
		return NULL;
	for (i = 0; i < list->count; i++)
		leaving += list->vms[i].leaving;
	if (asprintf(
		&line, "%u VMs, %u of them leaving", list->count, leaving) < 0)
		line = NULL;
	kf_vm_list_delete(list);
	return line;
}

static char *
check_keys(const char *path, const char *text, size_t len)
{
	kf_keyring_t *ring;

	ring = kf_keys_parse(path, text, len, print_error, NULL);
	if (ring == NULL)
		return NULL;
	kf_keyring_delete(ring);
	return strdup("keys are valid");
}

static char *
check_settings(const char *path, const char *text, size_t len)
{
	kf_settings_t *settings;
	char *line = NULL;

	settings = kf_settings_parse(path, text, len, print_error, NULL);
	if (settings == NULL)
		return NULL;
	if (asprintf(&line, "VM %s in zone %s", settings->name,
		settings->zone_name) < 0)
		line = NULL;
	kf_settings_delete(settings);
	return line;
}

static char *
check_forwarder(const char *path, const char *text, size_t len)
{
	kf_forwarder_settings_t settings = { 0 };
	char *line = NULL;

	if (kf_settings_table_parse(&kf_forwarder_settings_table, path, text,
		len, print_error, NULL, &settings) != KF_OK)
		return NULL;
	return asprintf(
		   &line, "VM %s in zone %s", settings.name, settings.zone) < 0
	    ? NULL
	    : line;
}

typedef char *check_fn(const char *path, const char *text, size_t len);

static check_fn *const check_functions[KF_DOCUMENT_KIND_COUNT] = {
	[KF_DOCUMENT_DECLARATION] = check_declaration,
	[KF_DOCUMENT_VMS] = check_vms,
	[KF_DOCUMENT_KEYS] = check_keys,
	[KF_DOCUMENT_SETTINGS] = check_settings,
	[KF_DOCUMENT_FORWARDER] = check_forwarder,
};

static void
add_row(
    table_t *table, const char *path, kf_document_kind_t kind, const char *line)
{
	table_add_cell(table, "%s", path);
	table_add_cell(table, "%s", kf_document_kind_name(kind));
	table_add_cell(table, "%s", line != NULL ? "ok" : "refused");
	table_add_cell(table, "%s", line != NULL ? line : "");
}

static bool
check_file(const check_t *check, const char *path, table_t *table)
{
	kf_document_kind_t kind = check->kind;
	char *text, *line = NULL;
	size_t len;

	if (kf_file_read(path, KF_DOCUMENT_MAX_BYTES, &text, &len) != KF_OK) {
		fprintf(stderr, "%s\n", kf_status_message());
		add_row(table, path, kind, NULL);
		return false;
	}
	if (kind == KF_DOCUMENT_UNKNOWN)
		kind = kf_document_detect(text, len);
	if (kind == KF_DOCUMENT_UNKNOWN)
		print_error(NULL, path, 0, "no known section; state --kind");
	else
		line = check_functions[kind](path, text, len);
	add_row(table, path, kind, line);
	free(text);
	free(line);
	return line != NULL;
}

int
command_check(int argc, char **argv)
{
	static const char *const columns[] = { "file", "kind", "result",
		"content", NULL };
	static const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.args_doc = "FILE...",
		.doc = "Checks documents and settings; errors go to stderr.",
		.children = format_children,
	};
	check_t check = { 0 };
	table_t *table;
	bool accepted = true;
	int i;

	common_options_init(&check.common);
	argp_parse(&argp, argc, argv, 0, NULL, &check);
	table = table_new("check", columns);
	for (i = 0; i < check.file_count; i++)
		accepted &= check_file(&check, check.files[i], table);
	table_finish(table, check.common.format);
	return accepted ? EXIT_OK : EXIT_FINDING;
}
