#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "kf/reader.h"

enum { ERROR_BYTES = 512 };

void
kf_reader_error(kf_reader_t *reader, int line, const char *fmt, ...)
{
	char text[ERROR_BYTES];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	reader->error_count++;
	if (reader->on_error != NULL)
		reader->on_error(reader->ctx, reader->file, line, text);
}

static void
reader_report(void *ctx, int line, const char *text)
{
	kf_reader_t *reader = ctx;

	kf_reader_error(reader, line, "%s%s", reader->error_prefix, text);
}

static void
reader_end_section(kf_reader_t *reader)
{
	const kf_section_t *section = reader->section;

	if (section == NULL)
		return;
	kf_record_finish(&reader->record);
	if (section->end != NULL)
		section->end(reader->target, reader->record.object,
		    reader->error_count > reader->errors_before);
	reader->section = NULL;
}

static void
reader_begin_section(kf_reader_t *reader, const kf_section_t *section,
    const char *name, int line)
{
	void *object;

	reader->errors_before = reader->error_count;
	if (section->named && kf_name_check(name) != KF_OK)
		kf_reader_error(
		    reader, line, "%s: %s", section->kind, kf_status_message());
	if (strlen(name) >= KF_NAME_BYTES)
		name = "";
	object = section->begin(reader->target, name, line);
	if (object == NULL) {
		kf_reader_error(reader, line, "out of memory");
		reader->skipping = true;
		return;
	}
	snprintf(reader->error_prefix, sizeof(reader->error_prefix),
	    "%s%s%s: ", section->kind, section->named ? " " : "", name);
	reader->section = section;
	reader->record = (kf_record_t){
		.fields = section->fields,
		.count = section->field_count,
		.object = object,
		.line = line,
		.report = reader_report,
		.ctx = reader,
	};
}

static void
reader_on_section(void *ctx, const char *kind, const char *name, int line)
{
	kf_reader_t *reader = ctx;
	size_t i;

	reader_end_section(reader);
	reader->skipping = true;
	for (i = 0; i < reader->section_count; i++) {
		if (strcmp(reader->sections[i].kind, kind) == 0)
			break;
	}
	if (i == reader->section_count) {
		kf_reader_error(reader, line, "unknown section '%.80s'", kind);
		return;
	}
	if (!reader->sections[i].named && *name != '\0') {
		kf_reader_error(reader, line, "%s: takes no name", kind);
		return;
	}
	if (!reader->sections[i].named && (reader->seen_sections >> i & 1)) {
		kf_reader_error(reader, line, "%s: given twice", kind);
		return;
	}
	reader->seen_sections |= UINT32_C(1) << i;
	reader->skipping = false;
	reader_begin_section(reader, &reader->sections[i], name, line);
}

static void
reader_on_pair(void *ctx, const char *key, const char *value, int line)
{
	kf_reader_t *reader = ctx;
	const kf_section_t *section = reader->section;

	if (reader->skipping)
		return;
	if (section == NULL) {
		kf_reader_error(
		    reader, line, "'%.80s' is not in a section", key);
		return;
	}
	if (kf_record_set(&reader->record, key, value, line))
		return;
	if (section->set_unlisted != NULL &&
	    section->set_unlisted(
		reader, reader->record.object, key, value, line))
		return;
	kf_reader_error(
	    reader, line, "%sunknown key '%.80s'", reader->error_prefix, key);
}

static void
reader_on_malformed(void *ctx, const char *text, int line)
{
	kf_reader_error(ctx, line, "%s", text);
}

/* Applies the defaults of absent sections and reports their missing keys. */
static void
reader_apply_absent_sections(kf_reader_t *reader)
{
	size_t i;

	for (i = 0; i < reader->section_count; i++) {
		if (reader->sections[i].named ||
		    (reader->seen_sections >> i & 1))
			continue;
		reader_begin_section(reader, &reader->sections[i], "", 0);
		reader_end_section(reader);
	}
}

void
kf_reader_run(
    kf_reader_t *reader, const char *text, size_t len, size_t max_bytes)
{
	static const kf_ini_handler_t handler = {
		.section = reader_on_section,
		.pair = reader_on_pair,
		.malformed = reader_on_malformed,
	};

	if (len > max_bytes) {
		kf_reader_error(reader, 0,
		    "document has %zu bytes, more than %zu", len, max_bytes);
		return;
	}
	kf_ini_parse(text, len, &handler, reader);
	reader_end_section(reader);
	reader_apply_absent_sections(reader);
}
