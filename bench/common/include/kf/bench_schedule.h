#ifndef KF_BENCH_SCHEDULE_H
#define KF_BENCH_SCHEDULE_H

#include <stddef.h>
#include <stdint.h>

#include "kf/addr.h"
#include "kf/traffic.h"

/*
 * NAME
 *	kf_schedule - events in virtual time
 *
 * DESCRIPTION
 *	Events at the same time run in the order in which they were added.
 */

typedef struct kf_happening kf_happening_t;
typedef void kf_happening_fn(void *ctx, const kf_happening_t *h);

struct kf_happening {
	int64_t at_us;
	uint64_t order; /* set by kf_schedule_add */
	kf_happening_fn *fn;
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
void kf_schedule_add(kf_schedule_t *s, const kf_happening_t *h);
/* Runs what is due up to and including until_us. */
void kf_schedule_run(kf_schedule_t *s, int64_t until_us);
kf_time_t kf_schedule_now(const kf_schedule_t *s);

#endif
