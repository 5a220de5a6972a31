#ifndef KF_FIELD_H
#define KF_FIELD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/declaration.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_field - descriptors of INI keys and the record they fill
 *
 * DESCRIPTION
 *	A static table of kf_field_t states for each key of a section its
 *	type, unit, range, default and place in a structure.  A kf_record_t
 *	fills one structure from one section and reports unknown, repeated,
 *	missing and wrong keys.
 */

typedef enum kf_field_type {
	KF_FIELD_U32 = 0,
	KF_FIELD_I64,
	KF_FIELD_PERCENT, /* double, 0 to 100 */
	KF_FIELD_CHOICE,  /* int, index into choices */
	KF_FIELD_NAME,	  /* char[KF_NAME_BYTES] */
	KF_FIELD_TEXT,	  /* char[max + 1] */
	KF_FIELD_ADDR,	  /* kf_addr_t */
	KF_FIELD_CUSTOM,  /* set() */
} kf_field_type_t;

typedef kf_status_t kf_field_set_fn(void *object, const char *value);

typedef struct kf_field {
	const char *section;
	const char *key;
	kf_field_type_t type;
	const char *unit;
	int64_t min;
	int64_t max;
	/* Default; NULL: the key is required; "": the value stays zero. */
	const char *fallback;
	const char *const *choices; /* NULL-terminated */
	kf_field_set_fn *set;
	size_t offset;
	const char *text; /* one line for people */
} kf_field_t;

/* Reports one error text at a line. */
typedef void kf_report_fn(void *ctx, int line, const char *text);

typedef struct kf_record {
	const kf_field_t *fields;
	size_t count;
	void *object;
	int line; /* of the section header */
	uint64_t seen;
	kf_report_fn *report;
	void *ctx;
} kf_record_t;

/* Handles a pair; returns false if no field has this key. */
bool kf_record_set(
    kf_record_t *record, const char *key, const char *value, int line);

/* Applies defaults and reports missing keys. */
void kf_record_finish(kf_record_t *record);

/* Writes value to the field's place in object, or says what is wrong. */
kf_status_t kf_field_parse(
    const kf_field_t *field, void *object, const char *value);

/* Writes the accepted values for people, e.g. "1 to 16". */
void kf_field_range(const kf_field_t *field, char *buf, size_t size);

/* Names hold 1 to 63 letters, digits, '.', '_' and '-'. */
kf_status_t kf_name_check(const char *name);

/* Parses "key=value key=value". */
kf_status_t kf_labels_parse(
    const char *value, size_t max, kf_label_t *labels, uint32_t *count);

#ifdef __cplusplus
}
#endif

#endif
