#ifndef KF_CONFDIST_INTERNAL_H
#define KF_CONFDIST_INTERNAL_H

#include "kf/confdist.h"

enum {
	CLAIMS_MAX = 8,
	REJECTIONS_MAX = 8,
	WATCHERS = 2,
	/*
	 * A version is not fetched any more if this many copies with the same
	 * digest were rejected.
	 */
	REJECTION_SOURCES = 2,
};

/* A version that a peer claims to have. */
typedef struct claim {
	uint32_t vm; /* 0: free */
	kf_doc_version_t version;
	int64_t blocked_until_us; /* not asked before this time */
} claim_t;

typedef struct rejection {
	uint64_t platform_version;
	uint64_t digest;
	uint32_t sources;
} rejection_t;

typedef struct platform_fetch {
	bool outstanding;
	bool scheduled; /* a probe is scheduled for next_us */
	uint64_t seen_version;
	int64_t started_us;
	int64_t next_us;
	int64_t backoff_us;  /* 0: the last fetch was answered */
	int64_t answered_us; /* -1: never */
} platform_fetch_t;

typedef struct peer_fetch {
	bool outstanding;
	kf_doc_source_t source;
	kf_doc_version_t version;
	int64_t started_us;
	uint32_t next_seed;
	int64_t next_seed_us;
	claim_t claims[CLAIMS_MAX];
} peer_fetch_t;

typedef struct kind_state {
	kf_doc_t doc;
	char *text;
	platform_fetch_t platform;
	peer_fetch_t peer;
	size_t rejection_count;
	rejection_t rejections[REJECTIONS_MAX];
} kind_state_t;

struct kf_confdist {
	kf_confdist_config_t config;
	uint64_t random;
	uint64_t generation;
	size_t zone_members; /* this VM included */
	bool watcher;
	bool started;
	/* Last contact reported by peers with the same documents; -1: none. */
	int64_t fleet_contact_us;
	/* As reported by peers with newer documents; not in our heartbeats. */
	int64_t newer_peer_contact_us;
	kind_state_t kinds[KF_DOC_KINDS];
};

uint32_t confdist_random(kf_confdist_t *c, uint32_t limit);

/* Returns true if no copy of a version is worth fetching. */
bool kind_is_rejected(const kind_state_t *kind, uint64_t platform_version);

/* Returns the version above which the platform is asked for documents. */
uint64_t kind_newest_seen_version(const kind_state_t *kind);

/* Record the outcome of a fetch from the platform or from a peer. */
void confdist_on_platform_answer(
    kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind);
void confdist_on_peer_document(kf_confdist_t *c, int64_t now_us,
    kf_doc_kind_t kind, kf_doc_source_t source, kf_doc_result_t result);

#endif
