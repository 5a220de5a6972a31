#ifndef KF_FETCH_H
#define KF_FETCH_H

#include "kf/confdist.h"

/*
 * NAME
 *	fetch - downloads documents from the platform and from peers
 *
 * DESCRIPTION
 *	Two threads do the blocking work: one runs the HTTP transfers from
 *	the platform, the other calls peers over RPC.  Results are queued until
 *	the control thread takes them; fetch_wake_fd is readable while results
 *	are queued.
 */

typedef enum fetch_outcome {
	FETCH_DOCUMENT = 0,
	FETCH_UNCHANGED, /* the platform has no newer document */
	FETCH_FAILED,
} fetch_outcome_t;

typedef struct fetch_result {
	struct fetch_result *next;
	fetch_outcome_t outcome;
	kf_doc_kind_t kind;
	kf_doc_source_t source;
	uint64_t version;
	char *text; /* NUL-terminated; NULL if empty */
	size_t len;
} fetch_result_t;

typedef struct fetch fetch_t;

/* Calls to peers use local_ip as their source address. */
fetch_t *fetch_new(const char *platform_url, uint32_t local_ip);
void fetch_delete(fetch_t *f);

/* Descriptor to poll for results. */
int fetch_wake_fd(const fetch_t *f);

/*
 * Starts a fetch of a version newer than after_version.  If there is none, the
 * platform may wait for one for up to wait_ms before it answers.
 */
void fetch_platform(
    fetch_t *f, kf_doc_kind_t kind, uint64_t after_version, uint32_t wait_ms);
/* Queues a call to a peer; the result repeats source and kind. */
void fetch_peer(
    fetch_t *f, kf_doc_source_t source, kf_addr_t peer, kf_doc_kind_t kind);

/* Returns the next result or NULL; free it with fetch_result_delete. */
fetch_result_t *fetch_take(fetch_t *f);
void fetch_result_delete(fetch_result_t *result);

#endif
