#ifndef KF_KEYRING_H
#define KF_KEYRING_H

#include <stddef.h>
#include <stdint.h>

#include "kf/status.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_keyring - MAC keys with overlapping validity
 *
 * DESCRIPTION
 *	Keys come from a document that the platform publishes.  A MAC is made
 *	with the newest key that is valid now and checked with any key that
 *	has not expired, so that VMs may learn of a new key at different
 *	times.  A keyring must be used by one thread only; kf_keyring_copy
 *	makes a copy for another thread.
 */

enum {
	KF_KEY_SECRET_BYTES = 16,
	KF_KEYRING_MAX_KEYS = 8,
	KF_MAC_BYTES = 8,
};

typedef struct kf_key {
	uint32_t id;
	int64_t not_before_s;
	int64_t not_after_s;
	uint8_t secret[KF_KEY_SECRET_BYTES];
} kf_key_t;

typedef struct kf_keyring kf_keyring_t;

kf_keyring_t *kf_keyring_new(void);
kf_keyring_t *kf_keyring_copy(const kf_keyring_t *ring);
void kf_keyring_delete(kf_keyring_t *ring);

kf_status_t kf_keyring_add(kf_keyring_t *ring, const kf_key_t *key);

/* Returns the id of the newest key valid at now_s, or KF_ERR_NOT_FOUND. */
kf_status_t kf_keyring_current(
    const kf_keyring_t *ring, int64_t now_s, uint32_t *id);

/* End of a key's validity; 0 if the key is not known. */
int64_t kf_keyring_not_after_s(const kf_keyring_t *ring, uint32_t id);

/* Computes the MAC of data followed by extra with the key id. */
kf_status_t kf_keyring_mac(kf_keyring_t *ring, uint32_t id, int64_t now_s,
    const uint8_t *data, size_t len, const uint8_t *extra, size_t extra_len,
    uint8_t mac[KF_MAC_BYTES]);

/*
 * Compares in constant time.  KF_ERR_AUTH: the MAC does not match.
 * KF_ERR_NOT_FOUND: the key is not in this keyring; another VM may have it.
 */
kf_status_t kf_keyring_check(kf_keyring_t *ring, uint32_t id, int64_t now_s,
    const uint8_t *data, size_t len, const uint8_t *extra, size_t extra_len,
    const uint8_t mac[KF_MAC_BYTES]);

#ifdef __cplusplus
}
#endif

#endif
