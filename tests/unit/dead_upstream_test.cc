#include <gtest/gtest.h>

#include "kf/dead_upstream.h"

namespace {

class DeadUpstream : public ::testing::Test {
      protected:
	/* Makes a probe that fails; the links are seen to work 5 ms after it
	 * was sent unless links is false. */
	bool FailProbe(bool links = true)
	{
		while (!kf_dead_upstream_probe_due(&d_, now_us_))
			now_us_ += 1000;
		int64_t sent_us = now_us_;
		kf_dead_upstream_probe_sent(&d_, now_us_);
		now_us_ += KF_DEAD_PROBE_TIMEOUT_US;
		return kf_dead_upstream_probe_failed(&d_,
		    links ? sent_us + 5000 : sent_us - 5000, dead_after_us_,
		    now_us_);
	}
	void Suspect()
	{
		kf_dead_upstream_unanswered(
		    &d_, now_us_ - KF_DEAD_SUSPECT_US, false, now_us_);
	}

	kf_dead_upstream_t d_ = {};
	int64_t dead_after_us_ = 250000;
	int64_t now_us_ = 10000000;
};

/* Guards against flows reset on a single lost SYN, and against detection too
 * late for the client's second try. */
TEST_F(DeadUpstream, TwoFailedProbesConfirm)
{
	int64_t start_us = now_us_;

	EXPECT_FALSE(kf_dead_upstream_probe_due(&d_, now_us_));
	Suspect();
	EXPECT_FALSE(FailProbe());
	EXPECT_TRUE(FailProbe());
	EXPECT_EQ(KF_LIVENESS_DEAD, d_.liveness);
	EXPECT_LT(now_us_ - start_us, 450000);
	EXPECT_TRUE(kf_dead_upstream_alive(&d_, now_us_));
	EXPECT_FALSE(kf_dead_upstream_alive(&d_, now_us_));
}

/* Guards against resets by a VM whose own links have failed, or have just come
 * back. */
TEST_F(DeadUpstream, ProbesWithoutWorkingLinksDoNotCount)
{
	Suspect();
	for (int i = 0; i < 10; i++)
		EXPECT_FALSE(FailProbe(false));
	EXPECT_FALSE(FailProbe());
	EXPECT_FALSE(FailProbe(false));
	EXPECT_FALSE(FailProbe());
	EXPECT_TRUE(FailProbe());
}

/* Guards against a probe that ended before its time, or while the VM was
 * suspended, and is taken as unanswered. */
TEST_F(DeadUpstream, ProbesOutOfTimeDoNotCount)
{
	for (int64_t took_us : { 50000, 2000000 }) {
		Suspect();
		for (int i = 0; i < 3; i++) {
			while (!kf_dead_upstream_probe_due(&d_, now_us_))
				now_us_ += 1000;
			kf_dead_upstream_probe_sent(&d_, now_us_);
			now_us_ += took_us;
			EXPECT_FALSE(kf_dead_upstream_probe_failed(
			    &d_, now_us_, dead_after_us_, now_us_));
		}
	}
}

/* Guards against resets of flows whose upstream lost its link for 300 ms: both
 * probes must not fall into that time. */
TEST_F(DeadUpstream, ProbesAreFurtherApartThanAShortLinkLoss)
{
	Suspect();
	FailProbe();
	int64_t first_us = d_.probe_sent_us;
	FailProbe();
	EXPECT_GT(d_.probe_sent_us - first_us, 300000);
}

/* Guards against an answer between the probes that does not clear the suspect,
 * and against a request from before the answer that makes it one again. */
TEST_F(DeadUpstream, AnswerClearsTheSuspect)
{
	Suspect();
	FailProbe();
	kf_dead_upstream_alive(&d_, now_us_);
	kf_dead_upstream_unanswered(&d_, 1, false, now_us_ + 50000);
	EXPECT_EQ(KF_LIVENESS_ALIVE, d_.liveness);
	kf_dead_upstream_unanswered(&d_, 1, false, now_us_ + 100000);
	EXPECT_EQ(KF_LIVENESS_SUSPECT, d_.liveness);
	now_us_ += 100000;
	EXPECT_FALSE(FailProbe());
}

/* Guards against many probes of an upstream that is only slow. */
TEST_F(DeadUpstream, AcceptedProbeEndsSuspicionForSeconds)
{
	Suspect();
	kf_dead_upstream_probe_sent(&d_, now_us_);
	EXPECT_FALSE(kf_dead_upstream_accepted(&d_, now_us_));
	now_us_ += KF_DEAD_QUIET_US - 100000;
	Suspect();
	EXPECT_EQ(KF_LIVENESS_ALIVE, d_.liveness);
	now_us_ += 100000;
	Suspect();
	EXPECT_EQ(KF_LIVENESS_SUSPECT, d_.liveness);
}

/* Guards against more than 4 probes a second in any state. */
TEST_F(DeadUpstream, ProbesAreLimited)
{
	int64_t start_us = now_us_;

	dead_after_us_ = 5000000;
	Suspect();
	for (int i = 0; i < 16; i++)
		EXPECT_FALSE(FailProbe());
	EXPECT_GE(now_us_ - start_us, 4000000);
	while (!FailProbe())
		;
	start_us = now_us_;
	FailProbe();
	FailProbe();
	EXPECT_GE(now_us_ - start_us, 1900000);
	FailProbe();
	start_us = now_us_;
	FailProbe();
	FailProbe();
	EXPECT_GE(now_us_ - start_us, 9900000);
}

/* Guards against flows reset on old evidence, and against evidence that is not
 * recent although packets ask for it all the time. */
TEST_F(DeadUpstream, EvidenceIsRecentWhileItIsAskedFor)
{
	Suspect();
	FailProbe();
	FailProbe();
	for (int64_t end_us = now_us_ + 20000000; now_us_ < end_us;) {
		kf_dead_upstream_want_probe(&d_);
		EXPECT_TRUE(kf_dead_upstream_may_reset(
		    &d_, KF_DEAD_EVIDENCE_US, now_us_));
		EXPECT_TRUE(FailProbe());
		EXPECT_GE(now_us_ - d_.evidence_us, KF_DEAD_PROBE_TIMEOUT_US);
	}
	/* Nobody asks: the first two probes are long past. */
	now_us_ = d_.probe_sent_us + KF_DEAD_EVIDENCE_US;
	EXPECT_FALSE(
	    kf_dead_upstream_may_reset(&d_, KF_DEAD_EVIDENCE_US, now_us_));
	EXPECT_FALSE(kf_dead_upstream_probe_due(&d_, now_us_));
	/* A probe during which the VM was suspended shows nothing. */
	kf_dead_upstream_want_probe(&d_);
	ASSERT_TRUE(kf_dead_upstream_probe_due(&d_, now_us_));
	kf_dead_upstream_probe_sent(&d_, now_us_);
	now_us_ += 900000;
	EXPECT_FALSE(kf_dead_upstream_probe_failed(&d_, 0, 0, now_us_));
	EXPECT_FALSE(
	    kf_dead_upstream_may_reset(&d_, KF_DEAD_EVIDENCE_US, now_us_));
	/* A shorter limit holds, too. */
	kf_dead_upstream_want_probe(&d_);
	EXPECT_TRUE(FailProbe());
	EXPECT_TRUE(kf_dead_upstream_may_reset(&d_, 200000, now_us_));
	EXPECT_FALSE(kf_dead_upstream_may_reset(&d_, 50000, now_us_));
}

/* Guards against a probe that another upstream at the same address accepts and
 * that counts for the former one. */
TEST_F(DeadUpstream, ReplacedOneStaysDead)
{
	Suspect();
	kf_dead_upstream_probe_sent(&d_, now_us_);
	EXPECT_TRUE(kf_dead_upstream_replaced(&d_));
	EXPECT_FALSE(kf_dead_upstream_accepted(&d_, now_us_ + 1000));
	EXPECT_FALSE(kf_dead_upstream_alive(&d_, now_us_ + 1000));
	EXPECT_EQ(KF_LIVENESS_DEAD, d_.liveness);
	EXPECT_FALSE(kf_dead_upstream_probe_due(&d_, now_us_ + 60000000));
	EXPECT_FALSE(kf_dead_upstream_replaced(&d_));
}

/* Guards against a control that is sent although clients have shown that the
 * links work, and against several for one probe. */
TEST_F(DeadUpstream, ControlIsSentOnceAndOnlyIfNeeded)
{
	int64_t sent_us = now_us_, due_us = now_us_ + KF_DEAD_CONTROL_DELAY_US;

	Suspect();
	kf_dead_upstream_probe_sent(&d_, sent_us);
	EXPECT_FALSE(
	    kf_dead_upstream_needs_control(&d_, sent_us - 1, 0, due_us - 1));
	EXPECT_TRUE(
	    kf_dead_upstream_needs_control(&d_, sent_us - 1, 0, due_us));
	EXPECT_FALSE(kf_dead_upstream_needs_control(&d_, sent_us, 0, due_us));
	EXPECT_FALSE(kf_dead_upstream_needs_control(
	    &d_, sent_us - 1, due_us, due_us + 20000));
}

} // namespace
