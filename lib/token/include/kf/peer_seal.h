#ifndef KF_PEER_SEAL_H
#define KF_PEER_SEAL_H

#include <stddef.h>
#include <stdint.h>

#include "kf/keyring.h"
#include "kf/peer.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_peer_seal, kf_peer_open - peer messages with a MAC
 *
 * DESCRIPTION
 *	A datagram is the encoded message followed by its MAC, made with the
 *	key whose id is in the message.
 */

/* Sets msg->key to the newest valid key. */
kf_status_t kf_peer_seal(kf_peer_msg *msg, kf_keyring_t *keys, int64_t now_s,
    uint8_t *buf, size_t cap, size_t *len);

/* On success the caller must free the message with kf_peer_free. */
kf_status_t kf_peer_open(const uint8_t *buf, size_t len, kf_keyring_t *keys,
    int64_t now_s, kf_peer_msg *msg);

#ifdef __cplusplus
}
#endif

#endif
