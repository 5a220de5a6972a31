#ifndef KF_BENCH_FIFO_H
#define KF_BENCH_FIFO_H

#include <stdbool.h>

#include "kf/bench_schedule.h"

/*
 * NAME
 *	kf_fifo - baseline with one FIFO queue per upstream
 *
 * DESCRIPTION
 *	Distributes requests round robin over the upstreams.  There are no
 *	classes, reservations or deadlines: a request runs even if its caller
 *	has given up.
 */

typedef struct kf_fifo_config {
	kf_schedule_t *schedule;
	uint32_t upstreams;
	uint32_t slots;
	uint32_t limit; /* queue length of an upstream; 0: no limit */
	int64_t link_us;
	void *ctx;
	int64_t (*service_us)(void *ctx, uint64_t number);
	/* The caller gets a reply; ran is false if it is a refusal. */
	void (*on_end)(void *ctx, uint64_t number, bool ran);
} kf_fifo_config_t;

typedef struct kf_fifo kf_fifo_t;

kf_fifo_t *kf_fifo_new(const kf_fifo_config_t *config);
void kf_fifo_delete(kf_fifo_t *fifo);
void kf_fifo_offer(kf_fifo_t *fifo, uint64_t number);

#endif
