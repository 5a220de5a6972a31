#include <string.h>

#include "kf/proxy.h"
#include "kf/rpc.h"

enum {
	SIGNATURE_BYTES = 12,
	VERSION_2_PROXY = 0x21,
	UDP_OVER_IPV4 = 0x12,
	IPV4_BLOCK_BYTES = 12,
};

static const uint8_t signature[SIGNATURE_BYTES] = { 0x0d, 0x0a, 0x0d, 0x0a,
	0x00, 0x0d, 0x0a, 0x51, 0x55, 0x49, 0x54, 0x0a };

kf_status_t
kf_proxy_parse(const uint8_t *buf, size_t len, kf_addr_t *src, kf_addr_t *dst,
    size_t *consumed)
{
	size_t block;

	if (len < KF_PROXY_HEADER_BYTES)
		return kf_status_set(
		    KF_ERR_TRUNCATED, "PROXY header ends early");
	if (memcmp(buf, signature, SIGNATURE_BYTES) != 0 ||
	    buf[12] != VERSION_2_PROXY)
		return kf_status_set(
		    KF_ERR_INVALID, "not a PROXY version 2 header");
	if (buf[13] != UDP_OVER_IPV4)
		return kf_status_set(KF_ERR_UNSUPPORTED,
		    "PROXY header is not for UDP over IPv4");
	block = (size_t)buf[14] << 8 | buf[15];
	if (block < IPV4_BLOCK_BYTES || 16 + block > len)
		return kf_status_set(
		    KF_ERR_TRUNCATED, "PROXY address block ends early");
	src->ip = kf_get_u32(buf + 16);
	dst->ip = kf_get_u32(buf + 20);
	src->port = (uint16_t)(buf[24] << 8 | buf[25]);
	dst->port = (uint16_t)(buf[26] << 8 | buf[27]);
	*consumed = 16 + block;
	return KF_OK;
}

void
kf_proxy_write(kf_addr_t src, kf_addr_t dst, uint8_t buf[KF_PROXY_HEADER_BYTES])
{
	memcpy(buf, signature, SIGNATURE_BYTES);
	buf[12] = VERSION_2_PROXY;
	buf[13] = UDP_OVER_IPV4;
	kf_put_u16(buf + 14, IPV4_BLOCK_BYTES);
	kf_put_u32(buf + 16, src.ip);
	kf_put_u32(buf + 20, dst.ip);
	kf_put_u16(buf + 24, src.port);
	kf_put_u16(buf + 26, dst.port);
}
