#ifndef KF_TRAFFIC_INTERNAL_H
#define KF_TRAFFIC_INTERNAL_H

#include <apr_hash.h>
#include <apr_pools.h>

#include "kf/call_info.h"
#include "kf/peer_seal.h"
#include "kf/proxy.h"
#include "kf/rpc.h"
#include "kf/traffic.h"
#include "kf/upstream.h"

enum {
	DATAGRAM_MAX_BYTES = 65507,
	/* A reply is sent with a PROXY header in front. */
	REPLY_MAX_BYTES = DATAGRAM_MAX_BYTES - KF_PROXY_HEADER_BYTES,
	/* A request that was forwarded this often is not forwarded again. */
	FORWARD_HOPS_MAX = 2,
	/*
	 * Limit for a copy, which is forwarded along the moves of its request
	 * and then to a backup.
	 */
	COPY_HOPS_MAX = 2 * FORWARD_HOPS_MAX + 1,
	/* Retransmission interval of an unacknowledged INTENT. */
	INTENT_RETRY_US = 50000,
	ATTEMPTS_MAX = 3,
	/* Token generation of a flow that lost its owner, not its upstream. */
	GENERATION_KEPT_UPSTREAM = 1,
};

/* A parsed datagram of a caller and the service it is addressed to. */
typedef struct packet {
	kf_route_t route;
	const uint8_t *data;
	size_t len;
	kf_rpc_call_t call;
	const kf_service_t *service;
	kf_procedure_t proc;
	uint8_t token_bytes[KF_TOKEN_BYTES];
	kf_token_t token;
	bool has_token;
	bool expired;	   /* the token has expired */
	bool new_flow;	   /* the call came without a token */
	uint32_t hops;	   /* number of times forwarded */
	bool may_have_run; /* another VM dispatched it without a reply */
	/* The request moved; the token here is that of its new owner. */
	bool followed_move;
} packet_t;

typedef enum request_state {
	REQUEST_NEW = 0,
	REQUEST_WAIT_ACK,   /* waits for INTENT_ACK of the backup */
	REQUEST_QUEUED,	    /* in the admission queue */
	REQUEST_DISPATCHED, /* sent to the upstream */
	REQUEST_ABANDONED,  /* caller was answered; still holds a slot */
} request_state_t;

/* A request that this VM must answer or pass on. */
typedef struct request {
	struct request *next;
	struct request *prev;
	struct request *requeue_next; /* in requests_to_requeue */
	kf_request_id_t id;	      /* key of by_id */
	request_state_t state;
	kf_route_t route;
	kf_token_t token;	/* as received with the request */
	kf_token_t reply_token; /* for the reply, before it is renewed */
	uint32_t hops;
	uint32_t service; /* id */
	uint32_t prog;
	uint32_t vers;
	uint32_t proc;
	kf_class_t cls;
	bool idempotent;
	bool recorded;	   /* has a record in the flow table */
	bool needs_no_ack; /* no INTENT_ACK is required */
	bool acked;	   /* INTENT_ACK was received */
	bool new_flow;
	/* An attempt or a copy of this idempotent request may have run. */
	bool may_have_run;
	bool has_slot;
	bool deleted; /* unlinked; freed by request_sweep_end */
	kf_reason_t refuse_reason;
	uint32_t upstream; /* id */
	uint32_t path;
	uint32_t attempts;
	uint32_t upstream_xid; /* key of by_xid */
	int64_t deadline_us;
	int64_t attempt_timeout_us; /* wait for a reply before a retry */
	int64_t sent_us;
	int64_t slot_taken_us;
	int64_t intent_sent_us;
	size_t args_len;
	uint8_t args[];
} request_t;

/* State of an upstream to which this shard sends requests. */
typedef struct served_upstream {
	uint32_t id;
	uint32_t index;	  /* in the declaration, or KF_VIEW_NONE */
	uint32_t service; /* id */
	kf_addr_t addr;
	kf_upstream_state_t *state;
	bool ejected;	    /* state of the last EJECT or RESTORE event */
	uint32_t active;    /* requests that hold a slot */
	uint32_t probe_xid; /* of the probe without a reply yet; 0: none */
	int probe_path;
} served_upstream_t;

/* Identifies the peer of a lease: one shard of another VM. */
typedef struct lease_key {
	uint64_t incarnation;
	uint32_t vm;
	uint32_t shard;
} lease_key_t;

/*
 * State of the lease between this shard and one of another VM.  The owner of an
 * upstream requests a lease from its backup; while it is valid, the backup does
 * not fence the owner.  This shard may be the owner, the backup or both.
 */
typedef struct lease {
	lease_key_t key;
	bool is_backup; /* the peer backs up an upstream owned here */
	bool ended;	/* the peer VM has ended */
	/* KF_LEASE_RELEASED received: no fence until this VM has ended. */
	bool release_received;
	/* KF_LEASE_RELEASED sent: no fence until the peer has ended. */
	bool release_sent;
	/* The peer ended before it could have fenced this VM. */
	bool cannot_have_fenced;
	uint32_t sequence;		 /* of the last request sent */
	int64_t request_sent_us;	 /* of the last request */
	int64_t granted_request_sent_us; /* of the last granted request */
	int64_t request_received_us;	 /* last request from the peer */
	int64_t ended_us;
} lease_t;

typedef struct recent_requests recent_requests_t;
typedef struct handover handover_t;

struct kf_traffic {
	kf_traffic_config_t config;
	kf_view_t *view;
	kf_keyring_t *keys; /* own copy: a keyring is not thread-safe */
	kf_balance_t *balance;
	kf_admission_t *admission;
	kf_flow_table_t *flows;
	kf_share_sequence_t shares;
	kf_random_t random;
	uint32_t next_xid;
	bool fenced;
	/* Until then a copy of a request may have gone to another VM. */
	int64_t routes_unstable_until_us;
	/* Every view since then is settled. */
	int64_t views_settled_since_us;
	kf_time_t now; /* time of the current event */
	apr_pool_t *pool;
	apr_hash_t *by_id;	      /* request_t by id.flow and id.xid */
	apr_hash_t *by_xid;	      /* request_t by upstream_xid */
	apr_hash_t *served_upstreams; /* served_upstream_t by id */
	apr_hash_t *leases;	      /* lease_t by key */
	recent_requests_t *recent_requests;
	bool shutting_down;	/* accepts no more requests */
	bool shutdown_complete; /* the handover is over; may stop */
	handover_t *handover;	/* NULL before it starts */
	apr_hash_t *adoptions;	/* adoption_t by VM id */
	request_t *requests;
	request_t *deleted; /* freed by request_sweep_end */
	/* Removed from their queues by a new view. */
	request_t *requests_to_requeue;
	bool sweeping; /* deleted requests are unlinked, not freed */
	uint32_t placing_vm_count; /* live VMs, this one included */
	/* Id of the upstream that dispatch_queued works on, or 0. */
	uint32_t dispatching_upstream;
	uint32_t request_count;
	kf_candidate_t *candidates; /* scratch space, one per upstream */
	kf_counters_t counters;
	uint8_t buf[DATAGRAM_MAX_BYTES + 1024];
	uint8_t peer_buf[DATAGRAM_MAX_BYTES + 1024];
};

/* traffic.c */
void table_add(apr_hash_t *table, const void *key, size_t len, void *value);

/* packet.c */
kf_reason_t packet_parse(kf_traffic_t *t, packet_t *pkt);
kf_reason_t packet_set_token(
    kf_traffic_t *t, packet_t *pkt, const uint8_t *token, size_t len);
uint64_t packet_flow_hash(const packet_t *pkt);
void packet_report_decision(
    kf_traffic_t *t, const packet_t *pkt, kf_event_t event, kf_reason_t reason);
void packet_drop(kf_traffic_t *t, const packet_t *pkt, kf_reason_t reason);
void packet_refuse(kf_traffic_t *t, const packet_t *pkt, kf_reason_t reason);
void packet_answer_unknown(
    kf_traffic_t *t, const packet_t *pkt, kf_reason_t reason);

/* place.c */
typedef struct placement {
	uint32_t upstream; /* index in the declaration */
	const kf_selector_t *selector;
	uint32_t point; /* share point of the flow */
} placement_t;

kf_status_t place_new_flow(kf_traffic_t *t, const kf_service_t *service,
    uint32_t exclude, placement_t *out);
kf_status_t place_at_point(kf_traffic_t *t, const kf_service_t *service,
    uint32_t point, uint32_t exclude, placement_t *out);
bool place_has_alternative(kf_traffic_t *t, const kf_service_t *service,
    uint32_t point, uint32_t exclude);
kf_status_t place_by_hash(kf_traffic_t *t, const kf_service_t *service,
    uint64_t flow, placement_t *out);
bool place_may_keep_upstream(
    kf_traffic_t *t, const kf_service_t *service, const kf_token_t *token);
kf_status_t place_fill_token(kf_traffic_t *t, const kf_service_t *service,
    const placement_t *place, kf_token_t *token);
void place_renew_token(kf_traffic_t *t, kf_token_t *token);
uint64_t place_new_flow_id(kf_traffic_t *t);
uint32_t place_upstream_index(const kf_traffic_t *t, uint32_t upstream_id);

/* reply.c */
void reply_send_denied(
    kf_traffic_t *t, const kf_route_t *route, uint32_t xid, kf_reason_t reason);
void reply_send_unknown(kf_traffic_t *t, const kf_route_t *route, uint32_t xid);
void reply_send_no_program(kf_traffic_t *t, const packet_t *pkt);
void reply_send_null(
    kf_traffic_t *t, const packet_t *pkt, const kf_token_t *token);
size_t reply_build(kf_traffic_t *t, const request_t *req,
    const kf_rpc_reply_t *upstream_reply, const kf_token_t *token);

/* ingress.c */
void ingress_route(kf_traffic_t *t, packet_t *pkt);

/* owner.c */
void owner_handle_packet(kf_traffic_t *t, packet_t *pkt);
void owner_admit(kf_traffic_t *t, request_t *req);
void owner_replace_upstream(kf_traffic_t *t, request_t *req, uint32_t exclude);
void owner_start(kf_traffic_t *t, request_t *req);
void owner_on_ack(kf_traffic_t *t, request_t *req);
void owner_on_fenced(kf_traffic_t *t, request_t *req);
void owner_refuse(kf_traffic_t *t, request_t *req, kf_reason_t reason);
void owner_send_stored_outcome(
    kf_traffic_t *t, const packet_t *pkt, const uint8_t *stored, size_t len);
bool owner_needs_no_ack(const kf_traffic_t *t, const kf_token_t *token);

/* backup.c */
void backup_take_over(kf_traffic_t *t, packet_t *pkt);
void backup_on_intent(
    kf_traffic_t *t, kf_vm_id_t from, const kf_peer_intent *intent);
void backup_on_done(kf_traffic_t *t, kf_vm_id_t from, const kf_peer_done *done);

/* handover.c */
void handover_tick(kf_traffic_t *t);
void handover_receive_part(
    kf_traffic_t *t, kf_vm_id_t from, const kf_peer_handover *part);
void handover_on_ack(
    kf_traffic_t *t, kf_vm_id_t from, const kf_peer_handover_ack *ack);
bool handover_route(kf_traffic_t *t, packet_t *pkt);
void handover_delete(kf_traffic_t *t);

/* recent_requests.c */
recent_requests_t *recent_new(void);
void recent_tick(kf_traffic_t *t);
void recent_add_may_have_run(kf_traffic_t *t, uint64_t flow, uint32_t xid);
bool recent_may_have_run(const kf_traffic_t *t, uint64_t flow, uint32_t xid);
void recent_add_move(
    kf_traffic_t *t, const request_t *req, const uint8_t *token);
const uint8_t *recent_find_move(
    const kf_traffic_t *t, uint64_t flow, uint32_t xid, bool *may_have_run);
void recent_add_refusal(
    kf_traffic_t *t, uint64_t flow, uint32_t xid, kf_reason_t reason);
kf_reason_t recent_find_refusal(
    const kf_traffic_t *t, uint64_t flow, uint32_t xid);

/* lease.c */
void lease_update(kf_traffic_t *t);
void lease_tick(kf_traffic_t *t);
void lease_on_request(
    kf_traffic_t *t, kf_vm_id_t from, const kf_peer_lease *request);
void lease_on_ack(kf_traffic_t *t, kf_vm_id_t from, const kf_peer_lease *ack);
bool lease_cannot_have_fenced(
    const kf_traffic_t *t, kf_vm_id_t backup, uint32_t upstream);
void lease_on_end(kf_traffic_t *t, kf_vm_id_t from, const kf_peer_end *end);
void lease_send_end(kf_traffic_t *t);
u_int lease_fill_ended(const kf_traffic_t *t, kf_peer_ended *out, u_int max);
int64_t lease_gone_since_us(
    const kf_traffic_t *t, kf_vm_id_t id, uint32_t upstream);
kf_liveness_t lease_liveness(
    const kf_traffic_t *t, kf_vm_id_t id, uint32_t upstream);
bool lease_may_fence(
    const kf_traffic_t *t, kf_vm_id_t owner, uint32_t upstream);
void lease_delete_all(kf_traffic_t *t);

/* dispatch.c */
uint32_t dispatch_next_xid(kf_traffic_t *t);
void dispatch_start(kf_traffic_t *t, request_t *req);
void dispatch_send(kf_traffic_t *t, request_t *req);
void dispatch_queued(kf_traffic_t *t, uint32_t upstream);
void dispatch_release(kf_traffic_t *t, request_t *req, int64_t service_us);
void dispatch_check_timeouts(kf_traffic_t *t);
void dispatch_cancel(kf_traffic_t *t, const request_t *req);
void dispatch_on_not_run(kf_traffic_t *t, request_t *req, kf_reason_t reason);
void dispatch_on_reply_lost(kf_traffic_t *t, request_t *req);

/* served_upstream.c */
served_upstream_t *served_upstream_get(kf_traffic_t *t, uint32_t index);
served_upstream_t *served_upstream_find(kf_traffic_t *t, uint32_t id);
void served_upstream_update(kf_traffic_t *t);
void served_upstream_tick(kf_traffic_t *t);
void served_upstream_on_probe(
    kf_traffic_t *t, served_upstream_t *s, const kf_rpc_reply_t *reply);
void served_upstream_on_failure(kf_traffic_t *t, served_upstream_t *s,
    uint32_t path, int64_t sent_us, kf_upstream_failure_t failure);
void served_upstream_delete(served_upstream_t *s);
bool served_upstream_owned(const kf_traffic_t *t, const served_upstream_t *s);
bool served_upstream_usable(const kf_traffic_t *t, const served_upstream_t *s);
bool served_upstream_accepts(
    const kf_traffic_t *t, const served_upstream_t *s, uint32_t service);

/* request.c */
request_t *request_new(kf_traffic_t *t, const packet_t *pkt);
request_t *request_find(const kf_traffic_t *t, uint64_t flow, uint32_t xid);
void request_delete(kf_traffic_t *t, request_t *req);
void request_sweep_begin(kf_traffic_t *t);
void request_sweep_end(kf_traffic_t *t);
void request_answer(
    kf_traffic_t *t, request_t *req, const kf_rpc_reply_t *reply);
void request_move(kf_traffic_t *t, request_t *req, const kf_token_t *token);
void request_refuse(kf_traffic_t *t, request_t *req, kf_reason_t reason);
void request_answer_unknown(
    kf_traffic_t *t, request_t *req, kf_reason_t reason);
void request_discard(kf_traffic_t *t, request_t *req);
void request_end_without_reply(
    kf_traffic_t *t, request_t *req, kf_reason_t reason);
void request_record_outcome(kf_traffic_t *t, request_t *req,
    kf_verdict_t verdict, kf_reason_t reason, const uint8_t *stored,
    size_t len);
void request_report_decision(kf_traffic_t *t, const request_t *req,
    kf_event_t event, kf_reason_t reason, const char *vm);

/* peer_link.c */
void peer_forward(kf_traffic_t *t, const packet_t *pkt, const kf_view_vm_t *vm);
void peer_forward_request(kf_traffic_t *t, const request_t *req,
    const kf_token_t *token, const kf_view_vm_t *vm);
void peer_send_intent(kf_traffic_t *t, request_t *req);
void peer_send_intent_answer(
    kf_traffic_t *t, kf_vm_id_t to, const kf_peer_intent *intent, bool ack);
void peer_send_lease(kf_traffic_t *t, const lease_t *lease);
void peer_send_lease_ack(
    kf_traffic_t *t, kf_vm_id_t to, const kf_peer_lease *request, u_int state);
void peer_send_end(kf_traffic_t *t, const lease_t *lease, bool fenced);
void peer_send_message(
    kf_traffic_t *t, const kf_view_vm_t *vm, uint32_t shard, kf_peer_msg *msg);
void peer_send_done(kf_traffic_t *t, const request_t *req, kf_verdict_t verdict,
    kf_reason_t reason, const uint8_t *stored, size_t len);

/* First byte of a stored outcome, which answers copies of a request. */
enum {
	STORED_REPLY = 1, /* an RPC reply follows */
	STORED_MOVED = 2, /* the token of its new owner follows */
};

#endif
