#include <gtest/gtest.h>

#include <sstream>

#include "support/golden_files.h"
#include "support/traffic_world.h"

/*
 * Runs the golden sessions in tests/golden/traffic.  A session lists commands,
 * each followed by the decisions and peer messages that it causes.  Commands:
 *
 *	new VMS			start a new fleet and pass its slow start
 *	set KEY VALUE		change the next declaration: drained, removed,
 *				slots, canary; the value of canary is "SHARE
 *				FROM START_S RAMP_S"
 *	declare			publish the declaration as a new revision
 *	flow NAME CORE		establish a flow of service orders
 *	call NAME PROC CORE	send a request; 11 and 12 are non-idempotent
 *	again N CORE		send the datagram of request N again
 *	flood NAME PROC CORE N	send N requests
 *	warm NAME N		send N requests without output, to fill the
 *				retry budget
 *	run MS			let time pass
 *	liveness VM STATE	set the VM's liveness in all other VMs' views:
 *				alive, dead, gone, unknown
 *	pause|resume|kill VM	stop, continue or end a VM's process
 *	leave VM		mark a VM as leaving
 *	mode UPSTREAM MODE	how it responds: answer, hold, silent, shed,
 *				wrong (incarnation)
 *	release UPSTREAM	answer the requests that it holds
 *	silence UPSTREAM PATH	lose all datagrams on a path until it is
 *				replaced
 *	places N		establish N flows, count them per upstream
 *	result			count the outcomes of requests since the last
 *				result
 */
namespace {

using namespace kf_test;

class Session {
      public:
	std::string Run(const std::string &line)
	{
		Command(line);
		return Output();
	}

      private:
	typedef void (Session::*Handler)(std::istringstream &);

	void Command(const std::string &line)
	{
		static const std::map<std::string, Handler> handlers = {
			{ "new", &Session::StartFleet },
			{ "set", &Session::SetDeclarationField },
			{ "declare", &Session::Declare },
			{ "flow", &Session::EstablishNamedFlow },
			{ "call", &Session::SendOneRequest },
			{ "again", &Session::ResendRequest },
			{ "flood", &Session::SendRequests },
			{ "warm", &Session::FillRetryBudget },
			{ "run", &Session::RunFor },
			{ "liveness", &Session::SetLiveness },
			{ "pause", &Session::Pause },
			{ "resume", &Session::Resume },
			{ "kill", &Session::Kill },
			{ "leave", &Session::Leave },
			{ "mode", &Session::SetMode },
			{ "release", &Session::AnswerHeldCalls },
			{ "silence", &Session::Silence },
			{ "places", &Session::CountPlacedFlows },
			{ "result", &Session::CountOutcomes },
		};
		std::istringstream in(line);
		std::string name;

		in >> name;
		auto it = handlers.find(name);
		if (it == handlers.end())
			command_output_ += "unknown command\n";
		else
			(this->*it->second)(in);
	}
	std::string Output()
	{
		std::string out = command_output_;

		command_output_.clear();
		if (w_ == nullptr)
			return out;
		for (std::string line : w_->log) {
			while (line.back() == ' ')
				line.pop_back();
			out += line + "\n";
		}
		w_->log.clear();
		if (!w_->violation.empty())
			out += "VIOLATION " + w_->violation + "\n";
		return out;
	}
	size_t Number(std::istringstream &in)
	{
		size_t n = 0;

		in >> n;
		return n;
	}
	std::string Word(std::istringstream &in)
	{
		std::string word;

		in >> word;
		return word;
	}

	void StartFleet(std::istringstream &in)
	{
		Options options;

		options.vms = (uint32_t)Number(in);
		w_ = std::make_unique<TrafficWorld>(options);
		text_ = DeclarationText();
		w_->Declare(text_.Build());
		w_->AdoptViewAll();
		w_->Run(31000);
		w_->log.clear();
		counted_requests_ = 0;
	}
	void SetDeclarationField(std::istringstream &in)
	{
		std::string key = Word(in);

		if (key == "canary")
			SetCanary(in);
		else if (key == "drained")
			text_.drained = Word(in);
		else if (key == "removed")
			text_.removed = Word(in);
		else if (key == "slots")
			text_.slots = (uint32_t)Number(in);
		else
			command_output_ += "unknown setting\n";
	}
	/* Upstream c is labelled gen=new; a and b are gen=old. */
	void SetCanary(std::istringstream &in)
	{
		size_t share = Number(in), from = Number(in);
		int64_t start_s =
		    w_->Now().wall_ms / 1000 + (int64_t)Number(in);
		size_t ramp_s = Number(in);
		std::string ramp = "ramp_start_s = " + std::to_string(start_s) +
		    "\nramp_s = " + std::to_string(ramp_s) + "\n";

		text_.selectors = "[selector canary]\nservice = orders\n"
				  "match = gen=new\nshare_percent = " +
		    std::to_string(share) +
		    "\nramp_from_percent = " + std::to_string(from) + "\n" +
		    ramp +
		    "[selector rest]\nservice = orders\n"
		    "match = gen=old\nshare_percent = " +
		    std::to_string(100 - share) +
		    "\nramp_from_percent = " + std::to_string(100 - from) +
		    "\n" + ramp;
	}
	void Declare(std::istringstream &)
	{
		text_.revision++;
		if (!w_->Declare(text_.Build()))
			command_output_ += w_->errors;
		w_->AdoptViewAll();
		w_->DeliverAll();
	}
	void EstablishNamedFlow(std::istringstream &in)
	{
		std::string name = Word(in);

		callers_[name] = w_->Establish("orders", Number(in));
		counted_requests_ = w_->requests.size();
	}
	void SendOneRequest(std::istringstream &in)
	{
		int caller = callers_[Word(in)];
		size_t proc = Number(in);

		w_->Send(caller, (uint32_t)proc, Number(in));
		w_->DeliverAll();
	}
	void ResendRequest(std::istringstream &in)
	{
		size_t request = Number(in);

		w_->Deliver((int)request, Number(in));
		w_->DeliverAll();
	}
	void SendRequests(std::istringstream &in)
	{
		int caller = callers_[Word(in)];
		size_t proc = Number(in), core = Number(in), n = Number(in);

		for (size_t i = 0; i < n; i++)
			w_->Send(caller, (uint32_t)proc, core);
		w_->DeliverAll();
	}
	void FillRetryBudget(std::istringstream &in)
	{
		int caller = callers_[Word(in)];

		for (size_t n = Number(in); n > 0; n--) {
			w_->Send(caller, 1, 0);
			w_->DeliverAll();
		}
		w_->log.clear();
		counted_requests_ = w_->requests.size();
	}
	void RunFor(std::istringstream &in)
	{
		w_->Run((int64_t)Number(in));
	}
	void SetLiveness(std::istringstream &in)
	{
		static const std::map<std::string, kf_liveness_t> states = {
			{ "alive", KF_VM_ALIVE }, { "dead", KF_VM_DEAD },
			{ "gone", KF_VM_GONE }, { "unknown", KF_VM_UNKNOWN }
		};
		size_t vm = Number(in);

		w_->SetLiveAll(vm, states.at(Word(in)));
		w_->AdoptViewAll();
		w_->DeliverAll();
	}
	void Pause(std::istringstream &in)
	{
		w_->paused[Number(in)] = true;
	}
	void Resume(std::istringstream &in)
	{
		w_->paused[Number(in)] = false;
	}
	void Kill(std::istringstream &in)
	{
		w_->Kill(Number(in));
	}
	void Leave(std::istringstream &in)
	{
		w_->leaving[Number(in)] = true;
		w_->AdoptViewAll();
		w_->DeliverAll();
	}
	void SetMode(std::istringstream &in)
	{
		static const std::map<std::string, UpstreamMode> modes = {
			{ "answer", ANSWER }, { "hold", HOLD },
			{ "silent", SILENT }, { "shed", SHED },
			{ "wrong", WRONG_INCARNATION }
		};
		std::string name = Word(in);

		w_->upstreams[name].mode = modes.at(Word(in));
	}
	void AnswerHeldCalls(std::istringstream &in)
	{
		w_->AnswerHeldCalls(Word(in));
		w_->DeliverAll();
	}
	void Silence(std::istringstream &in)
	{
		std::string name = Word(in);

		w_->upstreams[name].silent_paths.insert((uint32_t)Number(in));
	}
	void CountPlacedFlows(std::istringstream &in)
	{
		std::map<std::string, int> counts;
		size_t n = Number(in);

		for (size_t i = 0; i < n; i++)
			counts[w_->UpstreamOf(w_->Establish("orders", 0))]++;
		w_->log.clear();
		for (const auto &c : counts)
			command_output_ +=
			    c.first + " " + std::to_string(c.second) + "\n";
		counted_requests_ = w_->requests.size();
	}
	void CountOutcomes(std::istringstream &)
	{
		std::map<std::string, int> outcomes;

		for (; counted_requests_ < w_->requests.size();
		     counted_requests_++) {
			const Request &r = w_->requests[counted_requests_];

			outcomes["executed=" + std::to_string(r.executed) +
			    " answered=" + std::to_string(r.answered) +
			    " denied=" + std::to_string(r.denied) +
			    " unknown=" + std::to_string(r.unknown)]++;
		}
		for (const auto &o : outcomes)
			command_output_ += std::to_string(o.second) +
			    " requests " + o.first + "\n";
	}

	std::unique_ptr<TrafficWorld> w_;
	DeclarationText text_;
	std::map<std::string, int> callers_;
	std::string command_output_;
	size_t counted_requests_ = 0;
};

class Golden : public ::testing::TestWithParam<std::string> {};

/* Guards against unintended changes of decisions and peer messages. */
TEST_P(Golden, Traffic)
{
	Session session;
	std::string got = GoldenCheck("traffic", GetParam(),
	    [&](const std::string &line) { return session.Run(line); });

	EXPECT_EQ(std::string::npos, got.find("VIOLATION"));
}

INSTANTIATE_TEST_SUITE_P(Sessions, Golden,
    ::testing::ValuesIn(GoldenSessions("traffic")),
    [](const auto &info) { return info.param; });

} // namespace
