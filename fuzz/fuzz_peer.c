/*
 * Guards against reads past the end of a datagram from another balancer and
 * against leaks of the fields that the decoder allocates.
 */
#include "kf/peer.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	kf_peer_msg msg;

	if (kf_peer_decode(data, size, &msg) == KF_OK)
		kf_peer_free(&msg);
	return 0;
}
