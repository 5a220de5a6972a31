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
 *	kf_packet - fields of a client's packet that the forwarder uses
 *
 * DESCRIPTION
 *	The token identifies the upstream of the flow.  The balancer writes it
 *	into the SYN; upstream and client copy it into all later packets, so
 *	that any VM can route them without state of its own.
 */

enum { KF_TOKEN_NONE = 0 };

typedef struct kf_packet {
	kf_addr_t client;
	kf_addr_t address; /* of the route */
	uint32_t sequence;
	uint32_t acknowledged; /* in a SYN: number of earlier copies */
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
