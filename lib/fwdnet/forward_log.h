#ifndef KF_FORWARD_LOG_H
#define KF_FORWARD_LOG_H

#include "kf/eventlog.h"
#include "kf/forwarder.h"
#include "kf/replica.h"

#include "histogram.h"
#include "line_limit.h"

/*
 * NAME
 *	forward_log - logs the decisions of the packet path
 *
 * DESCRIPTION
 *	Flows that open without a retransmission or a second try are sampled by
 *	their hash, so that all VMs log the same flows; so are openings that a
 *	cold upstream does not get for lack of allowance.  All other decisions
 *	are logged.  The number of lines per second is limited; lines that are
 *	left out are counted and reported.
 */

typedef struct forward_log {
	kf_eventlog_t *log;
	line_limit_t limit;
	uint32_t sample;
	/* State of the replica, logged per flow; set by the control thread. */
	kf_store_position_t position;
	int64_t contact_us; /* latest known contact of any VM with the store */
	histogram_t opening;
} forward_log_t;

/*
 * Logs at most limit_per_s lines per second, and one in sample of the flows
 * that open without trouble.
 */
void forward_log_init(forward_log_t *forward_log, kf_eventlog_t *log,
    uint32_t limit_per_s, uint32_t sample);

/* Logs a decision; a kf_forwarder callback, ctx is the forward_log_t. */
void forward_log_record(void *ctx, const kf_forward_record_t *record);

void forward_log_set_replica_state(forward_log_t *forward_log,
    kf_store_position_t position, int64_t contact_us);

#endif
