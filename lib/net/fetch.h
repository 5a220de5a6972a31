#ifndef KF_FETCH_H
#define KF_FETCH_H

#include "kf/confdist.h"

/*
 * NAME
 *	fetch - documents from the platform and from peers
 *
 * DESCRIPTION
 *	Two threads do the blocking work: one drives HTTP transfers, one
 *	calls peers.  Results wait in a list until the control thread takes
 *	them; wake_fd becomes readable when there is one.
 */

typedef enum fetch_outcome {
	FETCH_DOCUMENT = 0,
	FETCH_UNCHANGED,
	FETCH_FAILED,
} fetch_outcome_t;

typedef struct fetch_result {
	struct fetch_result *next;
	fetch_outcome_t outcome;
	kf_doc_kind_t kind;
	kf_doc_source_t source;
	uint64_t version;
	char *text;
	size_t len;
} fetch_result_t;

typedef struct fetch fetch_t;

/* Peers are called from local_ip. */
fetch_t *fetch_new(const char *platform_url, uint32_t local_ip);
void fetch_delete(fetch_t *f);

int fetch_wake_fd(const fetch_t *f);

void fetch_platform(
    fetch_t *f, kf_doc_kind_t kind, uint64_t after_version, uint32_t wait_ms);
void fetch_peer(
    fetch_t *f, kf_doc_source_t source, kf_addr_t peer, kf_doc_kind_t kind);

/* Returns the next result or NULL; free it with fetch_result_delete. */
fetch_result_t *fetch_take(fetch_t *f);
void fetch_result_delete(fetch_result_t *result);

#endif
