#ifndef KF_BENCH_FAKE_UPSTREAM_H
#define KF_BENCH_FAKE_UPSTREAM_H

#include "kf/bench_schedule.h"
#include "kf/random.h"

/*
 * NAME
 *	kf_fake - simulated upstream with slots and service times
 *
 * DESCRIPTION
 *	Implements the protocol of an upstream that reports its load.  When
 *	all slots are in use, requests wait in a FIFO queue.  The first 8
 *	bytes of the arguments are the request number; the reply returns it.
 */

enum { KF_FAKE_SLOTS_MAX = 64 };

typedef struct kf_fake kf_fake_t;

typedef struct kf_fake_ops {
	void *ctx;
	int64_t (*service_us)(
	    void *ctx, uint32_t upstream, uint32_t prog, uint32_t proc);
	/* Called when a request starts to run; may be NULL. */
	void (*on_run)(void *ctx, uint32_t upstream, uint64_t number);
	void (*reply)(void *ctx, uint32_t upstream, uint32_t vm, uint32_t path,
	    const uint8_t *data, size_t len);
} kf_fake_ops_t;

typedef struct kf_fake_load {
	uint32_t in_flight;
	uint32_t queued;
	uint64_t ran;
} kf_fake_load_t;

kf_fake_t *kf_fake_new(uint32_t upstream, uint32_t slots,
    kf_schedule_t *schedule, const kf_fake_ops_t *ops);
void kf_fake_delete(kf_fake_t *fake);
void kf_fake_on_datagram(kf_fake_t *fake, uint32_t vm, uint32_t path,
    const uint8_t *data, size_t len);
kf_fake_load_t kf_fake_load(const kf_fake_t *fake);

#endif
