#ifndef KF_PLATFORM_H
#define KF_PLATFORM_H

#include "document.h"

/*
 * NAME
 *	kf_platform - stand-in for the platform's configuration service
 *
 * DESCRIPTION
 *	GET /v1/doc/KIND?after=VERSION&wait_ms=N returns the document and its
 *	version in the header X-Version as soon as the version is greater
 *	than VERSION, or 304 if there is none within N ms.  HTTP access is
 *	read-only.
 */

enum {
	KF_PLATFORM_KINDS = 3,
	/* Also limits the number of waiting requests and their memory. */
	KF_PLATFORM_MAX_CONNECTIONS = 4096,
	KF_PLATFORM_MAX_WAIT_MS = 300 * 1000,
	KF_PLATFORM_PATH_BYTES = 512,
};

typedef struct kf_platform_options {
	kf_addr_t listen;
	kf_addr_t control;
	const char *dir;
	const char *files[KF_PLATFORM_KINDS]; /* NULL: KIND.ini in dir */
	uint64_t first_version;
} kf_platform_options_t;

typedef struct kf_platform kf_platform_t;

/* Returns the index of a kind of document, or -1 if it is unknown. */
int kf_platform_kind(const char *name, size_t len);

/* Returns NULL with a status message on failure. */
kf_platform_t *kf_platform_new(
    kf_sim_loop_t *loop, const kf_platform_options_t *options);
void kf_platform_delete(kf_platform_t *platform);
/* Prints the counters as key=value pairs without the end of the line. */
void kf_platform_print(const kf_platform_t *platform, FILE *out);

#endif
