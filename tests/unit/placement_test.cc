#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "kf/placement.h"

namespace {

void
IgnoreError(void *, const char *, int, const char *)
{
}

using Decl =
    std::unique_ptr<kf_declaration_t, decltype(&kf_declaration_delete)>;

/*
 * Makes one service.  The upstreams u0, u1, ... have the labels n=0, n=1 and
 * n=2 in turn.
 */
Decl
MakeDecl(const std::string &selectors, int first, int count)
{
	std::string s = "[declaration]\nrevision = 1\n[service orders]\n"
			"address = 127.0.0.1:2049\n" +
	    selectors;

	for (int i = first; i < first + count; i++)
		s += "[upstream u" + std::to_string(i) +
		    "]\nservice = orders\nzone = z1\naddress = 127.0.1." +
		    std::to_string(i + 1) +
		    ":2049\nslots = 3\nlabels = n=" + std::to_string(i % 3) +
		    "\n";
	return Decl(
	    kf_declaration_parse("d", s.data(), s.size(), IgnoreError, nullptr),
	    kf_declaration_delete);
}

std::string
Selector(int n, int percent, int from, int ramp_s)
{
	return "[selector s" + std::to_string(n) +
	    "]\nservice = orders\nmatch = n=" + std::to_string(n) +
	    "\nshare_percent = " + std::to_string(percent) +
	    (ramp_s == 0 ? "\n"
			 : "\nramp_from_percent = " + std::to_string(from) +
			"\nramp_start_s = 1000\nramp_s = " +
			std::to_string(ramp_s) + "\n");
}

/* Guards against shares that are met over long runs only. */
TEST(Placement, SharePointsAreEvenOverShortRuns)
{
	for (uint64_t seed = 0; seed < 50; seed++) {
		kf_random_t random = { seed };
		kf_share_sequence_t sequence;
		int counts[10] = {};

		kf_share_sequence_init(&sequence, &random);
		for (int i = 0; i < 100; i++) {
			uint32_t p = kf_share_sequence_next(&sequence);

			ASSERT_LT(p, (uint32_t)KF_SHARE_POINTS);
			counts[p * 10 / KF_SHARE_POINTS]++;
		}
		for (int count : counts)
			EXPECT_NEAR(10, count, 2) << seed;
	}
}

/* Guards against flows that move although their share has not changed. */
TEST(Placement, RampMovesOnlyTheChangedRange)
{
	Decl d =
	    MakeDecl(Selector(0, 50, 75, 100) + Selector(1, 50, 25, 100), 0, 2);
	std::vector<std::string> before(KF_SHARE_POINTS);
	ASSERT_NE(nullptr, d);
	const kf_service_t *service = &d->services[0];

	for (int64_t s = 990; s <= 1110; s += 10) {
		int first = 0;
		double part =
		    std::min(1.0, std::max(0.0, (double)(s - 1000) / 100));

		for (uint32_t p = 0; p < KF_SHARE_POINTS; p++) {
			std::string name =
			    kf_placement_selector(d.get(), service, p, s * 1000)
				->name;

			/* No point ever moves back to s0. */
			EXPECT_FALSE(before[p] == "s1" && name == "s0");
			before[p] = name;
			first += name == "s0";
		}
		EXPECT_NEAR((75 - 25 * part) / 100 * KF_SHARE_POINTS, first, 1);
	}
}

/* Guards against a share point without a selector. */
TEST(Placement, SelectorsCoverEveryPoint)
{
	Decl d = MakeDecl(Selector(0, 0, 0, 0) + Selector(1, 33, 0, 0) +
		Selector(2, 67, 0, 0),
	    0, 3);
	ASSERT_NE(nullptr, d);
	for (uint32_t p : { 0u, 21000u, 22000u, 65535u })
		EXPECT_NE(nullptr,
		    kf_placement_selector(d.get(), &d->services[0], p, 0));
	EXPECT_STREQ(
	    "s1", kf_placement_selector(d.get(), &d->services[0], 0, 0)->name);
}

class Balance : public ::testing::Test {
      protected:
	void SetUp() override
	{
		balance = kf_balance_new(KF_POLICY_STRIDE, 7);
		Resize(0, 14);
	}
	void TearDown() override
	{
		kf_balance_delete(balance);
	}
	void Resize(int first, int count)
	{
		decl = MakeDecl("[selector all]\nservice = orders\n"
				"match = service=orders\nshare_percent = 100\n",
		    first, count);
		ASSERT_NE(nullptr, decl);
		ASSERT_EQ(KF_OK, kf_balance_update(balance, decl.get()));
	}
	/*
	 * Places flows on all upstreams but those named in out, and returns the
	 * number of flows by upstream.
	 */
	std::map<std::string, int> Place(
	    int flows, const std::set<std::string> &out = {})
	{
		std::vector<kf_candidate_t> candidates;
		std::map<std::string, int> counts;

		for (uint32_t i = 0; i < decl->upstream_count; i++) {
			const kf_upstream_t &u = decl->upstreams[i];

			if (out.count(u.name) == 0)
				candidates.push_back({ i, u.id,
				    (double)u.slots * factor[u.name], 0 });
		}
		for (int i = 0; i < flows; i++) {
			uint32_t n =
			    kf_balance_choose(balance, 0, candidates.data(),
				candidates.size(), kf_random_next(&random));

			EXPECT_LT(n, candidates.size());
			counts[decl->upstreams[candidates[n].upstream].name]++;
		}
		return counts;
	}

	struct Factors {
		std::map<std::string, double> values;
		double operator[](const std::string &name) const
		{
			auto it = values.find(name);

			return it == values.end() ? 1 : it->second;
		}
	} factor;
	kf_balance_t *balance = nullptr;
	Decl decl = Decl(nullptr, kf_declaration_delete);
	kf_random_t random = { 5 };
};

/* Guards against an imbalance above 1.05 at steady load. */
TEST_F(Balance, StrideIsEven)
{
	for (const auto &c : Place(1400))
		EXPECT_NEAR(100, c.second, 1) << c.first;
}

/*
 * Guards against an upstream that gets too many flows after it was added or
 * returned.
 */
TEST_F(Balance, NewAndReturningUpstreamsGetTheirShareOnly)
{
	Place(10000);
	Resize(1, 14); /* removes u0, adds u14 */
	auto counts = Place(140);
	EXPECT_NEAR(10, counts["u14"], 1);
	EXPECT_EQ(0, counts["u0"]);
	Place(10000, { "u3" });
	EXPECT_NEAR(10, Place(140)["u3"], 1);
}

/* Guards against an upstream in slow start that gets a full share. */
TEST_F(Balance, WeightSetsTheShare)
{
	factor.values["u2"] = 0.1;
	auto counts = Place(1310);

	EXPECT_NEAR(10, counts["u2"], 1);
	EXPECT_NEAR(100, counts["u5"], 1);
}

/* Guards against a policy that chooses outside of the candidates. */
TEST_F(Balance, EveryPolicyChoosesACandidate)
{
	for (int policy = 0; policy < KF_POLICY_COUNT; policy++) {
		kf_balance_delete(balance);
		balance = kf_balance_new((kf_policy_t)policy, 3);
		Resize(0, 5);
		EXPECT_EQ(1u, Place(20, { "u0", "u1", "u2", "u3" }).size());
		EXPECT_GE(Place(200).size(), 4u) << policy;
	}
}

} // namespace
