#ifndef KF_UPSTREAM_EJECTION_H
#define KF_UPSTREAM_EJECTION_H

#include <stdbool.h>
#include <stdint.h>

#include "kf/upstream.h"

/*
 * NAME
 *	kf_ejection - failure counts and ejection times of one upstream
 */

typedef struct kf_ejection {
	uint32_t failures_in_row; /* of requests */
	uint32_t probe_failures;  /* in a row, without any answer */
	uint32_t window; /* latest outcomes, bit 0 the last; 1: failure */
	uint32_t window_count;
	bool ejected;
	bool trial;	  /* readmitted, nothing answered yet */
	bool last_resort; /* bad, but may not be ejected */
	int64_t until_us;
	int64_t period_us; /* of the next ejection */
	int64_t readmitted_us;
} kf_ejection_t;

void kf_ejection_init(kf_ejection_t *ejection,
    const kf_upstream_config_t *config, int64_t now_us);
void kf_ejection_on_success(
    kf_ejection_t *ejection, const kf_upstream_config_t *config);
void kf_ejection_on_failure(
    kf_ejection_t *ejection, const kf_upstream_config_t *config);

void kf_ejection_on_probe(kf_ejection_t *ejection, bool answered);

/* Ejects the upstream if its counts say so.  Returns true if it did. */
bool kf_ejection_decide(kf_ejection_t *ejection,
    const kf_upstream_config_t *config, int64_t now_us, bool may_eject);

/* The half-open probe was answered, or failed. */
void kf_ejection_readmit(kf_ejection_t *ejection, int64_t now_us);
void kf_ejection_extend(kf_ejection_t *ejection,
    const kf_upstream_config_t *config, int64_t now_us);

/* The process behind the address is another one; past outcomes are void. */
void kf_ejection_forget(kf_ejection_t *ejection);

#endif
