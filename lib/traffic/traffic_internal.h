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
	/* A reply travels behind a PROXY header. */
	REPLY_MAX_BYTES = DATAGRAM_MAX_BYTES - KF_PROXY_HEADER_BYTES,
	/* A request forwarded this often is served where it is. */
	FORWARD_HOPS_MAX = 2,
	/* A copy follows the moves of its request, and then to a backup. */
	COPY_HOPS_MAX = 2 * FORWARD_HOPS_MAX + 1,
	/* Interval at which an unacknowledged INTENT is sent again. */
	INTENT_RETRY_US = 50000,
	ATTEMPTS_MAX = 3,
	/* Generation of a flow that lost its owner and keeps its upstream. */
	KEPT_UPSTREAM = 1,
};

/* A caller's datagram, parsed and matched to its service. */
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
	bool expired;	   /* the token is past its expiry */
	bool new_flow;	   /* the call came without a token */
	uint32_t hops;	   /* times forwarded */
	bool may_have_run; /* an attempt at another VM got no reply */
	bool followed;	   /* has got the token of a request that moved */
} packet_t;

typedef enum request_state {
	REQUEST_NEW = 0,
	REQUEST_WAIT_ACK,   /* needs the backup's INTENT_ACK first */
	REQUEST_QUEUED,	    /* in the admission queue */
	REQUEST_DISPATCHED, /* sent to the upstream */
	REQUEST_ABANDONED,  /* ended for the caller; the slot is held */
} request_state_t;

/* A request this VM is responsible for. */
typedef struct request {
	struct request *next;
	struct request *prev;
	struct request *requeue_next; /* taken out of a queue by a view */
	kf_request_id_t id;	      /* key of by_id */
	request_state_t state;
	kf_route_t route;
	kf_token_t token;	/* as it came with the request */
	kf_token_t reply_token; /* of the reply, before renewal */
	uint32_t hops;
	uint32_t service; /* id */
	uint32_t prog;
	uint32_t vers;
	uint32_t proc;
	kf_class_t cls;
	bool idempotent;
	bool recorded; /* in the flow table */
	bool alone;    /* the backup need not acknowledge */
	bool acked;    /* the backup has acknowledged */
	bool new_flow;
	bool may_have_run; /* idempotent: an attempt or a copy of it */
	bool has_slot;
	bool deleted; /* freed at the end of the sweep */
	kf_reason_t refuse_reason;
	uint32_t upstream; /* id */
	uint32_t path;
	uint32_t attempts;
	uint32_t upstream_xid; /* key of by_xid */
	int64_t deadline_us;
	int64_t attempt_us; /* time for a reply before another upstream */
	int64_t sent_us;
	int64_t slot_us; /* when the slot was taken */
	int64_t intent_us;
	size_t args_len;
	uint8_t args[];
} request_t;

/* What this shard keeps of an upstream it sends requests to. */
typedef struct serving {
	uint32_t id;
	uint32_t index;	  /* into the declaration, or KF_VIEW_NONE */
	uint32_t service; /* id */
	kf_addr_t addr;
	kf_upstream_state_t *state;
	bool ejected;	    /* as last logged */
	uint32_t active;    /* slots held */
	uint32_t probe_xid; /* of the last probe sent */
	int probe_path;
} serving_t;

/*
 * What this shard knows of a shard of another VM that backs up requests of this
 * one, or whose requests it backs up.
 */
typedef struct lease_key {
	uint64_t incarnation;
	uint32_t vm;
	uint32_t shard;
} lease_key_t;

typedef struct lease {
	lease_key_t key;
	bool wanted;   /* it is the backup of an upstream owned here */
	bool ended;    /* the VM is gone */
	bool released; /* it will not fence this VM while this VM lives */
	bool release;  /* this VM will not fence it while it lives */
	bool cannot_have_fenced; /* it ended before it could fence this VM */
	uint32_t sequence;	 /* of the last request */
	int64_t requested_us;	 /* when the last request was sent */
	int64_t granted_us;	 /* when the last granted request was sent */
	int64_t heard_us;	 /* last lease request from it */
	int64_t ended_us;
} lease_t;

typedef struct recent recent_t;
typedef struct handover handover_t;

struct kf_traffic {
	kf_traffic_config_t config;
	kf_view_t *view;
	kf_keyring_t *keys; /* own copy: a ring is of one thread */
	kf_balance_t *balance;
	kf_admission_t *admission;
	kf_flow_table_t *flows;
	kf_share_sequence_t shares;
	kf_random_t random;
	uint32_t next_xid;
	bool fenced;
	/* Until then copies of a request may be at another VM. */
	int64_t unstable_until_us;
	int64_t settled_us; /* since when views have been settled */
	kf_time_t now;	    /* of the event being handled */
	apr_pool_t *pool;
	apr_hash_t *by_id;   /* request_t by id.flow and id.xid */
	apr_hash_t *by_xid;  /* request_t by upstream_xid */
	apr_hash_t *serving; /* serving_t by id */
	apr_hash_t *leases;  /* lease_t by key */
	recent_t *recent;
	bool ending;	       /* takes no more requests */
	bool ended;	       /* has handed over and may stop */
	handover_t *handover;  /* while ending */
	apr_hash_t *adoptions; /* adoption_t by VM id */
	request_t *requests;
	request_t *deleted; /* unlinked during a sweep */
	request_t *requeue; /* taken out of their queues by a view */
	bool sweeping;
	uint32_t fleet;	  /* VMs that place flows, this one included */
	uint32_t pumping; /* upstream whose queue is being emptied, or 0 */
	uint32_t request_count;
	kf_candidate_t *candidates; /* scratch, one per upstream */
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
	uint32_t upstream; /* index */
	const kf_selector_t *selector;
	uint32_t point;
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
void owner_handle(kf_traffic_t *t, packet_t *pkt);
void owner_admit(kf_traffic_t *t, request_t *req);
void owner_replace(kf_traffic_t *t, request_t *req, uint32_t exclude);
void owner_start(kf_traffic_t *t, request_t *req);
void owner_acked(kf_traffic_t *t, request_t *req);
void owner_fenced(kf_traffic_t *t, request_t *req);
void owner_refuse(kf_traffic_t *t, request_t *req, kf_reason_t reason);
void owner_send_stored(
    kf_traffic_t *t, const packet_t *pkt, const uint8_t *stored, size_t len);
bool owner_alone(const kf_traffic_t *t, const kf_token_t *token);

/* backup.c */
void backup_takeover(kf_traffic_t *t, packet_t *pkt);
void backup_on_intent(
    kf_traffic_t *t, kf_vm_id_t from, const kf_peer_intent *intent);
void backup_on_done(kf_traffic_t *t, kf_vm_id_t from, const kf_peer_done *done);

/* handover.c */
void handover_tick(kf_traffic_t *t);
void handover_take(
    kf_traffic_t *t, kf_vm_id_t from, const kf_peer_handover *part);
void handover_on_ack(
    kf_traffic_t *t, kf_vm_id_t from, const kf_peer_handover_ack *ack);
bool handover_route(kf_traffic_t *t, packet_t *pkt);
void handover_delete(kf_traffic_t *t);

/* recent.c */
recent_t *recent_new(void);
void recent_tick(kf_traffic_t *t);
void recent_note_ran(kf_traffic_t *t, uint64_t flow, uint32_t xid);
bool recent_ran(const kf_traffic_t *t, uint64_t flow, uint32_t xid);
void recent_note_moved(
    kf_traffic_t *t, const request_t *req, const uint8_t *token);
const uint8_t *recent_moved(
    const kf_traffic_t *t, uint64_t flow, uint32_t xid, bool *may_have_run);
void recent_note_refused(
    kf_traffic_t *t, uint64_t flow, uint32_t xid, kf_reason_t reason);
kf_reason_t recent_refusal(const kf_traffic_t *t, uint64_t flow, uint32_t xid);

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
void dispatch_pump(kf_traffic_t *t, uint32_t upstream);
void dispatch_release(kf_traffic_t *t, request_t *req, int64_t service_us);
void dispatch_timeouts(kf_traffic_t *t);
void dispatch_cancel(kf_traffic_t *t, const request_t *req);
void dispatch_not_run(kf_traffic_t *t, request_t *req, kf_reason_t reason);
void dispatch_lost(kf_traffic_t *t, request_t *req);

/* serving.c */
serving_t *serving_get(kf_traffic_t *t, uint32_t index);
serving_t *serving_find(kf_traffic_t *t, uint32_t id);
void serving_update(kf_traffic_t *t);
void serving_tick(kf_traffic_t *t);
void serving_on_probe(
    kf_traffic_t *t, serving_t *s, const kf_rpc_reply_t *reply);
void serving_failed(kf_traffic_t *t, serving_t *s, uint32_t path,
    int64_t sent_us, kf_upstream_failure_t failure);
void serving_delete(serving_t *s);
bool serving_owned(const kf_traffic_t *t, const serving_t *s);
bool serving_usable(const kf_traffic_t *t, const serving_t *s);
bool serving_accepts(
    const kf_traffic_t *t, const serving_t *s, uint32_t service);

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

/* Stored outcome of a request: what a copy of it gets. */
enum {
	STORED_REPLY = 1, /* an RPC reply follows */
	STORED_MOVED = 2, /* the token of the new flow follows */
};

#endif
