#ifndef KF_INI_H
#define KF_INI_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_ini - INI text as a sequence of sections and pairs
 *
 * DESCRIPTION
 *	Wraps libinih.  Adds line numbers, full section names, sections
 *	without pairs, and the report of every malformed line instead of the
 *	first one.  Comments start with ';' or '#' at the start of a line,
 *	or with ';' after a blank.  A value does not continue on the next
 *	line.
 */

enum {
	KF_INI_LINE_BYTES = 2048, /* longest line, end included */
	KF_DOCUMENT_MAX_BYTES = 1024 * 1024,
};

/*
 * Receives every error of a document: file name, line (0 if none), text.
 */
typedef void kf_error_fn(
    void *ctx, const char *file, int line, const char *text);

typedef struct kf_ini_handler {
	/* "[kind name]"; name is "" if the header has one word. */
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
