#ifndef KF_REPORTS_H
#define KF_REPORTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peering_msg.h"

/*
 * NAME
 *	reports - late requests that the VMs of a zone tell each other
 *
 * DESCRIPTION
 *	In a large fleet a VM sees each upstream once in seconds only, so that
 *	evidence against one is enough in the zone as a whole.  A report is
 *	told a few times by each VM that has heard of it, so that it reaches
 *	nearly all of them, and counts once at each.
 */

enum {
	/* Reports older than this change nothing any more. */
	REPORT_LIFE_US = 3000000,
	/* Beacons of one VM that tell of a report. */
	REPORT_TELLS = 4,
	/* All of a zone of 35 VMs in that time, at the most each may add. */
	MAX_REPORTS = 1024,
	MAX_OWN_PER_S = 8,
};

typedef struct report {
	uint32_t token;
	uint32_t origin;
	uint32_t number;
	int64_t seen_us;
	uint32_t tells; /* left */
	bool taken;
} report_t;

typedef struct reports {
	report_t list[MAX_REPORTS]; /* a ring */
	size_t next;
	uint32_t number; /* of this VM's last report */
	int64_t second_us;
	uint32_t own; /* since second_us */
} reports_t;

void reports_add_own(
    reports_t *reports, uint32_t ip, uint32_t token, int64_t now_us);
/* Returns true if the report is new. */
bool reports_hear(
    reports_t *reports, const peering_report *said, int64_t now_us);

/* Fills in reports to tell, those told least first; returns their number. */
size_t reports_tell(reports_t *reports,
    peering_report said[PEERING_MAX_REPORTS], int64_t now_us);

/* Takes the tokens of reports heard from other VMs since the last call. */
size_t reports_take(reports_t *reports, uint32_t *tokens, size_t max);

#endif
