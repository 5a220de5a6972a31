#ifndef RIG_H
#define RIG_H

#include "kf/bench_conf.h"
#include "kf/traffic.h"

/*
 * Test rig with the traffic cores of a few VMs.  Datagrams that a core sends
 * are stored until the benchmark delivers them.
 */

enum { RIG_VMS = 4, RIG_BUF_BYTES = 1024, RIG_PENDING_MAX = 16 };

typedef struct datagram {
	uint8_t data[RIG_BUF_BYTES];
	size_t len;
	kf_addr_t to;
} datagram_t;

typedef struct rig_vm {
	struct rig *rig;
	uint32_t index;
	kf_traffic_t *core;
} rig_vm_t;

typedef struct rig {
	rig_vm_t vms[RIG_VMS];
	kf_time_t now;
	const kf_service_t *service;
	uint32_t upstream;  /* id of the first service's first upstream */
	uint32_t owner;	    /* index of the VM that owns the upstream */
	uint32_t backup;    /* index of its backup VM */
	uint32_t non_owner; /* index of a VM that is neither */
	datagram_t to_caller;
	datagram_t to_upstream;
	uint32_t path;
	datagram_t pending[RIG_PENDING_MAX]; /* to peers, oldest first */
	uint32_t senders[RIG_PENDING_MAX];
	uint32_t pending_count;
	uint64_t callers_sent;
	kf_declref_t *decl;
	kf_keyring_t *keys;
} rig_t;

rig_t *rig_new(const kf_conf_t *conf, uint64_t seed);
void rig_delete(rig_t *rig);

/* Delivers pending datagrams until none are left. */
void rig_deliver(rig_t *rig);
/* Delivers the upstream's reply to the call in to_upstream. */
void rig_answer(rig_t *rig);
kf_route_t rig_route(const rig_t *rig, uint32_t caller);
/* Establishes flows until one gets a token for rig->upstream. */
void rig_token(rig_t *rig, uint32_t caller, uint8_t token[KF_TOKEN_BYTES]);

#endif
