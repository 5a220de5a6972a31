#ifndef KF_TRAFFIC_THREAD_H
#define KF_TRAFFIC_THREAD_H

#include "kf/logger.h"
#include "kf/settings.h"
#include "kf/traffic.h"

/*
 * NAME
 *	traffic_thread - event loop of one traffic core
 *
 * DESCRIPTION
 *	Owns a traffic core, its sockets and its clock.  Other threads pass it
 *	views and read a copy of its state, which it updates periodically.
 */

typedef struct traffic_thread traffic_thread_t;

/* Copy of the state of a traffic thread for other threads. */
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

/* Stops and joins the thread. */
void traffic_thread_stop(traffic_thread_t *thread);
void traffic_thread_delete(traffic_thread_t *thread);

/*
 * Tells the core to hand over its flow records; returns true once it has done
 * so or has given up.  May be called repeatedly.
 */
bool traffic_thread_hand_over(traffic_thread_t *thread);

/* Passes a view to the thread, which takes its own reference. */
void traffic_thread_set_view(traffic_thread_t *thread, kf_view_t *view);
/* Copies the last snapshot. */
kf_status_t traffic_thread_snapshot(
    traffic_thread_t *thread, traffic_snapshot_t *out);
/* Adds the counters of the core and of the thread itself to totals. */
void traffic_thread_add_counters(
    const traffic_thread_t *thread, kf_counters_t *totals);

#endif
