/*
 * Guards against accepting a token or a peer message without a valid MAC.  The
 * fuzzer cannot compute a MAC, so every input that is accepted is a forgery.
 */
#include <stdlib.h>

#include "kf/peer_seal.h"
#include "kf/token.h"

enum { NOW_S = 1000, CALLER_IP = 0x7f000001 };

static kf_keyring_t *
make_ring(void)
{
	kf_key_t key = { .id = 1, .not_after_s = 100000, .secret = { 7, 9 } };
	kf_keyring_t *ring = kf_keyring_new();

	if (ring == NULL || kf_keyring_add(ring, &key) != KF_OK)
		abort();
	return ring;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static kf_keyring_t *ring;
	kf_token_t token;
	kf_peer_msg msg;

	if (ring == NULL)
		ring = make_ring();
	if (kf_token_open(data, size, ring, NOW_S, CALLER_IP, &token) == KF_OK)
		abort();
	if (kf_peer_open(data, size, ring, NOW_S, &msg) == KF_OK)
		abort();
	return 0;
}
