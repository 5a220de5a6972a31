#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>

#include "support/traffic_world.h"

namespace {

using namespace kf_test;

enum { VMS = 3, CALLERS = 3, TOKEN_LIFETIME_S = 100 };

/* Sets limits so small that scripts reach evictions, full tables and expiry. */
void
SmallLimits(kf_traffic_config_t *config)
{
	config->token_lifetime_s = TOKEN_LIFETIME_S;
	config->flow_limits.max_flows = 24;
	config->flow_limits.max_reply_bytes = 3000;
	config->flow_limits.idle_expiry_us =
	    (int64_t)(TOKEN_LIFETIME_S + KF_RETRANSMIT_HORIZON_S) * 1000000;
}

/* A script of random events: each number selects an event and its details. */
class Script {
      public:
	Script(bool planned, const Mutations &mutations, uint32_t shards)
	    : planned_(planned), shards_(shards), w_(MakeOptions(shards))
	{
		w_.mutations = mutations;
		/* Without failures, no request may reach its deadline. */
		text_.deadline_ms = planned ? 60000 : 2000;
		w_.Declare(text_.Build());
		w_.AdoptViewAll();
		w_.Run(20);
		for (int i = 0; i < CALLERS; i++) {
			w_.Establish(
			    i == 2 ? "certs" : "orders", Core((size_t)i));
			sent_us_.push_back(w_.now_us);
		}
		Publish();
	}

	void Step(uint32_t number)
	{
		unsigned kind = number % 64;

		w_.log.push_back("# event " + std::to_string(kind));
		StepKind(number, kind);
	}
	void StepKind(uint32_t number, unsigned kind)
	{

		pick_ = number / 64;
		if (kind < 24)
			DeliverOne();
		else if (kind < 32)
			SendNew();
		else if (kind < 38)
			Resend();
		else if (kind < 45)
			Advance(10 + (int64_t)Pick(5) * 10);
		else if (kind < 48)
			w_.DeliverAll();
		else if (kind < 52)
			w_.AdoptView(Pick(VMS));
		else if (kind < 54)
			Redeclare();
		else if (kind == 54)
			Leave();
		else if (!planned_)
			InjectFault(kind);
	}
	/* Ends all faults, waits for all requests to end and checks them. */
	void Finish()
	{
		for (size_t vm = 0; vm < VMS; vm++) {
			w_.paused[vm] = false;
			SetLivenessEverywhere(vm, KF_VM_ALIVE);
		}
		for (auto &u : w_.upstreams) {
			u.second.mode = ANSWER;
			w_.AnswerHeldCalls(u.first);
		}
		w_.AdoptViewAll();
		w_.DeliverAll();
		w_.Run(planned_ ? 200 : 4000);
		/*
		 * A datagram is dropped if a copy of it is in progress or the
		 * flow's ring is full, so it is sent again.
		 */
		for (size_t i = 0; planned_ && i < w_.requests.size(); i++) {
			if (w_.requests[i].answered == 0) {
				w_.Deliver((int)i, Core(RunningVm()));
				w_.Run(50);
			}
		}
		if (w_.violation.empty() && w_.InProgress() != 0)
			w_.violation = "a request never ends";
		for (const Request &r : w_.requests) {
			if (planned_ && w_.violation.empty() &&
			    (r.answered == 0 || r.error_before_answer))
				w_.violation = "request not answered";
		}
	}
	const std::string &Violation() const
	{
		return w_.violation;
	}
	const TrafficWorld &GetWorld() const
	{
		return w_;
	}

      private:
	static Options MakeOptions(uint32_t shards)
	{
		Options options;

		options.shards = shards;
		options.vms = VMS;
		options.config = SmallLimits;
		return options;
	}
	unsigned Pick(size_t bound)
	{
		unsigned result = pick_ % (unsigned)bound;

		pick_ /= (unsigned)bound;
		return result;
	}
	bool Deliverable(size_t i) const
	{
		return w_.Deliverable(w_.events[i]);
	}
	void DeliverOne()
	{
		if (w_.events.empty())
			return;
		size_t i = Pick(w_.events.size());
		if (!Deliverable(i))
			return;
		unsigned delivery = Pick(16);
		if (!planned_ && delivery == 0)
			w_.events.erase(w_.events.begin() + (long)i);
		else
			/* Calls to upstreams are not duplicated. */
			w_.Step(i,
			    !planned_ && delivery < 3 &&
				w_.events[i].kind != Event::CALL);
	}
	bool IsRunning(size_t vm) const
	{
		return !w_.dead[vm] && !w_.paused[vm];
	}
	size_t Core(size_t vm)
	{
		return vm * shards_ + (shards_ > 1 ? Pick(shards_) : 0);
	}
	size_t RunningVm()
	{
		size_t vm = Pick(VMS);

		for (size_t i = 0; i < VMS && !IsRunning(vm); i++)
			vm = (vm + 1) % VMS;
		return IsRunning(vm) ? vm : (size_t)VMS;
	}
	void SendNew()
	{
		static const uint32_t procs[] = { 11, 11, 11, 12, 1, 2, 3, 0 };
		int caller = (int)Pick(CALLERS);
		uint32_t proc = procs[Pick(8)];
		size_t vm = RunningVm();

		if (vm >= VMS || (planned_ && WindowFull(caller)))
			return;
		w_.Send(caller, proc, Core(vm));
		sent_us_.push_back(w_.now_us);
	}
	/*
	 * Returns true if a caller must wait for an answer, as a flow has
	 * records of its last KF_FLOW_RING requests only.
	 */
	bool WindowFull(int caller) const
	{
		for (const Request &r : w_.requests) {
			if (r.caller == caller && r.answered == 0)
				return w_.callers[(size_t)caller].next_xid -
				    r.xid >=
				    KF_FLOW_RING - 1;
		}
		return false;
	}
	/* Sends a recent request again, unless it is near the horizon. */
	void Resend()
	{
		size_t back = Pick(8) + 1, vm = RunningVm();

		if (vm >= VMS || back > w_.requests.size())
			return;
		size_t i = w_.requests.size() - back;
		if (w_.now_us - sent_us_[i] <
		    (int64_t)(KF_RETRANSMIT_HORIZON_S - 20) * 1000000)
			w_.Deliver((int)i, Core(vm));
	}
	void Advance(int64_t ms)
	{
		w_.now_us += ms * 1000;
		w_.Tick();
	}
	void Publish()
	{
		for (size_t vm = 0; vm < VMS; vm++)
			w_.AdoptView(vm);
	}
	/* Changes the declaration, which VMs get with their next view. */
	void Redeclare()
	{
		static const char *const names[] = { "", "a", "b", "c" };

		text_.revision++;
		text_.drained = names[Pick(4)];
		text_.removed = names[Pick(4)];
		text_.moved = Pick(4) == 0 ? names[Pick(4)] : "";
		text_.slots = 1 + Pick(3);
		if (text_.removed == text_.drained)
			text_.removed = "";
		/* The service orders must keep an upstream. */
		if (text_.moved == text_.drained ||
		    text_.moved == text_.removed)
			text_.moved = "";
		if (!text_.moved.empty() && !text_.removed.empty())
			text_.removed = "";
		if (!planned_ && Pick(16) == 0)
			text_.orders = false;
		else
			text_.orders = true;
		if (!w_.Declare(text_.Build()))
			w_.violation = "bad declaration: " + w_.errors;
	}
	/*
	 * Stops a VM in the planned way: marks it as leaving or, the second
	 * time, ends it after 2.5 s if it has no request in progress.
	 */
	void Leave()
	{
		size_t vm = Pick(VMS);

		if (w_.dead[vm] || w_.paused[vm])
			return;
		if (!w_.leaving[vm]) {
			if (CountStaying() > 1 && PrepareToLeave())
				w_.leaving[vm] = true;
			return;
		}
		w_.DeliverAll();
		Publish();
		w_.Run(2500);
		w_.DeliverAll();
		for (uint32_t i = 0; i < shards_; i++) {
			if (kf_traffic_in_progress(
				w_.Traffic(vm * shards_ + i)) != 0)
				return;
		}
		w_.Kill(vm);
		if (planned_ || Pick(2) == 0) {
			w_.SetLiveAll(vm, KF_VM_GONE);
			Publish();
		}
	}
	/*
	 * Returns true if a VM may start to leave now.  Without failures,
	 * VMs leave one at a time, and all callers renew their tokens first, so
	 * that no flow loses its owner and its backup while it is idle.
	 */
	bool PrepareToLeave()
	{
		size_t vm = RunningVm();

		if (!planned_)
			return true;
		for (size_t i = 0; i < VMS; i++) {
			if (w_.leaving[i] && !w_.dead[i])
				return false;
		}
		if (vm >= VMS)
			return false;
		Publish();
		for (int i = 0; i < CALLERS; i++) {
			w_.Send(i, 0, Core(vm));
			sent_us_.push_back(w_.now_us);
		}
		return true;
	}
	unsigned CountStaying() const
	{
		unsigned n = 0;

		for (size_t vm = 0; vm < VMS; vm++)
			n += !w_.dead[vm] && !w_.leaving[vm];
		return n;
	}
	/* Sets the liveness of a running VM in the views of all others. */
	void SetLivenessEverywhere(size_t vm, kf_liveness_t liveness)
	{
		for (size_t i = 0; i < VMS; i++) {
			if (i != vm && !w_.dead[vm])
				w_.SetLive(i, vm, liveness);
		}
	}
	/* Views report a VM as gone only if it has ended. */
	void SetLivenessAtOne(size_t observer, size_t vm)
	{
		static const kf_liveness_t states[] = { KF_VM_ALIVE,
			KF_VM_UNKNOWN, KF_VM_SUSPECT, KF_VM_DEAD };
		unsigned state = Pick(5);

		if (observer == vm || gone_.count({ observer, vm }) != 0)
			return;
		if (w_.dead[vm] && state == 4) {
			gone_.insert({ observer, vm });
			w_.SetLive(observer, vm, KF_VM_GONE);
		} else {
			w_.SetLive(observer, vm,
			    w_.dead[vm] ? KF_VM_DEAD : states[state % 4]);
		}
		if (IsRunning(observer))
			w_.AdoptView(observer);
	}
	void InjectFault(unsigned kind)
	{
		static const char *const names[] = { "a", "b", "c", "d" };
		std::string name = names[Pick(4)];
		size_t vm = Pick(VMS);

		switch (kind) {
		case 55:
			w_.paused[vm] = !w_.paused[vm];
			break;
		case 56:
			KillOrRestart(vm);
			break;
		case 57:
		case 58:
			SetLivenessAtOne(vm, Pick(VMS));
			break;
		case 59:
			w_.upstreams[name].mode = (UpstreamMode)Pick(5);
			break;
		case 60:
			w_.AnswerHeldCalls(name);
			break;
		case 61:
			RestartOrReportUnreachable(name, vm);
			break;
		case 62:
			for (int i = 0; i < 40; i++)
				Advance(100);
			break;
		default:
			IdlePastHorizon();
			break;
		}
	}
	void KillOrRestart(size_t vm)
	{
		if (w_.dead[vm]) {
			for (size_t i = 0; i < VMS; i++)
				gone_.erase({ i, vm });
			w_.Restart(vm);
		} else if (Pick(4) == 0 && CountStaying() > 1) {
			w_.Kill(vm);
		}
	}
	void RestartOrReportUnreachable(const std::string &name, size_t vm)
	{
		if (Pick(2) == 0) {
			w_.upstreams[name].incarnation++;
			w_.upstreams[name].held.clear();
		} else if (IsRunning(vm)) {
			w_.ReportUnreachable(name, Core(vm), Pick(2));
		}
	}
	/*
	 * Lets 130 s pass, longer than callers send copies.  Datagrams and held
	 * calls are lost, as none takes that long.
	 */
	void IdlePastHorizon()
	{
		if (Pick(3) != 0)
			return;
		w_.events.clear();
		for (auto &u : w_.upstreams)
			u.second.held.clear();
		for (int i = 0; i < 13; i++)
			Advance(10000);
		w_.events.clear();
	}

	bool planned_; /* only planned changes, no failures */
	uint32_t shards_;
	unsigned pick_ = 0;
	DeclarationText text_;
	TrafficWorld w_;
	std::vector<int64_t> sent_us_;
	std::set<std::pair<size_t, size_t>> gone_;
};

std::string
RunScript(bool planned, const Mutations &mutations,
    const std::vector<uint32_t> &numbers, bool print = false)
{
	/* The first number selects one or two shards per VM. */
	uint32_t shards = numbers.empty() || numbers[0] % 4 != 0 ? 1 : 2;
	Script script(planned, mutations, shards);

	for (uint32_t n : numbers) {
		script.Step(n);
		if (!script.Violation().empty())
			break;
	}
	if (script.Violation().empty())
		script.Finish();
	for (const Request &r : script.GetWorld().requests) {
		if (print)
			printf("xid=%u proc=%u executed=%d answered=%d "
			       "denied=%d unknown=%d\n",
			    r.xid, r.proc, r.executed, r.answered, r.denied,
			    r.unknown);
	}
	if (print) {
		for (const std::string &line : script.GetWorld().log)
			printf("%s\n", line.c_str());
	}
	return script.Violation();
}

/* Removes events for as long as the script reports the same violation. */
std::vector<uint32_t>
Shorten(bool planned, const Mutations &mutations, std::vector<uint32_t> script,
    const std::string &violation)
{
	for (size_t block = script.size() / 2; block > 0; block /= 2) {
		for (size_t i = 0; i + block <= script.size();) {
			std::vector<uint32_t> shorter = script;

			shorter.erase(shorter.begin() + (long)i,
			    shorter.begin() + (long)(i + block));
			if (RunScript(planned, mutations, shorter) == violation)
				script = shorter;
			else
				i += block;
		}
	}
	return script;
}

/* Scripts run several times slower with sanitizers. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
const int kScriptsDivisor = 5;
#else
const int kScriptsDivisor = 1;
#endif

/* Lets the environment set the seed and the number of scripts. */
uint64_t
EnvOr(const char *name, int fallback)
{
	const char *value = getenv(name);

	return value == nullptr ? (uint64_t)fallback
				: strtoull(value, nullptr, 10);
}

/*
 * Runs random scripts and returns the first violation, or "".  An event depends
 * on the ones before it, so Shorten is used instead of the library's shrinking
 * of single numbers.
 */
std::string
CheckScripts(bool planned, int scripts)
{
	const size_t length = planned ? 120 : 200;
	rc::detail::TestParams params;
	rc::detail::TestMetadata metadata;
	std::vector<uint32_t> failed;
	std::string violation;

	params.seed = EnvOr("KF_PROPERTY_SEED", 20261204);
	params.maxSuccess =
	    (int)EnvOr("KF_PROPERTY_SCRIPTS", scripts / kScriptsDivisor);
	params.disableShrinking = true;
	rc::detail::checkTestable(
	    [&]() {
		    auto numbers = *rc::gen::resize(rc::kNominalSize,
			rc::gen::container<std::vector<uint32_t>>(
			    length, rc::gen::arbitrary<uint32_t>()));

		    violation = RunScript(planned, Mutations(), numbers);
		    failed = numbers;
		    RC_ASSERT(violation.empty());
	    },
	    metadata, params);
	if (violation.empty())
		return "";
	failed = Shorten(planned, Mutations(), failed, violation);
	printf("%zu events:\n", failed.size());
	RunScript(planned, Mutations(), failed, true);
	return violation;
}

/* Returns true if some script reports exactly this violation. */
bool
SomeScriptReports(
    bool planned, const Mutations &mutations, const std::string &expected)
{
	kf_random_t random = { 20261204 };
	const int scripts = 3000;

	for (int i = 0; i < scripts; i++) {
		std::vector<uint32_t> numbers;

		for (int j = 0; j < 200; j++)
			numbers.push_back((uint32_t)kf_random_next(&random));
		if (RunScript(planned, mutations, numbers) == expected)
			return true;
	}
	return false;
}

/*
 * Guards against requests that run twice, are refused as not run although they
 * ran, get the answer or upstream of another request, are sent to a draining
 * upstream or never end.  VMs die, pause and have different views; datagrams
 * are lost, delayed or duplicated.
 */
TEST(TrafficProperty, HoldsUnderFailures)
{
	EXPECT_EQ("", CheckScripts(false, 4000));
}

/* Guards against requests that get no answer because of a planned change. */
TEST(TrafficProperty, EveryRequestIsAnsweredAtPlannedChanges)
{
	EXPECT_EQ("", CheckScripts(true, 2000));
}

struct Mutant {
	const char *name;
	bool Mutations::*rule;
	bool planned;
	const char *expected;
};

/* Guards against checks that cannot fail: each mutation must be detected. */
TEST(TrafficProperty, EveryRuleIsNeeded)
{
	static const Mutant mutants[] = {
		{ "ack_nacks", &Mutations::ack_nacks, false,
		    "request executed twice" },
		{ "forge_acks", &Mutations::forge_acks, false,
		    "request executed twice" },
		{ "deny_unknown", &Mutations::deny_unknown, false,
		    "refused as not run after execution" },
		{ "swap_answers", &Mutations::swap_answers, false,
		    "answer of another request" },
		{ "misroute", &Mutations::misroute, true,
		    "request to an upstream of another service" },
		{ "stale_views", &Mutations::stale_views, true,
		    "new request to a draining upstream" },
		{ "lose_answers", &Mutations::lose_answers, true,
		    "request not answered" },
		{ "no_ticks", &Mutations::no_ticks, false,
		    "a request never ends" },
	};

	for (const Mutant &m : mutants) {
		Mutations mutations;

		mutations.*m.rule = true;
		/* Other violations may come first, but do not count. */
		EXPECT_TRUE(SomeScriptReports(m.planned, mutations, m.expected))
		    << m.name;
	}
}

} // namespace
