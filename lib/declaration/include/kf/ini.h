#ifndef KF_INI_H
#define KF_INI_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_ini - INI parser with a callback for each section and pair
 *
 * DESCRIPTION
 *	Wraps libinih.  Adds line numbers, untruncated section names,
 *	sections without pairs, and reports of all malformed lines instead
 *	of the first one.  Comments start with ';' or '#' at the start of a
 *	line, or with ';' after a blank.  A value does not continue on the
 *	next line.
 */

enum {
	KF_INI_LINE_BYTES = 2048, /* longest line plus terminator */
	KF_DOCUMENT_MAX_BYTES = 1024 * 1024,
};

/* Called for each error of a document; line is 0 if it has none. */
typedef void kf_error_fn(
    void *ctx, const char *file, int line, const char *text);

typedef struct kf_ini_handler {
	/* Header "[kind name]"; name is "" for "[kind]". */
	void (*section)(
	    void *ctx, const char *kind, const char *name, int line);
	void (*pair)(void *ctx, const char *key, const char *value, int line);
	void (*malformed)(void *ctx, const char *text, int line);
} kf_ini_handler_t;

void kf_ini_parse(
    const char *text, size_t len, const kf_ini_handler_t *handler, void *ctx);

#ifdef __cplusplus
}
#endif

#endif
