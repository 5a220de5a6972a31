#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "kf/upstream.h"

namespace {

const int kPaths = 2;

struct Sent {
	int path;
	int64_t sent_us;
	int64_t answer_us; /* INT64_MAX: never */
	int64_t incarnation;
};

/* A simulated upstream, and the owner that drives the library with it. */
class World {
      public:
	World() : state(kf_upstream_state_new(nullptr, 0, kPaths))
	{
	}
	~World()
	{
		kf_upstream_state_delete(state);
	}
	/* Runs one line of a session and returns what it printed. */
	std::string Command(const std::string &line)
	{
		std::istringstream in(line);
		std::string key;
		int64_t value = 0;

		out.str("");
		in >> key >> value;
		if (key == "run")
			Run(value);
		else if (key == "pause")
			now_us += value * 1000;
		else if (key == "report")
			Report(value);
		else if (key == "show")
			Show();
		else
			set[key] = value;
		kf_upstream_state_set_draining(state, set["drain"] != 0);
		return out.str();
	}

	std::map<std::string, int64_t> set = { { "serves", 1 }, { "probes", 1 },
		{ "path0", 1 }, { "path1", 1 }, { "latency", 10 },
		{ "rate", 20 }, { "slots", 3 }, { "may_eject", 1 },
		{ "incarnation", 100 } };
	kf_upstream_state_t *state;
	int64_t now_us = 0;

      private:
	std::ostream &Say()
	{
		return out << "  " << std::fixed << std::setprecision(2)
			   << now_us / 1e6 << " s: ";
	}
	bool Alive(int path)
	{
		return path == KF_UPSTREAM_FRESH_PATH ||
		    set["path" + std::to_string(path)] != 0;
	}
	void Report(int64_t incarnation)
	{
		kf_load_report_t report = {};

		report.incarnation = incarnation;
		report.flags = set["flags"];
		kf_upstream_state_on_report(state, &report, now_us);
	}
	void Run(int64_t ms)
	{
		for (int64_t end = now_us + ms * 1000; now_us < end;) {
			now_us += 10000;
			kf_upstream_state_tick(
			    state, now_us, set["may_eject"] != 0);
			Settle();
			Probe();
			Replace();
			for (due += set["rate"] / 100.0; due >= 1; due--)
				Send();
			SayChange();
		}
	}
	void Settle()
	{
		std::vector<Sent> rest;

		for (const Sent &s : sent) {
			if (now_us - s.sent_us >= 2000000) {
				kf_upstream_state_on_failure(state, s.path,
				    now_us, s.sent_us, KF_UPSTREAM_TIMEOUT,
				    set["may_eject"] != 0);
			} else if (s.answer_us <= now_us) {
				kf_upstream_state_on_answer(state, s.path,
				    now_us, s.answer_us - s.sent_us);
				Report(s.incarnation);
			} else {
				rest.push_back(s);
			}
		}
		sent = rest;
	}
	void Probe()
	{
		int path;
		int64_t due_us;

		if (!kf_upstream_state_next_probe(
			state, now_us, &path, &due_us))
			return;
		kf_upstream_state_on_probe_sent(state, path, now_us);
		if (set["probes"] == 0 || !Alive(path))
			return;
		Report(set["incarnation"]);
		kf_upstream_state_on_probe_result(
		    state, path, now_us, true, set["may_eject"] != 0);
	}
	void Replace()
	{
		int path = kf_upstream_state_silent_path(state, now_us);

		if (path == KF_UPSTREAM_NO_PATH)
			return;
		Say() << "path " << path << " replaced\n";
		kf_upstream_state_on_path_replaced(state, path, now_us);
		set["path" + std::to_string(path)] = 1;
	}
	void Send()
	{
		uint64_t known = kf_upstream_state_incarnation(state);
		int path = kf_upstream_state_pick_path(state, now_us);
		bool answers = set["serves"] != 0 && Alive(path);

		if (kf_upstream_state_usable(state, now_us) !=
			KF_UPSTREAM_USABLE ||
		    (int64_t)sent.size() >= set["slots"])
			return;
		kf_upstream_state_on_sent(state, path, now_us);
		if (set["fail_percent"] * (asked + 1) / 100 >
		    set["fail_percent"] * asked / 100)
			answers = false;
		asked++;
		if (answers && known != 0 &&
		    known != (uint64_t)set["incarnation"]) {
			Say() << "refused: wrong incarnation\n";
			kf_upstream_state_on_failure(state, path, now_us,
			    now_us, KF_UPSTREAM_WRONG_INCARNATION, true);
			return;
		}
		if (set["unreachable"] != 0) {
			kf_upstream_state_on_failure(state, path, now_us,
			    now_us, KF_UPSTREAM_UNREACHABLE,
			    set["may_eject"] != 0);
			return;
		}
		sent.push_back(Sent{ path, now_us,
		    answers ? now_us + set["latency"] * 1000 : INT64_MAX,
		    set["incarnation"] });
	}
	std::string Use()
	{
		return std::string(kf_upstream_use_name(
			   kf_upstream_state_usable(state, now_us))) +
		    (kf_upstream_state_last_resort(state) ? " (last resort)"
							  : "");
	}
	void SayChange()
	{
		if (Use() != last)
			Say() << Use() << "\n";
		last = Use();
	}
	void Show()
	{
		kf_upstream_digest_t digest;

		kf_upstream_state_digest(state, now_us, &digest);
		Say() << Use() << ", slow start "
		      << kf_upstream_state_slow_start(state, now_us)
		      << ", weight "
		      << kf_upstream_state_weight(state, now_us, 10000)
		      << ", incarnation " << digest.incarnation << ", flags 0x"
		      << std::hex << digest.flags << std::dec << "\n";
	}

	std::vector<Sent> sent;
	double due = 0;
	int64_t asked = 0;
	std::string last;
	std::ostringstream out;
};

class Session : public ::testing::TestWithParam<const char *> {};

/*
 * A session holds commands and, indented below each, the expected output.
 * KF_UPDATE_GOLDEN=1 writes the files anew.
 */
TEST_P(Session, PrintsTheExpectedDecisions)
{
	std::string file(__FILE__);
	std::string name = file.substr(0, file.rfind("unit/")) +
	    "golden/upstream_" + GetParam() + ".txt";
	std::ifstream in(name);
	std::string line, want, got;
	World world;

	ASSERT_TRUE(in) << name;
	while (std::getline(in, line)) {
		want += line + "\n";
		if (line.compare(0, 2, "  ") == 0)
			continue;
		got += line + "\n";
		if (!line.empty() && line[0] != '#')
			got += world.Command(line);
	}
	if (std::getenv("KF_UPDATE_GOLDEN") != nullptr)
		std::ofstream(name) << got;
	EXPECT_EQ(want, got);
}

INSTANTIATE_TEST_SUITE_P(Upstream, Session,
    ::testing::Values("dies", "only_probes_answer", "reports_badly", "slow",
	"silent_paths", "last_resort", "pause", "restart", "idle_dies", "drain",
	"unreachable", "mostly_fails"));

/* Guards against losing more requests on a path that has gone silent. */
TEST(Upstream, SuspectPathsAreAvoided)
{
	kf_upstream_state_t *state = kf_upstream_state_new(nullptr, 0, kPaths);

	kf_upstream_state_on_sent(state, 1, 0);
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(i % 2, kf_upstream_state_pick_path(state, 100000));
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(0, kf_upstream_state_pick_path(state, 300000));
	kf_upstream_state_delete(state);
}

/* Guards against replacing paths because this process did not read replies. */
TEST(Upstream, APauseSilencesNoPath)
{
	kf_upstream_state_t *state = kf_upstream_state_new(nullptr, 0, kPaths);

	for (int i = 0; i < 3; i++)
		kf_upstream_state_on_sent(state, 1, 0);
	kf_upstream_state_on_probe_sent(state, 1, 0);
	kf_upstream_state_on_answer(state, 0, 1000, 1000);
	kf_upstream_state_tick(state, 5000000, true);
	EXPECT_EQ(
	    KF_UPSTREAM_NO_PATH, kf_upstream_state_silent_path(state, 5000000));
	/* Silence is established anew, from what happens after the pause. */
	kf_upstream_state_on_probe_sent(state, 1, 5300000);
	kf_upstream_state_on_answer(state, 0, 5500000, 1000);
	kf_upstream_state_tick(state, 6000000, true);
	EXPECT_EQ(1, kf_upstream_state_silent_path(state, 6000000));
	kf_upstream_state_delete(state);
}

struct Op {
	int kind, path;
	int64_t amount;
};

rc::Gen<Op>
AnyOp()
{
	return rc::gen::map(
	    rc::gen::tuple(rc::gen::inRange(0, 9),
		rc::gen::inRange(-1, KF_UPSTREAM_FRESH_PATH + 2),
		rc::gen::inRange<int64_t>(0, 3000000)),
	    [](const std::tuple<int, int, int64_t> &t) {
		    return Op{ std::get<0>(t), std::get<1>(t), std::get<2>(t) };
	    });
}

void
Apply(kf_upstream_state_t *state, const Op &op, int64_t *now_us, bool may)
{
	kf_load_report_t report = { (uint64_t)op.amount % 3, 1, 1, 3,
		(uint32_t)op.amount % 8 };
	kf_upstream_use_t before = kf_upstream_state_usable(state, *now_us);

	switch (op.kind) {
	case 0:
		kf_upstream_state_tick(state, *now_us += op.amount, may);
		break;
	case 1:
		kf_upstream_state_on_answer(state, op.path, *now_us, op.amount);
		break;
	case 2:
		kf_upstream_state_on_report(state, &report, *now_us);
		break;
	case 3:
		kf_upstream_state_on_probe_sent(state, op.path, *now_us);
		break;
	case 4:
		kf_upstream_state_on_probe_result(
		    state, op.path, *now_us, op.amount % 2 == 0, may);
		break;
	case 5:
		kf_upstream_state_on_sent(state, op.path, *now_us);
		break;
	default:
		kf_upstream_state_on_failure(state, op.path, *now_us,
		    *now_us - op.amount, (kf_upstream_failure_t)(op.amount % 3),
		    may);
	}
	/* Reports are no reason to eject. */
	RC_ASSERT(op.kind != 2 || before != KF_UPSTREAM_USABLE ||
	    kf_upstream_state_usable(state, *now_us) != KF_UPSTREAM_EJECTED);
}

/*
 * Guards against ejection without permission or for too long, and against
 * factors and paths out of range, over random events.
 */
TEST(Upstream, DecisionsStayInRange)
{
	EXPECT_TRUE(rc::check([](bool may) {
		const auto ops = *rc::gen::resize(
		    300, rc::gen::container<std::vector<Op>>(AnyOp()));
		kf_upstream_state_t *state =
		    kf_upstream_state_new(nullptr, 0, kPaths);
		int64_t now_us = 0;

		for (const Op &op : ops) {
			int64_t due_us;
			int path = 0;

			Apply(state, op, &now_us, may);
			kf_upstream_use_t use =
			    kf_upstream_state_usable(state, now_us);
			double weight =
			    kf_upstream_state_weight(state, now_us, 10000);

			RC_ASSERT(may ||
			    (use != KF_UPSTREAM_EJECTED &&
				use != KF_UPSTREAM_PROBE_ONLY));
			RC_ASSERT(weight >= 0.01 && weight <= 1);
			RC_ASSERT(kf_upstream_state_pick_path(state, now_us) <
			    kPaths);
			RC_ASSERT(kf_upstream_state_silent_path(state, now_us) <
			    kPaths);
			if (kf_upstream_state_next_probe(
				state, now_us, &path, &due_us))
				RC_ASSERT(path == KF_UPSTREAM_FRESH_PATH ||
				    (path >= 0 && path < kPaths));
			RC_ASSERT(
			    due_us == INT64_MAX || due_us - now_us <= 30000000);
		}
		kf_upstream_state_delete(state);
	}));
}

} // namespace
