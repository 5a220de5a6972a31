#ifndef KF_CHECK_H
#define KF_CHECK_H

#include "kf/standin.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_sim_check - compares ledgers of upstreams with callers' results
 *
 * DESCRIPTION
 *	A ledger has one line for each execution of a request at an upstream,
 *	a results file one line for each request with the verdict that the
 *	caller got.
 */

enum { KF_SIM_CHECK_MAX_REQUESTS = 1 << 25 };

typedef struct kf_sim_check kf_sim_check_t;

typedef struct kf_sim_check_counts {
	uint64_t requests;
	uint64_t executions;
	uint64_t doubled;	/* non-idempotent and run more than once */
	uint64_t misrouted;	/* run at an upstream of another service */
	uint64_t false_not_run; /* reported as not run, but run */
	uint64_t lost_answered; /* reported as answered, but never run */
	uint64_t repeated;	/* idempotent and run more than once */
	uint64_t unreported;	/* in a ledger, but in no results file */
	uint64_t malformed; /* lines that cannot be parsed, repeated results */
} kf_sim_check_counts_t;

kf_sim_check_t *kf_sim_check_new(void);
void kf_sim_check_delete(kf_sim_check_t *check);

/* Adds a line of a ledger; one that cannot be parsed counts as malformed. */
kf_status_t kf_sim_check_ledger_line(kf_sim_check_t *check, const char *line);
/*
 * Adds a line of a results file.  A line that cannot be parsed and a second
 * line of the same request count as malformed.
 */
kf_status_t kf_sim_check_result_line(kf_sim_check_t *check, const char *line);

kf_sim_check_counts_t kf_sim_check_counts(const kf_sim_check_t *check);
/* True if no invariant is broken and no line was malformed. */
bool kf_sim_check_passed(const kf_sim_check_counts_t *counts);

#ifdef __cplusplus
}
#endif

#endif
