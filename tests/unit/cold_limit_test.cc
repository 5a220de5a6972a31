#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>

#include "support/forwarder_world.h"

namespace {

using namespace kf_test;

constexpr int64_t kMs = 1000;
constexpr int64_t kSecond = 1000000;

/* Guards against allocating more than half of a limit. */
RC_GTEST_PROP(ColdLimit, OwnersShareHalfOfTheLimit, ())
{
	kf_cold_bounds_t bounds = { *rc::gen::inRange(0, 40) / 10.0,
		*rc::gen::inRange(0, 40) / 2.0 };
	double per_s = *rc::gen::inRange(0, 500) / 4.0;
	auto vms = (uint32_t)*rc::gen::inRange(1, 40);
	kf_cold_share_t share = kf_cold_share(&bounds, per_s, vms);

	RC_ASSERT(share.owners >= 1u && share.owners <= vms);
	RC_ASSERT(share.owners * share.openings <=
	    (per_s * bounds.excess + bounds.slack) / 2);
}

TEST(ColdLimit, LimitOfFiveGivesTwoVmsOneOpening)
{
	kf_cold_bounds_t bounds = { 1.5, 5 };
	kf_cold_share_t share = kf_cold_share(&bounds, 0, 26);

	EXPECT_EQ(1u, kf_cold_allowance(share, 0));
	EXPECT_EQ(1u, kf_cold_allowance(share, 1));
	EXPECT_EQ(0u, kf_cold_allowance(share, 2));
	EXPECT_EQ(2u, kf_cold_allowance(kf_cold_share(&bounds, 0, 1), 0));
	EXPECT_EQ(0u, kf_cold_share(&bounds, 0, 0).openings);
}

/* Guards against a window that forgets openings of the last 1.1 s. */
RC_GTEST_PROP(ColdLimit, WindowHoldsInEverySpan, ())
{
	auto allowance = (uint32_t)*rc::gen::inRange(1, 6);
	auto steps = *rc::gen::container<std::vector<int>>(
	    200, rc::gen::inRange(0, 400));
	std::deque<int64_t> sent;
	kf_cold_window_t w = {};
	int64_t now_us = *rc::gen::inRange(0, 5000000);

	for (int step : steps) {
		now_us += step * kMs;
		while (!sent.empty() && now_us - sent.front() > 1100 * kMs)
			sent.pop_front();
		uint32_t left = kf_cold_window_left(&w, allowance, now_us);
		RC_ASSERT(sent.size() + left <= allowance);
		if (left == 0)
			continue;
		kf_cold_window_add(&w, now_us);
		sent.push_back(now_us);
	}
	RC_ASSERT(kf_cold_window_left(&w, allowance, now_us + 1200 * kMs) ==
	    allowance);
}

/* Guards against reliance on members that this VM cannot know. */
TEST(ColdLimit, ViewIsCertainOnlyWhileVmsAreHeard)
{
	kf_cold_report_t report = { { 1.5, 5 }, false, INT64_MIN, 26 };
	kf_cold_view_t view = {};
	int64_t now_us = 5 * kSecond;
	auto run = [&](int64_t until_us, bool heard) {
		for (; now_us < until_us; now_us += 200 * kMs) {
			report.heard_us = heard ? now_us : report.heard_us;
			kf_cold_view_update(&view, &report, now_us);
		}
		return kf_cold_view_is_certain(&view, now_us);
	};

	EXPECT_FALSE(kf_cold_view_is_certain(&view, now_us));
	EXPECT_FALSE(run(6800 * kMs, true)) << "just started";
	EXPECT_TRUE(run(8000 * kMs, true));
	EXPECT_TRUE(run(9400 * kMs, false));
	EXPECT_FALSE(run(11000 * kMs, false)) << "nobody heard for 2 s";
	EXPECT_TRUE(run(12000 * kMs, true));
	now_us += 600 * kMs;
	EXPECT_FALSE(kf_cold_view_is_certain(&view, now_us)) << "suspended";
	EXPECT_FALSE(run(now_us + 400 * kMs, false)) << "nobody heard since";
	EXPECT_TRUE(run(now_us + 400 * kMs, true));
	now_us += 5 * kSecond;
	EXPECT_FALSE(run(now_us + 1800 * kMs, true)) << "members expired";
	EXPECT_TRUE(run(now_us + 600 * kMs, true));
	report.alone = true;
	EXPECT_TRUE(run(now_us + 3 * kSecond, false)) << "no other VM exists";
}

/* Guards against VMs that open more while they forget the other side of a
 * partition one by one (trial: 10 openings with a limit of 8). */
TEST(ColdLimit, ZoneStaysAsLargeForTenSeconds)
{
	kf_cold_report_t report = { { 1.5, 8 }, false, INT64_MIN, 15 };
	kf_cold_view_t view = {};

	kf_cold_view_update(&view, &report, kSecond);
	report.vm_count = 2;
	kf_cold_view_update(&view, &report, 10 * kSecond);
	EXPECT_EQ(15u, view.vm_count);
	kf_cold_view_update(&view, &report, 11 * kSecond);
	EXPECT_EQ(2u, view.vm_count);
	report.vm_count = 3;
	kf_cold_view_update(&view, &report, 12 * kSecond);
	EXPECT_EQ(3u, view.vm_count);
}

/* Guards against old entries that make all upstreams cold for a VM that starts,
 * and against an upstream that has just started and counts as warm. */
TEST(ColdLimit, UpstreamThatStartedLongAgoIsWarm)
{
	kf_upstream_info_t info = MakeUpstream(1, "u1", "s", "z", 2);

	info.born_ms = 1000000;
	info.cold_left_us = 2 * kSecond;
	EXPECT_FALSE(kf_upstream_is_warm(&info, 1000000));
	EXPECT_FALSE(kf_upstream_is_warm(&info, 1012000));
	EXPECT_TRUE(kf_upstream_is_warm(&info, 1012001));
	info.born_ms = 0; /* not known */
	EXPECT_FALSE(kf_upstream_is_warm(&info, 1012001));
}

/*
 * VMs of one zone with members that they learn from each other; VMs 0 and 1 are
 * seeds.  They open a flow to a cold upstream whenever they may.
 */
class Zone {
      public:
	Zone(int vms, const kf_cold_bounds_t &bounds, uint32_t seed)
	    : bounds_(bounds), vms_((size_t)vms), random_(seed)
	{
		for (int i = 0; i < vms; i++)
			vms_[(size_t)i].score = random_();
		Run(4 * kSecond);
	}
	void Partition(int cut)
	{
		for (size_t i = 0; i < vms_.size(); i++)
			vms_[i].side = (int)i < cut;
	}
	void Suspend(int vm, int64_t us)
	{
		vms_[(size_t)vm % vms_.size()].suspended_until_us =
		    now_us_ + us;
	}
	void Restart(int vm)
	{
		Vm &v = vms_[(size_t)vm % vms_.size()];

		v.view = {};
		v.window = {};
		v.heard.clear();
		v.heard_us = INT64_MIN;
	}
	/* Runs for a time; returns the most openings in any second so far. */
	size_t Run(int64_t us)
	{
		for (int64_t end = now_us_ + us; now_us_ < end;
		     now_us_ += 10 * kMs)
			for (size_t i = 0; i < vms_.size(); i++)
				if (vms_[i].suspended_until_us <= now_us_)
					Step(i);
		return most_;
	}
	size_t total = 0;

      private:
	struct Vm {
		uint64_t score = 0;
		int side = 0;
		int64_t suspended_until_us = 0;
		int64_t updated_us = 0;
		int64_t beacon_us = 0;
		int64_t heard_us = INT64_MIN;
		std::map<size_t, int64_t> heard; /* members and times */
		kf_cold_view_t view = {};
		kf_cold_window_t window = {};
		uint32_t allowance = 0;
	};

	void Step(size_t i)
	{
		Vm &v = vms_[i];

		if (now_us_ - v.beacon_us >= 450 * kMs) {
			v.beacon_us = now_us_;
			SendToAny(i);
			SendToAny(i);
			Send(i, random_() % 2);
		}
		if (now_us_ - v.updated_us >= 200 * kMs)
			Update(v);
		while (kf_cold_view_is_certain(&v.view, now_us_) &&
		    kf_cold_window_left(&v.window, v.allowance, now_us_) > 0) {
			kf_cold_window_add(&v.window, now_us_);
			Opened();
		}
	}
	/* Sends a beacon to a random VM that is known. */
	void SendToAny(size_t from)
	{
		auto &heard = vms_[from].heard;
		size_t to = from;

		if (!heard.empty())
			to = std::next(
			    heard.begin(), (long)(random_() % heard.size()))
				 ->first;
		Send(from, to);
	}
	void Send(size_t from, size_t to)
	{
		Vm &v = vms_[to];

		if (to == from || v.side != vms_[from].side ||
		    v.suspended_until_us > now_us_)
			return;
		for (const auto &m : vms_[from].heard)
			if (m.first != to)
				v.heard[m.first] =
				    std::max(v.heard[m.first], m.second);
		v.heard[from] = now_us_;
		v.heard_us = now_us_;
		if (vms_[from].heard.empty())
			Send(to, from);
	}
	void Update(Vm &v)
	{
		uint32_t rank = 0;

		int64_t timeout_us =
		    4 * kSecond + (int64_t)vms_.size() * 100 * kMs;

		v.updated_us = now_us_;
		for (auto m = v.heard.begin(); m != v.heard.end();)
			m = now_us_ - m->second > timeout_us ? v.heard.erase(m)
							     : std::next(m);
		for (const auto &m : v.heard)
			rank += vms_[m.first].score > v.score;
		kf_cold_report_t report = { bounds_, false, v.heard_us,
			(uint32_t)v.heard.size() + 1 };
		kf_cold_view_update(&v.view, &report, now_us_);
		v.allowance = kf_cold_allowance(
		    kf_cold_share(&bounds_, 0, v.view.vm_count), rank);
	}
	void Opened()
	{
		total++;
		opened_.push_back(now_us_);
		while (now_us_ - opened_.front() >= kSecond)
			opened_.pop_front();
		most_ = std::max(most_, opened_.size());
	}

	kf_cold_bounds_t bounds_;
	std::vector<Vm> vms_;
	std::deque<int64_t> opened_;
	size_t most_ = 0;
	int64_t now_us_ = 10 * kSecond;
	std::mt19937 random_;
};

/*
 * Guards against more openings in a second than the limit while VMs restart,
 * are suspended, and are partitioned into two sides that know only their own
 * members.  The members settle between two restarts or partitions: with several
 * at once there are more than two views, and the margin is exceeded by one.
 */
RC_GTEST_PROP(ColdLimit, SumOverVmsStaysBelowTheLimit, ())
{
	auto vms = *rc::gen::inRange(2, 30);
	auto limit = *rc::gen::inRange(2, 41);
	Zone zone(vms, { 1.5, (double)limit },
	    (uint32_t)*rc::gen::inRange(0, 1 << 30));
	auto cut = *rc::gen::inRange(0, vms);
	auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
	    20, rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 60)));

	for (const auto &step : steps) {
		int64_t us = step.second * 50 * kMs;

		if (step.first == 0) {
			zone.Partition(step.second % 2 ? 0 : cut);
			us += 10 * kSecond;
		} else if (step.first == 1)
			zone.Suspend(step.second, step.second * 100 * kMs);
		else if (step.first == 2) {
			zone.Restart(step.second);
			us += 2 * kSecond;
		}
		RC_ASSERT(zone.Run(us) <= (size_t)limit);
	}
}

/* Guards against a limit that keeps all openings away. */
TEST(ColdLimit, ZoneUsesItsAllowance)
{
	Zone zone(26, { 1.5, 5 }, 7);

	EXPECT_LE(zone.Run(20 * kSecond), 5u);
	EXPECT_GE(zone.total, 20u);
}

/*
 * Guards against a load spike at an upstream whose cold start ends: all VMs
 * together give it at most 1.5 times the mean of the others in its first
 * second.
 */
TEST(ColdLimit, JoinsWithoutSpike)
{
	constexpr uint32_t kVms = 26;
	std::vector<std::unique_ptr<ForwarderHarness>> vms;
	std::map<uint64_t, int> got;
	uint16_t client = 1000;

	for (uint32_t i = 0; i < kVms; i++) {
		vms.push_back(std::make_unique<ForwarderHarness>("z"));
		ForwarderHarness &w = *vms.back();
		kf_cold_report_t report = { { 1.5, 5 }, false, INT64_MIN,
			kVms };

		kf_forwarder_set_position(w.forwarder, { i, kVms }, w.now_us);
		EXPECT_EQ(
		    KF_OK, w.SetRoutes(1, { MakeRoute(443, { { "s", 1 } }) }));
		kf_forwarder_set_cold_view(
		    w.forwarder, &report, [](void *, uint64_t) { return 0u; },
		    nullptr, w.now_us);
		for (uint64_t id = 1; id <= 40; id++) {
			kf_upstream_info_t info = MakeUpstream(
			    id, "u" + std::to_string(id), "s", "z", 2);

			info.cold_left_us = id == 1 ? kSecond : 0;
			w.Put(info);
		}
	}
	/* 21 requests a second at each VM, each with an answer after 15 ms. */
	for (int ms = 0; ms < 2000; ms++) {
		for (uint32_t i = 0; i < kVms; i++) {
			ForwarderHarness &w = *vms[i];

			w.Run(kMs);
			if ((ms + (int)i * 5) % 47 != 0)
				continue;
			kf_packet_t packet = MakePacket(client++, 443);
			packet.syn = true;
			w.sent.clear();
			w.Packet(packet);
			ASSERT_EQ(1u, w.sent.size());
			if (ms < 1000)
				ASSERT_NE(1u, w.sent[0].upstream) << "cold";
			else
				got[w.sent[0].upstream]++;
			packet.syn = false;
			packet.token = w.sent[0].token;
			packet.fin = true;
			w.Packet(packet);
		}
	}
	int others = 0;
	for (const auto &g : got)
		others += g.first == 1 ? 0 : g.second;
	EXPECT_GT(got[1], 0);
	EXPECT_LE(got[1], 1.5 * others / 39);
}

} // namespace
