#ifndef KF_TOKEN_H
#define KF_TOKEN_H

#include <stddef.h>
#include <stdint.h>

#include "kf/keyring.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_token - routing token that a caller returns with each call
 *
 * DESCRIPTION
 *	A token travels to the caller in the AUTH_SHORT verifier of a reply
 *	and comes back as the AUTH_SHORT credential of each later call.  Any
 *	VM can route by it without stored state.  The MAC covers every field and
 *	the caller's IP address.
 */

enum {
	KF_TOKEN_BODY_BYTES = 84,
	KF_TOKEN_BYTES = KF_TOKEN_BODY_BYTES + KF_MAC_BYTES,
	/* An XDR opaque_auth that holds the token. */
	KF_TOKEN_VERIFIER_BYTES = 8 + KF_TOKEN_BYTES,
};

/*
 * A token expires at least this long before its key, so that a call sent before
 * the token expired can still be checked when a copy of it arrives.
 */
enum { KF_TOKEN_KEY_MARGIN_S = 120 };

typedef struct kf_vm_id {
	uint32_t vm;
	uint64_t incarnation; /* start time of the process in ms */
} kf_vm_id_t;

typedef struct kf_token {
	uint32_t service;
	uint32_t upstream;
	uint64_t upstream_incarnation; /* 0: unknown at issue */
	kf_vm_id_t owner;
	kf_vm_id_t backup; /* vm 0: the owner had no backup */
	uint64_t flow;
	uint32_t generation;
	uint32_t share_point; /* [0, 65536) */
	uint32_t revision;
	int64_t expiry_s;
	uint32_t uid;
	uint32_t gid;
} kf_token_t;

/*
 * Encodes the token with a MAC made with the newest valid key.  Its expiry is
 * shortened if it is less than KF_TOKEN_KEY_MARGIN_S before that of the key.
 */
kf_status_t kf_token_seal(const kf_token_t *token, kf_keyring_t *ring,
    int64_t now_s, uint32_t caller_ip, uint8_t buf[KF_TOKEN_BYTES]);

/*
 * Checks and decodes a token.  KF_ERR_AUTH: forged, truncated or issued to
 * another caller.  KF_ERR_NOT_FOUND: its key is not in the keyring.
 * KF_ERR_EXPIRED: the token or its key has expired; *token is filled in only if
 * the key is still valid, since the MAC cannot be checked otherwise.
 */
kf_status_t kf_token_open(const uint8_t *buf, size_t len, kf_keyring_t *ring,
    int64_t now_s, uint32_t caller_ip, kf_token_t *token);

#ifdef __cplusplus
}
#endif

#endif
