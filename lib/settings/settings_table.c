#include <stdlib.h>
#include <string.h>

#include "kf/file.h"
#include "kf/settings_table.h"

static const char separators[] = " \t,";

static void *
section_begin(void *target, const char *name, int line)
{
	(void)name;
	(void)line;
	return target;
}

static size_t
build_sections(const kf_settings_table_t *table, kf_section_t *sections)
{
	const kf_field_t *fields = table->fields;
	size_t i, count = 0;

	for (i = 0; i < table->count && count < KF_READER_MAX_SECTIONS; i++) {
		if (i == 0 ||
		    strcmp(fields[i].section, fields[i - 1].section) != 0)
			sections[count++] = (kf_section_t){
				.kind = fields[i].section,
				.fields = &fields[i],
				.begin = section_begin,
			};
		sections[count - 1].field_count++;
	}
	return count;
}

kf_status_t
kf_settings_table_parse(const kf_settings_table_t *table, const char *file,
    const char *text, size_t len, kf_error_fn *on_error, void *ctx,
    void *settings)
{
	kf_section_t sections[KF_READER_MAX_SECTIONS] = { 0 };
	kf_reader_t reader = {
		.file = file,
		.on_error = on_error,
		.ctx = ctx,
		.sections = sections,
		.section_count = build_sections(table, sections),
		.target = settings,
	};

	kf_reader_run(&reader, text, len, KF_DOCUMENT_MAX_BYTES);
	if (reader.error_count == 0 && table->check != NULL)
		table->check(settings, &reader);
	return reader.error_count == 0
	    ? KF_OK
	    : kf_status_set(
		  KF_ERR_INVALID, "%s: %zu errors", file, reader.error_count);
}

/* Returns the field that SECTION.KEY= at the start of text names, or NULL. */
static const kf_field_t *
find_field(const kf_settings_table_t *table, const char *text, size_t name_len)
{
	size_t i, section_len;

	for (i = 0; i < table->count; i++) {
		const kf_field_t *field = &table->fields[i];

		section_len = strlen(field->section);
		if (name_len == section_len + 1 + strlen(field->key) &&
		    strncmp(text, field->section, section_len) == 0 &&
		    text[section_len] == '.' &&
		    strncmp(text + section_len + 1, field->key,
			strlen(field->key)) == 0)
			return field;
	}
	return NULL;
}

static kf_status_t
override_one(const kf_settings_table_t *table, const char *text, void *settings)
{
	const char *equal = strchr(text, '=');
	const kf_field_t *field;

	if (equal == NULL)
		return kf_status_set(
		    KF_ERR_INVALID, "'%.80s' is not SECTION.KEY=VALUE", text);
	field = find_field(table, text, (size_t)(equal - text));
	if (field == NULL)
		return kf_status_set(
		    KF_ERR_NOT_FOUND, "'%.80s' names no setting", text);
	return equal[1] == '\0' ? KF_OK
				: kf_field_parse(field, settings, equal + 1);
}

kf_status_t
kf_settings_table_override(const kf_settings_table_t *table,
    const kf_overrides_t *overrides, kf_error_fn *on_error, void *ctx,
    void *settings)
{
	kf_reader_t reader = {
		.file = "--set",
		.on_error = on_error,
		.ctx = ctx,
	};
	size_t i;

	for (i = 0; i < overrides->count; i++)
		if (override_one(table, overrides->texts[i], settings) != KF_OK)
			kf_reader_error(&reader, 0, "%s", kf_status_message());
	if (reader.error_count == 0 && table->check != NULL)
		table->check(settings, &reader);
	return reader.error_count == 0
	    ? KF_OK
	    : kf_status_set(
		  KF_ERR_INVALID, "--set: %zu errors", reader.error_count);
}

kf_status_t
kf_settings_table_load(const kf_settings_table_t *table, const char *path,
    const kf_overrides_t *overrides, kf_error_fn *on_error, void *ctx,
    void *settings)
{
	kf_status_t status;
	char *text;
	size_t len;

	status = kf_file_read(path, KF_DOCUMENT_MAX_BYTES, &text, &len);
	if (status != KF_OK) {
		on_error(ctx, path, 0, kf_status_message());
		return status;
	}
	status = kf_settings_table_parse(
	    table, path, text, len, on_error, ctx, settings);
	free(text);
	return status != KF_OK ? status
			       : kf_settings_table_override(
				     table, overrides, on_error, ctx, settings);
}

static kf_status_t
addrs_parse_one(const char *word, size_t len, kf_addr_t *addrs, uint32_t max,
    uint32_t *count)
{
	char text[KF_ADDR_TEXT_BYTES];
	kf_addr_t addr;
	uint32_t i;

	if (*count == max)
		return kf_status_set(
		    KF_ERR_FULL, "more than %u addresses", max);
	if (len >= sizeof(text))
		return kf_status_set(
		    KF_ERR_INVALID, "'%.40s' is not an ip:port", word);
	memcpy(text, word, len);
	text[len] = '\0';
	if (kf_addr_parse(text, &addr) != KF_OK)
		return KF_ERR_INVALID;
	for (i = 0; i < *count; i++) {
		if (kf_addr_equal(addrs[i], addr))
			return kf_status_set(
			    KF_ERR_CONFLICT, "'%s' is given twice", text);
	}
	addrs[(*count)++] = addr;
	return KF_OK;
}

kf_status_t
kf_settings_addrs_parse(
    const char *value, kf_addr_t *addrs, uint32_t max, uint32_t *count)
{
	kf_status_t status;
	size_t len;

	for (;;) {
		value += strspn(value, separators);
		if (*value == '\0')
			return KF_OK;
		len = strcspn(value, separators);
		status = addrs_parse_one(value, len, addrs, max, count);
		if (status != KF_OK)
			return status;
		value += len;
	}
}
