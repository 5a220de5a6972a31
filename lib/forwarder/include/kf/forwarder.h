#ifndef KF_FORWARDER_H
#define KF_FORWARDER_H

#include "kf/choice.h"
#include "kf/directory.h"
#include "kf/packet.h"
#include "kf/route_table.h"
#include "kf/service_demand.h"
#include "kf/unknown_tokens.h"
#include "kf/verdict.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_forwarder - packet forwarding of one VM
 *
 * DESCRIPTION
 *	Handles the packets of clients: forwards a packet to an upstream,
 *	refuses its flow with a reset, or drops it.  A packet of an open flow is
 *	forwarded to the upstream that its token names, by any VM.  A flow is
 *	refused only while it is opening, when no upstream has run anything of
 *	it (KF_NOT_RUN), or when its route has been removed.  An open flow is
 *	reset if its upstream is dead (kf/dead_upstream.h), or ended before this
 *	VM started (kf/unknown_tokens.h).
 *
 *	When the upstreams of a service have about as many flows as they can
 *	serve in time, new flows of its less urgent routes are refused at once,
 *	to leave capacity for the urgent ones.
 *
 *	A flow that does not open within the usual opening time is hedged: its
 *	SYN is sent to a second upstream and later to a third.  The flow opens
 *	at the upstream whose answer the client accepts.
 *
 *	An upstream with far more failed requests than the other upstreams of
 *	its service is an outlier and gets no new flows for some seconds.
 */

typedef enum kf_forward_event {
	KF_FORWARD_PLACED = 0, /* a new flow was sent to an upstream */
	KF_FORWARD_HEDGED,     /* its SYN was sent to another upstream */
	KF_FORWARD_OPENED,
	KF_FORWARD_NOT_OPENED, /* opening timed out */
	KF_FORWARD_REFUSED,
	KF_FORWARD_DROPPED,
	KF_FORWARD_EJECTED,  /* an upstream, for unanswered SYNs */
	KF_FORWARD_RETURNED, /* an ejected upstream opened a flow */
	KF_FORWARD_LATE,     /* the answer to a request is late */
	KF_FORWARD_SHORT,    /* an answer was far shorter than usual */
	KF_FORWARD_OUTLIER,  /* an upstream was ejected for failed requests */
	KF_FORWARD_DEAD,     /* an upstream has stopped responding */
	KF_FORWARD_ALIVE,    /* a dead upstream responds again */
	KF_FORWARD_RESET,    /* an open flow of a dead upstream was reset */
	/* A SYN was not sent to a cold upstream, for lack of allowance. */
	KF_FORWARD_COLD_LIMITED,
	KF_FORWARD_EVENT_COUNT
} kf_forward_event_t;

const char *kf_forward_event_name(kf_forward_event_t event);

/* A decision and the data it was based on.  Pointers are valid during the
 * call only. */
typedef struct kf_forward_record {
	kf_forward_event_t event;
	kf_addr_t client; /* port 0: the record is not about a flow */
	kf_addr_t address;
	const kf_route_t *route;   /* may be NULL */
	const kf_target_t *target; /* may be NULL */
	uint64_t flow_hash;
	uint32_t copies;
	uint32_t tries;
	uint32_t eligible;
	double load;
	int64_t since_us; /* since the flow's SYN, or since its request */
	uint32_t answer_bytes;
	uint32_t usual_bytes;	 /* of the route's answers */
	int64_t evidence_age_us; /* of what a reset rests on */
	kf_verdict_t verdict;
	kf_reason_t reason;
} kf_forward_record_t;

typedef struct kf_forwarder_callbacks {
	void *ctx;
	/* Sends a client's datagram to an upstream, with the token of the
	 * packet replaced by token. */
	void (*send)(void *ctx, const kf_upstream_info_t *upstream,
	    uint32_t token, const uint8_t *datagram, size_t len);
	/* Resets the client's flow. */
	void (*reset)(void *ctx, const kf_packet_t *packet);
	void *record_ctx;
	void (*record)(void *record_ctx, const kf_forward_record_t *record);
} kf_forwarder_callbacks_t;

typedef struct kf_forwarder_stats {
	uint64_t packets;
	uint64_t events[KF_FORWARD_EVENT_COUNT];
	uint64_t by_reason[KF_REASON_COUNT]; /* refusals and drops */
	uint64_t probes;
	uint64_t last_resort; /* flows to evacuated upstreams */
	uint64_t opening;
	uint64_t open;
	uint64_t other_zone; /* new flows placed in another zone */
} kf_forwarder_stats_t;

typedef struct kf_forwarder kf_forwarder_t;

/* zone is the kf_name_key of the VM's availability zone.  The callbacks are
 * copied. */
kf_forwarder_t *kf_forwarder_new(
    uint64_t zone, const kf_forwarder_callbacks_t *callbacks);
void kf_forwarder_delete(kf_forwarder_t *forwarder);

/* Takes ownership of the table.  Fails with KF_ERR_STALE if it is older than
 * the current one. */
kf_status_t kf_forwarder_set_routes(
    kf_forwarder_t *forwarder, kf_route_table_t *table);
const kf_route_table_t *kf_forwarder_routes(const kf_forwarder_t *forwarder);

kf_directory_t *kf_forwarder_directory(kf_forwarder_t *forwarder);

/* Sets the VM's rank and the number of VMs.  When the number changes, routers
 * move flows between VMs, and a flow that opens at another VM looks unanswered
 * here; such flows are not counted as failures for a short time. */
void kf_forwarder_set_position(
    kf_forwarder_t *forwarder, kf_position_t position, int64_t now_us);

/* Sets as of when what this VM knows of the store is complete. */
void kf_forwarder_set_store_view(
    kf_forwarder_t *forwarder, const kf_store_view_t *view);

/* Handles a packet; datagram is passed to the send callback. */
void kf_forwarder_packet(kf_forwarder_t *forwarder, int64_t now_us,
    const kf_packet_t *packet, const uint8_t *datagram, size_t len);

/* Runs the timers that are due.  Returns the time of the next call that an
 * opening flow needs, or INT64_MAX if none does. */
int64_t kf_forwarder_tick(kf_forwarder_t *forwarder, int64_t now_us);

void kf_forwarder_stats(
    const kf_forwarder_t *forwarder, kf_forwarder_stats_t *stats);

/* Fills in the new flows per second of up to max services, including refused
 * ones.  Returns the number of services. */
size_t kf_forwarder_demands(kf_forwarder_t *forwarder, int64_t now_us,
    kf_service_demand_t *demands, size_t max);

/* Returns the new flows of a service per second at the other VMs. */
typedef uint32_t kf_other_vms_demand_fn(void *ctx, uint64_t service);
void kf_forwarder_set_other_vms_demand(
    kf_forwarder_t *forwarder, kf_other_vms_demand_fn *demand, void *ctx);

typedef struct kf_zone_settings {
	bool balance;
	bool last_resort; /* whether an isolated VM uses evacuated upstreams */
	uint32_t transfer_us_per_kb; /* between zones */
} kf_zone_settings_t;

/* Fills in the demand at the other VMs for a service, of up to max zones.
 * Returns the number of zones; others are not known. */
typedef size_t kf_zone_demands_fn(
    void *ctx, uint64_t service, kf_zone_demand_t *zones, size_t max);

/* Returns true if the VM has become isolated or has ceased to be (isolated)
 * since the last call that returned true; see kf_isolation. */
bool kf_forwarder_take_isolation(kf_forwarder_t *forwarder, bool *isolated);

/* Updates the share of each service's new flows that leave this zone; called
 * every 200 ms. */
void kf_forwarder_balance_zones(kf_forwarder_t *forwarder,
    const kf_zone_settings_t *settings, kf_zone_demands_fn *demands, void *ctx,
    int64_t now_us);

/* Returns the rank of this VM among those of its zone for an upstream. */
typedef uint32_t kf_cold_rank_fn(void *ctx, uint64_t upstream_id);

/* Updates the rate limit of cold upstreams with what this VM knows of the
 * others; to be called every 200 ms and when the VMs of the zone change. */
void kf_forwarder_set_cold_view(kf_forwarder_t *forwarder,
    const kf_cold_report_t *report, kf_cold_rank_fn *rank, void *ctx,
    int64_t now_us);

/* Maximum number of failed requests reported at once. */
enum { KF_FORWARDER_MAX_FAILED = 16 };

/*
 * Stores the token of the upstream of each request that has failed since the
 * last call, and returns their number.  The caller reports them to the other
 * VMs of the zone.
 */
size_t kf_forwarder_take_failed(
    kf_forwarder_t *forwarder, uint32_t tokens[KF_FORWARDER_MAX_FAILED]);

/* Counts a failed request that another VM of the zone has reported. */
void kf_forwarder_add_peer_failure(
    kf_forwarder_t *forwarder, uint32_t token, int64_t now_us);

/* Sets the minimum time without an answer after which an upstream may be dead.
 * 0, the initial value: none is. */
void kf_forwarder_set_dead_after(
    kf_forwarder_t *forwarder, int64_t dead_after_us);

/* Sets the age from which on evidence does not justify a reset, however short
 * the intervals between probes: the bound stability_ms. */
void kf_forwarder_set_stability(
    kf_forwarder_t *forwarder, int64_t stability_us);

typedef struct kf_probe {
	uint32_t token;
	kf_addr_t address; /* for a TCP connection */
} kf_probe_t;

/* Stores up to max probes that are due, and returns their number.  The caller
 * reports the result of each within KF_DEAD_PROBE_TIMEOUT_US. */
size_t kf_forwarder_take_probes(
    kf_forwarder_t *forwarder, int64_t now_us, kf_probe_t *probes, size_t max);

/* Ends a probe that this VM could not make. */
void kf_forwarder_probe_cancelled(kf_forwarder_t *forwarder, uint32_t token);

/* Returns true if an upstream is confirmed dead, or still is; its flows are
 * reset by the next kf_forwarder_tick. */
bool kf_forwarder_probe_result(
    kf_forwarder_t *forwarder, uint32_t token, bool accepted, int64_t now_us);

kf_position_t kf_forwarder_position(const kf_forwarder_t *forwarder);

/* Returns the time after which an opening flow is sent to a second upstream. */
int64_t kf_forwarder_hedge_delay_us(const kf_forwarder_t *forwarder);

#ifdef __cplusplus
}
#endif

#endif
