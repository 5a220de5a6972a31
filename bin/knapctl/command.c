#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "kf/file.h"
#include "command.h"

static const struct argp_option format_options[] = {
	{ .name = "format",
	    .key = 'f',
	    .arg = "FORMAT",
	    .doc = "table (default) or kv, one key=value line per row" },
	{ 0 },
};

static const struct argp_option time_options[] = {
	{ .name = "at",
	    .key = 'a',
	    .arg = "UTC_S",
	    .doc = "time in seconds since 1970; default: now" },
	{ 0 },
};

static error_t
parse_format(int key, char *arg, struct argp_state *state)
{
	common_options_t *common = state->input;

	if (key != 'f')
		return ARGP_ERR_UNKNOWN;
	if (strcmp(arg, "kv") == 0)
		common->format = FORMAT_KV;
	else if (strcmp(arg, "table") == 0 || strcmp(arg, "human") == 0)
		common->format = FORMAT_TABLE;
	else
		argp_error(state, "format '%s' is neither table nor kv", arg);
	return 0;
}

static error_t
parse_time(int key, char *arg, struct argp_state *state)
{
	common_options_t *common = state->input;

	if (key != 'a')
		return ARGP_ERR_UNKNOWN;
	common->at_s = option_number(state, arg, 0, UINT32_MAX);
	return 0;
}

static const struct argp format_argp = {
	.options = format_options,
	.parser = parse_format,
};

static const struct argp time_argp = {
	.options = time_options,
	.parser = parse_time,
};

const struct argp_child format_children[] = { { .argp = &format_argp }, { 0 } };
const struct argp_child time_children[] = { { .argp = &format_argp },
	{ .argp = &time_argp }, { 0 } };

void
common_options_init(common_options_t *common)
{
	common->format = FORMAT_TABLE;
	common->at_s = time(NULL);
}

int64_t
option_number(
    struct argp_state *state, const char *text, int64_t min, int64_t max)
{
	char *end;
	intmax_t number;

	errno = 0;
	number = strtoimax(text, &end, 10);
	if (end == text || *end != '\0' || errno == ERANGE || number < min ||
	    number > max)
		argp_error(state,
		    "'%s' is not a whole number from %" PRId64 " to %" PRId64,
		    text, min, max);
	return number;
}

void
print_error(void *ctx, const char *file, int line, const char *text)
{
	(void)ctx;
	if (line > 0)
		fprintf(stderr, "%s:%d: %s\n", file, line, text);
	else
		fprintf(stderr, "%s: %s\n", file, text);
}

kf_declaration_t *
declaration_load(const char *path)
{
	kf_declaration_t *decl;
	char *text;
	size_t len;

	if (kf_file_read(path, KF_DOCUMENT_MAX_BYTES, &text, &len) != KF_OK) {
		fprintf(stderr, "%s\n", kf_status_message());
		return NULL;
	}
	decl = kf_declaration_parse(path, text, len, print_error, NULL);
	free(text);
	return decl;
}
