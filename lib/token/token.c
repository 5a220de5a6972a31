#include <string.h>

#include "kf/rpc.h"
#include "kf/token.h"

enum { TOKEN_FORMAT = 1 };

static void
token_write(const kf_token_t *token, uint32_t key_id, uint8_t *p)
{
	kf_put_u32(p, TOKEN_FORMAT);
	kf_put_u32(p + 4, key_id);
	kf_put_u32(p + 8, token->service);
	kf_put_u32(p + 12, token->upstream);
	kf_put_u64(p + 16, token->upstream_incarnation);
	kf_put_u32(p + 24, token->owner.vm);
	kf_put_u64(p + 28, token->owner.incarnation);
	kf_put_u32(p + 36, token->backup.vm);
	kf_put_u64(p + 40, token->backup.incarnation);
	kf_put_u64(p + 48, token->flow);
	kf_put_u32(p + 56, token->generation);
	kf_put_u32(p + 60, token->share_point);
	kf_put_u32(p + 64, token->revision);
	kf_put_u64(p + 68, (uint64_t)token->expiry_s);
	kf_put_u32(p + 76, token->uid);
	kf_put_u32(p + 80, token->gid);
}

static void
token_read(const uint8_t *p, kf_token_t *token)
{
	token->service = kf_get_u32(p + 8);
	token->upstream = kf_get_u32(p + 12);
	token->upstream_incarnation = kf_get_u64(p + 16);
	token->owner.vm = kf_get_u32(p + 24);
	token->owner.incarnation = kf_get_u64(p + 28);
	token->backup.vm = kf_get_u32(p + 36);
	token->backup.incarnation = kf_get_u64(p + 40);
	token->flow = kf_get_u64(p + 48);
	token->generation = kf_get_u32(p + 56);
	token->share_point = kf_get_u32(p + 60);
	token->revision = kf_get_u32(p + 64);
	token->expiry_s = (int64_t)kf_get_u64(p + 68);
	token->uid = kf_get_u32(p + 76);
	token->gid = kf_get_u32(p + 80);
}

kf_status_t
kf_token_seal(const kf_token_t *token, kf_keyring_t *ring, int64_t now_s,
    uint32_t caller_ip, uint8_t buf[KF_TOKEN_BYTES])
{
	kf_token_t limited = *token;
	int64_t latest_s;
	uint8_t ip[4];
	uint32_t key_id;
	kf_status_t status;

	status = kf_keyring_current(ring, now_s, &key_id);
	if (status != KF_OK)
		return status;
	latest_s = kf_keyring_not_after_s(ring, key_id) - KF_TOKEN_KEY_MARGIN_S;
	if (limited.expiry_s > latest_s)
		limited.expiry_s = latest_s;
	token_write(&limited, key_id, buf);
	kf_put_u32(ip, caller_ip);
	return kf_keyring_mac(ring, key_id, now_s, buf, KF_TOKEN_BODY_BYTES, ip,
	    sizeof(ip), buf + KF_TOKEN_BODY_BYTES);
}

kf_status_t
kf_token_open(const uint8_t *buf, size_t len, kf_keyring_t *ring, int64_t now_s,
    uint32_t caller_ip, kf_token_t *token)
{
	uint8_t ip[4];
	kf_status_t status;

	memset(token, 0, sizeof(*token));
	if (len != KF_TOKEN_BYTES || kf_get_u32(buf) != TOKEN_FORMAT)
		return kf_status_set(
		    KF_ERR_AUTH, "token has a wrong length or format");
	kf_put_u32(ip, caller_ip);
	status = kf_keyring_check(ring, kf_get_u32(buf + 4), now_s, buf,
	    KF_TOKEN_BODY_BYTES, ip, sizeof(ip), buf + KF_TOKEN_BODY_BYTES);
	if (status != KF_OK)
		return status;
	token_read(buf, token);
	if (now_s >= token->expiry_s)
		return kf_status_set(KF_ERR_EXPIRED, "token has expired");
	return KF_OK;
}
