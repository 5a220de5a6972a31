#ifndef REPORT_H
#define REPORT_H

#include "fleet.h"
#include "table.h"

/*
 * NAME
 *	report - tables of the state of balancers
 *
 * DESCRIPTION
 *	There is one function for each section of "knapctl show".  Only the
 *	summary has a row for a server that did not answer.  With
 *	FORMAT_TABLE, refusals and counters that are zero are left out.
 */

void report_summary(const fleet_t *fleet, format_t format);
void report_upstreams(const fleet_t *fleet, format_t format);
void report_selectors(const fleet_t *fleet, format_t format);
void report_vms(const fleet_t *fleet, format_t format);
void report_refusals(const fleet_t *fleet, format_t format);
void report_flows(const fleet_t *fleet, format_t format);
void report_counters(const fleet_t *fleet, format_t format);

#endif
