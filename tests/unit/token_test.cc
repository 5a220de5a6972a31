#include <gtest/gtest.h>

#include "kf/token.h"

namespace {

const int64_t kNow = 1000;
const uint32_t kCaller = 0x7f000001;

class Token : public ::testing::Test {
      protected:
	void SetUp() override
	{
		kf_key_t key = { 1, 0, 5000, { 1, 2, 3 } };

		ring = kf_keyring_new();
		ASSERT_EQ(KF_OK, kf_keyring_add(ring, &key));
		token.service = 5;
		token.upstream = 6;
		token.flow = 77;
		token.expiry_s = 2000;
		ASSERT_EQ(KF_OK, Seal());
	}
	void TearDown() override
	{
		kf_keyring_delete(ring);
	}
	kf_status_t Seal()
	{
		return kf_token_seal(&token, ring, kNow, kCaller, buf);
	}
	kf_status_t Open(
	    int64_t now_s, uint32_t caller, size_t len = KF_TOKEN_BYTES)
	{
		return kf_token_open(buf, len, ring, now_s, caller, &got);
	}

	kf_keyring_t *ring = nullptr;
	kf_token_t token = {};
	kf_token_t got = {};
	uint8_t buf[KF_TOKEN_BYTES];
};

TEST_F(Token, RoundTrip)
{
	ASSERT_EQ(KF_OK, Open(kNow, kCaller));
	EXPECT_EQ(77u, got.flow);
	EXPECT_EQ(6u, got.upstream);
}

/* Guards against routing by a forged token. */
TEST_F(Token, EveryFlippedBitIsRefused)
{
	for (size_t bit = 0; bit < KF_TOKEN_BYTES * 8; bit++) {
		buf[bit / 8] ^= (uint8_t)(1 << bit % 8);
		EXPECT_NE(KF_OK, Open(kNow, kCaller)) << bit;
		buf[bit / 8] ^= (uint8_t)(1 << bit % 8);
	}
}

/* Guards against a token used from the address of another caller. */
TEST_F(Token, OtherCallerIsRefused)
{
	EXPECT_EQ(KF_ERR_AUTH, Open(kNow, kCaller + 1));
}

TEST_F(Token, TruncatedIsRefused)
{
	EXPECT_EQ(KF_ERR_AUTH, Open(kNow, kCaller, KF_TOKEN_BYTES - 1));
}

TEST_F(Token, ExpiredIsRefused)
{
	EXPECT_EQ(KF_ERR_EXPIRED, Open(2000, kCaller));
}

/* Guards against rejecting tokens of the old key after a new key is added. */
TEST_F(Token, OldKeyOpensDuringRotation)
{
	kf_key_t next = { 2, 900, 9000, { 9 } };
	uint32_t id;

	ASSERT_EQ(KF_OK, kf_keyring_add(ring, &next));
	EXPECT_EQ(KF_OK, Open(kNow, kCaller));
	ASSERT_EQ(KF_OK, kf_keyring_current(ring, kNow, &id));
	EXPECT_EQ(2u, id);
}

} // namespace
