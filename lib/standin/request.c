#include <string.h>
#include <xxhash.h>

#include "kf/rpc.h"
#include "kf/standin.h"

enum { FIXED_RESULT_BYTES = 8 + 8 + 4 + 4 };

uint64_t
kf_sim_number(
    uint32_t tag, bool non_idempotent, uint32_t caller, uint32_t sequence)
{
	return (uint64_t)(tag & 0xffff) << 48 |
	    (uint64_t)(non_idempotent ? 1 : 0) << 47 |
	    (uint64_t)(caller & 0x7fff) << 32 | sequence;
}

uint32_t
kf_sim_number_tag(uint64_t number)
{
	return (uint32_t)(number >> 48);
}

bool
kf_sim_number_non_idempotent(uint64_t number)
{
	return (number >> 47 & 1) != 0;
}

static void
fill_from_number(uint64_t number, uint8_t *buf, size_t len)
{
	kf_sim_random_t random = { .state = number };
	uint64_t bits = 0;
	size_t i;

	for (i = 0; i < len; i++) {
		if (i % 8 == 0)
			bits = kf_sim_random_u64(&random);
		buf[i] = (uint8_t)(bits >> (i % 8 * 8));
	}
}

size_t
kf_sim_args_write(uint64_t number, size_t payload_len, uint8_t *buf, size_t cap)
{
	size_t padded = (payload_len + 3) & ~(size_t)3;

	if (cap < 12 + padded)
		return 0;
	kf_put_u64(buf, number);
	kf_put_u32(buf + 8, (uint32_t)payload_len);
	memset(buf + 12, 0, padded);
	fill_from_number(number, buf + 12, payload_len);
	return 12 + padded;
}

uint64_t
kf_sim_args_digest(const uint8_t *args, size_t len)
{
	return XXH64(args, len, 0);
}

size_t
kf_sim_result_write(const kf_sim_result_t *result, uint8_t *buf, size_t cap)
{
	size_t name_len = strlen(result->upstream);
	size_t name_padded = (name_len + 3) & ~(size_t)3;
	size_t filler_padded = (result->filler_len + 3) & ~(size_t)3;
	size_t len = FIXED_RESULT_BYTES + name_padded + 4 + filler_padded;
	uint8_t *p = buf;

	if (cap < len)
		return 0;
	memset(buf, 0, len);
	kf_put_u64(p, result->number);
	kf_put_u64(p + 8, result->digest);
	kf_put_u32(p + 16, (uint32_t)name_len);
	memcpy(p + 20, result->upstream, name_len);
	p += 20 + name_padded;
	kf_put_u32(p, result->executions);
	kf_put_u32(p + 4, (uint32_t)result->filler_len);
	fill_from_number(result->number, p + 8, result->filler_len);
	return len;
}

static kf_status_t
check_filler(uint64_t number, const uint8_t *p, size_t len)
{
	uint8_t expected[KF_SIM_MAX_PAYLOAD];

	fill_from_number(number, expected, len);
	if (memcmp(expected, p, len) != 0)
		return kf_status_set(KF_ERR_INVALID, "filler does not match");
	return KF_OK;
}

kf_status_t
kf_sim_result_read(const uint8_t *buf, size_t len, kf_sim_result_t *result)
{
	size_t name_len, name_padded;
	const uint8_t *p = buf;

	if (len < FIXED_RESULT_BYTES + 4)
		return kf_status_set(KF_ERR_TRUNCATED, "results end early");
	memset(result, 0, sizeof(*result));
	result->number = kf_get_u64(p);
	result->digest = kf_get_u64(p + 8);
	name_len = kf_get_u32(p + 16);
	name_padded = (name_len + 3) & ~(size_t)3;
	if (name_len >= KF_SIM_NAME_BYTES ||
	    len < FIXED_RESULT_BYTES + 4 + name_padded)
		return kf_status_set(KF_ERR_TRUNCATED, "results end early");
	memcpy(result->upstream, p + 20, name_len);
	p += 20 + name_padded;
	result->executions = kf_get_u32(p);
	result->filler_len = kf_get_u32(p + 4);
	p += 8;
	if (result->filler_len > KF_SIM_MAX_PAYLOAD ||
	    (size_t)(buf + len - p) != ((result->filler_len + 3) & ~(size_t)3))
		return kf_status_set(
		    KF_ERR_TRUNCATED, "filler has the wrong length");
	return check_filler(result->number, p, result->filler_len);
}
