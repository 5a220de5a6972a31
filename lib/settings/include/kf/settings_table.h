#ifndef KF_SETTINGS_TABLE_H
#define KF_SETTINGS_TABLE_H

#include "kf/reader.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_settings_table - reads the settings of a daemon from an INI file
 *
 * DESCRIPTION
 *	A table of descriptors states section, key, type, unit, range and
 *	default of each setting; consecutive descriptors with the same
 *	section name form one section.  The functions report every error
 *	before they return.
 */

typedef struct kf_settings_table {
	const kf_field_t *fields;
	size_t count;
	/* Checks settings against each other; may be NULL. */
	void (*check)(const void *settings, kf_reader_t *reader);
} kf_settings_table_t;

enum { KF_MAX_OVERRIDES = 16 };

/* Settings from the command line, as "SECTION.KEY=VALUE". */
typedef struct kf_overrides {
	const char *texts[KF_MAX_OVERRIDES];
	size_t count;
} kf_overrides_t;

/* Fills *settings, which the caller sets to zero first. */
kf_status_t kf_settings_table_parse(const kf_settings_table_t *table,
    const char *file, const char *text, size_t len, kf_error_fn *on_error,
    void *ctx, void *settings);

/*
 * Sets what the command line gives in place of the values of the file.  An
 * empty VALUE leaves a setting as it is.
 */
kf_status_t kf_settings_table_override(const kf_settings_table_t *table,
    const kf_overrides_t *overrides, kf_error_fn *on_error, void *ctx,
    void *settings);

/* Reads the text from a file and applies the overrides. */
kf_status_t kf_settings_table_load(const kf_settings_table_t *table,
    const char *path, const kf_overrides_t *overrides, kf_error_fn *on_error,
    void *ctx, void *settings);

/*
 * Parses addresses "ip:port" separated by blanks or commas.  Returns
 * KF_ERR_FULL if there are more than max and KF_ERR_CONFLICT if one is given
 * twice.
 */
kf_status_t kf_settings_addrs_parse(
    const char *value, kf_addr_t *addrs, uint32_t max, uint32_t *count);

#ifdef __cplusplus
}
#endif

#endif
