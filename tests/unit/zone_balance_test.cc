#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <random>

#include "kf/zone_balance.h"

namespace {

typedef std::array<kf_zone_load_t, 3> Zones;

/* Three zones with 80 slots each and requests of 30 ms: 2,667/s at most. */
Zones
MakeZones(double a, double b, double c)
{
	return { kf_zone_load_t{ 1, a, 80, true, false },
		kf_zone_load_t{ 2, b, 80, true, false },
		kf_zone_load_t{ 3, c, 80, true, false } };
}

const kf_zone_costs_t costs = { 30000, 4000, 100000 };

kf_zone_shares_t
Compute(const Zones &zones, size_t home, const kf_zone_costs_t &c = costs)
{
	kf_zone_shares_t shares;

	kf_zone_balance_compute(zones.data(), zones.size(), home, &c, &shares);
	return shares;
}

double
WaitUs(const kf_zone_load_t &z, double demand)
{
	double r = demand * costs.service_us / 1e6 / z.slots;

	return r >= 1 ? 1e7 : costs.service_us * r * r / (1 - r * r);
}

/* Guards against shares outside of 0 to 1, zones that disagree on what moves,
 * load beyond a zone's limit, waits that differ by more than the cost while
 * there is room, and load that leaves for a longer wait. */
TEST(ZoneBalance, MovesAddUpAndEqualizeWaits)
{
	std::mt19937 random(20261206);
	std::uniform_real_distribution<double> demand(0, 3500), slots(0, 120);
	int moves = 0;

	for (int n = 0; n < 5000; n++) {
		Zones zones =
		    MakeZones(demand(random), demand(random), demand(random));
		for (auto &z : zones)
			z.slots = slots(random);
		std::array<double, 3> after;
		double limited_us = 0, sent = 0, accepted = 0;
		for (size_t i = 0; i < 3; i++)
			after[i] = zones[i].demand_per_s;
		for (size_t home = 0; home < 3; home++) {
			kf_zone_shares_t s = Compute(zones, home);
			double parts = 0;

			ASSERT_GE(s.share, 0);
			ASSERT_LE(s.share, 1);
			for (size_t i = 0; i < 3; i++) {
				double moved = s.share *
				    zones[home].demand_per_s * s.parts[i];
				ASSERT_GE(s.parts[i], 0);
				parts += s.parts[i];
				after[i] += moved;
				after[home] -= moved;
				accepted += moved;
			}
			ASSERT_NEAR(s.share > 0 ? 1 : 0, parts, 1e-9);
			ASSERT_EQ(0, s.parts[home]);
			sent += s.share * zones[home].demand_per_s;
			ASSERT_NEAR(Compute(zones, 0).moved_per_s[home],
			    s.share * zones[home].demand_per_s, 1e-6);
		}
		ASSERT_NEAR(sent, accepted, 1e-6);
		moves += sent > 0;
		for (size_t i = 0; i < 3; i++)
			if (after[i] > zones[i].demand_per_s) {
				ASSERT_LE(WaitUs(zones[i], after[i]),
				    costs.wait_limit_us + 1);
				limited_us = std::max(
				    limited_us, WaitUs(zones[i], after[i]));
			}
		for (size_t i = 0; i < 3; i++)
			if (after[i] < zones[i].demand_per_s &&
			    limited_us < costs.wait_limit_us - 1 &&
			    zones[i].slots > 0 && after[i] > 1) {
				ASSERT_NEAR(WaitUs(zones[i], after[i]),
				    limited_us + costs.leave_us, 5)
				    << n;
			}
	}
	EXPECT_GT(moves, 1000);
}

/* Guards against load that leaves a zone with little wait, goes to zones whose
 * demand is not known, or stays where all upstreams are lost. */
TEST(ZoneBalance, LeavesOnlyForLessWait)
{
	Zones zones = MakeZones(900, 0, 0); /* a wait of 3.9 ms */

	EXPECT_EQ(0, Compute(zones, 0).share);
	zones = MakeZones(2400, 2300, 2300);
	EXPECT_GT(Compute(zones, 0).share, 0);
	zones[1].known = zones[2].known = false;
	EXPECT_EQ(0, Compute(zones, 0).share);
	zones = MakeZones(2600, 2600, 2600);
	EXPECT_EQ(0, Compute(zones, 0).share);
	zones = MakeZones(1000, 500, 500);
	zones[0].slots = 0;
	EXPECT_NEAR(1, Compute(zones, 0).share, 1e-6);
}

/* Guards against a share that begins and ends again and again near the cost:
 * it begins at a difference of the cost, and ends at half of it. */
TEST(ZoneBalance, BeginsAtTheCostAndEndsAtHalf)
{
	Zones zones = MakeZones(850, 0, 0); /* a wait of 3.4 ms */

	EXPECT_EQ(0, Compute(zones, 0).share);
	zones[0].sending = true;
	EXPECT_GT(Compute(zones, 0).share, 0);
	zones[0].demand_per_s = 640; /* 1.8 ms */
	EXPECT_EQ(0, Compute(zones, 0).share);
}

kf_zone_plan_t
MakePlan()
{
	kf_zone_plan_t plan = {};

	plan.costs = costs;
	return plan;
}

/*
 * Guards against oscillation.  Zones use figures that are 1 s old, with errors
 * of 10%, and clients repeat a part of what a zone cannot serve, so that the
 * load moved has an effect on the demand.
 */
TEST(ZonePlan, DoesNotOscillate)
{
	std::mt19937 random(7);
	std::normal_distribution<double> error(1, 0.1);
	std::array<kf_zone_plan_t, 3> plans = { MakePlan(), MakePlan(),
		MakePlan() };
	Zones now = MakeZones(2900, 1500, 1500);
	std::deque<Zones> history(5, now);
	double low = 1, high = 0;

	for (int step = 0; step < 300; step++) {
		double moved = plans[0].share * now[0].demand_per_s;
		double load = now[0].demand_per_s - moved;

		now[0].demand_per_s = 2900 + 0.5 * std::max(0.0, load - 2667);
		history.push_back(now);
		for (size_t home = 0; home < 3; home++) {
			Zones heard = history.front();

			for (size_t i = 0; i < 3; i++)
				heard[i].demand_per_s *= error(random);
			kf_zone_plan_update(
			    &plans[home], heard.data(), 3, home, step * 200000);
		}
		history.pop_front();
		if (step < 50)
			continue;
		low = std::min(low, plans[0].share);
		high = std::max(high, plans[0].share);
		EXPECT_EQ(0, plans[1].share);
		EXPECT_EQ(0, plans[2].share);
	}
	EXPECT_GT(low, 0.2);
	EXPECT_LT(high - low, 0.1);
}

/* Guards against a share that jumps, and against flows that leave in runs. */
TEST(ZonePlan, ChangesSlowlyAndInterleaves)
{
	kf_zone_plan_t plan = MakePlan();
	Zones zones = MakeZones(3600, 500, 1000);
	std::array<int, 4> flows = {};
	int run = 0;

	for (int step = 1; step <= 3; step++) {
		kf_zone_plan_update(&plan, zones.data(), 3, 0, 200000 * step);
		EXPECT_NEAR(0.1 * step, plan.share, 1e-9);
	}
	EXPECT_TRUE(kf_zone_plan_take_change(&plan));
	EXPECT_FALSE(kf_zone_plan_take_change(&plan));
	for (int i = 0; i < 1000; i++) {
		uint64_t zone =
		    kf_zone_plan_next(&plan, costs.leave_us, 600000);

		flows[zone]++;
		run = zone == 0 ? 0 : run + 1;
		EXPECT_LE(run, 1);
	}
	EXPECT_NEAR(700, flows[0], 1);
	EXPECT_NEAR(300 * plan.shares.parts[1], flows[2], 1);
	EXPECT_NEAR(300 * plan.shares.parts[2], flows[3], 1);
	EXPECT_EQ(0u, kf_zone_plan_next(&plan, costs.leave_us, 3000000));
}

/* Guards against twice the share when flows also leave for the load of single
 * upstreams. */
TEST(ZonePlan, SpilledFlowsCountForTheShare)
{
	kf_zone_plan_t plan = MakePlan();
	Zones zones = MakeZones(3600, 500, 1000);
	int left = 0;

	for (int step = 1; step <= 3; step++)
		kf_zone_plan_update(&plan, zones.data(), 3, 0, 200000 * step);
	for (int i = 0; i < 1000; i++) {
		bool leaves =
		    kf_zone_plan_next(&plan, costs.leave_us, 600000) != 0;
		bool spills = !leaves && i % 5 == 0;

		left += leaves || spills;
		if (spills)
			kf_zone_plan_count_unplanned(&plan);
	}
	EXPECT_NEAR(300, left, 4);
}

/* Guards against large answers that cross zones while there are enough flows
 * with small ones. */
TEST(ZonePlan, LargeAnswersLeaveLast)
{
	kf_zone_plan_t plan = MakePlan();
	Zones zones = MakeZones(3600, 500, 1000);
	int small = 0, large = 0;

	for (int step = 1; step <= 20; step++)
		kf_zone_plan_update(&plan, zones.data(), 3, 0, 200000 * step);
	plan.share = 0.4;
	for (int i = 0; i < 500; i++) {
		small += kf_zone_plan_next(&plan, costs.leave_us, 4000000) != 0;
		large += kf_zone_plan_next(&plan, 20000, 4000000) != 0;
	}
	EXPECT_NEAR(400, small, 2);
	EXPECT_EQ(0, large);
	plan.share = 0.8;
	for (int i = 0; i < 500; i++) {
		kf_zone_plan_next(&plan, costs.leave_us, 4000000);
		large += kf_zone_plan_next(&plan, 20000, 4000000) != 0;
	}
	EXPECT_GT(large, 100);
}

} // namespace
