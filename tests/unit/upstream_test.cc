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

struct SentRequest {
	int path;
	int64_t sent_us;
	int64_t answer_us; /* INT64_MAX: never */
	int64_t incarnation;
};

/* Simulates an upstream and the owner VM that sends requests to it. */
class UpstreamSimulation {
      public:
	UpstreamSimulation() : state(kf_upstream_state_new(nullptr, 0, kPaths))
	{
	}
	~UpstreamSimulation()
	{
		kf_upstream_state_delete(state);
	}
	/* Runs one command of a session and returns its output. */
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
			parameters[key] = value;
		kf_upstream_state_set_draining(state, parameters["drain"] != 0);
		return out.str();
	}

	std::map<std::string, int64_t> parameters = { { "serves", 1 },
		{ "probes", 1 }, { "path0", 1 }, { "path1", 1 },
		{ "latency", 10 }, { "rate", 20 }, { "slots", 3 },
		{ "may_eject", 1 }, { "incarnation", 100 } };
	kf_upstream_state_t *state;
	int64_t now_us = 0;

      private:
	std::ostream &PrintTimestamp()
	{
		return out << "  " << std::fixed << std::setprecision(2)
			   << now_us / 1e6 << " s: ";
	}
	bool PathWorks(int path)
	{
		return path == KF_UPSTREAM_FRESH_PATH ||
		    parameters["path" + std::to_string(path)] != 0;
	}
	void Report(int64_t incarnation)
	{
		kf_load_report_t report = {};

		report.incarnation = incarnation;
		report.flags = parameters["flags"];
		kf_upstream_state_on_report(state, &report, now_us);
	}
	void Run(int64_t ms)
	{
		for (int64_t end = now_us + ms * 1000; now_us < end;) {
			now_us += 10000;
			kf_upstream_state_tick(
			    state, now_us, parameters["may_eject"] != 0);
			CompleteRequests();
			SendProbe();
			ReplaceSilentPath();
			for (requests_due += parameters["rate"] / 100.0;
			     requests_due >= 1; requests_due--)
				SendRequest();
			PrintAvailabilityChange();
		}
	}
	void CompleteRequests()
	{
		std::vector<SentRequest> rest;

		for (const SentRequest &s : sent) {
			if (now_us - s.sent_us >= 2000000) {
				kf_upstream_state_on_failure(state, s.path,
				    now_us, s.sent_us, KF_UPSTREAM_TIMEOUT,
				    parameters["may_eject"] != 0);
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
	void SendProbe()
	{
		int path;
		int64_t due_us;

		if (!kf_upstream_state_next_probe(
			state, now_us, &path, &due_us))
			return;
		kf_upstream_state_on_probe_sent(state, path, now_us);
		if (parameters["probes"] == 0 || !PathWorks(path))
			return;
		Report(parameters["incarnation"]);
		kf_upstream_state_on_probe_result(
		    state, path, now_us, true, parameters["may_eject"] != 0);
	}
	void ReplaceSilentPath()
	{
		int path = kf_upstream_state_silent_path(state, now_us);

		if (path == KF_UPSTREAM_NO_PATH)
			return;
		PrintTimestamp() << "path " << path << " replaced\n";
		kf_upstream_state_on_path_replaced(state, path, now_us);
		parameters["path" + std::to_string(path)] = 1;
	}
	void SendRequest()
	{
		uint64_t known = kf_upstream_state_incarnation(state);
		int path = kf_upstream_state_pick_path(state, now_us);
		bool answers = parameters["serves"] != 0 && PathWorks(path);

		if (kf_upstream_state_availability(state, now_us) !=
			KF_UPSTREAM_USABLE ||
		    (int64_t)sent.size() >= parameters["slots"])
			return;
		kf_upstream_state_on_sent(state, path, now_us);
		if (parameters["fail_percent"] * (request_count + 1) / 100 >
		    parameters["fail_percent"] * request_count / 100)
			answers = false;
		request_count++;
		if (answers && known != 0 &&
		    known != (uint64_t)parameters["incarnation"]) {
			PrintTimestamp() << "refused: wrong incarnation\n";
			kf_upstream_state_on_failure(state, path, now_us,
			    now_us, KF_UPSTREAM_WRONG_INCARNATION, true);
			return;
		}
		if (parameters["unreachable"] != 0) {
			kf_upstream_state_on_failure(state, path, now_us,
			    now_us, KF_UPSTREAM_UNREACHABLE,
			    parameters["may_eject"] != 0);
			return;
		}
		sent.push_back(SentRequest{ path, now_us,
		    answers ? now_us + parameters["latency"] * 1000 : INT64_MAX,
		    parameters["incarnation"] });
	}
	std::string AvailabilityText()
	{
		return std::string(kf_upstream_availability_name(
			   kf_upstream_state_availability(state, now_us))) +
		    (kf_upstream_state_is_last_resort(state) ? " (last resort)"
							     : "");
	}
	void PrintAvailabilityChange()
	{
		if (AvailabilityText() != last_printed)
			PrintTimestamp() << AvailabilityText() << "\n";
		last_printed = AvailabilityText();
	}
	void Show()
	{
		kf_upstream_digest_t digest;

		kf_upstream_state_digest(state, now_us, &digest);
		PrintTimestamp()
		    << AvailabilityText() << ", slow start "
		    << kf_upstream_state_slow_start_factor(state, now_us)
		    << ", weight "
		    << kf_upstream_state_weight(state, now_us, 10000)
		    << ", incarnation " << digest.incarnation << ", flags 0x"
		    << std::hex << digest.flags << std::dec << "\n";
	}

	std::vector<SentRequest> sent;
	double requests_due = 0;
	int64_t request_count = 0;
	std::string last_printed;
	std::ostringstream out;
};

class Session : public ::testing::TestWithParam<const char *> {};

/*
 * A session holds commands and, indented below each, the expected output.
 * KF_UPDATE_GOLDEN=1 rewrites the files.
 */
TEST_P(Session, PrintsTheExpectedDecisions)
{
	std::string file(__FILE__);
	std::string name = file.substr(0, file.rfind("unit/")) +
	    "golden/upstream_" + GetParam() + ".txt";
	std::ifstream in(name);
	std::string line, want, got;
	UpstreamSimulation upstream_simulation;

	ASSERT_TRUE(in) << name;
	while (std::getline(in, line)) {
		want += line + "\n";
		if (line.compare(0, 2, "  ") == 0)
			continue;
		got += line + "\n";
		if (!line.empty() && line[0] != '#')
			got += upstream_simulation.Command(line);
	}
	if (std::getenv("KF_UPDATE_GOLDEN") != nullptr)
		std::ofstream(name) << got;
	EXPECT_EQ(want, got);
}

INSTANTIATE_TEST_SUITE_P(Upstream, Session,
    ::testing::Values("dies", "only_probes_answer", "reports_badly", "slow",
	"silent_paths", "last_resort", "pause", "restart", "idle_dies", "drain",
	"unreachable", "mostly_fails"));

/* Guards against sending more requests on a path that does not answer. */
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

/* Guards against replacing paths after a pause, with replies not yet read. */
TEST(Upstream, PauseDoesNotMakePathsSilent)
{
	kf_upstream_state_t *state = kf_upstream_state_new(nullptr, 0, kPaths);

	for (int i = 0; i < 3; i++)
		kf_upstream_state_on_sent(state, 1, 0);
	kf_upstream_state_on_probe_sent(state, 1, 0);
	kf_upstream_state_on_answer(state, 0, 1000, 1000);
	kf_upstream_state_tick(state, 5000000, true);
	EXPECT_EQ(
	    KF_UPSTREAM_NO_PATH, kf_upstream_state_silent_path(state, 5000000));
	/* After the pause the wait of the packets is measured again. */
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
Apply(kf_upstream_state_t *state, const Op &op, int64_t *now_us, bool may_eject)
{
	kf_load_report_t report = { (uint64_t)op.amount % 3, 1, 1, 3,
		(uint32_t)op.amount % 8 };
	kf_upstream_availability_t before =
	    kf_upstream_state_availability(state, *now_us);

	switch (op.kind) {
	case 0:
		kf_upstream_state_tick(state, *now_us += op.amount, may_eject);
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
		    state, op.path, *now_us, op.amount % 2 == 0, may_eject);
		break;
	case 5:
		kf_upstream_state_on_sent(state, op.path, *now_us);
		break;
	default:
		kf_upstream_state_on_failure(state, op.path, *now_us,
		    *now_us - op.amount, (kf_upstream_failure_t)(op.amount % 3),
		    may_eject);
	}
	/* A report must not eject the upstream. */
	RC_ASSERT(op.kind != 2 || before != KF_UPSTREAM_USABLE ||
	    kf_upstream_state_availability(state, *now_us) !=
		KF_UPSTREAM_EJECTED);
}

/*
 * Guards against ejection without permission or for too long, and against
 * weights and paths out of range, in random sequences of events.
 */
TEST(Upstream, DecisionsStayInRange)
{
	EXPECT_TRUE(rc::check([](bool may_eject) {
		const auto ops = *rc::gen::resize(
		    300, rc::gen::container<std::vector<Op>>(AnyOp()));
		kf_upstream_state_t *state =
		    kf_upstream_state_new(nullptr, 0, kPaths);
		int64_t now_us = 0;

		for (const Op &op : ops) {
			int64_t due_us;
			int path = 0;

			Apply(state, op, &now_us, may_eject);
			kf_upstream_availability_t availability =
			    kf_upstream_state_availability(state, now_us);
			double weight =
			    kf_upstream_state_weight(state, now_us, 10000);

			RC_ASSERT(may_eject ||
			    (availability != KF_UPSTREAM_EJECTED &&
				availability != KF_UPSTREAM_PROBE_ONLY));
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
