#ifndef KF_FORWARD_LOG_H
#define KF_FORWARD_LOG_H

#include "kf/eventlog.h"
#include "kf/forwarder.h"
#include "kf/replica.h"

#include "histogram.h"

/*
 * NAME
 *	forward_log - the decisions of the packet path as log lines
 *
 * DESCRIPTION
 *	A flow that opens without trouble is logged if its hash says so, on
 *	every VM the same flows; whatever goes wrong, up to a number of lines a
 *	second.  Lines that are left out are counted.
 */

typedef struct forward_log {
	kf_eventlog_t *log;
	uint32_t limit_per_s;
	uint32_t sample;
	int64_t second;
	uint32_t written;
	uint64_t suppressed;
	/* Beliefs that decisions rest on; set by the control thread. */
	uint64_t revision;
	int64_t contact_us; /* latest contact with the store known of */
	histogram_t opening;
} forward_log_t;

/* One ordinary flow in sample is logged, at most limit_per_s lines. */
void forward_log_init(forward_log_t *forward_log, kf_eventlog_t *log,
    uint32_t limit_per_s, uint32_t sample);

/* A kf_forwarder record callback; ctx is the forward_log_t. */
void forward_log_record(void *ctx, const kf_forward_record_t *record);

void forward_log_set_beliefs(
    forward_log_t *forward_log, uint64_t revision, int64_t contact_us);

#endif
