#ifndef KF_CONFDIST_H
#define KF_CONFDIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/status.h"
#include "kf/token.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_confdist - documents in force and the sources of newer ones
 *
 * DESCRIPTION
 *	Documents are ordered by the revision in their text, then platform
 *	version, then digest.  Keys and the VM list have revision 0.  The
 *	highest document seen is in force; a lower one never replaces it.
 *
 *	In each zone the two live VMs with the highest rendezvous scores watch
 *	the platform.  Heartbeats carry the age of the sender's contact, that
 *	is, the last time at which the platform is known to have answered.  A
 *	VM without recent contact probes the platform itself: it reads the VM
 *	list first and the other kinds only after an answer.  A VM fetches
 *	newer documents from the peers whose heartbeats claim them.
 *
 *	All times are microseconds of this process's monotonic clock.
 */

typedef enum kf_doc_kind {
	KF_DOC_DECLARATION = 0,
	KF_DOC_KEYS,
	KF_DOC_VMS,
	KF_DOC_KINDS
} kf_doc_kind_t;

enum {
	/* Keeps the age of a watcher's contact below KF_CONTACT_LIMIT_US. */
	KF_WATCH_WAIT_MS = 1000,
	/*
	 * Contact older than this is not recent.  KF_CONTACT_LIMIT_STEP_US is
	 * added for each doubling of a zone above 8 VMs.
	 */
	KF_CONTACT_LIMIT_US = 2000000,
	KF_CONTACT_LIMIT_STEP_US = 500000,
	KF_BACKOFF_MIN_US = 250000,
	KF_BACKOFF_MAX_US = 10000000,
	KF_PLATFORM_TIMEOUT_US = 3000000,
	KF_PEER_TIMEOUT_US = 1000000,
	KF_CONTACT_NEVER_MS = -1,
	KF_START_WINDOW_US = 1000000,
};

typedef struct kf_doc_version {
	uint32_t revision;
	uint64_t platform_version; /* 0: none */
} kf_doc_version_t;

/* Where a document comes from: the platform if both members are 0. */
typedef struct kf_doc_source {
	uint32_t vm;
	uint32_t seed; /* 1: the first address in the settings */
} kf_doc_source_t;

typedef enum kf_doc_result {
	KF_DOC_ACCEPTED = 0,
	KF_DOC_UNCHANGED,
	KF_DOC_OLDER,	/* below the one in force */
	KF_DOC_INVALID, /* the parser rejects it, see kf_status_message */
	KF_DOC_FAILED,	/* out of memory; a retry may succeed */
} kf_doc_result_t;

/* Parses documents; kf_status_message gives the reason of a failure. */
typedef struct kf_doc_ops {
	void *ctx;
	kf_status_t (*parse)(void *ctx, kf_doc_kind_t kind, const char *text,
	    size_t len, void **doc);
	void (*free)(void *ctx, kf_doc_kind_t kind, void *doc);
	uint32_t (*revision_of)(void *ctx, kf_doc_kind_t kind, const void *doc);
} kf_doc_ops_t;

typedef struct kf_confdist_actions {
	void *ctx;
	/*
	 * Asks for a document above after_version.  The platform may wait up
	 * to wait_ms for one.
	 */
	void (*fetch_platform)(void *ctx, kf_doc_kind_t kind,
	    uint64_t after_version, uint32_t wait_ms);
	/* version is the one that the peer claims; zeros for a seed. */
	void (*fetch_peer)(void *ctx, kf_doc_source_t peer, kf_doc_kind_t kind,
	    kf_doc_version_t version);
} kf_confdist_actions_t;

typedef struct kf_confdist_config {
	kf_vm_id_t self;
	uint32_t zone;
	uint64_t seed;
	uint32_t seed_count; /* addresses in the settings */
	/*
	 * If there are seeds, the first read of the platform is delayed by a
	 * random time below this, which is at most UINT32_MAX.  A VM that is
	 * not a watcher skips the read if by then it has every document and
	 * recent contact from peers.
	 */
	int64_t start_window_us;
	kf_doc_ops_t ops;
} kf_confdist_config_t;

/* A document in force; valid until the next one is accepted. */
typedef struct kf_doc {
	kf_doc_version_t version;
	uint64_t digest; /* xxh64 of the text */
	const char *text;
	size_t len;
	void *parsed;
} kf_doc_t;

typedef struct kf_confdist kf_confdist_t;

kf_confdist_t *kf_confdist_new(const kf_confdist_config_t *config);
void kf_confdist_delete(kf_confdist_t *c);

/*
 * Sets the VMs of the own zone that are not dead, without this one.  To be
 * called when they change, and between each VM list and the next tick.
 */
void kf_confdist_set_zone_members(
    kf_confdist_t *c, const uint32_t *vms, size_t count);

/* Returns true if this VM is one of the two that watch the platform. */
bool kf_confdist_is_watcher(const kf_confdist_t *c);

kf_doc_result_t kf_confdist_on_document(kf_confdist_t *c, int64_t now_us,
    kf_doc_kind_t kind, kf_doc_source_t source, uint64_t platform_version,
    const char *text, size_t len);

/*
 * Reports that the platform has no document of this kind, or none above
 * after_version.
 */
void kf_confdist_on_unchanged(
    kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind);

void kf_confdist_on_fetch_failed(kf_confdist_t *c, int64_t now_us,
    kf_doc_kind_t kind, kf_doc_source_t source);

/*
 * Applies the versions and the age of contact in a peer's heartbeat.  The age
 * is KF_CONTACT_NEVER_MS if the peer knows of no contact.
 */
void kf_confdist_on_peer_versions(kf_confdist_t *c, int64_t now_us, uint32_t vm,
    const kf_doc_version_t versions[KF_DOC_KINDS], int32_t contact_age_ms);

/* Starts the fetches that are due, through the callbacks. */
void kf_confdist_tick(
    kf_confdist_t *c, int64_t now_us, const kf_confdist_actions_t *actions);

/* Returns the document in force; version 0 if there is none. */
kf_doc_t kf_confdist_doc(const kf_confdist_t *c, kf_doc_kind_t kind);

/* Returns the age of contact for heartbeats, or KF_CONTACT_NEVER_MS. */
int32_t kf_confdist_contact_age_ms(const kf_confdist_t *c, int64_t now_us);

/* Returns a number that changes with each accepted document. */
uint64_t kf_confdist_generation(const kf_confdist_t *c);

const char *kf_doc_kind_name(kf_doc_kind_t kind);
const char *kf_doc_result_name(kf_doc_result_t result);

/* Compares revision, then platform version: negative, 0 or positive. */
int kf_doc_version_compare(kf_doc_version_t a, kf_doc_version_t b);

#ifdef __cplusplus
}
#endif

#endif
