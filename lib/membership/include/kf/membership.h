#ifndef KF_MEMBERSHIP_H
#define KF_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/document.h"
#include "kf/peer.h"
#include "kf/token.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_membership - VMs of the fleet, their incarnations and liveness
 *
 * DESCRIPTION
 *	Combines the platform's VM list, which may lag, with heartbeats,
 *	evidence that peers relay in heartbeats and port-unreachable errors.
 *	Evidence of life takes precedence over the list.
 *
 *	In a fleet of up to KF_MESH_MAX VMs every VM sends heartbeats to every
 *	other.  In a larger fleet each VM sends them to 3 observers chosen by
 *	rendezvous hashing, to one more random VM of its zone and to one
 *	random VM of another zone.  An observer measures how long a VM has
 *	been silent and reports it as evidence, which peers relay.  A VM that
 *	nobody reports silent counts as alive once any VM has reported it
 *	alive.
 *
 *	All times are microseconds of this process's monotonic clock.
 */

enum {
	/*
	 * With 7 receivers every 500 ms, the byte budget allows datagrams of
	 * 146 bytes: 116 bytes of headers and fixed fields, and one digest or
	 * evidence entry.
	 */
	KF_MESH_MAX = 8,
	KF_HEARTBEAT_US = 500000,
	KF_SUSPECT_US = 1500000,
	KF_DEAD_US = 3000000,
	KF_PAUSE_US = 1000000,
	KF_TOMBSTONE_US = 300000000,
	KF_CONTROL_BYTES_PER_S = 2048,
	KF_UDP_IP_BYTES = 28,
	/* Size of the buffer that callers pass to kf_membership_targets. */
	KF_TARGETS_MAX = 32,
};

typedef enum kf_liveness {
	KF_VM_UNKNOWN = 0, /* no evidence of life since start or pause */
	KF_VM_ALIVE,
	KF_VM_SUSPECT, /* silent for KF_SUSPECT_US */
	KF_VM_DEAD,    /* silent for KF_DEAD_US */
	KF_VM_GONE,    /* this incarnation has definitely ended */
	KF_VM_LIVENESS_COUNT
} kf_liveness_t;

typedef struct kf_membership_config {
	kf_vm_id_t self;
	const char *name;
	uint32_t zone;
	kf_addr_t control;
	kf_addr_t peer; /* same IP address as control */
	uint32_t shards;
	uint64_t seed;
} kf_membership_config_t;

typedef struct kf_member {
	kf_vm_id_t id;		  /* incarnation 0: known from the list only */
	char name[KF_NAME_BYTES]; /* empty until listed */
	uint32_t zone;
	kf_addr_t control;
	kf_addr_t peer; /* port 0: unknown */
	uint32_t shards;
	bool leaving;
	kf_liveness_t liveness;
	int64_t gone_since_us; /* KF_VM_GONE: when this VM found out */
	int64_t heard_us;      /* latest evidence of life; -1: none */
} kf_member_t;

typedef struct kf_heartbeat_target {
	uint32_t vm; /* 0: seed address of an unknown VM */
	kf_addr_t addr;
	bool observe; /* the receiver is an observer of this VM */
} kf_heartbeat_target_t;

typedef struct kf_membership kf_membership_t;

kf_membership_t *kf_membership_new(const kf_membership_config_t *config);
void kf_membership_delete(kf_membership_t *m);

/* Adds a seed address: heartbeats are sent there until a VM answers. */
kf_status_t kf_membership_add_seed(kf_membership_t *m, kf_addr_t addr);

/*
 * Applies the platform's VM list.  Returns KF_ERR_STALE if it is not newer
 * than the last one.  A list that is empty or omits more than half of the
 * listed VMs that are alive is considered faulty: its VMs are added, but the
 * omitted ones are not considered ended.
 */
kf_status_t kf_membership_on_list(kf_membership_t *m, int64_t now_us,
    const kf_vm_list_t *list, uint64_t version);

/*
 * Applies an authenticated heartbeat.  Returns KF_ERR_STALE if it is of an
 * ended incarnation or not newer than the last one; the caller then ignores
 * its other contents.
 */
kf_status_t kf_membership_on_heartbeat(kf_membership_t *m, int64_t now_us,
    const kf_peer_heartbeat *hb, kf_peer_id from, kf_addr_t src);

/*
 * Reports a port-unreachable error for a control or peer address.  Two errors
 * without a heartbeat between them prove that the known incarnation has ended.
 * Errors within a second after a heartbeat are ignored: they may be due to an
 * earlier process at the same port.
 */
void kf_membership_on_unreachable(
    kf_membership_t *m, int64_t now_us, kf_addr_t addr);
void kf_membership_on_unreachable_vm(
    kf_membership_t *m, int64_t now_us, uint32_t vm);

/*
 * Updates the liveness of all members.  More than KF_PAUSE_US between ticks
 * means that this process was paused.
 */
void kf_membership_tick(kf_membership_t *m, int64_t now_us);

/* Returns true if the last tick detected a pause. */
bool kf_membership_paused(const kf_membership_t *m);

/* Returns the receivers of the heartbeat that is due, or 0 if none is. */
size_t kf_membership_targets(
    kf_membership_t *m, int64_t now_us, kf_heartbeat_target_t *out, size_t max);

/*
 * Fills in the heartbeat for a target except document versions and digests.
 * The evidence points into m and is valid until the next call.
 */
void kf_membership_fill_heartbeat(kf_membership_t *m, int64_t now_us,
    const kf_heartbeat_target_t *to, kf_peer_heartbeat *hb);

/* Returns how many upstream digests fit the byte budget of hb. */
size_t kf_membership_digest_max(
    const kf_membership_t *m, const kf_peer_heartbeat *hb);

/*
 * Writes evidence of up to max VMs for a peer that has started or paused.
 * Heartbeats alone take minutes to inform it of 700 VMs.
 */
size_t kf_membership_snapshot(const kf_membership_t *m, int64_t now_us,
    kf_peer_evidence *out, size_t max);

/* Applies a peer's snapshot. */
void kf_membership_on_evidence(kf_membership_t *m, int64_t now_us,
    const kf_peer_evidence *evidence, size_t count);

/* Returns how many listed VMs of the own zone are KF_VM_UNKNOWN. */
size_t kf_membership_unknown_count(const kf_membership_t *m);

void kf_membership_set_leaving(kf_membership_t *m);

/* Index 0 is this VM; the other members follow, then ended incarnations. */
size_t kf_membership_count(const kf_membership_t *m);
void kf_membership_at(const kf_membership_t *m, size_t index, kf_member_t *out);

/* Finds an incarnation, which may have ended; else KF_ERR_NOT_FOUND. */
kf_status_t kf_membership_find(
    const kf_membership_t *m, kf_vm_id_t id, kf_member_t *out);

/* Returns a number that changes with any field of a member but heard_us. */
uint64_t kf_membership_version(const kf_membership_t *m);

/*
 * Returns the newest incarnation of the own VM id that peers report, or 0.
 * If it is above the own incarnation, peers ignore this process.
 */
uint64_t kf_membership_newest_own_incarnation(const kf_membership_t *m);

const char *kf_liveness_name(kf_liveness_t liveness);

#ifdef __cplusplus
}
#endif

#endif
