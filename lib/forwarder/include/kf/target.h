#ifndef KF_TARGET_H
#define KF_TARGET_H

#include <stdbool.h>
#include <stdint.h>

#include "kf/addr.h"
#include "kf/dead_upstream.h"
#include "kf/cold_limit.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_target - load and health of one upstream, as this VM observes it
 *
 * DESCRIPTION
 *	Answers do not pass through the balancer, so health is inferred from the
 *	client's packets.  A flow that opens is a success of its upstream.  A
 *	SYN that stays unanswered until another upstream opens the flow, or
 *	until the client sends a copy of it, is a failure.
 *
 *	An upstream may accept flows and yet fail their requests.  A request
 *	counts as failed if its answer is acknowledged late or never, or is far
 *	shorter than usual.
 */

enum {
	KF_UPSTREAM_NAME_BYTES = 48,
	/* Consecutive unanswered SYNs that eject an upstream; a single one may
	 * be due to a lost datagram. */
	KF_TARGET_EJECT_FAILURES = 2,
	/* After a single failure the upstream is used only if no healthy one is
	 * left, for somewhat longer than the 200 ms after which a client sends
	 * its first copy. */
	KF_TARGET_DOUBTFUL_US = 300000,
	KF_TARGET_EJECT_MIN_US = 1000000,
	/* Longest time until an upstream that works again is tried. */
	KF_TARGET_EJECT_MAX_US = 8000000,
	/* How long an upstream is used whose entry is missing after a store
	 * outage; upstreams publish their entries again within about 2 s. */
	KF_TARGET_MISSING_GRACE_US = 2500000,
	/* How far the clocks of a VM and an upstream may differ. */
	KF_TARGET_CLOCK_ERROR_MS = 10000,
};

/* An upstream's published entry. */
typedef struct kf_upstream_info {
	uint64_t id;
	uint64_t entry; /* kf_name_key of the entry's key; several may have one
			 * id, see kf/upstream_entries.h */
	uint64_t seq;	/* counts what the upstream has said since its start */
	char name[KF_UPSTREAM_NAME_BYTES];
	char service_name[KF_UPSTREAM_NAME_BYTES];
	char zone_name[KF_UPSTREAM_NAME_BYTES];
	uint64_t service; /* kf_name_key of service_name */
	uint64_t zone;	  /* kf_name_key of zone_name */
	kf_addr_t address;
	uint32_t slots;
	int64_t born_ms;      /* start of the incarnation, UTC since 1970 */
	int64_t cold_left_us; /* remaining cold start */
	bool draining;
	bool warm;	  /* by its start, its cold start ended long ago */
	bool from_backup; /* the store was restored from a backup since */
} kf_upstream_info_t;

typedef enum kf_listing {
	KF_LISTED = 0,
	KF_LISTING_MISSING, /* not listed after a store outage; may come back */
	KF_LISTING_GONE,    /* kept for its open flows only */
	KF_LISTING_COUNT
} kf_listing_t;

typedef enum kf_health {
	KF_HEALTH_GOOD = 0,
	KF_HEALTH_PROBE, /* ejection has ended; gets a single flow as a test */
	KF_HEALTH_DOUBTFUL, /* a recent failure */
	KF_HEALTH_EJECTED,
	KF_HEALTH_COUNT
} kf_health_t;

typedef struct kf_target {
	kf_upstream_info_t info;
	uint32_t token;
	kf_listing_t listing;
	int64_t unlisted_us; /* time of its removal from the list */
	bool lapsed; /* unlisted by a store outage, not known to have left */
	int64_t cold_end_us; /* of the cold start, when it is slower */
	uint32_t opening;    /* SYNs of this VM without an outcome */
	uint32_t open;	     /* open flows of this VM */
	uint32_t busy;	     /* open flows of this VM that await an answer */
	uint32_t failures;   /* consecutive unanswered SYNs */
	uint32_t ejections;  /* consecutive; sets the length of the next */
	int64_t doubtful_until_us;
	int64_t ejected_until_us;
	double failed; /* failed requests in the zone, decaying */
	int64_t last_failed_us;
	uint32_t outlier_ejections; /* consecutive */
	int64_t outlier_until_us;   /* end of ejection for failed requests */
	kf_dead_upstream_t dead;
	bool token_conflict; /* another upstream owns its token */
	bool evacuated;	     /* its zone is; gets no new flows until the zone
			      * returns */
	bool last_resort;    /* it gets some all the same: the VM is isolated */
	/* Shared by all upstreams of the directory; NULL: no limit. */
	const kf_cold_view_t *cold_view;
	uint32_t
	    cold_allowance; /* openings of this VM in 1.1 s of cold start */
	kf_cold_window_t cold_window; /* openings of this VM while limited */
} kf_target_t;

/* Returns true if the upstream is known to have left.  An entry that lapsed in
 * an outage of the store says nothing about its upstream. */
bool kf_target_has_left(const kf_target_t *target);

/* Derives the token from an upstream's id; never KF_TOKEN_NONE. */
uint32_t kf_token_of(uint64_t upstream_id);

/*
 * Returns true if an upstream's start is so long ago that it is not cold,
 * whatever its entry says.  An entry may be older than the VM that reads it;
 * when all VMs start together, all upstreams would count as cold and their
 * flows would be refused.
 */
bool kf_upstream_is_warm(const kf_upstream_info_t *info, int64_t wall_ms);

/* Returns the slots of an upstream, fewer while it is cold. */
double kf_target_slots(const kf_target_t *target, int64_t now_us);

/* Returns true if the upstream may get new flows. */
bool kf_target_eligible(const kf_target_t *target, int64_t now_us);

/* Returns true if the upstream's openings are limited because it is cold.  One
 * used as the last resort may have turned cold unnoticed. */
bool kf_target_cold_limited(const kf_target_t *target, int64_t now_us);

/* Returns the openings that this VM may send to it now while it is limited. */
uint32_t kf_target_cold_left(const kf_target_t *target, int64_t now_us);

/* Returns true if it is limited and may get no opening of this VM now. */
bool kf_target_cold_refuses(const kf_target_t *target, int64_t now_us);

/* Counts a SYN that is sent to the upstream. */
void kf_target_add_opening(kf_target_t *target, int64_t now_us);

kf_health_t kf_target_health(const kf_target_t *target, int64_t now_us);

const char *kf_health_name(kf_health_t health);
const char *kf_listing_name(kf_listing_t listing);

/* Records an opened flow: clears the failures and the ejection for them. */
void kf_target_opened(kf_target_t *target);

/* Resets the health; called when the upstream has a new incarnation. */
void kf_target_reset(kf_target_t *target);

/* Records an unanswered SYN; returns true if it ejects the upstream. */
bool kf_target_unanswered(kf_target_t *target, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
