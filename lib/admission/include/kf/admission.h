#ifndef KF_ADMISSION_H
#define KF_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/declaration.h"
#include "kf/status.h"
#include "kf/verdict.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_admission - admission control for the upstreams of one shard
 *
 * DESCRIPTION
 *	Each upstream has a number of slots, the requests it may serve at the
 *	same time, and one queue for each request class.  An offered request
 *	takes a slot, waits in the queue of its class, or is refused.  Its
 *	outcome is reported exactly once: kf_admission_offer dispatches or
 *	refuses it at once, or it is queued and later returned by
 *	kf_admission_dispatch_next, passed to on_refused, or passed to the
 *	callback of kf_admission_remove_upstream.  A refused request has not
 *	run.
 *
 *	Slots are divided among the classes by start-time fair queueing.  The
 *	weight of a class is its reservation, and each dispatch is charged the
 *	expected slot time of the class.  Within a class the request with the
 *	earliest deadline is dispatched first.
 *
 *	Queue memory is shared by all upstreams and classes.  A class may use
 *	more than its reservation while memory is free.  When memory runs out,
 *	a request that fits into the reservation of its class displaces queued
 *	requests of any class that exceeds its own reservation.  A request
 *	beyond the reservation displaces only requests of less urgent classes
 *	that exceed theirs.
 *
 *	After kf_admission_release and kf_admission_set_upstream the caller
 *	must call kf_admission_dispatch_next until it returns NULL.  Callbacks
 *	must not call functions of the same kf_admission_t.  now_us is
 *	monotonic time; if it is less than in an earlier call, the latest
 *	earlier value is used.  A deadline has passed when now_us is equal to
 *	it or greater.
 */

enum {
	/* Minimum charge for a queued request; limits the queue length. */
	KF_ADMISSION_MIN_CHARGE_BYTES = 256,
	/* A longer time between two calls is a pause of this process. */
	KF_ADMISSION_PAUSE_US = 1000000,
};

typedef enum kf_admit_result {
	KF_ADMIT_DISPATCHED = 0, /* has taken a slot */
	KF_ADMIT_QUEUED,
	KF_ADMIT_REFUSED_OVERLOAD, /* no queue memory, or no such upstream */
	KF_ADMIT_REFUSED_DEADLINE, /* passed, or expected to pass */
} kf_admit_result_t;

/*
 * Called when a queued request is refused.  reason is KF_REASON_OVERLOAD or
 * KF_REASON_DEADLINE.
 */
typedef void kf_admission_refused_fn(
    void *ctx, void *request, kf_reason_t reason);
/* Called for each request queued for an upstream that is removed. */
typedef void kf_admission_removed_fn(void *ctx, void *request);

typedef struct kf_admission_config {
	uint32_t max_upstreams;
	uint64_t queue_bytes; /* for all upstreams and classes */
	uint32_t reservation_percent[KF_CLASS_COUNT];
	uint32_t retry_percent; /* retries, in percent of first tries */
	uint64_t ingress_pps;	/* packets per second; 0: no limit */
	uint32_t ingress_percent[KF_CLASS_COUNT];
	kf_admission_refused_fn *on_refused;
	void *ctx; /* passed to on_refused */
} kf_admission_config_t;

typedef struct kf_admission_request {
	uint32_t upstream;
	kf_class_t cls;
	int64_t deadline_us;
	uint32_t bytes;
	void *request;
} kf_admission_request_t;

typedef struct kf_admission_load {
	uint32_t slots;
	uint32_t limit; /* of slots in use; lowered by shedding */
	uint32_t in_flight;
	uint32_t queued[KF_CLASS_COUNT];
	int64_t service_us[KF_CLASS_COUNT]; /* moving average; 0: unknown */
} kf_admission_load_t;

typedef struct kf_admission kf_admission_t;

/* Sets the defaults; the caller must then set on_refused. */
void kf_admission_config_init(kf_admission_config_t *config);

/* Returns NULL with a status message if config is invalid. */
kf_admission_t *kf_admission_new(const kf_admission_config_t *config);
/* Discards queued requests without a callback. */
void kf_admission_delete(kf_admission_t *adm);

/*
 * Adds an upstream or changes its number of slots.  If more requests are in
 * flight than the new number, none is dispatched until enough are released.
 */
kf_status_t kf_admission_set_upstream(
    kf_admission_t *adm, int64_t now_us, uint32_t upstream, uint32_t slots);

/*
 * Removes an upstream and passes its queued requests to on_removed.  Requests
 * in flight must still be released.  If the upstream is added again before
 * that, they count against its slots.
 */
void kf_admission_remove_upstream(kf_admission_t *adm, uint32_t upstream,
    kf_admission_removed_fn *on_removed, void *ctx);

/* Dispatches, queues or refuses a request. */
kf_admit_result_t kf_admission_offer(
    kf_admission_t *adm, int64_t now_us, const kf_admission_request_t *request);

/*
 * Removes the next request from the queues, takes a slot for it and returns
 * it.  Returns NULL if no request is queued or no slot is free.
 */
void *kf_admission_dispatch_next(
    kf_admission_t *adm, int64_t now_us, uint32_t upstream);

/*
 * Frees the slot of a request of class cls.  service_us is the time for which
 * the request held the slot, or -1 if that time does not show how fast the
 * upstream serves, as for a shed or cancelled request.
 */
void kf_admission_release(kf_admission_t *adm, int64_t now_us,
    uint32_t upstream, kf_class_t cls, int64_t service_us);

/*
 * Lowers the limit of slots in use because the upstream refused a request for
 * overload.  Call it before that request is released.  Served requests raise
 * the limit again.
 */
void kf_admission_on_upstream_shed(
    kf_admission_t *adm, int64_t now_us, uint32_t upstream);

/*
 * Refuses queued requests whose deadline has passed.  Call it at least once a
 * second: a longer gap counts as a pause of this process.
 */
void kf_admission_tick(kf_admission_t *adm, int64_t now_us);

/* Returns KF_ERR_NOT_FOUND if the upstream has not been added. */
kf_status_t kf_admission_load(
    const kf_admission_t *adm, uint32_t upstream, kf_admission_load_t *load);
uint64_t kf_admission_queued_bytes(const kf_admission_t *adm, kf_class_t cls);

/*
 * Retry budget.  Each first try adds retry_percent of one retry to the budget;
 * kf_admission_take_retry returns true and subtracts one retry if the budget
 * holds one.
 */
void kf_admission_on_first_try(kf_admission_t *adm);
bool kf_admission_take_retry(kf_admission_t *adm);

/*
 * Ingress rate limit.  Returns true if a packet of the class may be accepted,
 * and counts it.  Each class can always use its own share of the rate; any
 * class may also use what the others leave unused.
 */
bool kf_admission_take_ingress(
    kf_admission_t *adm, int64_t now_us, kf_class_t cls);

#ifdef __cplusplus
}
#endif

#endif
