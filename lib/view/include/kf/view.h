#ifndef KF_VIEW_H
#define KF_VIEW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/declaration.h"
#include "kf/membership.h"
#include "kf/token.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_view - snapshot of the fleet for the traffic threads
 *
 * DESCRIPTION
 *	An immutable, reference-counted snapshot that the control thread
 *	builds: the declaration in force, the VMs, the keys, the owner and
 *	backup of each upstream, and the last digest of each upstream.
 */

enum { KF_VIEW_NONE = UINT32_MAX };

/* A declaration shared by several views. */
typedef struct kf_declref kf_declref_t;

kf_declref_t *kf_declref_new(kf_declaration_t *decl); /* owns decl on success */
kf_declref_t *kf_declref_retain(kf_declref_t *ref);
void kf_declref_release(kf_declref_t *ref);
const kf_declaration_t *kf_declref_get(const kf_declref_t *ref);

typedef struct kf_view_vm {
	kf_vm_id_t id;
	char name[KF_NAME_BYTES];
	uint32_t zone;
	kf_addr_t peer_addr; /* of shard 0; shard i adds i to the port */
	uint32_t shards;
	bool leaving;
	kf_liveness_t liveness;
	int64_t gone_since_us;
	int64_t heard_us; /* latest evidence of life; -1: none */
} kf_view_vm_t;

typedef struct kf_view_digest {
	uint64_t incarnation; /* 0: none received yet */
	uint32_t load;	      /* requests in flight and queued */
	uint32_t flags;	      /* KF_DIGEST_... */
	int64_t heard_us;
} kf_view_digest_t;

enum {
	KF_DIGEST_EJECTED = 1,
	KF_DIGEST_DRAINING = 2,
	KF_DIGEST_COLD = 4,
	KF_DIGEST_OVERLOADED = 8,
};

typedef struct kf_view_upstream {
	uint32_t owner;	 /* index into vms or KF_VIEW_NONE */
	uint32_t backup; /* index into vms or KF_VIEW_NONE */
	kf_view_digest_t digest;
} kf_view_upstream_t;

/* Counts over the upstreams of a service. */
typedef struct kf_view_service {
	uint32_t upstreams;
	uint32_t ejected; /* according to their last digests */
} kf_view_service_t;

typedef struct kf_view_input {
	kf_vm_id_t self;
	bool settled; /* heartbeats have had time to arrive since start */
	kf_declref_t *decl;
	uint64_t declaration_version;
	const kf_keyring_t *keys;
	const kf_view_vm_t *vms;
	uint32_t vm_count;
	/* Assignments that cannot have changed are copied from it. */
	const struct kf_view *previous; /* or NULL */
	/* Returns the last digest of an upstream or NULL; may be NULL. */
	const kf_view_digest_t *(*digest)(void *ctx, uint32_t upstream_id);
	void *ctx;
} kf_view_input_t;

typedef struct kf_view {
	uint32_t refs; /* atomic */
	kf_vm_id_t self;
	uint32_t self_index;
	bool settled;
	bool leaving; /* this VM is leaving */
	kf_declref_t *decl_ref;
	const kf_declaration_t *decl;
	uint64_t declaration_version;
	kf_keyring_t *keys;
	uint32_t vm_count;
	kf_view_vm_t *vms;	       /* ordered by VM id and incarnation */
	kf_view_upstream_t *upstreams; /* parallel to decl->upstreams */
	kf_view_service_t *services;   /* parallel to decl->services */
} kf_view_t;

/* Returns NULL if out of memory or if self is not among the VMs. */
kf_view_t *kf_view_new(const kf_view_input_t *input);
kf_view_t *kf_view_retain(kf_view_t *view);
void kf_view_release(kf_view_t *view);

/* Finds the entry of this VM and incarnation; NULL if there is none. */
const kf_view_vm_t *kf_view_vm(const kf_view_t *view, kf_vm_id_t id);

/*
 * Liveness of an incarnation.  An incarnation without an entry is gone if a
 * newer one of the same VM is listed, else unknown.
 */
kf_liveness_t kf_view_liveness(const kf_view_t *view, kf_vm_id_t id);

/* Peer address of the shard that serves an upstream on a VM. */
kf_addr_t kf_view_shard_addr(const kf_view_vm_t *vm, uint32_t upstream_id);
uint32_t kf_view_shard(const kf_view_vm_t *vm, uint32_t upstream_id);

#ifdef __cplusplus
}
#endif

#endif
