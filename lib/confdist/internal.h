#ifndef KF_CONFDIST_INTERNAL_H
#define KF_CONFDIST_INTERNAL_H

#include "kf/confdist.h"

enum {
	CLAIMS_MAX = 8,
	REFUSALS_MAX = 8,
	WATCHERS = 2,
	/* A version refused with one digest from this many sources is bad. */
	REFUSAL_SOURCES = 2,
};

/* A peer that says it has a version. */
typedef struct claim {
	uint32_t vm; /* 0: free */
	kf_doc_version_t version;
	int64_t blocked_us; /* not asked before this time */
} claim_t;

typedef struct refusal {
	uint64_t platform_version;
	uint64_t digest;
	uint32_t sources;
} refusal_t;

typedef struct platform_fetch {
	bool outstanding;
	bool scheduled; /* a probe is due at next_us */
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
	size_t refusal_count;
	refusal_t refusals[REFUSALS_MAX];
} kind_state_t;

struct kf_confdist {
	kf_confdist_config_t config;
	uint64_t random;
	uint64_t generation;
	size_t zone_members; /* this VM included */
	bool watcher;
	bool started;
	int64_t confirmed_us; /* the fleet's contact; -1: none */
	int64_t newer_us;     /* contact of a peer with newer documents */
	kind_state_t kinds[KF_DOC_KINDS];
};

uint32_t confdist_random(kf_confdist_t *c, uint32_t limit);

/* True if every copy of a version is refused. */
bool kind_refuses(const kind_state_t *kind, uint64_t platform_version);

/* The version above which the platform is asked. */
uint64_t kind_after_version(const kind_state_t *kind);

/* Records the outcome of a fetch. */
void confdist_answered(kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind);
void confdist_delivered(kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind,
    kf_doc_source_t source, kf_doc_result_t result);

#endif
