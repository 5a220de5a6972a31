#include "kf/peer_seal.h"
#include "kf/rpc.h"

kf_status_t
kf_peer_seal(kf_peer_msg *msg, kf_keyring_t *keys, int64_t now_s, uint8_t *buf,
    size_t cap, size_t *len)
{
	kf_status_t status;
	uint32_t key;

	status = kf_keyring_current(keys, now_s, &key);
	if (status != KF_OK)
		return status;
	msg->key = key;
	if (cap < KF_MAC_BYTES)
		return kf_status_set(
		    KF_ERR_FULL, "buffer has no room for the MAC");
	status = kf_peer_encode(msg, buf, cap - KF_MAC_BYTES, len);
	if (status != KF_OK)
		return status;
	status =
	    kf_keyring_mac(keys, key, now_s, buf, *len, NULL, 0, buf + *len);
	*len += KF_MAC_BYTES;
	return status;
}

kf_status_t
kf_peer_open(const uint8_t *buf, size_t len, kf_keyring_t *keys, int64_t now_s,
    kf_peer_msg *msg)
{
	size_t body_len;
	kf_status_t status;

	if (len < KF_MAC_BYTES + sizeof(uint32_t))
		return kf_status_set(KF_ERR_TRUNCATED,
		    "peer datagram is too short for a key id and a MAC");
	body_len = len - KF_MAC_BYTES;
	/*
	 * The key id is the first field; no other field is read before the MAC
	 * has been checked.
	 */
	status = kf_keyring_check(keys, kf_get_u32(buf), now_s, buf, body_len,
	    NULL, 0, buf + body_len);
	if (status != KF_OK)
		return status;
	return kf_peer_decode(buf, body_len, msg);
}
