#ifndef KF_PACKET_H
#define KF_PACKET_H

#include <stdbool.h>
#include <stdint.h>

#include "kf/addr.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_packet - the fields of a client's packet that forwarding reads
 *
 * DESCRIPTION
 *	The token names the upstream of the flow.  The balancer writes it into
 *	opening packets; upstream and client copy it into all later ones, so
 *	that any VM can route a packet without state of its own.
 */

enum { KF_TOKEN_NONE = 0 };

typedef struct kf_packet {
	kf_addr_t client;
	kf_addr_t address; /* of the route */
	uint32_t sequence;
	uint32_t acknowledged; /* in a SYN: copies sent before this one */
	uint32_t token;
	uint32_t payload_bytes;
	bool syn;
	bool fin;
	bool rst;
} kf_packet_t;

#ifdef __cplusplus
}
#endif

#endif
