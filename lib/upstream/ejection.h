#ifndef KF_UPSTREAM_EJECTION_H
#define KF_UPSTREAM_EJECTION_H

#include <stdbool.h>
#include <stdint.h>

#include "kf/upstream.h"

/*
 * NAME
 *	kf_ejection - outcomes of requests and ejection of one upstream
 */

typedef struct kf_ejection {
	uint32_t failures_in_row; /* of requests */
	uint32_t probe_failures;  /* in a row, without any answer since */
	uint32_t window;	  /* outcomes; bit 0: latest, 1: failure */
	uint32_t window_count;
	bool ejected;
	bool on_trial;	  /* readmitted, no request answered since */
	bool last_resort; /* to be ejected, but not permitted */
	int64_t ejection_ends_us;
	int64_t next_period_us; /* length of the next ejection */
	int64_t readmitted_us;
} kf_ejection_t;

void kf_ejection_init(kf_ejection_t *ejection,
    const kf_upstream_config_t *config, int64_t now_us);
void kf_ejection_on_success(
    kf_ejection_t *ejection, const kf_upstream_config_t *config);
void kf_ejection_on_failure(
    kf_ejection_t *ejection, const kf_upstream_config_t *config);

void kf_ejection_on_probe(kf_ejection_t *ejection, bool answered);

/*
 * Ejects the upstream if its outcomes require it and may_eject is true.  If it
 * may not be ejected, marks it as a last resort.  Returns true if ejected.
 */
bool kf_ejection_update(kf_ejection_t *ejection,
    const kf_upstream_config_t *config, int64_t now_us, bool may_eject);

/* Ends the ejection: the half-open probe was answered. */
void kf_ejection_readmit(kf_ejection_t *ejection, int64_t now_us);
/* Starts a period of ejection and doubles the next, up to eject_max_us. */
void kf_ejection_start_period(kf_ejection_t *ejection,
    const kf_upstream_config_t *config, int64_t now_us);

/*
 * Clears the outcomes, for example because a new process runs at the address
 * of the upstream.
 */
void kf_ejection_clear_outcomes(kf_ejection_t *ejection);

#endif
