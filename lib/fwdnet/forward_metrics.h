#ifndef KF_FORWARD_METRICS_H
#define KF_FORWARD_METRICS_H

#include "packet_thread.h"
#include "store_sync.h"

/*
 * NAME
 *	forward_metrics - metrics of the process in the Prometheus text format
 */

typedef struct forward_metrics {
	packet_thread_stats_t packets;
	store_sync_stats_t sync;
	const histogram_t *opening;
	kf_store_position_t position; /* of the data */
	uint64_t config_version;
	size_t config_parts_refused;
	uint64_t items_refused;
	size_t entries_hidden;
	uint64_t entry_conflicts;
	uint64_t log_dropped;
	int64_t contact_age_ms; /* -1: no contact yet */
	uint32_t vm_count;
	uint64_t late_beacons;
	bool ready;
} forward_metrics_t;

/* Returns the text, to be freed by the caller; NULL if out of memory. */
char *forward_metrics_render(const forward_metrics_t *metrics, size_t *len);

#endif
