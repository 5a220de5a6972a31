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
 *	kf_admission - slots and class queues of the upstreams of one shard
 *
 * DESCRIPTION
 *	An offered request takes a slot of its upstream, waits in a queue, or
 *	is refused at once.  A request is in exactly one place: refused by
 *	the return value of kf_admission_offer, refused by on_refused,
 *	returned by kf_admission_next, or given back by
 *	kf_admission_remove_upstream.  All refusals mean "not run".
 *
 *	Slots go to the classes by start-time fair queueing, weighted by the
 *	reservations and charged with the expected slot time of the class;
 *	inside a class the earliest deadline goes first.
 *
 *	Queue memory is shared.  A class may exceed its reservation while
 *	memory is free.  When none is, a request that fits in the reservation
 *	of its class displaces requests of any class above its reservation;
 *	another request displaces only those of less urgent classes.
 *
 *	After kf_admission_release and kf_admission_set_upstream the caller
 *	calls kf_admission_next until it returns NULL.  Callbacks must not
 *	call back into the same kf_admission_t.  Time is monotonic; a smaller
 *	value than before counts as the latest one seen.  A deadline has
 *	passed when now_us has reached it.
 */

enum {
	/* Least memory charged for a queued request; bounds their number. */
	KF_ADMISSION_MIN_CHARGE_BYTES = 256,
	KF_ADMISSION_PAUSE_US = 1000000,
};

typedef enum kf_admit {
	KF_ADMIT_DISPATCH = 0, /* a slot is taken */
	KF_ADMIT_QUEUED,
	KF_ADMIT_OVERLOAD, /* no queue memory, or no such upstream */
	KF_ADMIT_DEADLINE, /* past, or the expected wait is too long */
} kf_admit_t;

/* A queued request will not run; reason is OVERLOAD or DEADLINE. */
typedef void kf_admission_refused_fn(
    void *ctx, void *request, kf_reason_t reason);
typedef void kf_admission_removed_fn(void *ctx, void *request);

typedef struct kf_admission_config {
	uint32_t max_upstreams;
	uint64_t queue_bytes; /* over all upstreams and classes */
	uint32_t reservation_percent[KF_CLASS_COUNT];
	uint32_t retry_percent; /* of first tries */
	uint64_t ingress_pps;	/* packets per second; 0: no limit */
	uint32_t ingress_percent[KF_CLASS_COUNT];
	kf_admission_refused_fn *on_refused;
	void *ctx; /* of on_refused */
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
	uint32_t limit; /* slots in use at most, lowered by shedding */
	uint32_t in_flight;
	uint32_t queued[KF_CLASS_COUNT];
	int64_t service_us[KF_CLASS_COUNT]; /* moving average; 0 unknown */
} kf_admission_load_t;

typedef struct kf_admission kf_admission_t;

/* Fills in the defaults; on_refused remains to be set. */
void kf_admission_config_init(kf_admission_config_t *config);

/* Returns NULL with a status message if config is invalid. */
kf_admission_t *kf_admission_new(const kf_admission_config_t *config);
/* Queued requests are dropped without a callback. */
void kf_admission_delete(kf_admission_t *adm);

/*
 * Adds an upstream or changes its slots.  With fewer slots than requests in
 * flight nothing is dispatched until enough of them are released.
 */
kf_status_t kf_admission_set_upstream(
    kf_admission_t *adm, int64_t now_us, uint32_t upstream, uint32_t slots);

/*
 * Gives back every queued request.  Requests in flight are still released;
 * if the upstream is set again they count against its slots.
 */
void kf_admission_remove_upstream(kf_admission_t *adm, uint32_t upstream,
    kf_admission_removed_fn *on_removed, void *ctx);

kf_admit_t kf_admission_offer(
    kf_admission_t *adm, int64_t now_us, const kf_admission_request_t *request);

/* Takes a slot for the next queued request, or returns NULL. */
void *kf_admission_next(kf_admission_t *adm, int64_t now_us, uint32_t upstream);

/*
 * Frees a slot.  service_us is the time the slot was held by a request of
 * the class, or -1 when that says nothing about the upstream's speed, as
 * for a shed or cancelled request.
 */
void kf_admission_release(kf_admission_t *adm, int64_t now_us,
    uint32_t upstream, kf_class_t cls, int64_t service_us);

/*
 * The upstream refused a request for overload: its limit falls.  Call before
 * the release of that request.  Served requests raise the limit again.
 */
void kf_admission_shed(kf_admission_t *adm, int64_t now_us, uint32_t upstream);

/* Refuses queued requests past their deadline.  Call at least every 1 s. */
void kf_admission_tick(kf_admission_t *adm, int64_t now_us);

kf_status_t kf_admission_load(
    const kf_admission_t *adm, uint32_t upstream, kf_admission_load_t *load);
uint64_t kf_admission_queued_bytes(const kf_admission_t *adm, kf_class_t cls);

/* Retry budget: a retry spends what earlier first tries have earned. */
void kf_admission_first_try(kf_admission_t *adm);
bool kf_admission_retry_allowed(kf_admission_t *adm);

/*
 * Ingress limit.  True if the packet may enter.  The share of a class is
 * always available to it; what a class leaves unused, any class may use.
 */
bool kf_admission_ingress(kf_admission_t *adm, int64_t now_us, kf_class_t cls);

#ifdef __cplusplus
}
#endif

#endif
