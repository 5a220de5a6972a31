#ifndef KF_SIM_DOCUMENT_H
#define KF_SIM_DOCUMENT_H

#include "kf/standin.h"

/*
 * NAME
 *	kf_sim_document - the latest versions of one kind of document
 */

enum {
	KF_SIM_DOCUMENT_BYTES = 1024 * 1024,
	KF_SIM_DOCUMENT_VERSIONS = 16,
};

typedef struct kf_sim_version {
	uint64_t version;
	int64_t published_us;
	char *body;
	size_t len;
} kf_sim_version_t;

typedef struct kf_sim_document {
	const char *kind;
	uint64_t next_version;
	size_t count;
	kf_sim_version_t versions[KF_SIM_DOCUMENT_VERSIONS]; /* newest last */
} kf_sim_document_t;

void kf_sim_document_init(
    kf_sim_document_t *document, const char *kind, uint64_t first_version);
/* Frees all versions. */
void kf_sim_document_clear(kf_sim_document_t *document);

/* Publishes the content of a file unless the newest version equals it. */
kf_status_t kf_sim_document_load(
    kf_sim_document_t *document, const char *path, int64_t now_us);

/*
 * Returns the version that is `skip` versions older than the newest one
 * published at or before until_us, or the oldest kept version if there are
 * fewer.  NULL if none was published by then.
 */
const kf_sim_version_t *kf_sim_document_find(
    const kf_sim_document_t *document, int64_t until_us, size_t skip);

#endif
