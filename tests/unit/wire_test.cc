#include <gtest/gtest.h>

#include <vector>

#include "kf/call_info.h"
#include "kf/peer.h"
#include "kf/proxy.h"
#include "kf/rpc.h"

namespace {

std::vector<uint8_t>
WriteCall()
{
	static const uint8_t args[] = { 1, 2, 3, 4 };
	kf_rpc_call_t call = {};
	std::vector<uint8_t> buf(256);

	call.xid = 7;
	call.prog = 0x20000101;
	call.vers = 1;
	call.proc = 2;
	call.args = args;
	call.args_len = sizeof(args);
	buf.resize(kf_rpc_call_write(&call, buf.data(), buf.size()));
	return buf;
}

TEST(Rpc, CallRoundTrip)
{
	std::vector<uint8_t> buf = WriteCall();
	kf_rpc_call_t call;

	ASSERT_EQ(KF_OK, kf_rpc_call_parse(buf.data(), buf.size(), &call));
	EXPECT_EQ(7u, call.xid);
	EXPECT_EQ(2u, call.proc);
	EXPECT_EQ(4u, call.args_len);
}

/* Guards against reads past the end of a truncated datagram. */
TEST(Rpc, EveryTruncationIsRefused)
{
	std::vector<uint8_t> buf = WriteCall();
	kf_rpc_call_t call;

	for (size_t len = 0; len < buf.size() - 4; len++) {
		std::vector<uint8_t> cut(buf.begin(), buf.begin() + len);
		EXPECT_EQ(KF_ERR_TRUNCATED,
		    kf_rpc_call_parse(cut.data(), cut.size(), &call))
		    << len;
	}
}

/* Guards against a credential length that points outside the datagram. */
TEST(Rpc, OversizedCredentialIsRefused)
{
	std::vector<uint8_t> buf = WriteCall();
	kf_rpc_call_t call;

	kf_put_u32(&buf[28], 0xfffffffe);
	EXPECT_EQ(
	    KF_ERR_TRUNCATED, kf_rpc_call_parse(buf.data(), buf.size(), &call));
}

TEST(Proxy, RoundTrip)
{
	uint8_t buf[KF_PROXY_HEADER_BYTES];
	kf_addr_t src = { 0x7f000001, 1000 }, dst = { 0x7f000002, 2049 };
	kf_addr_t got_src, got_dst;
	size_t consumed;

	kf_proxy_write(src, dst, buf);
	ASSERT_EQ(KF_OK,
	    kf_proxy_parse(buf, sizeof(buf), &got_src, &got_dst, &consumed));
	EXPECT_TRUE(kf_addr_equal(src, got_src));
	EXPECT_TRUE(kf_addr_equal(dst, got_dst));
	EXPECT_EQ((size_t)KF_PROXY_HEADER_BYTES, consumed);
}

/* Guards against trusting a length field larger than the datagram. */
TEST(Proxy, WrongLengthIsRefused)
{
	uint8_t buf[KF_PROXY_HEADER_BYTES];
	kf_addr_t addr = { 0x7f000001, 1000 };
	size_t consumed;

	kf_proxy_write(addr, addr, buf);
	buf[15] = 200;
	EXPECT_EQ(KF_ERR_TRUNCATED,
	    kf_proxy_parse(buf, sizeof(buf), &addr, &addr, &consumed));
}

TEST(Peer, IntentRoundTrip)
{
	uint8_t buf[256];
	size_t len;
	kf_peer_msg msg = {}, got;

	msg.key = 3;
	msg.from.vm = 9;
	msg.body.type = KF_PEER_INTENT;
	msg.body.kf_peer_body_u.intent.flow = 0x1122334455667788;
	ASSERT_EQ(KF_OK, kf_peer_encode(&msg, buf, sizeof(buf), &len));
	ASSERT_EQ(KF_OK, kf_peer_decode(buf, len, &got));
	EXPECT_EQ(9u, got.from.vm);
	EXPECT_EQ(0x1122334455667788u, got.body.kf_peer_body_u.intent.flow);
	kf_peer_free(&got);
	EXPECT_NE(KF_OK, kf_peer_decode(buf, len - 1, &got));
}

/* Guards against taking an echoed call verifier for a load report. */
TEST(CallInfo, EchoIsNoLoadReport)
{
	uint8_t buf[KF_CALL_INFO_BYTES];
	kf_call_info_t info = {};
	kf_load_report_t report;

	kf_call_info_write(&info, buf);
	kf_rpc_auth_t verf = { KF_FLAVOR_CALL_INFO, sizeof(buf), buf };
	EXPECT_EQ(KF_ERR_UNSUPPORTED, kf_load_report_read(&verf, &report));
}

} // namespace
