#ifndef KF_METRICS_H
#define KF_METRICS_H

#include "kf/addr.h"
#include "kf/status.h"

#include "status_report.h"

/*
 * NAME
 *	metrics - counters in the Prometheus text format over HTTP
 *
 * DESCRIPTION
 *	Serves GET /metrics from a thread of its own; every other path is 404
 *	and every other method 405.  The control thread hands over a copy of
 *	its sums, and a scrape reads the last copy, so that a slow reader
 *	never holds the control thread.
 */

typedef struct metrics metrics_t;

typedef struct metrics_values {
	status_sum_t sum;
	uint32_t revision;	 /* 0: none in force */
	int32_t platform_age_ms; /* KF_CONFIRMED_NEVER_MS: no contact */
} metrics_values_t;

/* Returns NULL with a message in kf_status if it cannot listen. */
metrics_t *metrics_new(kf_addr_t addr);
void metrics_delete(metrics_t *metrics);

void metrics_set(metrics_t *metrics, const metrics_values_t *values);

#endif
