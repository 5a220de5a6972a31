#include <gtest/gtest.h>

#include <thread>

#include "support/traffic_world.h"

namespace {

using namespace kf_test;

enum { READ = 1, WRITE = 11 };

class Traffic : public ::testing::Test {
      protected:
	void SetUp() override
	{
		CreateWorld(Options());
	}
	/* Creates the VMs and lets the slow start of the upstreams end. */
	void CreateWorld(const Options &options)
	{
		w = std::make_unique<TrafficWorld>(options);
		Declare();
		w->Run(31000);
	}
	void Declare()
	{
		ASSERT_TRUE(w->Declare(text.Build())) << w->errors;
		w->AdoptViewAll();
	}
	void Redeclare()
	{
		text.revision++;
		Declare();
	}
	void TearDown() override
	{
		EXPECT_EQ("", w->violation);
		if (HasFailure() || getenv("SHOW")) {
			for (const std::string &line : w->log)
				printf("%s\n", line.c_str());
		}
	}
	const Request &Req(int i)
	{
		return w->requests[(size_t)i];
	}
	void SetModes(UpstreamMode mode)
	{
		for (auto &u : w->upstreams)
			u.second.mode = mode;
	}
	/* Reports both paths to the upstream as unreachable to the owner. */
	void LoseBothPaths(const std::string &name, size_t owner)
	{
		for (uint32_t path = 0; path < 2; path++)
			w->ReportUnreachable(name, owner, path);
	}
	/* Establishes a flow after its owner has had time to get a lease. */
	int EstablishFlow(const char *service = "orders", size_t core = 0)
	{
		w->Run(20);
		return w->Establish(service, core);
	}
	void EndVm(size_t vm, kf_liveness_t liveness)
	{
		w->Kill(vm);
		w->SetLiveAll(vm, liveness);
		w->AdoptViewAll();
	}
	void ExpectAnswered(int r, int executed = 1)
	{
		EXPECT_GE(Req(r).answered, 1);
		EXPECT_EQ(executed, Req(r).executed);
		EXPECT_EQ(0, Req(r).denied);
		EXPECT_EQ(0, Req(r).unknown);
	}
	void ExpectDenied(int r, uint32_t auth_stat)
	{
		EXPECT_EQ(0, Req(r).executed);
		EXPECT_EQ(0, Req(r).answered);
		EXPECT_GE(Req(r).denied, 1);
		EXPECT_EQ(auth_stat, Req(r).auth_stat);
	}
	void ExpectUnknown(int r, int executed)
	{
		EXPECT_EQ(executed, Req(r).executed);
		EXPECT_EQ(0, Req(r).answered);
		EXPECT_EQ(0, Req(r).denied);
		EXPECT_GE(Req(r).unknown, 1);
	}
	/*
	 * Establishes all flows while upstreams still answer: after a long
	 * time without answers admission refuses requests early.
	 */
	std::vector<int> EstablishFlows(int count)
	{
		std::vector<int> callers;

		for (int i = 0; i < count; i++)
			callers.push_back(EstablishFlow());
		return callers;
	}
	/* Sends more requests than upstreams that do not answer have slots. */
	std::vector<int> QueueRequests()
	{
		std::vector<int> callers = EstablishFlows(30);
		std::vector<int> all;

		SetModes(HOLD);
		for (int i = 0; i < 30; i++)
			all.push_back(
			    w->Send(callers[i], i % 2 ? WRITE : READ, 0));
		w->Run(50);
		return all;
	}
	void ExpectNoReply(int r)
	{
		EXPECT_EQ(0, Req(r).answered + Req(r).denied + Req(r).unknown);
	}

	DeclarationText text;
	std::unique_ptr<TrafficWorld> w;
};

/*
 * Guards against a non-idempotent call without a token that is placed by two
 * balancers and dispatched by both.
 */
TEST_F(Traffic, CallWithoutATokenIsRefusedOrPlaced)
{
	int caller = w->AddCaller("orders");
	int write = w->Send(caller, WRITE, 0);
	int read = w->Send(caller, READ, 0);

	w->Run(50);
	ExpectDenied(write, KF_RPC_AUTH_TOOWEAK);
	ExpectAnswered(read);
	int second = w->Send(caller, WRITE, 1);
	w->Run(50);
	ExpectAnswered(second);
}

/* Guards against a flow that cannot be established or renewed. */
TEST_F(Traffic, NullProcedureEstablishesAndRenewsAFlow)
{
	int caller = EstablishFlow();
	kf_token_t first = w->TokenOf(caller);

	EXPECT_NE(0u, first.flow);
	EXPECT_EQ(42u, first.uid);
	w->Send(caller, 0, 2);
	EXPECT_EQ(first.flow, w->TokenOf(caller).flow);
	EXPECT_EQ(0, w->Count("dispatch"));
}

/* Guards against a flow that stays with a dead owner when it is renewed. */
TEST_F(Traffic, NullProcedureLeavesADeadOwner)
{
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller), third = w->OtherVmOf(caller);

	EndVm(owner, KF_VM_DEAD);
	w->Send(caller, 0, third);
	EXPECT_NE(owner, w->OwnerOf(caller));
}

/* Guards against a token that gives access to another service. */
TEST_F(Traffic, TokenOfAnotherServiceIsRefused)
{
	int caller = EstablishFlow("certs");

	w->callers[0].service = { 0x7f000001, 2049 };
	int r = w->Send(caller, READ, 0);
	ExpectDenied(r, KF_RPC_AUTH_REJECTEDCRED);
}

/* Guards against a token used by a caller to which it was not issued. */
TEST_F(Traffic, TokenOfAnotherCallerIsRefused)
{
	int caller = EstablishFlow();
	int thief = w->AddCaller("orders");

	w->callers[(size_t)thief].token = w->callers[(size_t)caller].token;
	for (uint32_t proc : { 0u, 1u, 11u })
		ExpectDenied(w->Send(thief, proc, 1), KF_RPC_AUTH_REJECTEDCRED);
}

/* Guards against a request routed by a token that was tampered with. */
TEST_F(Traffic, ForgedAndTruncatedTokensAreRefused)
{
	int caller = EstablishFlow();
	Bytes good = w->callers[0].token;

	for (size_t i = 8; i < good.size(); i += 5) {
		w->callers[0].token[i] ^= 1;
		ExpectDenied(
		    w->Send(caller, WRITE, 0), KF_RPC_AUTH_REJECTEDCRED);
		w->callers[0].token = good;
	}
	for (size_t len = 4; len < good.size(); len += 16) {
		w->callers[0].token.assign(
		    good.begin(), good.begin() + (long)len);
		ExpectDenied(
		    w->Send(caller, WRITE, 0), KF_RPC_AUTH_REJECTEDCRED);
	}
}

/*
 * Guards against the refusal of a valid token by a VM that has not received its
 * key yet.
 */
TEST_F(Traffic, TokenUnderAnUnknownKeyIsDropped)
{
	int caller = EstablishFlow();

	w->callers[0].token[7] = 9; /* key id */
	int r = w->Send(caller, WRITE, 0);
	ExpectNoReply(r);
	EXPECT_TRUE(w->Logged("drop reason=no_config"));
}

/*
 * Guards against a new request served with an expired token, and against the
 * refusal of a late copy of a request that has run.
 */
TEST_F(Traffic, ExpiredTokenIsRefusedButItsAnswerIsReplayed)
{
	int caller = EstablishFlow();
	int r = w->Send(caller, WRITE, 0);
	Bytes token = w->callers[0].token;

	w->Run(50);
	w->callers[0].token = token;
	int late = w->NewRequest(caller, WRITE);
	w->now_us += (int64_t)700 * 1000000;
	w->Run(50);
	w->Deliver(late, 0);
	w->Run(50);
	ExpectDenied(late, KF_RPC_AUTH_REJECTEDCRED);
	w->Deliver(r, 0);
	w->Run(50);
	EXPECT_EQ(1, Req(r).executed);
	EXPECT_EQ(0, Req(r).denied);
}

/* Guards against a second execution of a retransmitted request. */
TEST_F(Traffic, RetransmissionsAtAnyIngressExecuteOnce)
{
	int caller = EstablishFlow();

	SetModes(HOLD);
	int r = w->Send(caller, WRITE, 0);
	for (size_t core = 0; core < 3; core++)
		w->Deliver(r, core);
	w->Run(50);
	for (size_t core = 0; core < 3; core++)
		w->Deliver(r, core);
	w->Run(50);
	EXPECT_EQ(1, Req(r).executed);
	ExpectNoReply(r);
	w->AnswerHeldCalls(w->UpstreamOf(caller));
	w->Run(50);
	EXPECT_EQ(1, Req(r).answered);
	for (size_t core = 0; core < 3; core++)
		w->Deliver(r, core);
	w->Run(50);
	EXPECT_EQ(4, Req(r).answered);
	ExpectAnswered(r);
}

/* Guards against a backup that executes a finished request again. */
TEST_F(Traffic, OwnerDiesAfterDone)
{
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller), third = w->OtherVmOf(caller);
	int r = w->Send(caller, WRITE, third);

	w->Run(50);
	EndVm(owner, KF_VM_GONE);
	w->Deliver(r, third);
	w->Run(50);
	EXPECT_EQ(2, Req(r).answered);
	ExpectAnswered(r);
}

/* Guards against a backup that executes a request that may have run. */
TEST_F(Traffic, OwnerDiesWithIntentOnly)
{
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller), third = w->OtherVmOf(caller);

	SetModes(SILENT);
	int r = w->Send(caller, WRITE, third);
	w->Run(50);
	EXPECT_EQ(1, Req(r).executed);
	EndVm(owner, KF_VM_GONE);
	SetModes(ANSWER);
	w->Deliver(r, third);
	w->Run(50);
	ExpectUnknown(r, 1);
}

/* Guards against a flow whose requests fail after its owner has ended. */
TEST_F(Traffic, OwnerDiesWithoutARecord)
{
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller), third = w->OtherVmOf(caller);

	EndVm(owner, KF_VM_GONE);
	int r = w->Send(caller, WRITE, third);
	w->Run(50);
	ExpectAnswered(r);
	EXPECT_EQ(1, w->Count("takeover"));
	int next = w->Send(caller, WRITE, third);
	w->Run(50);
	ExpectAnswered(next);
	EXPECT_NE(owner, w->OwnerOf(caller));
}

/* Guards against an idempotent request that waits for a dead owner. */
TEST_F(Traffic, IdempotentRequestLeavesADeadOwner)
{
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller), third = w->OtherVmOf(caller);

	EndVm(owner, KF_VM_DEAD);
	int r = w->Send(caller, READ, third);
	w->Run(50);
	ExpectAnswered(r);
	EXPECT_NE(owner, w->OwnerOf(caller));
}

/* Guards against a backup that fences an owner whose lease is valid. */
TEST_F(Traffic, BackupDoesNotFenceAnOwnerItHasJustHeard)
{
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller), backup = w->BackupOf(caller);

	w->SetLive(backup, owner, KF_VM_DEAD);
	w->AdoptView(backup);
	int r = w->Send(caller, WRITE, backup);
	w->DeliverAll();
	ExpectNoReply(r);
	EXPECT_TRUE(w->Logged("drop reason=owner_lost"));
	w->Kill(owner);
	w->Run(3100);
	w->Deliver(r, backup);
	w->Run(50);
	ExpectAnswered(r);
}

/*
 * Guards against an owner that, after a pause, executes a request that its
 * backup has executed.
 */
TEST_F(Traffic, PausedOwnerResumesLateAndIsFenced)
{
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller), backup = w->BackupOf(caller);
	size_t third = w->OtherVmOf(caller);
	int r = w->Send(caller, WRITE, third);

	w->paused[owner] = true; /* with the forwarded request unread */
	w->Run(3100);
	w->SetLiveAll(owner, KF_VM_DEAD);
	w->AdoptViewAll();
	w->Deliver(r, third);
	w->Run(50);
	ExpectAnswered(r);
	w->paused[owner] = false;
	w->SetLiveAll(owner, KF_VM_ALIVE);
	w->AdoptViewAll();
	w->Run(100);
	EXPECT_TRUE(w->Logged("> INTENT_NACK"));
	EXPECT_TRUE(w->Logged("drop reason=fenced"));
	EXPECT_EQ(1, Req(r).executed);
	EXPECT_EQ(0, Req(r).unknown);
	/* Copies to either VM get the stored answer. */
	for (size_t core : { owner, backup, third }) {
		int before = Req(r).answered;

		w->Deliver(r, core);
		w->Run(50);
		EXPECT_EQ(before + 1, Req(r).answered) << core;
		EXPECT_EQ(0, Req(r).unknown) << core;
	}
}

/*
 * Guards against new requests that a fenced owner and its backup forward to
 * each other.
 */
TEST_F(Traffic, FencedOwnerHandsNewRequestsToTheBackup)
{
	int caller = EstablishFlow();
	int other = w->Establish("orders", 0);
	size_t owner = w->OwnerOf(caller);

	while (w->OwnerOf(other) != owner ||
	    w->BackupOf(other) != w->BackupOf(caller))
		other = w->Establish("orders", 0);
	w->paused[owner] = true;
	w->Run(3100);
	w->SetLiveAll(owner, KF_VM_DEAD);
	w->AdoptViewAll();
	w->Send(caller, WRITE, w->OtherVmOf(caller));
	w->Run(50);
	w->paused[owner] = false;
	w->SetLiveAll(owner, KF_VM_ALIVE);
	w->AdoptViewAll();
	for (int i = 0; i < 5; i++) {
		int r = w->Send(other, WRITE, owner);

		w->Run(300);
		ExpectAnswered(r);
	}
}

/*
 * Guards against an owner that no longer dispatches requests because their
 * backup has ended.
 */
TEST_F(Traffic, BackupGoneWithinItsLease)
{
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller), backup = w->BackupOf(caller);

	EndVm(backup, KF_VM_GONE);
	int r = w->Send(caller, WRITE, owner);
	w->Run(50);
	ExpectAnswered(r);
	EXPECT_NE(backup, w->BackupOf(caller));
}

/*
 * Guards against dispatch without an acknowledgement by an owner that its
 * backup may have fenced before it ended.
 */
TEST_F(Traffic, BackupGoneAfterTheLeaseEnded)
{
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller), backup = w->BackupOf(caller);

	w->paused[backup] = true;
	w->Run(3100);
	EndVm(backup, KF_VM_GONE);
	int r = w->Send(caller, WRITE, owner);
	w->Run(2100);
	ExpectUnknown(r, 0);
	/* The token of a new flow names a live backup. */
	w->Send(caller, 0, owner);
	int next = w->Send(caller, WRITE, owner);
	w->Run(50);
	ExpectAnswered(next);
}

/*
 * Guards against unknown outcomes after a planned stop of the backup whose end
 * becomes known only after the lease has expired.
 */
TEST_F(Traffic, BackupLeaves)
{
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller), backup = w->BackupOf(caller);

	w->leaving[backup] = true;
	w->AdoptViewAll();
	w->Run(2000);
	w->Kill(backup);
	w->Run(10000);
	w->SetLiveAll(backup, KF_VM_GONE);
	w->AdoptViewAll();
	int r = w->Send(caller, WRITE, owner);
	w->Run(50);
	ExpectAnswered(r);
}

/*
 * Guards against a leaving backup that fences an owner after it has promised
 * not to fence it while the owner lives.
 */
TEST_F(Traffic, LeavingBackupFencesOnlyAnOwnerThatHasEnded)
{
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller), backup = w->BackupOf(caller);

	w->leaving[backup] = true;
	w->AdoptViewAll();
	w->Run(1500);
	w->paused[owner] = true;
	w->Run(4000);
	w->SetLiveAll(owner, KF_VM_DEAD);
	w->AdoptViewAll();
	int r = w->Send(caller, WRITE, backup);
	w->Run(50);
	ExpectNoReply(r);
	w->Kill(owner);
	w->SetLiveAll(owner, KF_VM_GONE);
	w->AdoptViewAll();
	w->Deliver(r, backup);
	w->Run(50);
	ExpectAnswered(r);
}

/*
 * Guards against dispatch without the acknowledgement of a silent backup, and
 * against an unknown outcome for a request that was not dispatched.
 */
TEST_F(Traffic, BackupSilentButNotGone)
{
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller), backup = w->BackupOf(caller);

	w->paused[backup] = true;
	w->SetLiveAll(backup, KF_VM_DEAD);
	w->AdoptViewAll();
	int r = w->Send(caller, WRITE, owner);
	w->Run(2100);
	ExpectNoReply(r);
	w->paused[backup] = false;
	w->SetLiveAll(backup, KF_VM_ALIVE);
	w->AdoptViewAll();
	w->Deliver(r, owner);
	w->Run(500);
	ExpectAnswered(r);
}

/*
 * Guards against a refusal while a copy of the request may have run, and
 * against a flow whose requests get unknown outcomes for ever.
 */
TEST_F(Traffic, OwnerAndBackupGone)
{
	int caller = EstablishFlow();
	size_t third = w->OtherVmOf(caller);
	int r = w->NewRequest(caller, WRITE);

	EndVm(w->OwnerOf(caller), KF_VM_GONE);
	EndVm(w->BackupOf(caller), KF_VM_GONE);
	w->Deliver(r, third);
	w->Run(50);
	ExpectUnknown(r, 0);
	w->now_us += (int64_t)119 * 1000000;
	w->Deliver(r, third);
	EXPECT_EQ(2, Req(r).unknown);
	w->now_us += (int64_t)2 * 1000000;
	int late = w->Send(caller, WRITE, third);
	w->Run(50);
	ExpectDenied(late, KF_RPC_AUTH_REJECTEDCRED);
	int read = w->Send(caller, READ, third);
	w->Run(50);
	ExpectAnswered(read);
}

/*
 * Guards against a flow whose requests are dropped for ever because views no
 * longer list its owner and backup.
 */
TEST_F(Traffic, OwnerAndBackupNoLongerListed)
{
	int caller = EstablishFlow();
	size_t third = w->OtherVmOf(caller);
	int early = w->NewRequest(caller, WRITE);

	w->Kill(w->OwnerOf(caller));
	w->Kill(w->BackupOf(caller));
	w->absent = { w->OwnerOf(caller), w->BackupOf(caller) };
	w->AdoptViewAll();
	w->Deliver(early, third);
	w->Run(50);
	ExpectNoReply(early);
	w->now_us += (int64_t)130 * 1000000;
	w->Run(50);
	int late = w->Send(caller, WRITE, third);
	w->Run(50);
	ExpectDenied(late, KF_RPC_AUTH_REJECTEDCRED);
	int read = w->Send(caller, READ, third);
	w->Run(50);
	ExpectAnswered(read);
}

/*
 * Guards against a refusal while the owner may be alive behind a partition and
 * may have run the request.
 */
TEST_F(Traffic, UnlistedOwnerBehindAPartition)
{
	Options options;

	options.vms = 4;
	CreateWorld(options);
	int caller = EstablishFlow();
	size_t third = w->OtherVmOf(caller);

	w->absent = { w->OwnerOf(caller), w->BackupOf(caller) };
	w->SetLive(third, 6 - third - w->OwnerOf(caller) - w->BackupOf(caller),
	    KF_VM_DEAD);
	w->AdoptView(third);
	w->now_us += (int64_t)130 * 1000000;
	int r = w->Send(caller, WRITE, third);
	ExpectNoReply(r);
}

/*
 * Guards against a refusal sent before the backup has a record: the backup
 * could later execute a copy of the refused request.
 */
TEST_F(Traffic, RefusalWaitsForTheAcknowledgement)
{
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller);

	SetModes(SHED);
	int r = w->Send(caller, WRITE, owner);
	w->now_us += 2100000; /* past the deadline before the ACK */
	w->DeliverAll();
	text.orders = false;
	int second = w->Send(caller, WRITE, owner);
	EXPECT_EQ(0, Req(second).denied);
	EXPECT_NE(-1, w->FindPeerDatagram(KF_PEER_INTENT));
	w->Run(50);
	EXPECT_EQ(0, Req(r).executed + Req(second).executed);
	EXPECT_EQ(1, Req(second).denied);
}

/*
 * Guards against a late acknowledgement of an earlier request with the same xid
 * that is taken for that of the current one.
 */
TEST_F(Traffic, AcknowledgementOfAnotherGenerationDoesNotCount)
{
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller);
	int first = w->Send(caller, WRITE, owner);

	w->Step((size_t)w->FindPeerDatagram(KF_PEER_INTENT));
	Event late = w->events[(size_t)w->FindPeerDatagram(KF_PEER_INTENT_ACK)];
	w->Run(50);
	for (int i = 0; i < KF_FLOW_RING; i++) {
		w->Send(caller, WRITE, owner);
		w->Run(50);
	}
	w->callers[0].next_xid = Req(first).xid;
	int reused = w->NewRequest(caller, WRITE);
	w->requests[(size_t)first].xid = 1;
	w->Deliver(reused, owner);
	w->DropPeerDatagrams(KF_PEER_INTENT);
	w->events.push_back(late);
	w->DeliverAll();
	EXPECT_EQ(0, Req(reused).executed);
	w->Run(100);
	ExpectAnswered(reused);
}

/*
 * Guards against requests that fail because their upstream sheds load or has
 * restarted.
 */
TEST_F(Traffic, ShedAndRestartedUpstreamsAreReplaced)
{
	for (UpstreamMode mode : { SHED, WRONG_INCARNATION }) {
		for (uint32_t proc : { READ, WRITE }) {
			int caller = EstablishFlow();

			for (int i = 0; i < 20; i++)
				w->Send(caller, READ, 0);
			w->Run(50);
			std::string name = w->UpstreamOf(caller);
			w->upstreams[name].mode = mode;
			int r = w->Send(caller, proc, 0);
			w->Run(100);
			ExpectAnswered(r);
			EXPECT_NE(name, w->UpstreamOf(caller));
			SetModes(ANSWER);
		}
	}
}

/* Guards against unlimited retries when every upstream sheds load. */
TEST_F(Traffic, RefusedWhenEveryUpstreamSheds)
{
	int caller = EstablishFlow();

	SetModes(SHED);
	int r = w->Send(caller, WRITE, 0);
	w->Run(100);
	ExpectDenied(r, KF_RPC_AUTH_FAILED);
	w->Deliver(r, 1);
	w->Run(100);
	ExpectDenied(r, KF_RPC_AUTH_FAILED);
}

/* Guards against reads that fail because their upstream stops answering. */
TEST_F(Traffic, SilentUpstreamIsReplacedWithinTheDeadline)
{
	int caller = EstablishFlow();

	for (int i = 0; i < 40; i++)
		w->Send(caller, READ, 0);
	w->Run(50);
	std::string name = w->UpstreamOf(caller);
	w->upstreams[name].mode = SILENT;
	int read = w->Send(caller, READ, 0);
	int write = w->Send(caller, WRITE, 0);
	w->Run(2100);
	EXPECT_EQ(1, Req(read).answered);
	EXPECT_EQ(0, Req(read).unknown);
	ExpectUnknown(write, 1);
}

/* Guards against ending a slow read that no other upstream can serve. */
TEST_F(Traffic, SlowReadIsLeftToTheOnlyUpstream)
{
	int caller = EstablishFlow("certs");

	for (int i = 0; i < 40; i++)
		w->Send(caller, READ, 0);
	w->Run(50);
	SetModes(HOLD);
	int read = w->Send(caller, READ, 0);
	w->Run(1800);
	ExpectNoReply(read);
	w->AnswerHeldCalls("d");
	w->Run(50);
	ExpectAnswered(read);
}

/* Guards against a request that waits for an unreachable upstream. */
TEST_F(Traffic, UnreachableUpstream)
{
	int caller = EstablishFlow();

	for (int i = 0; i < 40; i++)
		w->Send(caller, READ, 0);
	w->Run(50);
	std::string name = w->UpstreamOf(caller);
	size_t owner = w->OwnerOf(caller);
	w->upstreams[name].mode = SILENT;
	int read = w->Send(caller, READ, owner);
	int write = w->Send(caller, WRITE, owner);
	w->Run(20);
	LoseBothPaths(name, owner);
	w->Run(50);
	EXPECT_EQ(1, Req(read).answered);
	ExpectUnknown(write, 1);
}

/*
 * Guards against a refusal as not run after an earlier attempt that got no
 * reply and may have run.
 */
TEST_F(Traffic, LostThenRefusedIsUnknown)
{
	int caller = EstablishFlow();

	for (int i = 0; i < 40; i++)
		w->Send(caller, READ, 0);
	w->Run(50);
	std::string name = w->UpstreamOf(caller);
	size_t owner = w->OwnerOf(caller);
	SetModes(SHED);
	w->upstreams[name].mode = SILENT;
	int read = w->Send(caller, READ, owner);
	w->Run(20);
	EXPECT_EQ(1, Req(read).executed);
	LoseBothPaths(name, owner);
	w->Run(50);
	EXPECT_EQ(0, Req(read).denied);
	EXPECT_EQ(1, Req(read).unknown);
}

/* Guards against a late answer that is discarded. */
TEST_F(Traffic, LateAnswerReplacesTheUnknownOutcome)
{
	int caller = EstablishFlow();

	SetModes(HOLD);
	int r = w->Send(caller, WRITE, 0);
	w->Run(2050);
	ExpectUnknown(r, 1);
	w->AnswerHeldCalls(w->UpstreamOf(caller));
	w->Run(20);
	EXPECT_EQ(1, Req(r).answered);
	w->Deliver(r, 1);
	w->Run(20);
	EXPECT_EQ(2, Req(r).answered);
	EXPECT_EQ(1, Req(r).executed);
	EXPECT_EQ(0u, w->InProgress());
}

/* Guards against an answer that is assigned to the wrong request. */
TEST_F(Traffic, StrayAnswersAreDropped)
{
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller);
	std::string name = w->UpstreamOf(caller);

	SetModes(HOLD);
	int r = w->Send(caller, WRITE, owner);
	w->Run(20);
	ASSERT_EQ(1u, w->upstreams[name].held.size());
	Event call = w->upstreams[name].held[0], other = call;
	other.upstream = kf_name_id(name == "a" ? "b" : "a");
	w->QueueReply(other, ANSWER);
	other = call;
	other.data[3] ^= 1; /* xid */
	w->QueueReply(other, ANSWER);
	other.data[0] = other.data[1] = other.data[2] = other.data[3] = 0;
	w->QueueReply(other, ANSWER);
	w->Run(20);
	ExpectNoReply(r);
	w->QueueReply(call, ANSWER);
	w->QueueReply(call, ANSWER);
	w->Run(20);
	EXPECT_EQ(1, Req(r).answered);
	ExpectAnswered(r);
}

/* Guards against new requests to a draining upstream. */
TEST_F(Traffic, DrainMovesFlowsAndKeepsRequestsInProgress)
{
	int caller = EstablishFlow();

	SetModes(HOLD);
	int before = w->Send(caller, WRITE, 0);
	w->Run(20);
	text.drained = w->UpstreamOf(caller);
	Redeclare();
	w->AnswerHeldCalls(text.drained);
	w->Run(20);
	ExpectAnswered(before);
	SetModes(ANSWER);
	int after = w->Send(caller, WRITE, 0);
	w->Run(50);
	ExpectAnswered(after);
	EXPECT_NE(text.drained, w->UpstreamOf(caller));
}

/* Guards against requests left in the queue of a draining upstream. */
TEST_F(Traffic, DrainEmptiesTheQueue)
{
	std::vector<int> all = QueueRequests();

	text.drained = "a";
	Redeclare();
	SetModes(ANSWER);
	for (const char *name : { "a", "b", "c" })
		w->AnswerHeldCalls(name);
	w->Run(300);
	for (int r : all)
		ExpectAnswered(r);
	EXPECT_EQ(0u, w->InProgress());
}

/*
 * Guards against a request that loses its upstream to a drain while it waits
 * for the backup's acknowledgement.
 */
TEST_F(Traffic, DrainWhileWaitingForTheAcknowledgement)
{
	int caller = EstablishFlow();
	int r = w->Send(caller, WRITE, w->OwnerOf(caller));

	text.drained = w->UpstreamOf(caller);
	Redeclare();
	w->Run(100);
	ExpectAnswered(r);
}

/*
 * Guards against queued requests that stay with an upstream after it has moved
 * to another service.
 */
TEST_F(Traffic, UpstreamMovesToAnotherService)
{
	std::vector<int> all = QueueRequests();

	text.moved = "b";
	Redeclare();
	SetModes(ANSWER);
	for (const char *name : { "a", "b", "c" })
		w->AnswerHeldCalls(name);
	w->Run(300);
	for (int r : all)
		ExpectAnswered(r);
}

/* Guards against the loss of requests queued for a removed upstream. */
TEST_F(Traffic, UpstreamIsRemovedWhileRequestsAreQueued)
{
	std::vector<int> all = QueueRequests();

	text.removed = "a";
	Redeclare();
	SetModes(ANSWER);
	for (const char *name : { "a", "b", "c" })
		w->AnswerHeldCalls(name);
	w->Run(300);
	for (int r : all)
		ExpectAnswered(r);
}

/* Guards against requests that stay queued for a removed service. */
TEST_F(Traffic, ServiceIsWithdrawn)
{
	int caller = EstablishFlow();
	std::vector<int> all;

	SetModes(HOLD);
	for (int i = 0; i < 20; i++)
		all.push_back(w->Send(EstablishFlow(), WRITE, 0));
	w->Run(50);
	text.orders = false;
	Redeclare();
	for (const char *name : { "a", "b", "c" })
		w->AnswerHeldCalls(name);
	w->Run(2200);
	for (int r : all) {
		EXPECT_EQ(Req(r).executed, Req(r).answered);
		EXPECT_EQ(1 - Req(r).executed, Req(r).denied);
	}
	ExpectNoReply(w->Send(caller, WRITE, 0));
	EXPECT_EQ(0u, w->InProgress());
}

/*
 * Guards against queued requests that stay with a leaving VM, which no longer
 * owns their upstream.
 */
TEST_F(Traffic, LeavingVmMovesItsQueue)
{
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller);
	std::string name = w->UpstreamOf(caller);
	std::vector<int> all;

	SetModes(HOLD);
	for (int i = 0; i < 30; i++)
		all.push_back(
		    w->Send(EstablishFlow(), i % 2 ? WRITE : READ, 0));
	w->Run(50);
	w->leaving[owner] = true;
	w->AdoptViewAll();
	w->DeliverAll();
	/* Dispatched requests remain: at most 2 slots of 3 upstreams. */
	EXPECT_LE(kf_traffic_in_progress(w->Traffic(owner)), 6u);
	EXPECT_TRUE(w->Logged("move"));
	/* Copies of moved requests are forwarded to the new owners. */
	for (int r : all)
		w->Deliver(r, owner);
	w->DeliverAll();
	SetModes(ANSWER);
	for (const char *upstream : { "a", "b", "c" })
		w->AnswerHeldCalls(upstream);
	w->Run(300);
	for (int r : all) {
		EXPECT_GE(Req(r).answered, 1);
		EXPECT_EQ(0, Req(r).denied + Req(r).unknown);
	}
	EXPECT_EQ(0u, kf_traffic_in_progress(w->Traffic(owner)));
	w->Send(caller, READ, owner);
	w->Run(50);
	EXPECT_NE(owner, w->OwnerOf(caller));
}

/* Guards against a copy of a moved request that is executed again. */
TEST_F(Traffic, CopyOfAMovedRequestFollowsIt)
{
	int caller = EstablishFlow();
	size_t old_owner = w->OwnerOf(caller);
	int r = w->NewRequest(caller, WRITE);

	w->leaving[old_owner] = true;
	w->AdoptViewAll();
	SetModes(HOLD);
	w->Deliver(r, old_owner);
	w->Run(50);
	for (size_t core = 0; core < 3; core++)
		w->Deliver(r, core);
	w->Run(50);
	EXPECT_EQ(1, Req(r).executed);
	for (auto &u : w->upstreams)
		w->AnswerHeldCalls(u.first);
	w->Run(50);
	for (size_t core = 0; core < 3; core++)
		w->Deliver(r, core);
	w->Run(50);
	EXPECT_EQ(4, Req(r).answered);
	ExpectAnswered(r);
}

/*
 * Guards against the refusal as not run of a copy of an idempotent request that
 * its first owner has moved to another VM, where it runs.
 */
TEST_F(Traffic, CopyOfAMovedReadIsNotRefused)
{
	std::vector<int> reads;
	std::vector<size_t> owners;

	for (int caller : EstablishFlows(30)) {
		std::string name = w->UpstreamOf(caller);

		SetModes(HOLD);
		w->upstreams[name].mode = SHED;
		owners.push_back(w->OwnerOf(caller));
		reads.push_back(w->Send(caller, READ, owners.back()));
		w->Run(20);
	}
	SetModes(SHED);
	for (size_t i = 0; i < reads.size(); i++)
		w->Deliver(reads[i], owners[i]);
	w->Run(50);
	for (const char *name : { "a", "b", "c" })
		w->AnswerHeldCalls(name);
	w->Run(2200);
	for (int r : reads)
		EXPECT_FALSE(Req(r).executed > 0 && Req(r).denied > 0);
}

/*
 * Guards against the refusal as not run of a copy of an idempotent request that
 * has run and was then moved.  The message that moves the request is lost, so
 * only the copy reaches the new owner.
 */
TEST_F(Traffic, CopyOfAMovedReadTellsThatItMayHaveRun)
{
	int moves = 0;

	for (int caller : EstablishFlows(12)) {
		/* Answered requests add to the retry budget. */
		SetModes(ANSWER);
		for (int i = 0; i < 40; i++)
			w->Send(caller, READ, w->OwnerOf(caller));
		w->Run(50);
		std::string name = w->UpstreamOf(caller);
		size_t owner = w->OwnerOf(caller);
		SetModes(SHED);
		w->upstreams[name].mode = SILENT;
		int read = w->Send(caller, READ, owner);
		w->Run(20);
		if (Req(read).executed == 0)
			continue;
		LoseBothPaths(name, owner);
		moves += w->DropPeerDatagrams(KF_PEER_FORWARD) > 0;
		w->Deliver(read, owner);
		w->Run(50);
		EXPECT_EQ(0, Req(read).denied);
	}
	EXPECT_GT(moves, 0);
}

/*
 * Guards against copies of an idempotent request that are dropped for ever
 * because it was moved to a VM that has ended.
 */
TEST_F(Traffic, CopyOfAMovedReadIsServedAfterItsNewOwnerEnds)
{
	int caller = EstablishFlow();
	size_t old_owner = w->OwnerOf(caller), new_owner = 0;
	int r = w->NewRequest(caller, READ);

	w->leaving[old_owner] = true;
	w->AdoptViewAll();
	SetModes(HOLD);
	w->Deliver(r, old_owner);
	w->Run(50);
	while (
	    new_owner < 3 && kf_traffic_in_progress(w->Traffic(new_owner)) == 0)
		new_owner++;
	ASSERT_NE(3u, new_owner);
	ASSERT_NE(old_owner, new_owner);
	w->Kill(new_owner);
	w->SetLiveAll(new_owner, KF_VM_DEAD);
	w->AdoptViewAll();
	SetModes(ANSWER);
	w->Deliver(r, 3 - old_owner - new_owner);
	w->Run(50);
	EXPECT_EQ(1, Req(r).answered);
}

/*
 * Guards against copies of a call without a token that VMs with different
 * digests place at different owners: one may refuse it and the other run it.
 */
TEST_F(Traffic, CopiesWithoutATokenReachOneOwner)
{
	SetModes(HOLD);
	w->digests[kf_name_id("a")].flags |= KF_DIGEST_EJECTED;
	w->AdoptView(1);
	for (int i = 0; i < 20; i++) {
		int r = w->NewRequest(w->AddCaller("orders"), READ);

		w->Deliver(r, 0);
		w->Run(20);
		w->Deliver(r, 1);
		w->Run(20);
		EXPECT_EQ(1, Req(r).executed);
		for (const char *name : { "a", "b", "c" })
			w->AnswerHeldCalls(name);
		w->Run(20);
	}
}

/*
 * Guards against a copy that runs after its request was refused as not run:
 * the caller may have sent it before it read the refusal.
 */
TEST_F(Traffic, LateCopyOfARefusedReadIsRefusedAgain)
{
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller);

	SetModes(SHED);
	int r = w->Send(caller, READ, owner);

	w->Run(2200);
	ASSERT_GE(Req(r).denied, 1);
	SetModes(ANSWER);
	w->Run(10000);
	w->Deliver(r, owner);
	w->Run(50);
	EXPECT_EQ(0, Req(r).executed);
	EXPECT_GE(Req(r).denied, 2);
}

/* Guards against a refusal of a request that ran and whose answer was lost. */
TEST_F(Traffic, LateCopyOfAnAnsweredReadIsNotRefused)
{
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller);
	int r = w->Send(caller, READ, owner);

	w->Run(50);
	ExpectAnswered(r);
	SetModes(SHED);
	/*
	 * By then the filters of requests that ran have begun a new
	 * generation.
	 */
	w->Run(130000);
	w->Deliver(r, owner);
	w->Run(2200);
	EXPECT_EQ(0, Req(r).denied);
}

/*
 * Guards against a copy of a moved idempotent request that is executed again.
 */
TEST_F(Traffic, CopyOfAMovedReadFollowsIt)
{
	int caller = EstablishFlow();
	size_t old_owner = w->OwnerOf(caller);
	int r = w->NewRequest(caller, READ);

	w->leaving[old_owner] = true;
	w->AdoptViewAll();
	SetModes(HOLD);
	w->Deliver(r, old_owner);
	w->Run(50);
	ASSERT_TRUE(w->Logged("move"));
	w->Deliver(r, old_owner);
	w->Run(50);
	EXPECT_EQ(1, Req(r).executed);
}

/*
 * Guards against the refusal as not run of a request that may have run at
 * another VM, because a second forward clears KF_FORWARD_MAY_HAVE_RUN.
 */
TEST_F(Traffic, SecondForwardKeepsTheMayHaveRunFlag)
{
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller);
	size_t first = (owner + 1) % 3, second = (owner + 2) % 3;
	int r = w->NewRequest(caller, READ);

	w->Deliver(r, first);
	int sent = w->FindPeerDatagram(KF_PEER_FORWARD);
	ASSERT_GE(sent, 0);
	ASSERT_EQ(0u, w->AddForwardFlags((size_t)sent));
	w->AddForwardFlags((size_t)sent, KF_FORWARD_MAY_HAVE_RUN);
	w->events[(size_t)sent].core = second;
	w->Step((size_t)sent);
	sent = w->FindPeerDatagram(KF_PEER_FORWARD);
	ASSERT_GE(sent, 0);
	EXPECT_EQ((uint32_t)KF_FORWARD_MAY_HAVE_RUN,
	    w->AddForwardFlags((size_t)sent));
}

/*
 * Guards against copies of a moved request that are always forwarded to its new
 * owner although that has ended.
 */
TEST_F(Traffic, CopyOfAMovedRequestReachesTheBackupOfItsNewOwner)
{
	Options options;

	options.vms = 4;
	CreateWorld(options);
	int caller = EstablishFlow();
	size_t old_owner = w->OwnerOf(caller);
	int r = w->NewRequest(caller, WRITE);

	w->leaving[old_owner] = true;
	w->AdoptViewAll();
	w->Deliver(r, old_owner);
	w->Run(50);
	ExpectAnswered(r);
	size_t new_owner = w->OwnerOf(caller);
	ASSERT_NE(old_owner, new_owner);
	EndVm(new_owner, KF_VM_GONE);
	w->Deliver(r, old_owner);
	w->Run(50);
	EXPECT_EQ(2, Req(r).answered);
	ExpectAnswered(r);
}

/*
 * Guards against a request moved to a VM that has ended while the request
 * waited for its acknowledgement.
 */
TEST_F(Traffic, MoveFollowsTheViewOfItsAcknowledgement)
{
	for (int i = 0; i < 6; i++) {
		Options options;

		options.vms = 5;
		options.seed = (uint64_t)i;
		text = DeclarationText();
		CreateWorld(options);
		int caller = EstablishFlow();
		size_t owner = w->OwnerOf(caller);
		size_t backup = w->BackupOf(caller);
		text.drained = w->UpstreamOf(caller);
		Redeclare();
		int r = w->Send(caller, WRITE, owner);
		std::vector<Event> intents;
		intents.swap(w->events);
		for (size_t vm = 0; vm < options.vms; vm++) {
			if (vm != owner && vm != backup)
				EndVm(vm, KF_VM_GONE);
		}
		w->events = intents;
		w->Run(100);
		ExpectAnswered(r);
	}
}

/* Guards against two owners that both execute one request. */
TEST_F(Traffic, TwoVmsOwnOneUpstream)
{
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller), third = w->OtherVmOf(caller);

	/* Only the third VM considers the owner dead. */
	w->SetLive(third, owner, KF_VM_DEAD);
	w->AdoptView(third);
	int fresh = w->Establish("orders", third);
	int r = w->Send(caller, WRITE, third);
	int s = w->Send(fresh, WRITE, third);
	w->Run(50);
	ExpectAnswered(s);
	w->Deliver(r, owner);
	w->Run(50);
	ExpectAnswered(r);
}

/* Guards against traffic to other zones while the own zone can serve it. */
TEST_F(Traffic, OwnZoneComesFirst)
{
	Options options;

	options.vms = 4;
	options.first_vm_of_z2 = 2;
	text.far = "b";
	CreateWorld(options);
	for (int i = 0; i < 10; i++) {
		EXPECT_NE("b", w->UpstreamOf(EstablishFlow("orders", 0)));
		EXPECT_EQ("b", w->UpstreamOf(EstablishFlow("orders", 3)));
	}
	/* Other zones take over when the own zone has none left. */
	text.drained = "b";
	Redeclare();
	int caller = EstablishFlow("orders", 3);
	EXPECT_NE("b", w->UpstreamOf(caller));
	int r = w->Send(caller, WRITE, 3);
	w->Run(50);
	ExpectAnswered(r);
}

/* Guards against a zone that stops serving while it is partitioned off. */
TEST_F(Traffic, PartitionBetweenZones)
{
	Options options;

	options.vms = 4;
	options.first_vm_of_z2 = 2;
	text.far = "b";
	CreateWorld(options);
	int caller = EstablishFlow("orders", 3); /* owned in z2 */
	for (size_t i = 0; i < 4; i++) {
		for (size_t j = 0; j < 4; j++) {
			if (i / 2 != j / 2)
				w->SetLive(i, j, KF_VM_DEAD);
		}
	}
	w->AdoptViewAll();
	int write = w->Send(caller, WRITE, 0);
	int read = w->Send(caller, READ, 0);
	w->Run(100);
	ExpectUnknown(write, 0);
	ExpectAnswered(read);
	int next = w->Send(caller, WRITE, 1);
	int far = w->Send(EstablishFlow("orders", 2), WRITE, 2);
	w->Run(100);
	ExpectAnswered(next);
	ExpectAnswered(far);
}

/* Guards against a request that is handled by the wrong shard. */
TEST_F(Traffic, Shards)
{
	Options options;

	options.vms = 2;
	options.shards = 3;
	CreateWorld(options);
	std::vector<int> all;
	for (int i = 0; i < 24; i++) {
		int caller = EstablishFlow("orders", (size_t)i % 6);

		for (size_t core = 0; core < 6; core++)
			all.push_back(
			    w->Send(caller, core % 2 ? READ : WRITE, core));
		w->Run(50);
	}
	for (int r : all)
		ExpectAnswered(r);
}

/*
 * Guards against a copy that reaches another shard of the backup than the one
 * with the records.
 */
TEST_F(Traffic, OwnerOfSeveralShardsDies)
{
	Options options;

	options.shards = 2;
	CreateWorld(options);
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller), third = w->OtherVmOf(caller);
	int done = w->Send(caller, WRITE, third * 2);
	w->Run(50);
	EndVm(owner, KF_VM_GONE);
	w->Deliver(done, third * 2 + 1);
	int next = w->Send(caller, WRITE, third * 2);
	w->Run(50);
	EXPECT_EQ(2, Req(done).answered);
	ExpectAnswered(done);
	ExpectAnswered(next);
}

/* Guards against memory errors and replies on malformed input. */
TEST_F(Traffic, MalformedDatagrams)
{
	int caller = EstablishFlow();
	int r = w->NewRequest(caller, WRITE);
	Bytes call = Req(r).data;

	for (size_t len = 0; len < call.size() - 8; len++)
		w->SendRaw(
		    caller, 0, Bytes(call.begin(), call.begin() + (long)len));
	w->DeliverAll();
	EXPECT_EQ(0, Req(r).answered + Req(r).executed);
	w->Deliver(r, w->OtherVmOf(caller));
	ASSERT_FALSE(w->events.empty());
	Event peer = w->events[0];
	for (size_t i = 0; i < peer.data.size(); i++) {
		Event bad = peer;

		bad.data[i] ^= 0x81;
		w->events.push_back(bad);
		bad.data.resize(i);
		w->events.push_back(bad);
	}
	w->Run(50);
	ExpectAnswered(r);
	kf_rpc_reply_t unused;
	for (size_t len = 0; len < 40; len++) {
		Bytes junk(len, 0xff);

		EXPECT_NE(KF_OK,
		    kf_rpc_reply_parse(junk.data(), junk.size(), &unused));
		kf_traffic_on_upstream(w->Traffic(0), w->Now(), kf_name_id("a"),
		    0, junk.data(), junk.size());
	}
}

/* Guards against callers that call the upstreams' control program. */
TEST_F(Traffic, ControlProgramIsNotServedToCallers)
{
	int caller = EstablishFlow();
	int r = w->NewRequest(caller, WRITE);
	Bytes call = Req(r).data;

	kf_put_u32(call.data() + 12, KF_UPSTREAM_PROG);
	size_t before = w->log.size();
	w->SendRaw(caller, w->OwnerOf(caller), call);
	w->DeliverAll();
	for (size_t i = before; i < w->log.size(); i++)
		EXPECT_EQ(std::string::npos, w->log[i].find("dispatch"));
}

struct ReplyCounts {
	int tokens = 0, denied = 0;
	Bytes token;
};

void
CountReply(void *ctx, const kf_route_t *, const uint8_t *data, size_t len)
{
	ReplyCounts *d = static_cast<ReplyCounts *>(ctx);
	kf_rpc_reply_t reply;

	if (kf_rpc_reply_parse(data, len, &reply) != KF_OK ||
	    reply.reply_stat == KF_RPC_MSG_DENIED) {
		d->denied++;
		return;
	}
	d->tokens++;
	d->token.assign(reply.verf.body + 8, reply.verf.body + reply.verf.len);
}

void
IgnoreDecision(void *, const kf_decision_t *)
{
}

/* Renews one token repeatedly on a traffic core of its own. */
void
RenewTokens(TrafficWorld *w, kf_view_t *view, uint32_t shard, ReplyCounts *d)
{
	kf_route_t route = { { 0x7f000100, 5000 }, { 0x7f000001, 2049 }, {} };
	kf_traffic_config_t config = {};
	kf_rpc_call_t call = {};
	uint8_t buf[512];

	config.self = w->VmId(0);
	config.shard = shard;
	config.paths = 1;
	config.token_lifetime_s = 600;
	config.flow_limits = { 16, 1024, 1000000, 1000000 };
	kf_admission_config_init(&config.admission);
	config.ops.ctx = d;
	config.ops.send_caller = CountReply;
	config.ops.decision = IgnoreDecision;
	kf_traffic_t *t = kf_traffic_new(&config);
	kf_traffic_on_view(t, w->Now(), view);
	call.prog = 0x20001000;
	for (int i = 0; i < 20000; i++) {
		if (!d->token.empty())
			call.cred = { KF_RPC_AUTH_SHORT,
				(uint32_t)d->token.size(), d->token.data() };
		size_t len = kf_rpc_call_write(&call, buf, sizeof(buf));
		kf_traffic_on_caller(t, w->Now(), &route, buf, len);
	}
	kf_traffic_delete(t);
}

/* Guards against MAC state shared by the threads of a daemon. */
TEST_F(Traffic, CoresOfOneViewRunInParallel)
{
	kf_view_t *view = w->NewView(0);
	ReplyCounts reply_counts[3];
	std::vector<std::thread> threads;

	for (uint32_t i = 0; i < 3; i++)
		threads.emplace_back(
		    RenewTokens, w.get(), view, i, &reply_counts[i]);
	for (uint32_t i = 0; i < 3; i++) {
		threads[i].join();
		EXPECT_EQ(20000, reply_counts[i].tokens);
		EXPECT_EQ(0, reply_counts[i].denied);
	}
	kf_view_release(view);
}

/* Guards against decisions before the view of the fleet has settled. */
TEST_F(Traffic, UnsettledViewDropsEverything)
{
	w->settled = false;
	w->AdoptViewAll();
	int caller = w->AddCaller("orders");

	for (uint32_t proc : { 0u, 1u, 11u })
		ExpectNoReply(w->Send(caller, proc, 0));
}

/*
 * Guards against requests that stay unanswered in a flood, and against refusals
 * of requests that have run.
 */
TEST_F(Traffic, FloodIsRefusedEarly)
{
	std::vector<int> all;

	SetModes(HOLD);
	for (int i = 0; i < 20; i++) {
		int caller = EstablishFlow();

		for (int j = 0; j < 10; j++)
			all.push_back(w->Send(caller, j % 2 ? READ : 3, 0));
	}
	for (int i = 0; i < 40; i++) {
		w->Run(100);
		for (const char *name : { "a", "b", "c" })
			w->AnswerHeldCalls(name);
	}
	w->Run(1100);
	for (int r : all) {
		EXPECT_LT(0, Req(r).answered + Req(r).denied + Req(r).unknown);
		EXPECT_TRUE(Req(r).denied == 0 || Req(r).executed == 0);
	}
	EXPECT_EQ(0u, w->InProgress());
}

/*
 * Guards against a request that stays in progress, or is refused, when its
 * upstream refuses it after the caller got an unknown outcome.
 */
TEST_F(Traffic, LateRefusalEndsTheRequest)
{
	int caller = EstablishFlow();
	int r = w->Send(caller, WRITE, w->OwnerOf(caller));

	w->Step((size_t)w->FindPeerDatagram(KF_PEER_INTENT));
	w->Step((size_t)w->FindPeerDatagram(KF_PEER_INTENT_ACK));
	ASSERT_EQ(1u, w->events.size());
	std::vector<Event> call;
	call.swap(w->events);
	w->Run(2050);
	ExpectUnknown(r, 0);
	SetModes(SHED);
	w->events = call;
	w->Run(50);
	ExpectUnknown(r, 0);
	EXPECT_EQ(0u, w->InProgress());
}

/*
 * Guards against a reply that is too large to be sent and leaves the record of
 * its request in progress.
 */
TEST_F(Traffic, ReplyTooLargeForADatagram)
{
	int caller = EstablishFlow();
	std::vector<uint8_t> results(65400), buf(65507);
	kf_rpc_reply_t reply = {};
	kf_rpc_call_t call;

	SetModes(HOLD);
	int r = w->Send(caller, WRITE, 0);
	w->Run(20);
	Event e = w->upstreams[w->UpstreamOf(caller)].held.at(0);
	ASSERT_EQ(
	    KF_OK, kf_rpc_call_parse(e.data.data(), e.data.size(), &call));
	reply.xid = call.xid;
	reply.results = results.data();
	reply.results_len = results.size();
	e.kind = Event::REPLY;
	e.data.assign(buf.begin(),
	    buf.begin() +
		(long)kf_rpc_reply_write(&reply, buf.data(), buf.size()));
	w->events.push_back(e);
	w->Run(20);
	ExpectUnknown(r, 1);
	w->Deliver(r, 1);
	w->Run(20);
	EXPECT_EQ(2, Req(r).unknown);
}

/*
 * Guards against the hash of a call as flow id of the token in its reply: two
 * flows could get the same id.
 */
TEST_F(Traffic, HashOfACallNamesNoFlow)
{
	int caller = EstablishFlow();
	size_t owner = w->OwnerOf(caller);
	Bytes token = w->callers[0].token;

	EndVm(owner, KF_VM_GONE);
	for (size_t core = 0; core < 3; core++) {
		uint64_t flows[2];

		for (uint64_t &flow : flows) {
			w->callers[0].token = token;
			w->requests.clear();
			w->callers[0].next_xid = 500;
			w->Send(caller, READ, core);
			w->Run(50);
			flow = w->TokenOf(caller).flow;
		}
		EXPECT_TRUE(core == owner || flows[0] != flows[1]);
	}
}

/*
 * Guards against a slow read whose reply returns the caller to an old
 * generation, which makes the caller's next request stale.
 */
TEST_F(Traffic, SlowReadDoesNotMakeALaterWriteStale)
{
	int caller = EstablishFlow();
	std::string name = w->UpstreamOf(caller);

	w->upstreams[name].mode = HOLD;
	int read = w->Send(caller, READ, 0);
	w->Run(20);
	w->upstreams[name].mode = ANSWER;
	for (int i = 0; i < 2 * KF_FLOW_RING; i++) {
		w->Send(caller, WRITE, 0);
		w->Run(20);
	}
	w->AnswerHeldCalls(name);
	w->Run(20);
	ExpectAnswered(read);
	int last = w->Send(caller, WRITE, 0);
	w->Run(20);
	ExpectAnswered(last);
}

} // namespace
