#include <gtest/gtest.h>

#include <map>

#include "kf/sync.h"
#include "support/golden_files.h"

/*
 * Golden sessions in tests/golden/sync: which calls to the store and to peers
 * a VM makes, and when.
 *
 *	new [peers] [BOUND_MS]	start a VM that lists the store at once, or one
 *				that tries to pull from peers first; its data
 *				may be used for BOUND_MS, else for a minute
 *	peers RANK CONTACT_MS AHEAD [HEARD_MS]	set the rank of this VM, the
 *				age of the latest contact that peers had with
 *				the store, "-" for none, their highest position
 *				and the age of the latest beacon
 *	next			print the calls that are due
 *	done CALL OUTCOME POSITION	end a call
 *	due			print the time until a delayed call is due
 *	pause			the process was suspended, calls were aborted
 *	contact			print the age of the VM's contact with the store
 *	run MS			advance the time
 */
namespace {

using namespace kf_test;

class Session {
      public:
	Session()
	{
		kf_sync_init(&sync_, bound_us_, false, 0.5, now_us_);
	}
	std::string Run(const std::string &line)
	{
		std::istringstream in(line);
		std::string name;

		in >> name;
		if (name == "new")
			New(in);
		else if (name == "peers")
			Peers(in);
		else if (name == "next")
			return Next();
		else if (name == "due")
			return Due();
		else if (name == "contact")
			return Contact();
		else if (name == "done")
			return Done(in);
		else if (name == "pause")
			kf_sync_restart(&sync_, now_us_);
		else if (name == "run")
			RunFor(in);
		else
			return "unknown command\n";
		return "";
	}

      private:
	/* Parses ERA/REVISION, or a revision of era 0. */
	static kf_store_position_t Position(const std::string &text)
	{
		size_t slash = text.find('/');

		if (slash == std::string::npos)
			return { 0, std::stoull(text) };
		return { std::stoull(text.substr(0, slash)),
			std::stoull(text.substr(slash + 1)) };
	}
	void New(std::istringstream &in)
	{
		bool ask_peers = false;
		std::string word;

		*this = Session();
		while (in >> word)
			if (word == "peers")
				ask_peers = true;
			else
				bound_us_ = std::stoll(word) * 1000;
		kf_sync_init(&sync_, bound_us_, ask_peers, 0.5, now_us_);
	}
	void Peers(std::istringstream &in)
	{
		std::string contact, ahead;
		int64_t heard_ms = 0;

		in >> peers_.rank >> contact >> ahead >> heard_ms;
		peers_.ahead = Position(ahead);
		peers_.heard_us = now_us_ - heard_ms * 1000;
		peers_.contact_us = contact == "-"
		    ? INT64_MIN
		    : now_us_ - std::stoll(contact) * 1000;
		peers_.ahead_ip =
		    kf_store_position_compare(peers_.ahead, sync_.position) > 0;
	}
	std::string Next()
	{
		kf_sync_actions_t actions =
		    kf_sync_start_due_calls(&sync_, &peers_, now_us_);
		std::string out;

		if (actions.pull)
			out += " pull";
		if (actions.store)
			out +=
			    std::string(" ") + kf_sync_call_name(actions.call);
		if (actions.store && actions.call == KF_SYNC_LIST)
			out += actions.stale ? " stale" : " fresh";
		if (actions.store && actions.call == KF_SYNC_WATCH)
			out += " wait_ms=" + std::to_string(actions.wait_ms) +
			    " timeout_ms=" + std::to_string(actions.timeout_ms);
		if (out.empty())
			out = " nothing";
		return " " + out + (kf_sync_ready(&sync_) ? ", ready" : "") +
		    "\n";
	}
	std::string Due()
	{
		int64_t due_us = kf_sync_next_call_us(&sync_, now_us_);

		return due_us == INT64_MAX ? "  none\n"
					   : "  " +
			std::to_string((due_us - now_us_) / 1000) + " ms\n";
	}
	std::string Contact()
	{
		return sync_.contact_us == INT64_MIN ? "  never\n"
						     : "  " +
			std::to_string((now_us_ - sync_.contact_us) / 1000) +
			" ms\n";
	}
	std::string Done(std::istringstream &in)
	{
		static const std::map<std::string, kf_sync_call_t> calls = {
			{ "list", KF_SYNC_LIST },
			{ "watch", KF_SYNC_WATCH },
			{ "pull", KF_SYNC_PULL },
		};
		static const std::map<std::string, kf_sync_outcome_t>
		    outcomes = {
			    { "ok", KF_SYNC_OK },
			    { "unchanged", KF_SYNC_UNCHANGED },
			    { "failed", KF_SYNC_FAILED },
			    { "gone", KF_SYNC_HISTORY_GONE },
			    { "behind", KF_SYNC_BEHIND },
		    };
		std::string call, outcome, position;

		in >> call >> outcome >> position;
		kf_sync_call_done(&sync_, calls.at(call), outcomes.at(outcome),
		    Position(position), 0.5, now_us_);
		if (kf_store_position_compare(peers_.ahead, sync_.position) <=
		    0)
			peers_.ahead_ip = 0;
		return kf_sync_cancel_listing(&sync_, now_us_)
		    ? "  cancel list\n"
		    : "";
	}
	void RunFor(std::istringstream &in)
	{
		int64_t ms;

		in >> ms;
		now_us_ += ms * 1000;
	}

	int64_t bound_us_ = 60000000;
	kf_sync_t sync_;
	kf_sync_peers_t peers_ = { 0, INT64_MIN, INT64_MIN, {}, 0 };
	int64_t now_us_ = 1000000;
};

class SyncGolden : public ::testing::TestWithParam<std::string> {};

/* Guards against unintended changes of when the store is read. */
TEST_P(SyncGolden, Session)
{
	Session session;

	GoldenCheck("sync", GetParam(),
	    [&](const std::string &line) { return session.Run(line); });
}

INSTANTIATE_TEST_SUITE_P(Sessions, SyncGolden,
    ::testing::ValuesIn(GoldenSessions("sync")),
    [](const auto &info) { return info.param; });

} // namespace
