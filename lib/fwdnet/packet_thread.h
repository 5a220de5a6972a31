#ifndef KF_PACKET_THREAD_H
#define KF_PACKET_THREAD_H

#include <apr_thread_mutex.h>

#include "kf/forwarder.h"

#include "forward_log.h"

/*
 * NAME
 *	packet_thread - thread that forwards packets
 *
 * DESCRIPTION
 *	Owns the forwarder.  Other threads access it between lock and unlock
 *	and must hold the lock only briefly, because no packets are forwarded
 *	meanwhile.
 */

typedef struct packet_thread packet_thread_t;

packet_thread_t *packet_thread_new(kf_addr_t address, uint64_t zone,
    forward_log_t *forward_log, apr_pool_t *pool);
kf_status_t packet_thread_start(packet_thread_t *thread);
/* Drops the packets queued in the socket; only before the thread starts. */
void packet_thread_discard(packet_thread_t *thread);
/* Stops and joins the thread. */
void packet_thread_stop(packet_thread_t *thread);
/* Makes the thread run the timers of the forwarder now. */
void packet_thread_wake(packet_thread_t *thread);
void packet_thread_delete(packet_thread_t *thread);

kf_forwarder_t *packet_thread_lock(packet_thread_t *thread);
void packet_thread_unlock(packet_thread_t *thread);

typedef struct packet_thread_stats {
	kf_forwarder_stats_t forwarder;
	uint64_t malformed;
	uint64_t unsent;
	int64_t patience_us;
	size_t zones_evacuated;
} packet_thread_stats_t;

void packet_thread_stats(packet_thread_t *thread, packet_thread_stats_t *stats);

#endif
