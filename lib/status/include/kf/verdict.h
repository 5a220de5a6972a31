#ifndef KF_VERDICT_H
#define KF_VERDICT_H

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_verdict - whether a request may have run
 *
 * DESCRIPTION
 *	Every request ends in exactly one verdict.  KF_NOT_RUN is a promise:
 *	no upstream has started the request and none will.
 */

typedef enum kf_verdict {
	KF_NOT_RUN = 0,	 /* refused before any dispatch */
	KF_MAY_HAVE_RUN, /* dispatched, outcome unknown */
	KF_ANSWERED,	 /* the upstream's reply went to the caller */
	KF_VERDICT_COUNT
} kf_verdict_t;

/* Why a request ended without an upstream's reply, or a packet was dropped. */
typedef enum kf_reason {
	KF_REASON_NONE = 0,
	KF_REASON_MALFORMED,	 /* not a well-formed RPC call */
	KF_REASON_NO_SERVICE,	 /* no service has this address */
	KF_REASON_TOKEN_BAD,	 /* forged, truncated or of another caller */
	KF_REASON_TOKEN_EXPIRED, /* past its expiry */
	KF_REASON_TOKEN_SERVICE, /* issued for another service */
	KF_REASON_NO_FLOW,	 /* non-idempotent call without a token */
	KF_REASON_NO_UPSTREAM,	 /* no eligible upstream */
	KF_REASON_OVERLOAD,	 /* queue or class limit reached */
	KF_REASON_DEADLINE,	 /* deadline passed or cannot be met */
	KF_REASON_OWNER_LOST,	 /* owner and backup are both gone */
	KF_REASON_IN_DOUBT,	 /* dispatched before, outcome unknown */
	KF_REASON_UPSTREAM_LOST, /* upstream ended or stopped answering */
	KF_REASON_FENCED,	 /* the backup has fenced this owner */
	KF_REASON_DUPLICATE,	 /* a copy of a request in progress */
	KF_REASON_LATE_REPLY,	 /* reply without a waiting request */
	KF_REASON_UPSTREAM_SHED, /* the upstream refused before running it */
	KF_REASON_NO_CONFIG,	 /* no declaration is in force yet */
	KF_REASON_DRAINING,	 /* this VM is leaving */
	KF_REASON_COUNT
} kf_reason_t;

const char *kf_verdict_name(kf_verdict_t verdict);
const char *kf_reason_name(kf_reason_t reason);

#ifdef __cplusplus
}
#endif

#endif
