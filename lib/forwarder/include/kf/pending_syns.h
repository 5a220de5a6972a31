#ifndef KF_PENDING_SYNS_H
#define KF_PENDING_SYNS_H

#include <stddef.h>
#include <stdint.h>

#include "kf/conntrack.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_pending_syns - SYNs that wait for the first configuration
 *
 * DESCRIPTION
 *	A VM that starts knows the upstreams before the routes, and forwards
 *	packets of open flows meanwhile.  A SYN that is dropped is sent again
 *	only 200 to 800 ms later, so SYNs wait.  Those for which there is no
 *	memory, and those older than KF_PENDING_SYNS_MAX_AGE_US, are dropped.
 */

enum {
	KF_PENDING_SYNS_MAX = 512,
	/* Clients give up an opening after 1.4 s. */
	KF_PENDING_SYNS_MAX_AGE_US = 1000000,
};

typedef struct kf_pending_syn {
	kf_packet_t packet;
	int64_t received_us;
	uint8_t datagram[KF_FLOW_SYN_BYTES];
	size_t len;
} kf_pending_syn_t;

typedef struct kf_pending_syns {
	kf_pending_syn_t *list;
	size_t count;
	size_t cap;
} kf_pending_syns_t;

/* A copy replaces the SYN that waits.  Returns false if the SYN cannot wait. */
bool kf_pending_syns_add(kf_pending_syns_t *pending, const kf_packet_t *packet,
    const uint8_t *datagram, size_t len, int64_t now_us);

/* Forgets all SYNs and frees the memory. */
void kf_pending_syns_clear(kf_pending_syns_t *pending);

#ifdef __cplusplus
}
#endif

#endif
