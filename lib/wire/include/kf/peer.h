#ifndef KF_PEER_H
#define KF_PEER_H

#include <stddef.h>
#include <stdint.h>

#include "kf/status.h"
#include "peer_msg.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_peer - codec of the datagrams between balancers
 *
 * DESCRIPTION
 *	Wraps the XDR code generated from peer_msg.x.  Variable-length fields of
 *	a decoded message are allocated; kf_peer_free releases them.
 */

kf_status_t kf_peer_encode(
    kf_peer_msg *msg, uint8_t *buf, size_t cap, size_t *len);
kf_status_t kf_peer_decode(const uint8_t *buf, size_t len, kf_peer_msg *msg);
void kf_peer_free(kf_peer_msg *msg);

#ifdef __cplusplus
}
#endif

#endif
