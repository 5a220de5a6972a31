#ifndef KF_BENCH_SCHEDULE_H
#define KF_BENCH_SCHEDULE_H

#include <stddef.h>
#include <stdint.h>

#include "kf/addr.h"
#include "kf/traffic.h"

/*
 * NAME
 *	kf_schedule - event queue of the simulations, in virtual time
 *
 * DESCRIPTION
 *	Events with the same time run in the order in which they were added.
 *	The queue uses only at_us, order, fn, ctx, data and len; the meaning
 *	of the other members is up to fn.
 */

typedef struct kf_sim_event kf_sim_event_t;
typedef void kf_sim_event_fn(void *ctx, const kf_sim_event_t *ev);

struct kf_sim_event {
	int64_t at_us;
	uint64_t order; /* set by kf_schedule_add */
	kf_sim_event_fn *fn;
	void *ctx;
	uint32_t vm;
	uint32_t upstream;
	uint32_t path;
	uint64_t number;
	kf_addr_t from;
	kf_route_t route;
	uint8_t *data; /* copied by kf_schedule_add */
	size_t len;
};

typedef struct kf_schedule kf_schedule_t;

kf_schedule_t *kf_schedule_new(int64_t start_us, int64_t wall_ms);
void kf_schedule_delete(kf_schedule_t *s);
void kf_schedule_add(kf_schedule_t *s, const kf_sim_event_t *ev);
/* Runs the events up to and including until_us. */
void kf_schedule_run(kf_schedule_t *s, int64_t until_us);
kf_time_t kf_schedule_now(const kf_schedule_t *s);

#endif
