#ifndef KF_DEAD_UPSTREAM_H
#define KF_DEAD_UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_dead_upstream - detection of an upstream that has stopped responding
 *
 * DESCRIPTION
 *	Load pattern: part of the upstreams stop without notice while clients
 *	have long flows open to them.  Each further request on such a flow would
 *	wait until its deadline, because packets of an open flow go to the
 *	upstream that their token names.
 *
 *	An upstream that leaves a request or an opening unanswered is a suspect
 *	and is probed with TCP connections to its published address.  It is dead
 *	when two probes have failed, the second sent KF_DEAD_RETRY_US after the
 *	first, and no answer has been seen meanwhile.  A failed probe counts
 *	only if another upstream of the zone was seen alive after it was sent,
 *	which shows that the links of the VM work.  If clients have not shown
 *	that KF_DEAD_CONTROL_DELAY_US after the probe, another upstream is
 *	probed as a control.  Any sign of life ends it.
 *
 *	The links of an upstream may fail for seconds while it lives, and other
 *	VMs open flows to it as soon as they work again.  Packets of these flows
 *	look like those of flows from before, so a flow is reset only on recent
 *	evidence: a probe that was sent KF_DEAD_EVIDENCE_US ago at most.  A
 *	packet that would be reset asks for a probe, so that the evidence stays
 *	recent while there are such packets, and others do not cause probes.
 *
 *	One state for each upstream; a zeroed one is valid.  No I/O.
 */

enum {
	/* Minimum time without an answer that makes a suspect. */
	KF_DEAD_SUSPECT_US = 100000,
	/* Time within which a probe must be accepted. */
	KF_DEAD_PROBE_TIMEOUT_US = 100000,
	/* Time that clients have to show that the links work before a control
	 * is sent.  It is below the interval of 20 ms at which probes are made,
	 * so that the control has most of the probe's time to be accepted. */
	KF_DEAD_CONTROL_DELAY_US = 15000,
	/* Interval between the probes of a suspect.  An upstream that has lost
	 * its link for 300 ms must accept one of two probes; the interval also
	 * limits the probes of an upstream to 4 per second. */
	KF_DEAD_RETRY_US = 310000,
	/* Interval between the first probes of a dead upstream, and between the
	 * later ones.  Each probe is a new connection. */
	KF_DEAD_CHECK_US = 1000000,
	KF_DEAD_FIRST_CHECKS = 2,
	KF_DEAD_LATER_CHECK_US = 5000000,
	/* Maximum age of the evidence on which a flow is reset: an interval of
	 * KF_DEAD_CHECK_US, the time of a probe, and a late timer. */
	KF_DEAD_EVIDENCE_US = 1500000,
	/* Time for which an upstream that has accepted a probe is not suspected
	 * again: it is slow, or overloaded. */
	KF_DEAD_QUIET_US = 3000000,
	/* A request that waits for this time makes a suspect even if no other
	 * has failed; few answers of healthy upstreams take longer. */
	KF_DEAD_SINGLE_REQUEST_US = 300000,
	/* Failed probes that confirm a suspect. */
	KF_DEAD_FAILED_PROBES = 2,
};

typedef enum kf_upstream_liveness {
	KF_LIVENESS_ALIVE = 0,
	KF_LIVENESS_SUSPECT,
	KF_LIVENESS_DEAD,
} kf_upstream_liveness_t;

typedef struct kf_dead_upstream {
	kf_upstream_liveness_t liveness;
	bool probing;		 /* the result of a probe is due */
	bool replaced;		 /* another upstream has its address */
	bool probe_wanted;	 /* a flow is to be reset if it is still dead */
	uint32_t checks;	 /* probes since it was found dead */
	uint32_t failed_probes;	 /* consecutive, while the links worked */
	int64_t silent_since_us; /* of a suspect */
	int64_t alive_us;	 /* last sign of life; 0: none */
	int64_t accepted_us;	 /* last accepted probe; 0: none */
	int64_t probe_sent_us;
	int64_t next_probe_us;
	int64_t control_failed_us; /* last failed probe of a non-suspect */
	/* Sending of the last probe that has shown that it is dead. */
	int64_t evidence_us;
} kf_dead_upstream_t;

/*
 * Records that another upstream was started at its address.  It is dead for
 * good, as a connection to the address says nothing about it.  Returns true if
 * it was not known to be dead.
 */
bool kf_dead_upstream_replaced(kf_dead_upstream_t *upstream);

/*
 * Records that its address is no longer that of another upstream.  It is dead
 * until a probe is accepted, without evidence to reset flows.
 */
void kf_dead_upstream_not_replaced(kf_dead_upstream_t *upstream);

/*
 * Returns true if flows of the dead upstream may be reset: it is replaced, or
 * the evidence is not older than max_age_us.
 */
bool kf_dead_upstream_may_reset(
    const kf_dead_upstream_t *upstream, int64_t max_age_us, int64_t now_us);

/* Asks for a probe, KF_DEAD_CHECK_US after the one before at the earliest. */
void kf_dead_upstream_want_probe(kf_dead_upstream_t *upstream);

/* Returns true if a probe that was asked for is due. */
bool kf_dead_upstream_wanted_probe_due(
    const kf_dead_upstream_t *upstream, int64_t now_us);

/* Records a sign of life; returns true if the upstream was dead. */
bool kf_dead_upstream_alive(kf_dead_upstream_t *upstream, int64_t now_us);

/* Records that a probe was accepted; returns true if the upstream was dead. */
bool kf_dead_upstream_accepted(kf_dead_upstream_t *upstream, int64_t now_us);

/* Records that a request or opening has been unanswered since since_us.
 * reported: another VM says so, and its age is not known. */
void kf_dead_upstream_unanswered(kf_dead_upstream_t *upstream, int64_t since_us,
    bool reported, int64_t now_us);

bool kf_dead_upstream_probe_due(
    const kf_dead_upstream_t *upstream, int64_t now_us);

/* Returns true if the upstream may be probed to test the links of the VM. */
bool kf_dead_upstream_may_be_control(
    const kf_dead_upstream_t *upstream, int64_t now_us);

/*
 * Returns true if a control is due for the probe in progress.  links_us is the
 * time of the last evidence that the links work, control_us that of the last
 * control.
 */
bool kf_dead_upstream_needs_control(const kf_dead_upstream_t *upstream,
    int64_t links_us, int64_t control_us, int64_t now_us);

void kf_dead_upstream_probe_sent(kf_dead_upstream_t *upstream, int64_t now_us);

/*
 * Records a failed probe.  links_us is the time of the last evidence that the
 * VM's links to the zone work; dead_after_us is the minimum time without an
 * answer.  Returns true if the upstream is now confirmed dead, or still is.
 */
bool kf_dead_upstream_probe_failed(kf_dead_upstream_t *upstream,
    int64_t links_us, int64_t dead_after_us, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
