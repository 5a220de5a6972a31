#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <stdlib.h>
#include <string.h>

#include "kf/keyring.h"

typedef struct entry {
	kf_key_t key;
	/* Initialized with the key; EVP_MAC_init without a key restarts it. */
	EVP_MAC_CTX *ctx;
} entry_t;

struct kf_keyring {
	EVP_MAC *siphash;
	size_t count;
	entry_t entries[KF_KEYRING_MAX_KEYS];
};

kf_keyring_t *
kf_keyring_new(void)
{
	kf_keyring_t *ring;

	ring = calloc(1, sizeof(*ring));
	if (ring == NULL)
		return NULL;
	ring->siphash = EVP_MAC_fetch(NULL, "SIPHASH", NULL);
	if (ring->siphash == NULL) {
		free(ring);
		return NULL;
	}
	return ring;
}

kf_keyring_t *
kf_keyring_copy(const kf_keyring_t *ring)
{
	kf_keyring_t *copy;
	size_t i;

	copy = kf_keyring_new();
	if (copy == NULL)
		return NULL;
	for (i = 0; i < ring->count; i++) {
		if (kf_keyring_add(copy, &ring->entries[i].key) != KF_OK) {
			kf_keyring_delete(copy);
			return NULL;
		}
	}
	return copy;
}

void
kf_keyring_delete(kf_keyring_t *ring)
{
	size_t i;

	if (ring == NULL)
		return;
	for (i = 0; i < ring->count; i++) {
		EVP_MAC_CTX_free(ring->entries[i].ctx);
		OPENSSL_cleanse(&ring->entries[i].key, sizeof(kf_key_t));
	}
	EVP_MAC_free(ring->siphash);
	free(ring);
}

static entry_t *
keyring_find(const kf_keyring_t *ring, uint32_t id)
{
	size_t i;

	for (i = 0; i < ring->count; i++) {
		if (ring->entries[i].key.id == id)
			return (entry_t *)&ring->entries[i];
	}
	return NULL;
}

kf_status_t
kf_keyring_add(kf_keyring_t *ring, const kf_key_t *key)
{
	size_t mac_bytes = KF_MAC_BYTES;
	OSSL_PARAM params[] = {
		OSSL_PARAM_construct_size_t(OSSL_MAC_PARAM_SIZE, &mac_bytes),
		OSSL_PARAM_construct_end(),
	};
	entry_t *entry;

	if (keyring_find(ring, key->id) != NULL)
		return kf_status_set(
		    KF_ERR_CONFLICT, "key %u is given twice", key->id);
	if (key->not_after_s <= key->not_before_s)
		return kf_status_set(
		    KF_ERR_INVALID, "key %u ends before it starts", key->id);
	if (ring->count == KF_KEYRING_MAX_KEYS)
		return kf_status_set(KF_ERR_FULL,
		    "keyring has more than %d keys", KF_KEYRING_MAX_KEYS);
	entry = &ring->entries[ring->count];
	entry->key = *key;
	entry->ctx = EVP_MAC_CTX_new(ring->siphash);
	if (entry->ctx == NULL ||
	    !EVP_MAC_init(
		entry->ctx, entry->key.secret, KF_KEY_SECRET_BYTES, params)) {
		EVP_MAC_CTX_free(entry->ctx);
		return kf_status_set(
		    KF_ERR_NO_MEMORY, "cannot initialize SipHash with the key");
	}
	ring->count++;
	return KF_OK;
}

kf_status_t
kf_keyring_current(const kf_keyring_t *ring, int64_t now_s, uint32_t *id)
{
	const kf_key_t *best = NULL;
	size_t i;

	for (i = 0; i < ring->count; i++) {
		const kf_key_t *key = &ring->entries[i].key;

		if (now_s < key->not_before_s || now_s >= key->not_after_s)
			continue;
		if (best == NULL || key->not_before_s > best->not_before_s)
			best = key;
	}
	if (best == NULL)
		return kf_status_set(
		    KF_ERR_NOT_FOUND, "no key in the keyring is valid now");
	*id = best->id;
	return KF_OK;
}

int64_t
kf_keyring_not_after_s(const kf_keyring_t *ring, uint32_t id)
{
	const entry_t *entry = keyring_find(ring, id);

	return entry == NULL ? 0 : entry->key.not_after_s;
}

kf_status_t
kf_keyring_mac(kf_keyring_t *ring, uint32_t id, int64_t now_s,
    const uint8_t *data, size_t len, const uint8_t *extra, size_t extra_len,
    uint8_t mac[KF_MAC_BYTES])
{
	size_t mac_len;
	entry_t *entry;

	entry = keyring_find(ring, id);
	if (entry == NULL)
		return kf_status_set(
		    KF_ERR_NOT_FOUND, "key %u is not in the keyring", id);
	if (now_s >= entry->key.not_after_s)
		return kf_status_set(KF_ERR_EXPIRED, "key %u has expired", id);
	if (!EVP_MAC_init(entry->ctx, NULL, 0, NULL) ||
	    !EVP_MAC_update(entry->ctx, data, len) ||
	    !EVP_MAC_update(entry->ctx, extra, extra_len) ||
	    !EVP_MAC_final(entry->ctx, mac, &mac_len, KF_MAC_BYTES))
		return kf_status_set(KF_ERR_AUTH, "cannot compute MAC");
	return KF_OK;
}

kf_status_t
kf_keyring_check(kf_keyring_t *ring, uint32_t id, int64_t now_s,
    const uint8_t *data, size_t len, const uint8_t *extra, size_t extra_len,
    const uint8_t mac[KF_MAC_BYTES])
{
	uint8_t expected_mac[KF_MAC_BYTES];
	kf_status_t status;

	status = kf_keyring_mac(
	    ring, id, now_s, data, len, extra, extra_len, expected_mac);
	if (status != KF_OK)
		return status;
	if (CRYPTO_memcmp(expected_mac, mac, KF_MAC_BYTES) != 0)
		return kf_status_set(KF_ERR_AUTH, "MAC does not match");
	return KF_OK;
}
