#ifndef KF_REPORTS_H
#define KF_REPORTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peering_msg.h"

/*
 * NAME
 *	reports - failed requests that the VMs of a zone report to each other
 *
 * DESCRIPTION
 *	A request has failed if its upstream answered late, never, or with an
 *	error.  In a large fleet a single VM sends a request to each upstream
 *	only once in several seconds, so the VMs of a zone pool their
 *	evidence.  Each VM that receives a report forwards it a few times, so
 *	that it reaches nearly all VMs of the zone.  A report is identified
 *	by origin and number and counts once at each VM.
 */

enum {
	/* Older reports are ignored. */
	REPORT_MAX_AGE_US = 3000000,
	/* Beacons in which one VM sends a report. */
	REPORT_MAX_SENDS = 4,
	/*
	 * Holds all reports that a zone of 35 VMs can make within
	 * REPORT_MAX_AGE_US.
	 */
	MAX_REPORTS = 1024,
	MAX_OWN_REPORTS_PER_S = 8,
};

typedef struct report {
	uint32_t token;
	uint32_t origin;
	uint32_t number;
	int64_t seen_us;
	uint32_t sends_left; /* beacons that may still carry it */
	bool delivered;	     /* returned by reports_take, or made here */
} report_t;

typedef struct reports {
	report_t list[MAX_REPORTS]; /* ring buffer */
	size_t next;
	uint32_t number; /* of this VM's latest report */
	int64_t window_start_us;
	uint32_t own_in_window; /* own reports since window_start_us */
} reports_t;

/* Adds a report of this VM, up to MAX_OWN_REPORTS_PER_S. */
void reports_add_own(
    reports_t *reports, uint32_t ip, uint32_t token, int64_t now_us);
/*
 * Adds a report from a beacon that was sent at sent_us; returns true if it is
 * recent and new.
 */
bool reports_receive(reports_t *reports, const peering_report *wire,
    int64_t sent_us, int64_t now_us);

/*
 * Fills in the reports to send next, those sent least often first; returns
 * their number.
 */
size_t reports_fill(reports_t *reports,
    peering_report wire[PEERING_MAX_REPORTS], int64_t now_us);

/* Returns the tokens of reports from other VMs that it has not returned yet. */
size_t reports_take(reports_t *reports, uint32_t *tokens, size_t max);

#endif
