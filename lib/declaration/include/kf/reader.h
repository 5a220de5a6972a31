#ifndef KF_READER_H
#define KF_READER_H

#include "kf/field.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_reader - fills structures from the sections of an INI document
 *
 * DESCRIPTION
 *	A table of kf_section_t describes the sections of a document and the
 *	fields of each.  The reader parses a document according to the table,
 *	and reports and counts all errors.  A section without a name may
 *	occur at most once; if it is absent, its defaults apply.
 */

typedef struct kf_reader kf_reader_t;

typedef struct kf_section {
	const char *kind;
	bool named; /* "[kind name]", any number of times */
	const kf_field_t *fields;
	size_t field_count;
	/*
	 * Returns the structure to fill, valid until the next call, or NULL
	 * when out of memory.
	 */
	void *(*begin)(void *target, const char *name, int line);
	/* Handles a key not in fields; false: unknown key.  May be NULL. */
	bool (*set_unlisted)(kf_reader_t *reader, void *object, const char *key,
	    const char *value, int line);
	/* Called at the end of a section; bad: it had errors.  May be NULL. */
	void (*end)(void *target, void *object, bool bad);
} kf_section_t;

enum { KF_READER_MAX_SECTIONS = 16 };

struct kf_reader {
	const char *file;
	kf_error_fn *on_error;
	void *ctx;
	const kf_section_t *sections;
	size_t section_count;
	void *target;
	/* State of the reader; the caller sets it to zero. */
	size_t error_count;
	uint32_t seen_sections; /* bit per section */
	const kf_section_t *section;
	bool skipping;			      /* ignore pairs of this section */
	char error_prefix[KF_NAME_BYTES * 2]; /* "kind name: " */
	size_t errors_before; /* error_count at the section's start */
	kf_record_t record;
};

/* Reads the whole document; check error_count afterwards. */
void kf_reader_run(
    kf_reader_t *reader, const char *text, size_t len, size_t max_bytes);

void kf_reader_error(kf_reader_t *reader, int line, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#ifdef __cplusplus
}
#endif

#endif
