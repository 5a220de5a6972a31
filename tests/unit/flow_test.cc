#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <chrono>
#include <cstdio>
#include <cstring>
#include <random>
#include <vector>

#include "kf/flow.h"

namespace {

const kf_vm_id_t kOwner = { 7, 1000 };
const int64_t kTokenLifetime_us = 3000;
const int64_t kHorizon_us = 500;

/* Rules of the protocol; a mutant sets one of them to false. */
struct Rules {
	bool fence = true;	    /* a fenced owner gets no ACK */
	bool floor = true;	    /* stale requests never run */
	bool keep_record = true;    /* a lost reply is in doubt */
	bool drop_duplicate = true; /* copies in progress are dropped */
	bool wait_ack = true;	    /* dispatch only after ACK */
	bool ack_before_refusal = true;
	bool done_not_run_refuses = true;
	bool full_is_dropped = true;
	/* Dispatch without ACK only if the backup ended within the lease. */
	bool no_ack_needs_lease = true;
	bool idle_covers_token = true;
};

struct Message {
	enum Type { INTENT, ACK, NACK, DONE } type;
	kf_request_id_t id;
	kf_verdict_t verdict;
};

struct Request {
	kf_request_id_t id;
	int64_t sent_us;
	int dispatched = 0;
	bool refused = false;
	bool waits_for_ack = false;
	bool runs_at_owner = false;
	bool runs_at_backup = false;
};

enum { kFlows = 3, kMaxRequests = 200 };

/*
 * Simulates an owner, its backup, their upstream and a network.  Each step of a
 * script chooses one event.
 */
class FlowSimulation {
      public:
	explicit FlowSimulation(const Rules &rules) : rules_(rules)
	{
		kf_flow_limits_t limits = {};

		limits.max_flows = kFlows - 1;
		limits.max_reply_bytes = 4 * 80;
		limits.idle_expiry_us = rules.idle_covers_token
		    ? kTokenLifetime_us + kHorizon_us
		    : kTokenLifetime_us / 10;
		limits.reply_expiry_us = 400;
		owner_ = kf_flow_table_new(&limits);
		limits.max_flows = kFlows;
		backup_ = kf_flow_table_new(&limits);
	}
	~FlowSimulation()
	{
		kf_flow_table_delete(owner_);
		kf_flow_table_delete(backup_);
	}
	FlowSimulation(const FlowSimulation &) = delete;
	FlowSimulation &operator=(const FlowSimulation &) = delete;

	void Step(uint16_t choice)
	{
		unsigned random_value = choice / 64;

		now_us_ += choice % 8;
		switch (choice % 64) {
		case 0:
			owner_paused_ = !owner_paused_;
			break;
		case 1:
			/*
			 * The owner loses its lease: it was paused, has died
			 * or its heartbeats were lost.
			 */
			lease_ = lease_ && random_value % 4 != 0;
			break;
		case 2:
			if (random_value % 8 == 0)
				owner_dead_ = true;
			break;
		case 3:
			if (random_value % 8 == 0)
				backup_dead_ = true;
			break;
		case 4:
			OwnerSeesBackupGone();
			break;
		case 5:
			now_us_ += random_value;
			break;
		case 6:
			if (!network_.empty())
				network_.erase(network_.begin() +
				    random_value % network_.size());
			break;
		case 7:
			kf_flow_expire(owner_, now_us_);
			kf_flow_expire(backup_, now_us_);
			break;
		case 8:
			PassDeadlineAtOwner(random_value);
			break;
		default:
			StepFrequentAction(choice % 64, random_value);
		}
	}
	bool DoubleRun() const
	{
		for (const Request &r : requests_) {
			if (r.dispatched > 1)
				return true;
		}
		return false;
	}
	bool FalseRefusal() const
	{
		for (const Request &r : requests_) {
			if (r.refused && r.dispatched > 0)
				return true;
		}
		return false;
	}
	bool WrongReply() const
	{
		return wrong_reply_;
	}
	int Dispatches() const
	{
		int n = 0;

		for (const Request &r : requests_)
			n += r.dispatched;
		return n;
	}

      private:
	void StepFrequentAction(unsigned action, unsigned random_value)
	{
		if (action < 18)
			Send(random_value);
		else if (action < 30)
			Arrive(random_value, true);
		else if (action < 34)
			Arrive(random_value, false);
		else if (action < 50)
			DeliverPeer(random_value);
		else if (action < 60)
			AnswerAtOwner(random_value);
		else
			AnswerAtBackup(random_value);
	}
	bool OwnerRuns() const
	{
		return !owner_dead_ && !owner_paused_;
	}
	Request &Find(const kf_request_id_t &id)
	{
		return requests_[id.xid];
	}
	void Send(unsigned random_value)
	{
		Request r = {};
		uint64_t flow = random_value % kFlows;

		if (requests_.size() == kMaxRequests)
			return;
		r.id = { flow, (uint32_t)requests_.size(), newest_[flow] };
		r.sent_us = now_us_;
		requests_.push_back(r);
		Arrive((unsigned)requests_.size() - 1, true);
	}
	/* Any earlier packet may arrive again while its token is valid. */
	void Arrive(unsigned random_value, bool at_owner)
	{
		if (requests_.empty())
			return;
		Request &r = requests_[random_value % requests_.size()];
		if (now_us_ - r.sent_us >= kTokenLifetime_us)
			return;
		if (at_owner && OwnerRuns())
			ArriveAtOwner(r);
		if (!at_owner && !backup_dead_)
			ArriveAtBackup(r, random_value);
	}
	void Check(const Request &r, kf_flow_state_t state,
	    const uint8_t *reply, size_t len)
	{
		if (state != KF_FLOW_ANSWERED)
			return;
		if (len != sizeof(r.id.xid) ||
		    memcmp(reply, &r.id.xid, len) != 0)
			wrong_reply_ = true;
	}
	/* Returns true if a mutated rule runs what the table forbids. */
	bool RunsAnyway(kf_flow_state_t state) const
	{
		return (state == KF_FLOW_STALE && !rules_.floor) ||
		    (state == KF_FLOW_IN_DOUBT && !rules_.keep_record) ||
		    (state == KF_FLOW_IN_PROGRESS && !rules_.drop_duplicate);
	}
	void ArriveAtOwner(Request &r)
	{
		const uint8_t *reply;
		size_t len;
		kf_flow_state_t state =
		    kf_flow_begin(owner_, now_us_, &r.id, &reply, &len);

		Check(r, state, reply, len);
		if (state == KF_FLOW_FULL && !rules_.full_is_dropped)
			r.refused = true;
		if (state != KF_FLOW_NEW && !RunsAnyway(state))
			return;
		if (needs_no_ack_ || !rules_.wait_ack) {
			DispatchAtOwner(r);
			return;
		}
		r.waits_for_ack = true;
		network_.push_back({ Message::INTENT, r.id, KF_NOT_RUN });
	}
	void DispatchAtOwner(Request &r)
	{
		r.waits_for_ack = false;
		r.runs_at_owner = true;
		r.dispatched++;
	}
	void EndAtOwner(Request &r, kf_verdict_t verdict)
	{
		r.waits_for_ack = false;
		r.runs_at_owner = false;
		if (verdict == KF_NOT_RUN)
			r.refused = true;
		kf_flow_finish(owner_, now_us_, &r.id, verdict,
		    KF_REASON_OVERLOAD, (const uint8_t *)&r.id.xid,
		    verdict == KF_ANSWERED ? sizeof(r.id.xid) : 0);
		newest_[r.id.flow] = kf_flow_next_generation(owner_, r.id.flow);
	}
	void ArriveAtBackup(Request &r, unsigned random_value)
	{
		const uint8_t *reply;
		size_t len;

		if (lease_)
			return;
		kf_flow_fence(backup_, now_us_, kOwner);
		kf_flow_state_t state = kf_flow_take_over(
		    backup_, now_us_, kOwner, &r.id, &reply, &len);
		Check(r, state, reply, len);
		if (state == KF_FLOW_REFUSED && !rules_.done_not_run_refuses)
			state = KF_FLOW_NEW;
		if (state != KF_FLOW_NEW && !RunsAnyway(state))
			return;
		if (random_value % 4 == 0) {
			r.refused = true;
			kf_flow_finish(backup_, now_us_, &r.id, KF_NOT_RUN,
			    KF_REASON_OVERLOAD, nullptr, 0);
			return;
		}
		r.runs_at_backup = true;
		r.dispatched++;
	}
	/* Delivered messages are not removed, so each may arrive repeatedly. */
	void DeliverPeer(unsigned random_value)
	{
		if (network_.empty())
			return;
		Message m = network_[random_value % network_.size()];
		if (m.type == Message::INTENT || m.type == Message::DONE) {
			if (!backup_dead_)
				DeliverToBackup(m);
		} else if (OwnerRuns()) {
			DeliverToOwner(m, random_value);
		}
	}
	void DeliverToBackup(Message m)
	{
		if (m.type == Message::DONE) {
			kf_flow_record_done(backup_, now_us_, kOwner, &m.id,
			    m.verdict, (const uint8_t *)&m.id.xid,
			    m.verdict == KF_ANSWERED ? sizeof(m.id.xid) : 0);
			return;
		}
		kf_status_t status =
		    kf_flow_record_intent(backup_, now_us_, kOwner, &m.id, 1);
		if (status == KF_ERR_FULL)
			return;
		m.type = status == KF_OK || !rules_.fence ? Message::ACK
							  : Message::NACK;
		network_.push_back(m);
	}
	void DeliverToOwner(const Message &m, unsigned random_value)
	{
		Request &r = Find(m.id);

		if (!r.waits_for_ack)
			return;
		if (m.type == Message::NACK) {
			EndAtOwner(r, KF_MAY_HAVE_RUN);
		} else if (random_value % 4 == 0) {
			EndAtOwner(r, KF_NOT_RUN);
			network_.push_back({ Message::DONE, r.id, KF_NOT_RUN });
		} else {
			DispatchAtOwner(r);
		}
	}
	void PassDeadlineAtOwner(unsigned random_value)
	{
		if (requests_.empty() || !OwnerRuns())
			return;
		Request &r = requests_[random_value % requests_.size()];
		if (r.waits_for_ack)
			EndAtOwner(r,
			    rules_.ack_before_refusal ? KF_MAY_HAVE_RUN
						      : KF_NOT_RUN);
	}
	void AnswerAtOwner(unsigned random_value)
	{
		if (requests_.empty() || !OwnerRuns())
			return;
		Request &r = requests_[random_value % requests_.size()];
		if (!r.runs_at_owner)
			return;
		EndAtOwner(r, KF_ANSWERED);
		network_.push_back({ Message::DONE, r.id, KF_ANSWERED });
	}
	void AnswerAtBackup(unsigned random_value)
	{
		if (requests_.empty() || backup_dead_)
			return;
		Request &r = requests_[random_value % requests_.size()];
		if (!r.runs_at_backup)
			return;
		r.runs_at_backup = false;
		kf_flow_finish(backup_, now_us_, &r.id, KF_ANSWERED,
		    KF_REASON_NONE, (const uint8_t *)&r.id.xid,
		    sizeof(r.id.xid));
	}
	void OwnerSeesBackupGone()
	{
		if (!backup_dead_ || !OwnerRuns() || needs_no_ack_)
			return;
		if (!lease_ && rules_.no_ack_needs_lease)
			return;
		needs_no_ack_ = true;
		for (Request &r : requests_) {
			if (r.waits_for_ack)
				DispatchAtOwner(r);
		}
	}

	const Rules rules_;
	kf_flow_table_t *owner_;
	kf_flow_table_t *backup_;
	int64_t now_us_ = 0;
	bool owner_paused_ = false;
	bool owner_dead_ = false;
	bool backup_dead_ = false;
	bool lease_ = true;
	bool needs_no_ack_ = false;
	bool wrong_reply_ = false;
	uint32_t newest_[kFlows] = {};
	std::vector<Request> requests_;
	std::vector<Message> network_;
};

enum Violation { NONE = 0, DOUBLE_RUN = 1, FALSE_REFUSAL = 2, WRONG_REPLY = 4 };

int
Violations(const FlowSimulation &simulation)
{
	return (simulation.DoubleRun() ? DOUBLE_RUN : 0) |
	    (simulation.FalseRefusal() ? FALSE_REFUSAL : 0) |
	    (simulation.WrongReply() ? WRONG_REPLY : 0);
}

enum { kScriptSteps = 1500, kSeeds = 6000 };

/*
 * Runs random scripts with fixed seeds and returns all violations found; stops
 * early at a wanted one.  Adds up the dispatched requests in *dispatches.
 */
int
Search(const Rules &rules, int wanted, int *dispatches)
{
	int found = NONE;

	for (unsigned seed = 1; seed <= kSeeds; seed++) {
		std::mt19937 random(seed);
		FlowSimulation simulation(rules);

		for (int i = 0; i < kScriptSteps; i++)
			simulation.Step((uint16_t)random());
		found |= Violations(simulation);
		*dispatches += simulation.Dispatches();
		if (wanted != NONE && (found & wanted) != 0)
			break;
	}
	return found;
}

/* Checks invariants 3, 4 and 5 with all rules of the protocol in force. */
TEST(FlowProtocol, HoldsForRandomInterleavings)
{
	EXPECT_TRUE(rc::check("at most once, refusals true, own reply", [] {
		auto script = *rc::gen::resize(rc::kNominalSize,
		    rc::gen::container<std::vector<uint16_t>>(
			kScriptSteps, rc::gen::arbitrary<uint16_t>()));
		FlowSimulation simulation{ Rules() };

		for (uint16_t choice : script)
			simulation.Step(choice);
		RC_ASSERT(Violations(simulation) == NONE);
	}));
}

TEST(FlowProtocol, HoldsForTheSeedsOfTheMutants)
{
	int dispatches = 0;

	EXPECT_EQ(NONE, Search(Rules(), NONE, &dispatches));
	/* Guards against a simulation in which nothing is dispatched. */
	EXPECT_GT(dispatches, 10 * kSeeds);
}

/*
 * Switches off one rule, after which the named violation must be found.  Guards
 * against checks that cannot fail.
 */
struct Mutant {
	const char *name;
	bool Rules::*rule;
	int violation;
};

class FlowMutant : public ::testing::TestWithParam<Mutant> {};

TEST_P(FlowMutant, IsFound)
{
	Rules rules;
	int dispatches = 0;

	rules.*GetParam().rule = false;
	EXPECT_TRUE(Search(rules, GetParam().violation, &dispatches) &
	    GetParam().violation);
}

INSTANTIATE_TEST_SUITE_P(Rules, FlowMutant,
    ::testing::Values(Mutant{ "NoFence", &Rules::fence, DOUBLE_RUN },
	Mutant{ "NoFloor", &Rules::floor, DOUBLE_RUN },
	Mutant{ "LostReplyRunsAgain", &Rules::keep_record, DOUBLE_RUN },
	Mutant{ "DuplicateRuns", &Rules::drop_duplicate, DOUBLE_RUN },
	Mutant{ "DispatchBeforeAck", &Rules::wait_ack, DOUBLE_RUN },
	Mutant{ "RefusalBeforeAck", &Rules::ack_before_refusal, FALSE_REFUSAL },
	Mutant{ "NotRunDoneAllowsRun", &Rules::done_not_run_refuses,
	    FALSE_REFUSAL },
	Mutant{ "FullIsRefusal", &Rules::full_is_dropped, FALSE_REFUSAL },
	Mutant{ "NoAckWithoutLease", &Rules::no_ack_needs_lease, DOUBLE_RUN },
	Mutant{ "IdleExpiryTooShort", &Rules::idle_covers_token, DOUBLE_RUN }),
    [](const auto &info) { return std::string(info.param.name); });

class FlowTable : public ::testing::Test {
      protected:
	void SetUp() override
	{
		New(4, 1000);
	}
	void TearDown() override
	{
		kf_flow_table_delete(table);
	}
	void New(uint32_t flows, size_t bytes)
	{
		kf_flow_limits_t limits = { flows, bytes, 1000, 100 };

		kf_flow_table_delete(table);
		table = kf_flow_table_new(&limits);
		ASSERT_NE(nullptr, table);
	}
	kf_flow_state_t Begin(uint64_t flow, uint32_t xid, uint32_t gen)
	{
		kf_request_id_t id = { flow, xid, gen };

		return kf_flow_begin(table, now, &id, &reply, &len);
	}
	void Finish(uint64_t flow, uint32_t xid, uint32_t gen,
	    kf_verdict_t verdict, size_t bytes = 4)
	{
		kf_request_id_t id = { flow, xid, gen };
		std::vector<uint8_t> data(bytes, (uint8_t)xid);

		kf_flow_finish(table, now, &id, verdict, KF_REASON_DEADLINE,
		    data.data(), verdict == KF_ANSWERED ? bytes : 0);
	}
	kf_status_t Intent(uint32_t xid, uint32_t gen)
	{
		kf_request_id_t id = { 1, xid, gen };

		return kf_flow_record_intent(table, now, kOwner, &id, 1);
	}
	void Done(uint32_t xid, kf_verdict_t verdict)
	{
		kf_request_id_t id = { 1, xid, 0 };
		uint8_t data = (uint8_t)xid;

		kf_flow_record_done(table, now, kOwner, &id, verdict, &data,
		    verdict == KF_ANSWERED);
	}
	kf_flow_state_t TakeOver(uint32_t xid, uint32_t gen = 0)
	{
		kf_request_id_t id = { 1, xid, gen };

		return kf_flow_take_over(table, now, kOwner, &id, &reply, &len);
	}

	kf_flow_table_t *table = nullptr;
	int64_t now = 0;
	const uint8_t *reply = nullptr;
	size_t len = 0;
};

TEST_F(FlowTable, OwnerStates)
{
	EXPECT_EQ(KF_FLOW_NEW, Begin(1, 5, 0));
	EXPECT_EQ(KF_FLOW_IN_PROGRESS, Begin(1, 5, 0));
	Finish(1, 5, 0, KF_ANSWERED);
	ASSERT_EQ(KF_FLOW_ANSWERED, Begin(1, 5, 0));
	ASSERT_EQ(4u, len);
	EXPECT_EQ(5, reply[3]);
	EXPECT_EQ(1u, kf_flow_next_generation(table, 1));
	EXPECT_EQ(KF_FLOW_NEW, Begin(1, 6, 1));
	Finish(1, 6, 1, KF_NOT_RUN);
	kf_request_id_t id = { 1, 6, 1 };
	EXPECT_EQ(KF_FLOW_REFUSED, Begin(1, 6, 1));
	EXPECT_EQ(KF_REASON_DEADLINE, kf_flow_reason(table, &id));
	Finish(1, 6, 1, KF_ANSWERED);
	EXPECT_EQ(KF_FLOW_REFUSED, Begin(1, 6, 1));
}

/* Guards against losing an answer that comes after its deadline. */
TEST_F(FlowTable, LateAnswerReplacesDoubt)
{
	Begin(1, 5, 0);
	Finish(1, 5, 0, KF_MAY_HAVE_RUN);
	EXPECT_EQ(KF_FLOW_IN_DOUBT, Begin(1, 5, 0));
	Finish(1, 5, 0, KF_ANSWERED);
	EXPECT_EQ(KF_FLOW_ANSWERED, Begin(1, 5, 0));
}

TEST_F(FlowTable, RingFullOfRequestsInProgressEvictsNone)
{
	for (uint32_t xid = 0; xid < KF_FLOW_RING; xid++)
		EXPECT_EQ(KF_FLOW_NEW, Begin(1, xid, 0));
	EXPECT_EQ(KF_FLOW_FULL, Begin(1, 99, 0));
	Finish(1, 3, 0, KF_ANSWERED);
	EXPECT_EQ(KF_FLOW_NEW, Begin(1, 99, 0));
	EXPECT_EQ(KF_FLOW_STALE, Begin(1, 3, 0));
	EXPECT_EQ(KF_FLOW_IN_PROGRESS, Begin(1, 4, 0));
	EXPECT_EQ(1u, kf_flow_next_generation(table, 1));
}

/* Guards against a floor raised above requests that were not evicted. */
TEST_F(FlowTable, EvictsTheLowestGeneration)
{
	for (uint32_t xid = 0; xid < KF_FLOW_RING; xid++) {
		Begin(1, xid, KF_FLOW_RING - xid);
		Finish(1, xid, KF_FLOW_RING - xid, KF_ANSWERED);
	}
	EXPECT_EQ(KF_FLOW_NEW, Begin(1, 50, 20));
	EXPECT_EQ(KF_FLOW_STALE, Begin(1, KF_FLOW_RING - 1, 1));
	EXPECT_EQ(KF_FLOW_ANSWERED, Begin(1, KF_FLOW_RING - 2, 2));
}

/* Guards against a floor that overflows to 0. */
TEST_F(FlowTable, HighestGenerationIsNeverRun)
{
	EXPECT_EQ(KF_FLOW_STALE, Begin(1, 1, UINT32_MAX));
	EXPECT_EQ(KF_FLOW_NEW, Begin(1, 2, UINT32_MAX - 1));
	EXPECT_EQ(UINT32_MAX, kf_flow_next_generation(table, 1));
}

TEST_F(FlowTable, ReplyLostByBytesOrTimeLeavesDoubt)
{
	for (uint32_t xid = 0; xid < 3; xid++) {
		Begin(1, xid, 0);
		Finish(1, xid, 0, KF_ANSWERED, 300);
	}
	EXPECT_EQ(KF_FLOW_IN_DOUBT, Begin(1, 0, 0));
	EXPECT_EQ(KF_FLOW_ANSWERED, Begin(1, 2, 0));
	EXPECT_LE(kf_flow_table_stats(table).reply_bytes, 1000u);
	now = 100;
	kf_flow_expire(table, now);
	EXPECT_EQ(KF_FLOW_IN_DOUBT, Begin(1, 2, 0));
	Begin(1, 9, 0);
	Finish(1, 9, 0, KF_ANSWERED, 5000);
	EXPECT_EQ(KF_FLOW_IN_DOUBT, Begin(1, 9, 0));
	EXPECT_EQ(0u, kf_flow_table_stats(table).reply_bytes);
}

TEST_F(FlowTable, FullTableKeepsRecordsUntilIdle)
{
	New(2, 1000);
	Begin(1, 1, 0);
	Begin(2, 1, 0);
	Finish(2, 1, 0, KF_ANSWERED);
	EXPECT_EQ(KF_FLOW_FULL, Begin(3, 1, 0));
	now = 1000;
	EXPECT_EQ(KF_FLOW_NEW, Begin(3, 1, 0));
	/* Flow 1 is idle as well, but its request is in progress. */
	EXPECT_EQ(KF_FLOW_IN_PROGRESS, Begin(1, 1, 0));
	EXPECT_EQ(2u, kf_flow_table_stats(table).flows);
}

TEST_F(FlowTable, TakeoverStates)
{
	EXPECT_EQ(KF_FLOW_STALE, TakeOver(1));
	for (uint32_t xid = 1; xid <= 3; xid++)
		EXPECT_EQ(KF_OK, Intent(xid, 0));
	EXPECT_EQ(KF_OK, Intent(1, 0));
	Done(1, KF_ANSWERED);
	Done(2, KF_NOT_RUN);
	kf_flow_fence(table, now, kOwner);
	EXPECT_EQ(KF_ERR_CONFLICT, Intent(1, 0));
	EXPECT_EQ(KF_ERR_CONFLICT, Intent(4, 0));
	ASSERT_EQ(KF_FLOW_ANSWERED, TakeOver(1));
	EXPECT_EQ(1, *reply);
	EXPECT_EQ(KF_FLOW_REFUSED, TakeOver(2));
	EXPECT_EQ(KF_FLOW_IN_DOUBT, TakeOver(3));
	EXPECT_EQ(KF_FLOW_NEW, TakeOver(4));
	EXPECT_EQ(KF_FLOW_IN_PROGRESS, TakeOver(4));
	/* A late DONE affects only requests with an intent of the owner. */
	Done(3, KF_ANSWERED);
	Done(4, KF_NOT_RUN);
	EXPECT_EQ(KF_FLOW_ANSWERED, TakeOver(3));
	EXPECT_EQ(KF_FLOW_IN_PROGRESS, TakeOver(4));
	Finish(1, 4, 0, KF_ANSWERED);
	EXPECT_EQ(KF_FLOW_ANSWERED, TakeOver(4));
}

TEST_F(FlowTable, FenceCoversEarlierIncarnationsOnly)
{
	kf_flow_fence(table, now, kOwner);
	for (uint32_t vm = 100; vm < 200; vm++)
		kf_flow_fence(table, now, { vm, 5 });
	EXPECT_TRUE(kf_flow_fenced(table, kOwner));
	EXPECT_TRUE(kf_flow_fenced(table, { kOwner.vm, 1 }));
	EXPECT_FALSE(kf_flow_fenced(table, { kOwner.vm, 1001 }));
	EXPECT_FALSE(kf_flow_fenced(table, { 99, 1 }));
}

/* Guards against a flow that blocks because DONE messages were lost. */
TEST_F(FlowTable, IntentsWithoutDoneMakeRoom)
{
	for (uint32_t xid = 0; xid < 3 * KF_FLOW_RING; xid++)
		EXPECT_EQ(KF_OK, Intent(xid, xid));
	kf_flow_fence(table, now, kOwner);
	EXPECT_EQ(KF_FLOW_STALE, TakeOver(0, 0));
	EXPECT_EQ(KF_FLOW_IN_DOUBT, TakeOver(23, 23));
}

/* Guards against returning the reply to an earlier request with this xid. */
TEST_F(FlowTable, IntentReplacesAReusedXid)
{
	Intent(1, 0);
	Done(1, KF_ANSWERED);
	EXPECT_EQ(KF_OK, Intent(1, 30));
	EXPECT_EQ(KF_OK, Intent(1, 0));
	kf_flow_fence(table, now, kOwner);
	EXPECT_EQ(KF_FLOW_IN_DOUBT, TakeOver(1, 30));
}

/* Guards against a VM that serves one flow both as owner and as backup. */
TEST_F(FlowTable, FlowOfAnotherOwnerIsNeverRun)
{
	Begin(1, 1, 0);
	EXPECT_EQ(KF_ERR_CONFLICT, Intent(1, 0));
	kf_flow_fence(table, now, kOwner);
	EXPECT_EQ(KF_FLOW_STALE, TakeOver(1));
}

/* Visits all flows in scattered order and prints the mean time per visit. */
template <typename Visit>
void
PrintTime(const char *name, uint64_t flows, Visit visit)
{
	const uint64_t stride = 1000003; /* coprime to the number of flows */
	auto start = std::chrono::steady_clock::now();

	for (uint64_t i = 0; i < flows; i++)
		visit(i * stride % flows);
	std::chrono::duration<double, std::nano> took =
	    std::chrono::steady_clock::now() - start;
	printf("flow_%s_ns=%.0f\n", name, took.count() / (double)flows);
}

/* Prints measurements; checks only that every flow has a record. */
TEST_F(FlowTable, PrintsCost)
{
	const uint32_t flows = 300000;
	const uint8_t data[100] = {};
	kf_flow_limits_t limits = { flows, 64 << 20, 1000000, 1000000 };
	auto begin = [&](uint64_t flow) {
		kf_request_id_t id = { flow, 1, 0 };
		kf_flow_begin(table, 0, &id, &reply, &len);
	};

	kf_flow_table_delete(table);
	table = kf_flow_table_new(&limits);
	PrintTime("begin_first", flows, begin);
	PrintTime("begin_duplicate", flows, begin);
	PrintTime("finish", flows, [&](uint64_t flow) {
		kf_request_id_t id = { flow, 1, 0 };
		kf_flow_finish(table, 0, &id, KF_ANSWERED, KF_REASON_NONE, data,
		    sizeof(data));
	});
	PrintTime("begin_second", flows, [&](uint64_t flow) {
		kf_request_id_t id = { (flow * 7919) % flows, 2, 1 };
		kf_flow_begin(table, 0, &id, &reply, &len);
	});
	kf_flow_stats_t stats = kf_flow_table_stats(table);
	printf("flow_record_bytes=%zu flow_reply_bytes=%zu\n",
	    stats.memory_bytes / stats.flows,
	    stats.reply_bytes / stats.replies);
	EXPECT_EQ(flows, stats.flows);
}

} // namespace
