#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "support/forwarder_world.h"

/*
 * Random sessions: upstreams come, drain, lapse, leave and start anew, routes
 * change, VMs come and go, clients open, copy, use, end and reset flows.
 */
namespace {

using namespace kf_test;

struct OpenFlow {
	uint16_t client;
	uint16_t port;
	uint64_t upstream;
};

class Script {
      public:
	Script() : w_("zone-0")
	{
		Publish();
	}
	void Step(int kind, int value)
	{
		static void (Script::*const steps[])(int) = { &Script::Add,
			&Script::Add, &Script::Drain, &Script::Remove,
			&Script::Restart, &Script::ChangeRoutes, &Script::Syn,
			&Script::Syn, &Script::Syn, &Script::Copy,
			&Script::Open, &Script::Open, &Script::Open,
			&Script::Data, &Script::Data, &Script::Data,
			&Script::End, &Script::Pass, &Script::Pass,
			&Script::Vms };

		w_.sent.clear();
		w_.resets.clear();
		opening_ = true;
		(this->*steps[(size_t)kind % 20])(value);
		if (opening_)
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
	void Publish()
	{
		std::vector<kf_route_t> routes;

		for (auto &route : routes_)
			routes.push_back(
			    MakeRoute(route.first, { { route.second, 1 } }));
		RC_ASSERT(KF_OK == w_.SetRoutes(++version_, routes));
	}
	Upstream *Pick(int value)
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
		Upstream *up = Pick(value);

		if (up == nullptr || !up->listed)
			return;
		up->info.draining = true;
		w_.Put(up->info);
	}
	void Remove(int value)
	{
		Upstream *up = Pick(value);

		if (up == nullptr || !up->listed)
			return;
		up->listed = false;
		up->lapsed = value % 3 == 0 && !up->info.draining;
		up->unlisted_us = w_.now_us;
		w_.Remove(up->info.id, value % 3 == 0);
	}
	/* A new incarnation: flows of before are no longer open. */
	void Restart(int value)
	{
		Upstream *up = Pick(value);

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
		Publish();
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
			opened_at_[p.client.port] = { p.client.port,
				p.address.port, w_.sent[0].upstream };
	}
	void Copy(int value)
	{
		auto it = opened_at_.find((uint16_t)(last_client_ - value % 4));

		if (it == opened_at_.end())
			return;
		kf_packet_t p = MakePacket(it->second.client, it->second.port);
		p.syn = true;
		p.acknowledged = 1;
		w_.Packet(p);
	}
	/* The client takes the first upstream's answer. */
	void Open(int value)
	{
		auto it = opened_at_.find((uint16_t)(last_client_ - value % 4));

		if (it == opened_at_.end())
			return;
		open_.push_back(it->second);
		opened_at_.erase(it);
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
	/* Packets of an open flow reach its upstream and nobody else, unless
	 * its route was dropped. */
	void Send(const OpenFlow &flow, bool fin)
	{
		kf_packet_t p = MakePacket(flow.client, flow.port);
		const Upstream &up = upstreams_[flow.upstream];

		opening_ = false;
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
	void Pass(int value)
	{
		w_.Run((value % 50) * 20000);
	}
	void Vms(int value)
	{
		kf_position_t position = { (uint32_t)value % 3, 3 };

		kf_forwarder_set_position(w_.forwarder, position, w_.now_us);
	}
	/* Opening packets go to listed upstreams of the route's service that do
	 * not drain, or to ones that lapsed a moment ago. */
	void CheckOpenings()
	{
		for (const Sent &sent : w_.sent) {
			const Upstream &up = upstreams_[sent.upstream];
			bool lapsed = !up.listed && up.lapsed &&
			    w_.now_us - up.unlisted_us <
				KF_TARGET_MISSING_US + 1000000;

			RC_ASSERT(up.listed || lapsed);
			RC_ASSERT(!up.info.draining);
			RC_ASSERT(sent.token == kf_token_of(sent.upstream));
		}
	}

	ForwarderWorld w_;
	uint64_t version_ = 0;
	std::map<uint16_t, std::string> routes_ = { { 443, "orders" },
		{ 444, "certs" } };
	std::map<uint64_t, Upstream> upstreams_;
	std::map<uint16_t, OpenFlow> opened_at_;
	std::vector<OpenFlow> open_;
	uint64_t last_id_ = 0;
	uint16_t last_client_ = 1000;
	bool opening_ = true;
};

/* Guards against packets of open flows that go astray or are reset, and new
 * flows on upstreams that may not get them. */
TEST(ForwarderProperty, FlowsStayWhereTheyOpened)
{
	EXPECT_TRUE(rc::check("flows stay where they opened", [] {
		auto steps =
		    *rc::gen::container<std::vector<std::pair<int, int>>>(
			rc::gen::pair(rc::gen::inRange(0, 20),
			    rc::gen::inRange(0, 1000)));
		Script script;

		for (const auto &step : steps)
			script.Step(step.first, step.second);
	}));
}

/* The same with long sessions. */
TEST(ForwarderProperty, LongSessions)
{
	EXPECT_TRUE(rc::check("long sessions", [] {
		Script script;

		for (int i = 0; i < 300; i++)
			script.Step(*rc::gen::inRange(0, 20),
			    *rc::gen::inRange(0, 1000));
	}));
}

/* Guards against load that is counted and never taken off: after all flows
 * have ended or are idle, no upstream has any. */
TEST(ForwarderProperty, LoadReturnsToZero)
{
	EXPECT_TRUE(rc::check("load returns to zero", [] {
		ForwarderWorld w("zone-0");

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
