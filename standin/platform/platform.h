#ifndef KF_PLATFORM_H
#define KF_PLATFORM_H

#include "document.h"

/*
 * NAME
 *	kf_platform - stand-in for the configuration service
 *
 * DESCRIPTION
 *	GET /v1/doc/KIND?after=VERSION&wait_ms=N answers with the body and
 *	X-Version, or with 304 when nothing newer appears in time.  Nothing
 *	can be written over HTTP.
 */

enum {
	KF_PLATFORM_KINDS = 3,
	/* Bounds connections, and by that waiting watches and memory. */
	KF_PLATFORM_MAX_CONNECTIONS = 4096,
	KF_PLATFORM_MAX_WAIT_MS = 300 * 1000,
	KF_PLATFORM_PATH_BYTES = 512,
};

typedef struct kf_platform_options {
	kf_addr_t listen;
	kf_addr_t control;
	const char *dir;
	const char *files[KF_PLATFORM_KINDS]; /* override the directory */
	uint64_t first_version;
} kf_platform_options_t;

typedef struct kf_platform kf_platform_t;

/* Index of a kind of document, or -1. */
int kf_platform_kind(const char *name, size_t len);

kf_platform_t *kf_platform_new(
    kf_sim_loop_t *loop, const kf_platform_options_t *options);
void kf_platform_delete(kf_platform_t *platform);
void kf_platform_print(const kf_platform_t *platform, FILE *out);

#endif
