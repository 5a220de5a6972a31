#ifndef KF_ISOLATION_H
#define KF_ISOLATION_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_isolation - whether a VM reaches neither the store nor other zones
 *
 * DESCRIPTION
 *	Load pattern: a zone is cut off while it is evacuated.  Its VMs reach no
 *	upstream that may get new flows, and cannot learn that the zone was
 *taken back.  Then the upstreams of their own zone are the last resort.
 *
 *	A VM is isolated if no VM that it hears has been in contact with the
 *	store for KF_ISOLATION_CONTACT_US, no upstream of another zone has given
 *	a sign of life for KF_ISOLATION_SILENCE_US, and
 *	KF_ISOLATION_MIN_UNANSWERED openings there were unanswered meanwhile.
 *	Contact with the store or a sign of life ends it.
 *
 *	A zeroed state is valid.  No I/O.
 */

enum {
	/* The calls to the store are repeated within this time. */
	KF_ISOLATION_CONTACT_US = 2500000,
	KF_ISOLATION_SILENCE_US = 1000000,
	/* Two openings are lost by chance or because one upstream is dead. */
	KF_ISOLATION_MIN_UNANSWERED = 3,
};

typedef struct kf_isolation {
	int64_t heard_us;    /* last sign of life of another zone */
	uint32_t unanswered; /* openings there since then */
} kf_isolation_t;

/* Records a sign of life of an upstream of another zone. */
void kf_isolation_heard(kf_isolation_t *isolation, int64_t now_us);

/* Records an unanswered opening at an upstream of another zone. */
void kf_isolation_unanswered(kf_isolation_t *isolation);

/* Returns true if the VM is isolated.  contact_us is the time of the last
 * contact with the store, INT64_MIN if there was none. */
bool kf_isolation_is_isolated(
    const kf_isolation_t *isolation, int64_t contact_us, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
