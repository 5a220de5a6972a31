#ifndef KF_CONNTRACK_H
#define KF_CONNTRACK_H

#include <stddef.h>

#include "kf/packet.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_conntrack - connection tracking table of this VM
 *
 * DESCRIPTION
 *	Holds the flows that are being opened, each with a copy of its SYN, and
 *	the open flows, from which this VM knows its load on each upstream.
 *	A lost record only costs accuracy, because packets of an open flow carry
 *	a token that names its upstream.  An idle flow holds no load, and is
 *	added again by its next request.  If the table is full, the oldest
 *	record of an idle flow makes room.
 *
 *	Records are kept in one array and linked by index, so that the array can
 *	be reallocated.
 */

enum {
	KF_FLOW_MAX_TRIES = 3,
	/* Maximum datagram size of a SYN, which carries no data; a flow with a
	 * longer one is refused. */
	KF_FLOW_SYN_BYTES = 64,
	KF_FLOW_NONE = 0, /* null index */
	/* Uses 30 MB with the hash index.  The process may use half of the
	 * 80 MB of the smallest VM. */
	KF_CONNTRACK_MAX = 131072,
};

typedef enum kf_flow_state {
	KF_FLOW_FREE = 0,
	KF_FLOW_OPENING,
	KF_FLOW_OPEN,
	KF_FLOW_IDLE, /* open without load; kept to be reset if its upstream
			 is dead */
} kf_flow_state_t;

typedef struct kf_flow_try {
	uint32_t token;
	bool unanswered_counted; /* as a failure of its upstream */
	int64_t sent_us;
} kf_flow_try_t;

typedef struct kf_flow {
	kf_addr_t client;
	kf_addr_t address;
	uint32_t sequence; /* of the SYN */
	kf_flow_state_t state;
	uint64_t hash;
	uint64_t service;
	uint32_t copies; /* retransmissions of the SYN by the client */
	uint32_t token;	 /* of the upstream, once open */
	uint8_t tries;
	bool load_counted; /* tries count in their upstreams' opening */
	uint8_t syn_bytes;
	kf_flow_try_t attempt[KF_FLOW_MAX_TRIES];
	int64_t started_us;
	int64_t due_us; /* next connect_step of an opening flow */
	int64_t last_packet_us;
	int64_t request_started_us; /* of the request in progress; 0: none */
	uint32_t request_ack;	    /* acknowledgement number at its start */
	uint32_t acknowledged;	    /* by the client's last packet */
	bool acknowledged_known;
	bool busy;	/* counts in its upstream's busy */
	bool answering; /* the client has acknowledged a part of the answer */
	bool reused;	/* has had a request before the current one */
	bool failed;	/* the request in progress was reported as failed */
	uint8_t syn[KF_FLOW_SYN_BYTES];
	uint32_t next_in_bucket;
	uint32_t next; /* record of the same state */
	uint32_t previous;
} kf_flow_t;

typedef struct kf_conntrack kf_conntrack_t;

kf_conntrack_t *kf_conntrack_new(void);
void kf_conntrack_delete(kf_conntrack_t *table);

uint64_t kf_flow_hash(kf_addr_t client, kf_addr_t address);

/* Returns NULL if there is no record. */
kf_flow_t *kf_conntrack_find(
    const kf_conntrack_t *table, kf_addr_t client, kf_addr_t address);

/* Adds a record in state KF_FLOW_OPENING; returns NULL if the table is full. */
kf_flow_t *kf_conntrack_add(
    kf_conntrack_t *table, kf_addr_t client, kf_addr_t address);

/* Adds the record of a flow that has been open for some time, at the upstream
 * with this token; returns NULL if the table is full. */
kf_flow_t *kf_conntrack_add_open(
    kf_conntrack_t *table, kf_addr_t client, kf_addr_t address, uint32_t token);

/* Marks a flow as open and the most recently used one. */
void kf_conntrack_touch(kf_conntrack_t *table, kf_flow_t *flow);
/* Marks a flow as idle and the most recently used one of these. */
void kf_conntrack_set_idle(kf_conntrack_t *table, kf_flow_t *flow);
void kf_conntrack_remove(kf_conntrack_t *table, kf_flow_t *flow);

/* Iterates over the flows of a state, the least recently used first. */
kf_flow_t *kf_conntrack_first(
    const kf_conntrack_t *table, kf_flow_state_t state);
kf_flow_t *kf_conntrack_next(
    const kf_conntrack_t *table, const kf_flow_t *flow);

size_t kf_conntrack_count(const kf_conntrack_t *table, kf_flow_state_t state);

#ifdef __cplusplus
}
#endif

#endif
