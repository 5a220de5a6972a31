#ifndef KF_FORWARDER_INTERNAL_H
#define KF_FORWARDER_INTERNAL_H

#include "kf/isolation.h"
#include "kf/answer_sizes.h"
#include "kf/forwarder.h"
#include "kf/pending_syns.h"

enum {
	/* Limits of the time after which an opening flow is sent to a second
	 * upstream.  An opening takes 4 to 5 ms on an idle path, and the client
	 * sends its first copy after 200 ms. */
	HEDGE_DELAY_MIN_US = 25000,
	HEDGE_DELAY_MAX_US = 120000,
	/* A third upstream is tried after this multiple of the hedge delay. */
	THIRD_TRY_FACTOR = 3,
	/* Longer than the 1.4 s after which a client gives up an opening. */
	OPENING_TIMEOUT_US = 1500000,
	/* A try counts as unanswered if the client sends a copy at least this
	 * long after it; clients send the first copy after 200 ms. */
	UNANSWERED_AFTER_US = 150000,
	/* A client that has sent no copy by this age of its flow has given up
	 * or reaches another VM; the first copy is due after 200 ms. */
	REFUSED_AFTER_US = 350000,
	/* Routers take up to about 1 s to move the flows of a VM that left; in
	 * this time a missing packet is not counted against an upstream. */
	REROUTE_GUARD_US = 1200000,
	/* A flow without a packet for this time no longer counts as load.  If
	 * routers have moved it, its end is seen by another VM only.  Requests
	 * take up to 430 ms and may wait as long before. */
	LOAD_IDLE_US = 1000000,
	EXPIRY_INTERVAL_US = 250000,
	/* Flows per slot from which new flows of the less urgent routes of a
	 * service are refused: one being served and two waiting, a wait of
	 * twice the time that a request takes.  Upstreams shed load at about
	 * five. */
	FULL_FLOWS_PER_SLOT = 3,
	/* During a backlog a service is overloaded only when its upstreams have
	 * been full for this time.  A backlog of 1.5 s of requests takes about
	 * as long to clear. */
	BACKLOG_FULL_US = 1500000,
	/* Longest time that the requests of a backlog wait: clients of all
	 * deployments served give up after 1 to 5 s, but for downloads. */
	BACKLOG_MAX_US = 5000000,
	/* Answers from which the time that clients take to acknowledge them is
	 * known. */
	MIN_CALM_ANSWERS = 4,
	/* How long a refusal shows an overload. */
	REFUSING_US = 2000000,
	/* Time constant of the mean load of a service. */
	LOAD_MEAN_US = 500000,
	/* Time constant of the decay of a service's demand. */
	DEMAND_DECAY_US = 1000000,
	OUTLIER_INTERVAL_US = 50000,
	/* Time between two checks for the first configuration while SYNs wait
	 * for it. */
	PENDING_INTERVAL_US = 2000,
	/* Lower limit of the time after which a request is late.  The client's
	 * data and acknowledgements take 4 ms, and a lost packet is sent again
	 * after 200 ms. */
	LATE_MIN_US = 100000,
	/* Time after which a request is late while the mean answer time of the
	 * service is not known, or while a backlog is worked off. */
	LATE_DEFAULT_US = 1000000,
};

/* Evidence that this VM's links to the upstreams of a zone work. */
typedef struct dead_zone {
	uint64_t zone;
	int64_t alive_us;   /* an upstream of it was seen alive */
	int64_t control_us; /* time of the last control */
	bool control_due;
} dead_zone_t;

typedef struct dead_state {
	int64_t after_us; /* 0: no detection of dead upstreams */
	dead_zone_t *zones;
	size_t zone_count;
	size_t zone_cap;
	int64_t alive_us; /* an upstream of any zone was seen alive */
	size_t dead_count;
	bool watching;	  /* an upstream is a suspect or dead */
	int64_t reset_us; /* next dead_reset_flows */
} dead_state_t;

struct kf_forwarder {
	kf_forwarder_callbacks_t callbacks;
	kf_route_table_t *routes;
	kf_directory_t *directory;
	kf_conntrack_t *flows;
	kf_position_t position;
	int64_t vm_count_changed_us; /* last change of position.vm_count */
	kf_store_view_t store_view;
	kf_unknown_tokens_t unknown_tokens;
	kf_pending_syns_t pending_syns;
	double opening_mean_us;
	double opening_deviation_us;
	int64_t due_us;	   /* earliest due_us of the opening flows */
	int64_t expiry_us; /* next expire_idle */
	kf_answer_sizes_t answer_sizes;
	kf_zone_settings_t zone_settings;
	int64_t balance_since_us; /* first balance of the zones; 0: none */
	int64_t outlier_us;	  /* next outlier_scan */
	uint32_t failed[KF_FORWARDER_MAX_FAILED]; /* tokens, not taken yet */
	size_t failed_count;
	dead_state_t dead;
	int64_t stability_us; /* maximum age of evidence; see dead_flows.c */
	kf_isolation_t isolation;
	bool isolation_logged;
	kf_forwarder_stats_t stats;
};

/* Updates whether evacuated upstreams of the own zone may get new flows. */
void forwarder_check_isolation(kf_forwarder_t *f, int64_t now_us);
/* Returns the maximum age of evidence for a reset: limit_us, or the stability
 * time if that is shorter. */
int64_t forwarder_evidence_age_us(const kf_forwarder_t *f, int64_t limit_us);
/* Counts the event and passes the record to the callback. */
void forwarder_record(kf_forwarder_t *f, const kf_forward_record_t *record);
/* Fills in the fields that all records about a flow have. */
kf_forward_record_t make_flow_record(const kf_forwarder_t *f,
    const kf_flow_t *flow, kf_forward_event_t event, const kf_target_t *target,
    int64_t now_us);
void forwarder_drop(
    kf_forwarder_t *f, const kf_packet_t *packet, kf_reason_t reason);
void forwarder_refuse(
    kf_forwarder_t *f, const kf_packet_t *packet, kf_reason_t reason);

/* Returns the new flows of a service per second at this VM, including refused
 * ones, and the requests on its open flows. */
double admission_demand_per_s(const kf_pool_t *pool, int64_t now_us);
/* Returns the same and keeps it as reported to the other VMs. */
double admission_report_demand(kf_pool_t *pool, int64_t now_us);
/* The same for the flows and requests at all VMs. */
double admission_all_demand_per_s(const kf_pool_t *pool, int64_t now_us);
/* Returns true if the upstreams of a service are about full, or were when flows
 * were refused recently. */
bool admission_is_overloaded(const kf_pool_t *pool, int64_t now_us);
/* Counts a SYN that the client or this VM sends another time. */
void admission_add_repeated_syn(
    kf_forwarder_t *f, uint64_t service, int64_t now_us);
/* Counts a request on an open flow.  The first one of a flow was part of the
 * demand when the flow opened. */
void admission_add_request(
    kf_forwarder_t *f, const kf_flow_t *flow, int64_t now_us);
/*
 * Counts a new flow and returns true if it must be refused, to leave capacity
 * for more urgent flows of its service.  Flows of the most urgent route in use
 * are refused only if they are a flood themselves.  copies is the number of
 * SYNs that the client has sent before.
 */
bool admission_refuses(kf_forwarder_t *f, const kf_route_t *route,
    uint64_t service, uint32_t copies, int64_t now_us);
/* The same for a pool, whose state it updates; a copy will do. */
bool admission_pool_refuses(const kf_forwarder_t *f, kf_pool_t *pool,
    const kf_route_t *route, uint32_t copies, int64_t now_us);

/* Returns the zone to which a new flow of the route leaves; 0: none. */
uint64_t zone_share_next(kf_forwarder_t *f, kf_pool_t *pool,
    const kf_route_t *route, int64_t now_us);

/* Tracks the request in progress of an open flow and checks its answer. */
void outlier_track_packet(kf_forwarder_t *f, kf_flow_t *flow,
    const kf_packet_t *packet, int64_t now_us);
/* Finds late requests of flows whose clients send no packets. */
void outlier_scan(kf_forwarder_t *f, int64_t now_us);
/* Calls outlier_scan if it is due. */
void outlier_run_due(kf_forwarder_t *f, int64_t now_us);

/* Returns true if this VM has records of open or idle flows of an upstream, so
 * that it pays to know whether it is dead. */
bool dead_has_flows(const kf_forwarder_t *f, const kf_target_t *target);
/* Record a sign of life of an upstream, and a request or opening that it has
 * left unanswered; see kf_dead_upstream_unanswered.  target may be NULL. */
void dead_note_alive(kf_forwarder_t *f, kf_target_t *target, int64_t now_us);
void dead_note_unanswered(kf_forwarder_t *f, kf_target_t *target,
    int64_t since_us, bool reported, int64_t now_us);
/* Takes evidence, and the acknowledgement number, from a packet of a flow. */
void dead_note_packet(kf_forwarder_t *f, kf_flow_t *flow,
    const kf_packet_t *packet, kf_target_t *target, int64_t now_us);
/* Resets the flow of a packet to a dead upstream.  Returns false if the packet
 * is to be forwarded. */
bool dead_answers_packet(kf_forwarder_t *f, const kf_packet_t *packet,
    const kf_route_t *route, kf_target_t *target, int64_t now_us);
/* Resets the flows of dead upstreams that this VM has a record of. */
void dead_reset_flows(kf_forwarder_t *f, int64_t now_us);
/* Keeps the record of a flow that is idle from now on, without load.  Returns
 * false if the record is not needed. */
bool dead_keep_idle(kf_forwarder_t *f, kf_flow_t *flow);
/* Handles a packet of an idle flow.  Returns false if the record is removed:
 * a request adds the flow again like one that is not known. */
bool dead_idle_packet(kf_forwarder_t *f, kf_flow_t *flow,
    const kf_packet_t *packet, kf_target_t *target, int64_t now_us);
/* Removes records of flows that have been idle for too long. */
void dead_expire_idle(kf_forwarder_t *f, int64_t now_us);

/* Handles a SYN. */
void connect_syn(kf_forwarder_t *f, int64_t now_us, const kf_packet_t *packet,
    const uint8_t *datagram, size_t len);
/* Marks a flow as open at the upstream with this token, whose answer the client
 * has accepted. */
void connect_opened(
    kf_forwarder_t *f, kf_flow_t *flow, uint32_t token, int64_t now_us);
/* Handles a reset by the client of an opening flow.  The client had ended its
 * attempt before the upstream with this token answered, so an upstream that was
 * tried earlier refused the flow. */
void connect_reset(
    kf_forwarder_t *f, kf_flow_t *flow, uint32_t token, int64_t now_us);
/* Runs the timer of an opening flow: tries another upstream, or removes the
 * flow if it has timed out. */
void connect_step(kf_forwarder_t *f, kf_flow_t *flow, int64_t now_us);

/* Count an open flow as one that occupies or awaits a slot of its upstream, and
 * end the count. */
void flow_set_busy(kf_forwarder_t *f, kf_flow_t *flow);
void flow_clear_busy(kf_forwarder_t *f, kf_flow_t *flow);
/* Removes the tries of an opening flow from the load of their upstreams. */
void flow_release_tries(kf_forwarder_t *f, kf_flow_t *flow);
/* Removes a flow, also from the load of its upstreams. */
void flow_close(kf_forwarder_t *f, kf_flow_t *flow);
/* Removes idle flows, and upstreams whose open flows have ended. */
void expire_idle(kf_forwarder_t *f, int64_t now_us);

#endif
