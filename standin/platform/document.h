#ifndef KF_SIM_DOCUMENT_H
#define KF_SIM_DOCUMENT_H

#include "kf/standin.h"

/*
 * NAME
 *	kf_sim_document - one kind of document with its last versions
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
	size_t count; /* the newest is last */
	kf_sim_version_t versions[KF_SIM_DOCUMENT_VERSIONS];
} kf_sim_document_t;

void kf_sim_document_init(
    kf_sim_document_t *document, const char *kind, uint64_t first_version);
void kf_sim_document_clear(kf_sim_document_t *document);

/* Publishes a file's content unless it is the newest already. */
kf_status_t kf_sim_document_load(
    kf_sim_document_t *document, const char *path, int64_t now_us);

/*
 * The newest version published at or before until_us, skipping the newest
 * `skip` of them but never all; NULL if there is none.
 */
const kf_sim_version_t *kf_sim_document_find(
    const kf_sim_document_t *document, int64_t until_us, size_t skip);

#endif
