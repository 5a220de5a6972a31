#ifndef KF_COLD_LIMIT_H
#define KF_COLD_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_cold_limit - rate limit for upstreams in their cold start
 *
 * DESCRIPTION
 *	Handles the load pattern in which upstreams have just started and serve
 *	few requests a second: the openings that all VMs send to one of them
 *	in any second stay below a limit, without messages of their own.
 *
 *	Half of the limit is divided among a few owners, VMs of the upstream's
 *	zone that every VM derives from the members it knows.  The other half
 *	covers VMs that know different members and packets that links deliver
 *	in bunches.  A VM that may not know the members is no owner.
 *
 *	Times are those of a monotonic clock that counts suspension.
 */

enum {
	/* Length of one count, and the number of counts in a window.  Twelve
	 * counts cover every span of 1.1 s: the second of the limit, and 0.1 s
	 * by which links may delay an earlier opening. */
	KF_COLD_COUNT_US = 100000,
	KF_COLD_COUNTS = 12,
	/* A VM that has heard from no VM of its zone for this time may know
	 * the wrong members. */
	KF_COLD_HEARD_US = 2000000,
	/* A process that starts does not know what it has opened before, and
	 * has yet to learn the members. */
	KF_COLD_START_US = 2000000,
	/* The view is updated every 200 ms, with up to 100 ms of delay.  A
	 * longer gap counts as a suspension of the VM. */
	KF_COLD_VIEW_US = 500000,
	/* How long a zone counts as being as large as it was.  While VMs of a
	 * part that was cut off forget the others one by one, each knows a
	 * different number of them; with fewer VMs each would open more. */
	KF_COLD_SHRINK_US = 10000000,
};

/* Limit of the deployment. */
typedef struct kf_cold_bounds {
	double excess; /* factor of an upstream's rate; 0: no limit */
	double slack;  /* openings a second in addition */
} kf_cold_bounds_t;

/* Openings of this VM to one upstream. */
typedef struct kf_cold_window {
	int64_t latest; /* number of the latest count since time 0 */
	uint32_t counts[KF_COLD_COUNTS];
} kf_cold_window_t;

/* What this VM knows of the other VMs of its zone. */
typedef struct kf_cold_view {
	kf_cold_bounds_t bounds;
	bool started;
	bool alone;	    /* no other VM exists */
	int64_t started_us; /* or the end of a long suspension */
	int64_t resumed_us; /* end of the latest suspension, or the start */
	int64_t updated_us;
	int64_t heard_us;    /* latest time known of a VM; INT64_MIN: none */
	uint32_t vm_count;   /* the most in the last KF_COLD_SHRINK_US */
	int64_t vm_count_us; /* when as many VMs were known last */
} kf_cold_view_t;

/* Openings that one owner may send in every 1.1 s, and the number of owners. */
typedef struct kf_cold_share {
	uint32_t owners;
	uint32_t openings;
} kf_cold_share_t;

/* Divides half of the limit of an upstream that serves per_s requests a second
 * among vm_count VMs. */
kf_cold_share_t kf_cold_share(
    const kf_cold_bounds_t *bounds, double per_s, uint32_t vm_count);

/* Returns the openings that the VM with this rank may send in every 1.1 s. */
uint32_t kf_cold_allowance(kf_cold_share_t share, uint32_t rank);

/* Returns the openings of the window that a VM may still send. */
uint32_t kf_cold_window_left(
    const kf_cold_window_t *window, uint32_t allowance, int64_t now_us);
void kf_cold_window_add(kf_cold_window_t *window, int64_t now_us);

/* State of the VM, as its control thread knows it. */
typedef struct kf_cold_report {
	kf_cold_bounds_t bounds;
	bool alone;
	int64_t heard_us;  /* INT64_MIN: no VM of the zone has been heard */
	uint32_t vm_count; /* of the zone, this one included */
} kf_cold_report_t;

void kf_cold_view_update(
    kf_cold_view_t *view, const kf_cold_report_t *report, int64_t now_us);

/* Returns true if the VM may rely on the members that it knows. */
bool kf_cold_view_is_certain(const kf_cold_view_t *view, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
