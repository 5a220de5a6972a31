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
 *	kf_field - descriptions of INI keys, and their conversion
 *
 * DESCRIPTION
 *	A static table of kf_field_t describes each key of a section: its
 *	type, unit, range, default and offset in a structure.  A kf_record_t
 *	fills one structure from one section and reports repeated and
 *	missing keys and invalid values.
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
	/* NULL: the key is required; "": the value stays zero. */
	const char *default_value;
	const char *const *choices; /* NULL-terminated */
	kf_field_set_fn *set;
	size_t offset;
	const char *text; /* one-line description */
} kf_field_t;

/* Receives the text of one error and its line. */
typedef void kf_report_fn(void *ctx, int line, const char *text);

typedef struct kf_record {
	const kf_field_t *fields;
	size_t count;
	void *object;
	int line;	      /* of the section header */
	uint64_t seen_fields; /* bit per field */
	kf_report_fn *report;
	void *ctx;
} kf_record_t;

/* Stores the value of a key; returns false if no field has this key. */
bool kf_record_set(
    kf_record_t *record, const char *key, const char *value, int line);

/* Applies defaults and reports missing keys. */
void kf_record_finish(kf_record_t *record);

/* Converts value and stores it in the field's member of object. */
kf_status_t kf_field_parse(
    const kf_field_t *field, void *object, const char *value);

/* Writes a readable form of the accepted values, such as "1 to 16". */
void kf_field_range(const kf_field_t *field, char *buf, size_t size);

/* Checks that name has 1 to 63 letters, digits, '.', '_' or '-'. */
kf_status_t kf_name_check(const char *name);

/* Parses "key=value key=value ..." with at most max labels. */
kf_status_t kf_labels_parse(
    const char *value, size_t max, kf_label_t *labels, uint32_t *count);

#ifdef __cplusplus
}
#endif

#endif
