#include <gtest/gtest.h>

#include "kf/conntrack.h"

namespace {

kf_addr_t
ClientOf(uint32_t i)
{
	return { 0x64400001u + (i >> 15), (uint16_t)(1 + (i & 0x7fff)) };
}

/* Guards against new flows refused because the table is full of idle ones, and
 * against a table without a limit. */
TEST(Conntrack, IdleRecordsMakeRoom)
{
	const kf_addr_t route = { 0xc6120001u, 443 };
	kf_conntrack_t *t = kf_conntrack_new();
	uint32_t i = 0;

	while (kf_flow_t *flow = kf_conntrack_add(t, ClientOf(i), route)) {
		if (i++ < 2)
			kf_conntrack_set_idle(t, flow);
		ASSERT_LE(i, KF_CONNTRACK_MAX + 2u);
	}
	EXPECT_EQ(KF_CONNTRACK_MAX - 1u + 2, i);
	EXPECT_EQ(0u, kf_conntrack_count(t, KF_FLOW_IDLE));
	EXPECT_EQ(nullptr, kf_conntrack_find(t, ClientOf(0), route));
	EXPECT_NE(nullptr, kf_conntrack_find(t, ClientOf(2), route));
	kf_conntrack_delete(t);
}

} // namespace
