#include <errno.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kf/field.h"

enum { ERROR_BYTES = 512 };

static const uint32_t first_multicast_ip = 0xe0000000; /* 224.0.0.0 */

static kf_status_t
parse_integer(const kf_field_t *field, const char *value, int64_t *number)
{
	char *end;
	intmax_t n;

	errno = 0;
	n = strtoimax(value, &end, strncmp(value, "0x", 2) == 0 ? 16 : 10);
	if (end == value || *end != '\0')
		return kf_status_set(
		    KF_ERR_INVALID, "'%.80s' is not a whole number", value);
	if (errno == ERANGE || n < field->min || n > field->max)
		return kf_status_set(KF_ERR_INVALID,
		    "%.80s is not in %" PRId64 " to %" PRId64, value,
		    field->min, field->max);
	*number = n;
	return KF_OK;
}

static kf_status_t
parse_percent(const char *value, double *percent)
{
	char *end;
	double n;

	n = strtod(value, &end);
	if (end == value || *end != '\0' || !isfinite(n))
		return kf_status_set(
		    KF_ERR_INVALID, "'%.80s' is not a percentage", value);
	if (n < 0 || n > 100)
		return kf_status_set(
		    KF_ERR_INVALID, "%.80s is not in 0 to 100", value);
	*percent = n;
	return KF_OK;
}

/* Writes the choices as "a, b, c". */
static void
choices_format(const kf_field_t *field, char *buf, size_t size)
{
	size_t used = 0;
	int i;

	for (i = 0; field->choices[i] != NULL && used < size; i++)
		used += (size_t)snprintf(buf + used, size - used, "%s%s",
		    i > 0 ? ", " : "", field->choices[i]);
}

static kf_status_t
parse_choice(const kf_field_t *field, const char *value, int *choice)
{
	char list[ERROR_BYTES / 2];
	int i;

	for (i = 0; field->choices[i] != NULL; i++) {
		if (strcmp(field->choices[i], value) == 0) {
			*choice = i;
			return KF_OK;
		}
	}
	choices_format(field, list, sizeof(list));
	return kf_status_set(
	    KF_ERR_INVALID, "'%.80s' is not one of: %s", value, list);
}

static kf_status_t
parse_text(const kf_field_t *field, const char *value, char *text)
{
	size_t len = strlen(value);

	if (len > (size_t)field->max)
		return kf_status_set(KF_ERR_INVALID,
		    "text is longer than %" PRId64 " bytes", field->max);
	memcpy(text, value, len + 1);
	return KF_OK;
}

static kf_status_t
parse_name(const char *value, char *name)
{
	kf_status_t status;

	status = kf_name_check(value);
	if (status == KF_OK)
		memcpy(name, value, strlen(value) + 1);
	return status;
}

static kf_status_t
parse_u32(const kf_field_t *field, const char *value, uint32_t *number)
{
	int64_t n = 0;
	kf_status_t status;

	status = parse_integer(field, value, &n);
	if (status == KF_OK)
		*number = (uint32_t)n;
	return status;
}

static kf_status_t
parse_addr(const char *value, kf_addr_t *addr)
{
	kf_addr_t parsed;
	kf_status_t status;

	status = kf_addr_parse(value, &parsed);
	if (status != KF_OK)
		return status;
	if (parsed.ip == 0 || parsed.ip >= first_multicast_ip)
		return kf_status_set(
		    KF_ERR_INVALID, "'%s' is not a unicast address", value);
	*addr = parsed;
	return KF_OK;
}

kf_status_t
kf_field_parse(const kf_field_t *field, void *object, const char *value)
{
	void *place = (char *)object + field->offset;

	switch (field->type) {
	case KF_FIELD_U32:
		return parse_u32(field, value, place);
	case KF_FIELD_I64:
		return parse_integer(field, value, place);
	case KF_FIELD_PERCENT:
		return parse_percent(value, place);
	case KF_FIELD_CHOICE:
		return parse_choice(field, value, place);
	case KF_FIELD_NAME:
		return parse_name(value, place);
	case KF_FIELD_TEXT:
		return parse_text(field, value, place);
	case KF_FIELD_ADDR:
		return parse_addr(value, place);
	case KF_FIELD_CUSTOM:
		return field->set(object, value);
	}
	return kf_status_set(KF_ERR_UNSUPPORTED, "unknown field type");
}

void
kf_field_range(const kf_field_t *field, char *buf, size_t size)
{
	switch (field->type) {
	case KF_FIELD_U32:
	case KF_FIELD_I64:
		snprintf(buf, size, "%" PRId64 " to %" PRId64, field->min,
		    field->max);
		return;
	case KF_FIELD_PERCENT:
		snprintf(buf, size, "0 to 100");
		return;
	case KF_FIELD_CHOICE:
		choices_format(field, buf, size);
		return;
	case KF_FIELD_NAME:
		snprintf(buf, size, "name");
		return;
	case KF_FIELD_TEXT:
		snprintf(buf, size, "up to %" PRId64 " bytes", field->max);
		return;
	case KF_FIELD_ADDR:
		snprintf(buf, size, "unicast ip:port");
		return;
	case KF_FIELD_CUSTOM:
		break;
	}
	snprintf(buf, size, "%s", field->unit != NULL ? field->unit : "");
}

static void
record_report(
    const kf_record_t *record, int line, const char *key, const char *text)
{
	char buf[ERROR_BYTES];

	snprintf(buf, sizeof(buf), "%s: %s", key, text);
	record->report(record->ctx, line, buf);
}

bool
kf_record_set(kf_record_t *record, const char *key, const char *value, int line)
{
	const kf_field_t *field;
	size_t i;

	for (i = 0; i < record->count; i++) {
		if (strcmp(record->fields[i].key, key) == 0)
			break;
	}
	if (i == record->count)
		return false;
	field = &record->fields[i];
	if (record->seen_fields >> i & 1)
		record_report(record, line, key, "given twice");
	else if (kf_field_parse(field, record->object, value) != KF_OK)
		record_report(record, line, key, kf_status_message());
	record->seen_fields |= UINT64_C(1) << i;
	return true;
}

void
kf_record_finish(kf_record_t *record)
{
	const kf_field_t *field;
	size_t i;

	for (i = 0; i < record->count; i++) {
		field = &record->fields[i];
		if (record->seen_fields >> i & 1)
			continue;
		if (field->default_value == NULL)
			record_report(
			    record, record->line, field->key, "missing");
		else if (*field->default_value != '\0' &&
		    kf_field_parse(
			field, record->object, field->default_value) != KF_OK)
			record_report(record, record->line, field->key,
			    kf_status_message());
	}
}

kf_status_t
kf_name_check(const char *name)
{
	size_t len;

	len = strspn(name,
	    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	    "0123456789._-");
	if (len == 0 || name[len] != '\0')
		return kf_status_set(KF_ERR_INVALID,
		    "'%.80s' is not a name of letters, digits, '.', '_', '-'",
		    name);
	if (len >= KF_NAME_BYTES)
		return kf_status_set(KF_ERR_INVALID,
		    "name is longer than %d bytes", KF_NAME_BYTES - 1);
	return KF_OK;
}

static kf_status_t
label_parse(const char *word, size_t len, kf_label_t *label)
{
	const char *equals;
	size_t key_len, value_len;

	equals = memchr(word, '=', len);
	key_len = equals != NULL ? (size_t)(equals - word) : 0;
	value_len = equals != NULL ? len - key_len - 1 : 0;
	if (key_len == 0 || value_len == 0)
		return kf_status_set(KF_ERR_INVALID, "'%.*s' is not key=value",
		    (int)(len < 80 ? len : 80), word);
	if (key_len >= sizeof(label->key) || value_len >= sizeof(label->value))
		return kf_status_set(KF_ERR_INVALID,
		    "'%.*s' has more than %zu bytes in its key or value",
		    (int)(len < 80 ? len : 80), word, sizeof(label->key) - 1);
	memset(label, 0, sizeof(*label));
	memcpy(label->key, word, key_len);
	memcpy(label->value, equals + 1, value_len);
	if (kf_name_check(label->key) != KF_OK)
		return KF_ERR_INVALID;
	return kf_name_check(label->value);
}

static kf_status_t
label_check_unique(const kf_label_t *labels, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(labels[i].key, labels[count].key) == 0)
			return kf_status_set(KF_ERR_CONFLICT,
			    "'%s' is given twice", labels[count].key);
	}
	return KF_OK;
}

kf_status_t
kf_labels_parse(
    const char *value, size_t max, kf_label_t *labels, uint32_t *count)
{
	const char *word = value;
	size_t len;
	kf_status_t status;

	*count = 0;
	for (;;) {
		word += strspn(word, " \t");
		if (*word == '\0')
			return KF_OK;
		if (*count == max)
			return kf_status_set(
			    KF_ERR_FULL, "more than %zu labels", max);
		len = strcspn(word, " \t");
		status = label_parse(word, len, &labels[*count]);
		if (status == KF_OK)
			status = label_check_unique(labels, *count);
		if (status != KF_OK)
			return status;
		(*count)++;
		word += len;
	}
}
