#ifndef RIG_H
#define RIG_H

#include "kf/bench_conf.h"
#include "kf/traffic.h"

/* Traffic cores of a few VMs whose datagrams are kept for the next step. */

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
	uint32_t upstream; /* id of the first service's first upstream */
	uint32_t owner;	   /* VMs of this upstream */
	uint32_t backup;
	uint32_t other; /* neither */
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

/* Delivers the pending datagrams, and those that follow from them. */
void rig_deliver(rig_t *rig);
/* Gives the upstream's answer to the datagram in to_upstream. */
void rig_answer(rig_t *rig);
kf_route_t rig_route(const rig_t *rig, uint32_t caller);
/* Gets a token whose upstream is rig->upstream. */
void rig_token(rig_t *rig, uint32_t caller, uint8_t token[KF_TOKEN_BYTES]);

#endif
