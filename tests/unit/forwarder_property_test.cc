#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "support/forwarder_world.h"

/*
 * Random sessions: upstreams are added, drain, lapse, are removed and restart;
 * routes and the VM's rank change; clients open flows, send copies of the SYN,
 * send data, and end flows.
 */
namespace {

using namespace kf_test;

struct OpenFlow {
	uint16_t client;
	uint16_t port;
	uint64_t upstream;
};

class RandomSession {
      public:
	RandomSession() : w_("zone-0")
	{
		PublishRoutes();
	}
	void Step(int kind, int value)
	{
		static void (RandomSession::*const steps[])(
		    int) = { &RandomSession::Add, &RandomSession::Add,
			&RandomSession::Drain, &RandomSession::Remove,
			&RandomSession::Restart, &RandomSession::ChangeRoutes,
			&RandomSession::Syn, &RandomSession::Syn,
			&RandomSession::Syn, &RandomSession::Copy,
			&RandomSession::Open, &RandomSession::Open,
			&RandomSession::Open, &RandomSession::Data,
			&RandomSession::Data, &RandomSession::Data,
			&RandomSession::End, &RandomSession::AdvanceTime,
			&RandomSession::AdvanceTime, &RandomSession::Vms };

		w_.sent.clear();
		w_.resets.clear();
		check_openings_ = true;
		(this->*steps[(size_t)kind % 20])(value);
		if (check_openings_)
			CheckOpenings();
	}

      private:
	struct Upstream {
		kf_upstream_info_t info;
		bool listed;
		bool lapsed;
		int64_t unlisted_us;
	};

	static std::string ServiceOf(int value)
	{
		return value % 2 == 0 ? "orders" : "certs";
	}
	void PublishRoutes()
	{
		std::vector<kf_route_t> routes;

		for (auto &route : routes_)
			routes.push_back(
			    MakeRoute(route.first, { { route.second, 1 } }));
		RC_ASSERT(KF_OK == w_.SetRoutes(++version_, routes));
	}
	Upstream *PickUpstream(int value)
	{
		if (upstreams_.empty())
			return nullptr;
		auto it = upstreams_.begin();
		std::advance(it, (size_t)value % upstreams_.size());
		return &it->second;
	}
	void Add(int value)
	{
		uint64_t id = ++last_id_;

		upstreams_[id] = { MakeUpstream(id, "u" + std::to_string(id),
				       ServiceOf(value),
				       "zone-" + std::to_string(value % 3), 3),
			true, false, 0 };
		w_.Put(upstreams_[id].info);
	}
	void Drain(int value)
	{
		Upstream *up = PickUpstream(value);

		if (up == nullptr || !up->listed)
			return;
		up->info.draining = true;
		w_.Put(up->info);
	}
	void Remove(int value)
	{
		Upstream *up = PickUpstream(value);

		if (up == nullptr || !up->listed)
			return;
		up->listed = false;
		up->lapsed = value % 3 == 0 && !up->info.draining;
		up->unlisted_us = w_.now_us;
		w_.Remove(up->info.id, value % 3 == 0);
	}
	/* A new incarnation; the flows of the old one are no longer open. */
	void Restart(int value)
	{
		Upstream *up = PickUpstream(value);

		if (up == nullptr)
			return;
		up->info.born_ms++;
		up->info.draining = false;
		up->listed = true;
		w_.Put(up->info);
		open_.erase(std::remove_if(open_.begin(), open_.end(),
				[&](const OpenFlow &f) {
					return f.upstream == up->info.id;
				}),
		    open_.end());
	}
	void ChangeRoutes(int value)
	{
		uint16_t port = (uint16_t)(443 + value % 4);

		if (value % 5 == 0)
			routes_.erase(port);
		else
			routes_[port] = ServiceOf(value / 4);
		PublishRoutes();
	}
	void Syn(int value)
	{
		kf_packet_t p =
		    MakePacket(++last_client_, (uint16_t)(443 + value % 4));

		p.syn = true;
		w_.Packet(p);
		if (w_.sent.empty())
			RC_ASSERT(w_.resets.size() == 1u);
		else
			placed_[p.client.port] = { p.client.port,
				p.address.port, w_.sent[0].upstream };
	}
	void Copy(int value)
	{
		auto it = placed_.find((uint16_t)(last_client_ - value % 4));

		if (it == placed_.end())
			return;
		kf_packet_t p = MakePacket(it->second.client, it->second.port);
		p.syn = true;
		p.acknowledged = 1;
		w_.Packet(p);
	}
	/* The client accepts the answer of the upstream tried first. */
	void Open(int value)
	{
		auto it = placed_.find((uint16_t)(last_client_ - value % 4));

		if (it == placed_.end())
			return;
		open_.push_back(it->second);
		placed_.erase(it);
		Send(open_.back(), false);
	}
	void Data(int value)
	{
		if (!open_.empty())
			Send(open_[(size_t)value % open_.size()], false);
	}
	void End(int value)
	{
		if (open_.empty())
			return;
		size_t i = (size_t)value % open_.size();
		Send(open_[i], true);
		open_.erase(open_.begin() + (long)i);
	}
	/* A packet of an open flow must reach its upstream only, or none if the
	 * route was removed. */
	void Send(const OpenFlow &flow, bool fin)
	{
		kf_packet_t p = MakePacket(flow.client, flow.port);
		const Upstream &up = upstreams_[flow.upstream];

		check_openings_ = false;
		p.token = kf_token_of(flow.upstream);
		p.fin = fin;
		w_.Packet(p);
		if (routes_.count(flow.port) == 0) {
			RC_ASSERT(w_.sent.empty());
			return;
		}
		RC_ASSERT(w_.resets.empty());
		if (!up.listed &&
		    w_.now_us - up.unlisted_us >= KF_DIRECTORY_KEEP_US)
			return;
		RC_ASSERT(w_.sent.size() == 1u);
		RC_ASSERT(w_.sent[0].upstream == flow.upstream);
		RC_ASSERT(w_.sent[0].token == p.token);
	}
	void AdvanceTime(int value)
	{
		w_.Run((value % 50) * 20000);
	}
	void Vms(int value)
	{
		kf_position_t position = { (uint32_t)value % 3, 3 };

		kf_forwarder_set_position(w_.forwarder, position, w_.now_us);
	}
	/* SYNs must go to upstreams that are listed or lapsed a short time ago,
	 * and that do not drain. */
	void CheckOpenings()
	{
		for (const Sent &sent : w_.sent) {
			const Upstream &up = upstreams_[sent.upstream];
			bool lapsed = !up.listed && up.lapsed &&
			    w_.now_us - up.unlisted_us <
				KF_TARGET_MISSING_GRACE_US + 1000000;

			RC_ASSERT(up.listed || lapsed);
			RC_ASSERT(!up.info.draining);
			RC_ASSERT(sent.token == kf_token_of(sent.upstream));
		}
	}

	ForwarderHarness w_;
	uint64_t version_ = 0;
	std::map<uint16_t, std::string> routes_ = { { 443, "orders" },
		{ 444, "certs" } };
	std::map<uint64_t, Upstream> upstreams_;
	std::map<uint16_t, OpenFlow> placed_;
	std::vector<OpenFlow> open_;
	uint64_t last_id_ = 0;
	uint16_t last_client_ = 1000;
	bool check_openings_ = true;
};

/* Guards against packets of open flows that are misrouted or reset, and against
 * new flows on upstreams that are draining or gone. */
TEST(ForwarderProperty, FlowsStayWhereTheyOpened)
{
	EXPECT_TRUE(rc::check("flows stay where they opened", [] {
		auto steps =
		    *rc::gen::container<std::vector<std::pair<int, int>>>(
			rc::gen::pair(rc::gen::inRange(0, 20),
			    rc::gen::inRange(0, 1000)));
		RandomSession script;

		for (const auto &step : steps)
			script.Step(step.first, step.second);
	}));
}

/* The same with long sessions. */
TEST(ForwarderProperty, LongSessions)
{
	EXPECT_TRUE(rc::check("long sessions", [] {
		RandomSession script;

		for (int i = 0; i < 300; i++)
			script.Step(*rc::gen::inRange(0, 20),
			    *rc::gen::inRange(0, 1000));
	}));
}

/* Guards against load that is added and never removed: it must be zero after
 * all flows have ended or become idle. */
TEST(ForwarderProperty, LoadReturnsToZero)
{
	EXPECT_TRUE(rc::check("load returns to zero", [] {
		ForwarderHarness w("zone-0");

		for (uint64_t id = 1; id <= 4; id++)
			w.Put(MakeUpstream(id, "u" + std::to_string(id),
			    "orders", "zone-0", 3));
		w.SetRoutes(1, { MakeRoute(443, { { "orders", 1 } }) });
		for (int i = 0; i < 100; i++) {
			kf_packet_t p = MakePacket(
			    (uint16_t)(1000 + *rc::gen::inRange(0, 20)), 443);
			int kind = *rc::gen::inRange(0, 5);

			p.syn = kind <= 1;
			p.acknowledged = kind == 1;
			p.fin = kind == 3;
			p.rst = kind == 4;
			if (kind == 0)
				p.sequence = (uint32_t)i;
			if (!p.syn)
				p.token = kf_token_of(
				    (uint64_t)*rc::gen::inRange(1, 5));
			w.Packet(p);
			w.Run(*rc::gen::inRange(0, 100) * 1000);
		}
		w.Run(10000000);
		for (size_t i = 0; i < 4; i++) {
			const kf_target_t *t = kf_directory_at(
			    kf_forwarder_directory(w.forwarder), i);

			RC_ASSERT(t->open == 0u);
			RC_ASSERT(t->opening == 0u);
		}
		kf_forwarder_stats_t stats;
		kf_forwarder_stats(w.forwarder, &stats);
		RC_ASSERT(stats.open == 0u);
		RC_ASSERT(stats.opening == 0u);
	}));
}

} // namespace
