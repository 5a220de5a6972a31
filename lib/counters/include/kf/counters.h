#ifndef KF_COUNTERS_H
#define KF_COUNTERS_H

#include <stddef.h>
#include <stdint.h>

#include "kf/verdict.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_counters - event counters of one thread
 *
 * DESCRIPTION
 *	Each thread increments its own set, and any thread may read it.  The
 *	sets of several threads are summed before they are rendered.
 */

typedef enum kf_counter {
	KF_COUNT_CALLER_PACKETS = 0,
	KF_COUNT_PEER_PACKETS,
	KF_COUNT_UPSTREAM_PACKETS,
	KF_COUNT_REQUESTS,
	KF_COUNT_ANSWERED,
	KF_COUNT_REFUSED,
	KF_COUNT_MAY_HAVE_RUN,
	KF_COUNT_DROPPED,
	KF_COUNT_FLOWS_PLACED,
	KF_COUNT_FLOWS_MOVED,
	KF_COUNT_FORWARDED,
	KF_COUNT_DISPATCHED,
	KF_COUNT_RETRIED,
	KF_COUNT_REPLAYED,
	KF_COUNT_TAKEOVERS,
	KF_COUNT_INTENTS_SENT,
	KF_COUNT_INTENTS_REFUSED,
	KF_COUNT_PATHS_REPLACED,
	KF_COUNT_EJECTIONS,
	KF_COUNT_PEER_REJECTED,
	KF_COUNT_LOG_SUPPRESSED,
	KF_COUNT_CONTROL_BYTES_SENT,
	KF_COUNT_CONTROL_BYTES_RECEIVED,
	KF_COUNT_PLATFORM_READS,
	KF_COUNT_CONFIG_ACCEPTED,
	KF_COUNT_CONFIG_REFUSED,
	KF_COUNTER_COUNT
} kf_counter_t;

typedef struct kf_counters {
	uint64_t values[KF_COUNTER_COUNT];
	uint64_t by_reason[KF_REASON_COUNT]; /* refusals and drops */
} kf_counters_t;

void kf_counters_add(kf_counters_t *counters, kf_counter_t id, uint64_t n);
/* Adds 1 to the counter of a reason. */
void kf_counters_add_reason(kf_counters_t *counters, kf_reason_t reason);
uint64_t kf_counters_get(const kf_counters_t *counters, kf_counter_t id);

/* Returns the name without prefix and suffix, e.g. "answered". */
const char *kf_counter_name(kf_counter_t id);

/* Adds the values of from to sum. */
void kf_counters_sum(kf_counters_t *sum, const kf_counters_t *from);

/*
 * Writes the counters in the Prometheus text exposition format.  Returns the
 * length of the whole text; buf gets as much of it as fits cap bytes with the
 * terminating NUL.
 */
size_t kf_counters_render(const kf_counters_t *counters, char *buf, size_t cap);

#ifdef __cplusplus
}
#endif

#endif
