#include <gtest/gtest.h>

#include "support/traffic_world.h"

namespace {

using namespace kf_test;

enum { READ = 1, WRITE = 11 };

class Handover : public ::testing::Test {
      protected:
	void SetUp() override
	{
		ASSERT_TRUE(w.Declare(text.Build())) << w.errors;
		w.AdoptViewAll();
		w.Run(31000);
		caller = w.Establish("orders", 0);
		owner = w.OwnerOf(caller);
		backup = w.BackupOf(caller);
		third = w.OtherVmOf(caller);
		/* Lets the VMs grant their leases. */
		w.Run(2000);
	}
	void TearDown() override
	{
		EXPECT_EQ("", w.violation);
		if (!HasFailure())
			return;
		for (const std::string &line : w.log)
			printf("%s\n", line.c_str());
	}
	/* Shuts a VM down: it leaves, hands its records over and stops. */
	void ShutDown(size_t vm)
	{
		w.leaving[vm] = true;
		w.AdoptViewAll();
		w.Run(100);
		kf_traffic_on_shutdown(w.Traffic(vm), w.Now());
		for (int i = 0; i < 300; i++) {
			if (kf_traffic_shutdown_complete(w.Traffic(vm)))
				break;
			w.Run(10);
		}
		EXPECT_TRUE(kf_traffic_shutdown_complete(w.Traffic(vm)));
		w.Run(20);
		StopAndReport(vm);
	}
	/* Stops a VM at once; the others learn that it has ended. */
	void StopAndReport(size_t vm)
	{
		w.Kill(vm);
		w.SetLiveAll(vm, KF_VM_GONE);
		w.AdoptViewAll();
	}
	/* Sends a write, which is answered, before the VMs end. */
	int Write()
	{
		int r = w.Send(caller, WRITE, third);

		w.Run(100);
		EXPECT_EQ(1, w.requests[(size_t)r].answered);
		return r;
	}
	const Request &Req(int r)
	{
		return w.requests[(size_t)r];
	}
	/* Sends a new write with the token from before the VMs ended. */
	int WriteAfterEnd()
	{
		int r = w.Send(caller, WRITE, third);

		w.Run(200);
		return r;
	}

	TrafficWorld w;
	DeclarationText text;
	int caller = 0;
	size_t owner = 0, backup = 0, third = 0;
};

/* Guards against flows that are lost when a rolling restart finds them idle. */
TEST_F(Handover, FlowSurvivesTheEndOfOwnerAndBackup)
{
	Write();
	ShutDown(owner);
	ShutDown(backup);
	int r = WriteAfterEnd();
	EXPECT_EQ(1, Req(r).answered);
	EXPECT_EQ(1, Req(r).executed);
}

TEST_F(Handover, FlowSurvivesTheEndOfBackupAndOwner)
{
	Write();
	ShutDown(backup);
	ShutDown(owner);
	int r = WriteAfterEnd();
	EXPECT_EQ(1, Req(r).answered);
	EXPECT_EQ(1, Req(r).executed);
}

/* Guards against a VM with the records that runs a late copy again. */
TEST_F(Handover, CopyOfAnExecutedWriteDoesNotRunAgain)
{
	int r = Write();

	ShutDown(owner);
	ShutDown(backup);
	w.Deliver(r, third);
	w.Run(200);
	EXPECT_EQ(1, Req(r).executed);
	EXPECT_EQ(0, Req(r).denied);
	EXPECT_EQ(1, Req(r).unknown);
}

/*
 * The backup's records are enough, as it acknowledged whatever the owner
 * dispatched.
 */
TEST_F(Handover, FlowSurvivesTheDeathOfItsOwnerAndTheEndOfItsBackup)
{
	Write();
	StopAndReport(owner);
	w.Run(50);
	ShutDown(backup);
	int r = WriteAfterEnd();
	EXPECT_EQ(1, Req(r).answered);
	EXPECT_EQ(1, Req(r).executed);
}

/*
 * Guards against a VM that serves a flow with incomplete records: the backup
 * may have run requests after the owner ended.
 */
TEST_F(Handover, DeathOfTheBackupAfterTheEndOfTheOwnerLeavesTheOutcomeUnknown)
{
	Write();
	ShutDown(owner);
	StopAndReport(backup);
	int r = WriteAfterEnd();
	EXPECT_EQ(0, Req(r).executed);
	EXPECT_EQ(0, Req(r).denied);
	EXPECT_EQ(1, Req(r).unknown);
}

/* Guards against a handover that counts as complete although it was lost. */
TEST_F(Handover, LostRecordsLeaveTheOutcomeUnknown)
{
	Write();
	ShutDown(owner);
	w.paused[third] = true;
	ShutDown(backup);
	EXPECT_GT(w.DropPeerDatagrams(KF_PEER_HANDOVER), 0u);
	w.paused[third] = false;
	w.AdoptViewAll();
	int r = WriteAfterEnd();
	EXPECT_EQ(0, Req(r).executed);
	EXPECT_EQ(0, Req(r).denied);
	EXPECT_EQ(1, Req(r).unknown);
}

/* Guards against a VM that accepts requests while it shuts down. */
TEST_F(Handover, VmAcceptsNoRequestDuringShutdown)
{
	w.leaving[owner] = true;
	w.AdoptViewAll();
	w.Run(100);
	kf_traffic_on_shutdown(w.Traffic(owner), w.Now());
	w.Run(200);
	int r = w.Send(caller, READ, owner);
	w.Run(100);
	EXPECT_EQ(0, Req(r).executed);
}

} // namespace
