#ifndef KF_TRAFFIC_H
#define KF_TRAFFIC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/admission.h"
#include "kf/counters.h"
#include "kf/flow.h"
#include "kf/placement.h"
#include "kf/view.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_traffic - decisions about callers' datagrams, without I/O
 *
 * DESCRIPTION
 *	One instance serves one shard of one VM.  Events go in through the
 *	kf_traffic_on_ functions; actions come out through kf_traffic_ops_t,
 *	during the call.  Time and the random seed are passed in.  The
 *	instance has no threads, sockets or globals, so that the same code
 *	runs in the daemon, in tests and in benchmarks.
 */

/* Where a caller's datagram came from and where a reply goes. */
typedef struct kf_route {
	kf_addr_t caller;
	kf_addr_t service;
	kf_addr_t fabric; /* sender of the encapsulated datagram */
} kf_route_t;

typedef enum kf_event {
	KF_EVENT_PLACE = 0, /* a new flow got an upstream */
	KF_EVENT_MOVE,	    /* a flow got another upstream or owner */
	KF_EVENT_FORWARD,   /* sent to the owner or backup */
	KF_EVENT_DISPATCH,  /* sent to the upstream */
	KF_EVENT_RETRY,	    /* sent again */
	KF_EVENT_ANSWER,
	KF_EVENT_REFUSE,   /* answered as not run */
	KF_EVENT_UNKNOWN,  /* answered as may have run */
	KF_EVENT_DROP,	   /* nothing sent */
	KF_EVENT_REPLAY,   /* stored outcome sent again */
	KF_EVENT_TAKEOVER, /* served as backup of a dead owner */
	KF_EVENT_EJECT,
	KF_EVENT_RESTORE,
	KF_EVENT_PATH_REPLACED,
	KF_EVENT_COUNT
} kf_event_t;

/* One routing or placement decision; pointers are valid during the call. */
typedef struct kf_decision {
	kf_event_t event;
	kf_reason_t reason;
	const char *service;  /* or NULL */
	const char *selector; /* or NULL */
	const char *upstream; /* or NULL */
	const char *vm;	      /* receiver of a forwarded request, or NULL */
	kf_addr_t caller;
	uint64_t flow;
	uint32_t xid;
	uint32_t proc;
	uint32_t revision;
} kf_decision_t;

typedef struct kf_traffic_ops {
	void *ctx;
	void (*send_caller)(void *ctx, const kf_route_t *route,
	    const uint8_t *data, size_t len);
	void (*send_peer)(
	    void *ctx, kf_addr_t to, const uint8_t *data, size_t len);
	/* Each (upstream, path) pair has a source port of its own. */
	void (*send_upstream)(void *ctx, uint32_t upstream, kf_addr_t to,
	    uint32_t path, const uint8_t *data, size_t len);
	/* Closes the path; the next datagram on it uses a new source port. */
	void (*reset_path)(void *ctx, uint32_t upstream, uint32_t path);
	void (*decision)(void *ctx, const kf_decision_t *decision);
} kf_traffic_ops_t;

typedef struct kf_traffic_config {
	kf_vm_id_t self;
	uint32_t zone;
	uint32_t shard;
	uint64_t seed;
	kf_policy_t policy;
	uint32_t paths; /* per upstream */
	int64_t token_lifetime_s;
	kf_flow_limits_t flow_limits;
	kf_admission_config_t admission; /* callbacks are set inside */
	kf_traffic_ops_t ops;
} kf_traffic_config_t;

/* State of one upstream as this shard sees it. */
typedef struct kf_traffic_upstream {
	uint32_t id;
	bool owned;
	kf_view_digest_t digest;
	kf_admission_load_t load;
} kf_traffic_upstream_t;

typedef void kf_traffic_upstream_fn(
    void *ctx, const kf_traffic_upstream_t *upstream);

typedef struct kf_traffic kf_traffic_t;

/* Age of a request after which no copy of it can still arrive. */
enum { KF_RETRANSMIT_HORIZON_S = 120 };

kf_traffic_t *kf_traffic_new(const kf_traffic_config_t *config);
void kf_traffic_delete(kf_traffic_t *t);

void kf_traffic_on_view(kf_traffic_t *t, kf_time_t now, kf_view_t *view);
void kf_traffic_on_caller(kf_traffic_t *t, kf_time_t now,
    const kf_route_t *route, const uint8_t *data, size_t len);
void kf_traffic_on_peer(kf_traffic_t *t, kf_time_t now, kf_addr_t from,
    const uint8_t *data, size_t len);
void kf_traffic_on_upstream(kf_traffic_t *t, kf_time_t now, uint32_t upstream,
    uint32_t path, const uint8_t *data, size_t len);
/* Reports that the upstream's port is unreachable on this path. */
void kf_traffic_on_upstream_error(
    kf_traffic_t *t, kf_time_t now, uint32_t upstream, uint32_t path);
/* Runs timers; call at least every KF_TRAFFIC_TICK_MS. */
void kf_traffic_on_tick(kf_traffic_t *t, kf_time_t now);

enum { KF_TRAFFIC_TICK_MS = 10 };

/*
 * Reports that the process was paused.  Datagrams that arrived during the pause
 * must have been discarded before the call.
 */
void kf_traffic_on_pause(kf_traffic_t *t, kf_time_t now);

/*
 * Returns true if a backup has fenced this incarnation.  Requests for which
 * that VM is the backup are then forwarded to it, so the process should restart
 * as a new incarnation.
 */
bool kf_traffic_fenced(const kf_traffic_t *t);

/*
 * Begins the shutdown of this incarnation.  New requests are dropped.  When the
 * requests in progress have ended, the records of recent requests are sent to
 * other VMs, so that flows survive the shutdown of both their owner and their
 * backup.
 */
void kf_traffic_on_shutdown(kf_traffic_t *t, kf_time_t now);

/*
 * Returns true if the handover of records has finished or reached its time
 * limit.
 */
bool kf_traffic_shutdown_complete(const kf_traffic_t *t);

/* Number of requests that have not ended; at 0 a leaving VM may stop. */
uint32_t kf_traffic_in_progress(const kf_traffic_t *t);

/* Calls fn for each upstream this shard serves. */
void kf_traffic_each_upstream(
    kf_traffic_t *t, kf_time_t now, kf_traffic_upstream_fn *fn, void *ctx);

const kf_counters_t *kf_traffic_counters(const kf_traffic_t *t);
kf_flow_stats_t kf_traffic_flow_stats(const kf_traffic_t *t);

const char *kf_event_name(kf_event_t event);

#ifdef __cplusplus
}
#endif

#endif
