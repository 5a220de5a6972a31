#ifndef KF_TRAFFIC_THREAD_H
#define KF_TRAFFIC_THREAD_H

#include "kf/logger.h"
#include "kf/settings.h"
#include "kf/traffic.h"

/*
 * NAME
 *	traffic_thread - sockets and clock of one traffic core
 *
 * DESCRIPTION
 *	The thread owns its core.  Other threads hand it a view and read a
 *	copy of its state that it makes from time to time.
 */

typedef struct traffic_thread traffic_thread_t;

/* What other threads may read; a copy. */
typedef struct traffic_snapshot {
	uint32_t in_progress;
	bool fenced; /* a backup has fenced this incarnation */
	kf_flow_stats_t flows;
	uint32_t upstream_count;
	kf_traffic_upstream_t *upstreams; /* freed by the reader */
} traffic_snapshot_t;

traffic_thread_t *traffic_thread_new(const kf_settings_t *settings,
    kf_vm_id_t self, uint32_t shard, kf_logger_t *logger);
kf_status_t traffic_thread_start(traffic_thread_t *thread);

/* Ends and joins the thread. */
void traffic_thread_stop(traffic_thread_t *thread);
void traffic_thread_delete(traffic_thread_t *thread);

/* Lets the core end; returns true once it has handed over its records. */
bool traffic_thread_end(traffic_thread_t *thread);

void traffic_thread_set_view(traffic_thread_t *thread, kf_view_t *view);
kf_status_t traffic_thread_snapshot(
    traffic_thread_t *thread, traffic_snapshot_t *out);
/* Adds the counters of the core and of the thread itself to sum. */
void traffic_thread_sum(const traffic_thread_t *thread, kf_counters_t *sum);

#endif
