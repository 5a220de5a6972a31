#ifndef KF_METRICS_H
#define KF_METRICS_H

#include "kf/addr.h"
#include "kf/status.h"

#include "status_report.h"

/*
 * NAME
 *	metrics - HTTP server of counters and gauges for Prometheus
 *
 * DESCRIPTION
 *	Serves GET /metrics from its own thread; any other path gets status
 *	404, any other method 405.  The control thread stores a copy of its
 *	totals, and each scrape reads the latest copy, so that a slow client
 *	never blocks the control thread.
 */

typedef struct metrics metrics_t;

typedef struct metrics_values {
	status_totals_t totals;
	uint32_t revision;	 /* 0: no declaration in force */
	int32_t platform_age_ms; /* KF_CONTACT_NEVER_MS: none */
} metrics_values_t;

/* Returns NULL and sets the status message if it cannot listen on addr. */
metrics_t *metrics_new(kf_addr_t addr);
void metrics_delete(metrics_t *metrics);

/* Stores the values that the next scrapes return. */
void metrics_set(metrics_t *metrics, const metrics_values_t *values);

#endif
