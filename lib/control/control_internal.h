#ifndef KF_CONTROL_INTERNAL_H
#define KF_CONTROL_INTERNAL_H

#include <apr_hash.h>
#include <apr_pools.h>

#include "kf/control.h"

enum {
	HEARTBEAT_MAX_BYTES = 2048,
	/*
	 * Minimum interval between views that differ only in digests: a base
	 * plus an amount per VM and upstream, since each is copied.  With
	 * 16,000 VMs and 4000 upstreams a fixed 100 ms took 4% of a core.
	 */
	DIGEST_VIEW_US = 100000,
	DIGEST_VIEW_PER_ENTRY_US = 20,
};

/* Last digest of an upstream, from this VM or from a heartbeat. */
typedef struct digest_entry {
	uint32_t upstream;
	bool own; /* from a traffic thread of this VM */
	int64_t sent_us;
	kf_view_digest_t digest;
} digest_entry_t;

struct kf_control {
	kf_control_config_t config;
	kf_addr_t *seeds;
	kf_membership_t *membership;
	kf_confdist_t *confdist;
	kf_view_t *view;
	kf_time_t now;
	int64_t started_us;
	bool settled; /* KF_CONTROL_SETTLE_US have passed and keys are known */
	bool digests_changed;
	int64_t published_us;
	uint64_t view_members_version; /* of membership in the last view */
	uint64_t view_docs_generation; /* of confdist in the last view */
	uint64_t zone_members_version; /* of membership given to confdist */
	uint64_t vms_version;	       /* of the VM list given to membership */
	apr_pool_t *pool;
	apr_hash_t *digests;  /* digest_entry_t by upstream */
	apr_hash_t *liveness; /* recorded_state_t by VM id and incarnation */
	kf_counters_t counters;
	uint8_t buf[HEARTBEAT_MAX_BYTES];
};

/* documents.c */
kf_doc_ops_t documents_ops(kf_control_t *c);
void documents_record_result(kf_control_t *c, kf_doc_kind_t kind,
    kf_doc_result_t result, uint64_t version);
kf_keyring_t *documents_keys(const kf_control_t *c);

/* heartbeat.c */
void heartbeat_send_due(kf_control_t *c);
void heartbeat_on_datagram(
    kf_control_t *c, kf_addr_t from, const uint8_t *data, size_t len);

/* digests.c */
void digests_set(kf_control_t *c, uint32_t upstream,
    const kf_view_digest_t *digest, bool own);
uint32_t digests_collect(kf_control_t *c, kf_peer_digest *out, uint32_t max);
void digests_on_heartbeat(kf_control_t *c, const kf_peer_heartbeat *hb);
const kf_view_digest_t *digests_find(void *ctx, uint32_t upstream_id);
void digests_expire(kf_control_t *c);
void digests_delete(kf_control_t *c);

#endif
