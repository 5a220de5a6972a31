#ifndef KF_BENCH_FIFO_H
#define KF_BENCH_FIFO_H

#include <stdbool.h>

#include "kf/bench_schedule.h"

/*
 * NAME
 *	kf_fifo - upstreams behind one queue each, in arrival order
 *
 * DESCRIPTION
 *	Baseline without classes, reservations or deadlines: requests go to
 *	the upstreams of a group in turn.  Work is done even if nobody waits
 *	for it any more.
 */

typedef struct kf_fifo_config {
	kf_schedule_t *schedule;
	uint32_t upstreams;
	uint32_t slots;
	uint32_t limit; /* waiting requests of an upstream; 0: no limit */
	int64_t link_us;
	void *ctx;
	int64_t (*service_us)(void *ctx, uint64_t number);
	/* The caller's answer; refused without running if ran is false. */
	void (*on_end)(void *ctx, uint64_t number, bool ran);
} kf_fifo_config_t;

typedef struct kf_fifo kf_fifo_t;

kf_fifo_t *kf_fifo_new(const kf_fifo_config_t *config);
void kf_fifo_delete(kf_fifo_t *fifo);
void kf_fifo_offer(kf_fifo_t *fifo, uint64_t number);

#endif
