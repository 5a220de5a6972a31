#ifndef KF_BENCH_REPORT_H
#define KF_BENCH_REPORT_H

#include <stdint.h>

/*
 * NAME
 *	kf_report - key=value output of the benchmarks
 *
 * DESCRIPTION
 *	A line is "measure=NAME KEY=VALUE... value=X target=Y met=yes|no".
 *	Without a target, target and met are none.
 */

typedef enum kf_bound {
	KF_BOUND_NONE = 0,
	KF_BOUND_AT_MOST,
	KF_BOUND_AT_LEAST,
} kf_bound_t;

typedef struct kf_target {
	const char *measure;
	kf_bound_t bound;
	double limit;
} kf_target_t;

/* fmt formats the KEY=VALUE pairs that identify the value. */
void kf_report(const kf_target_t *target, double value, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#endif
