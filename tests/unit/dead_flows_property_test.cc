#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "support/forwarder_world.h"

/*
 * Upstreams are cut off and work again at random, entries lapse, leave and come
 * back, the VM is suspended, and clients send packets on flows that this or
 * another VM has opened.
 */
namespace {

using namespace kf_test;

/* Evidence may be this old, and the links of an upstream may fail for so long
 * without a probe that shows it. */
constexpr int64_t kStabilityUs = 4000000;
/* A reset is found this long after it at most. */
constexpr int64_t kCheckUs = 20000;
constexpr uint16_t kSafePort = 80, kOncePort = 90;

class CutSession {
      public:
	CutSession() : w_("zone-0")
	{
		kf_route_t safe = MakeRoute(kSafePort, { { "s", 1 } });

		safe.idempotent = true;
		w_.SetRoutes(1, { safe, MakeRoute(kOncePort, { { "s", 1 } }) });
		for (uint64_t id = 1; id <= kUpstreams; id++) {
			info_[id] = MakeUpstream(
			    id, "u" + std::to_string(id), "s", "zone-0", 2);
			w_.Put(info_[id]);
			works_since_us_[id] = 0;
		}
		w_.RunProbing(1300000);
	}
	void Step(int kind, int value)
	{
		uint64_t id = 1 + (uint64_t)value % kUpstreams;
		int64_t run_us = 1000 * (1 + value % 2500);

		switch (kind) {
		case 0:
			w_.unreachable.insert(kf_token_of(id));
			break;
		case 1:
			if (w_.unreachable.erase(kf_token_of(id)) > 0)
				works_since_us_[id] = w_.now_us;
			break;
		case 2:
			for (int i = 0; i < 4; i++)
				kf_forwarder_add_peer_failure(
				    w_.forwarder, kf_token_of(id), w_.now_us);
			break;
		case 3:
			w_.Remove(id, value % 2 == 0);
			break;
		case 4:
			w_.Put(info_[id]);
			break;
		case 5: /* suspended */
			w_.now_us += run_us * 10;
			break;
		case 6:
		case 7:
			for (; run_us > 0; run_us -= kCheckUs) {
				w_.RunProbing(std::min(run_us, kCheckUs));
				CheckResets();
			}
			break;
		default:
			SendOnFlow(id, value);
		}
		CheckResets();
	}

      private:
	static constexpr uint64_t kUpstreams = 4;

	/* A client's port tells the upstream of its flows. */
	void SendOnFlow(uint64_t id, int value)
	{
		uint16_t client = (uint16_t)(id * 1000 + value % 50);
		kf_packet_t packet =
		    MakePacket(client, value % 3 == 0 ? kOncePort : kSafePort);

		packet.token = kf_token_of(id);
		packet.payload_bytes = value % 4 == 0 ? 0 : 100;
		packet.acknowledged = ++acknowledged_[client];
		if (w_.unreachable.count(packet.token) > 0 &&
		    packet.payload_bytes == 0)
			packet.acknowledged--;
		w_.Packet(packet);
	}
	void CheckResets()
	{
		for (const kf_packet_t &reset : w_.resets) {
			uint64_t id = reset.client.port / 1000;

			RC_ASSERT(w_.unreachable.count(kf_token_of(id)) > 0 ||
			    w_.now_us - works_since_us_[id] <
				kStabilityUs + kCheckUs);
		}
		w_.resets.clear();
	}

	ForwarderHarness w_;
	std::map<uint64_t, kf_upstream_info_t> info_;
	std::map<uint64_t, int64_t> works_since_us_;
	std::map<uint16_t, uint32_t> acknowledged_;
};

/* Guards against the reset of a flow whose upstream has worked for the
 * stability time, as a VM may have found it dead long before. */
RC_GTEST_PROP(DeadFlows, NothingIsResetOnOldEvidence, ())
{
	CutSession session;

	for (int steps = *rc::gen::inRange(1, 80); steps > 0; steps--)
		session.Step(
		    *rc::gen::inRange(0, 13), *rc::gen::inRange(0, 10000));
}

} // namespace
