#include <stdlib.h>
#include <string.h>

#include "traffic_internal.h"

/*
 * Without a handover, a flow would be lost after the planned shutdown of both
 * its owner and its backup.  So a VM that shuts down sends the records of the
 * requests of the last KF_RETRANSMIT_HORIZON_S to a few others, its successors;
 * no copy of an older request can still arrive.  Successors are chosen by
 * rendezvous hashing of the ended incarnation, so that any ingress can compute
 * them.
 */
enum {
	SUCCESSORS = 3,
	PART_RESEND_US = 50000,
	HANDOVER_TIMEOUT_US = 2000000,
	/*
	 * A VM that started less than this before the shutdown is not chosen,
	 * as not all VMs know it yet.
	 */
	MIN_SUCCESSOR_AGE_MS = 10000,
	FLOWS_PER_PART = KF_PEER_MAX_HANDOVER_FLOWS,
};

struct handover {
	int64_t started_us;
	int64_t sent_us;
	kf_vm_id_t receiver[SUCCESSORS];
	uint32_t receiver_count;
	uint32_t parts;
	uint8_t *acked; /* [receiver_count][parts] */
	kf_flow_export_t *flows;
	size_t flow_count;
	size_t flow_cap;
	bool failed; /* out of memory: the records are incomplete */
};

/* Records that this VM has received from one that ended. */
typedef struct adoption {
	kf_vm_id_t id;
	uint32_t parts;
	uint32_t parts_received;
	uint8_t *part_received; /* [parts] */
	bool complete;
	int64_t first_part_us;
	kf_peer_ended *ended; /* VMs whose end it knew of */
	u_int ended_count;
} adoption_t;

typedef struct successor {
	const kf_view_vm_t *vm;
	uint64_t score;
} successor_t;

static void
successor_insert(
    successor_t best[SUCCESSORS], const kf_view_vm_t *vm, uint64_t score)
{
	size_t i, j;

	for (i = 0; i < SUCCESSORS; i++) {
		if (best[i].vm != NULL && best[i].score >= score)
			continue;
		for (j = SUCCESSORS - 1; j > i; j--)
			best[j] = best[j - 1];
		best[i] = (successor_t){ vm, score };
		return;
	}
}

/* Finds the successors of an incarnation that ended at end_ms. */
static void
find_successors(const kf_traffic_t *t, kf_vm_id_t ended, int64_t end_ms,
    successor_t best[SUCCESSORS])
{
	uint32_t object = ended.vm ^ (uint32_t)ended.incarnation;
	uint32_t i;

	memset(best, 0, SUCCESSORS * sizeof(*best));
	for (i = 0; i < t->view->vm_count; i++) {
		const kf_view_vm_t *vm = &t->view->vms[i];

		if (vm->leaving || vm->peer_addr.port == 0 ||
		    (vm->liveness != KF_VM_ALIVE &&
			vm->liveness != KF_VM_SUSPECT) ||
		    (vm->id.vm == ended.vm &&
			vm->id.incarnation == ended.incarnation) ||
		    (int64_t)vm->id.incarnation > end_ms - MIN_SUCCESSOR_AGE_MS)
			continue;
		successor_insert(best, vm,
		    kf_rendezvous_score(vm->id.vm, vm->id.incarnation, object));
	}
}

static void
collect_flow(void *ctx, const kf_flow_export_t *flow)
{
	handover_t *h = ctx;
	kf_flow_export_t *grown;
	size_t cap;

	if (h->flow_count == h->flow_cap) {
		cap = h->flow_cap * 2 + 64;
		grown = realloc(h->flows, cap * sizeof(*grown));
		if (grown == NULL) {
			h->failed = true;
			return;
		}
		h->flows = grown;
		h->flow_cap = cap;
	}
	h->flows[h->flow_count++] = *flow;
}

static handover_t *
handover_new(kf_traffic_t *t)
{
	successor_t best[SUCCESSORS];
	handover_t *h;
	uint32_t i;

	h = calloc(1, sizeof(*h));
	if (h == NULL)
		return NULL;
	h->started_us = t->now.mono_us;
	h->sent_us = INT64_MIN / 2;
	find_successors(t, t->config.self, t->now.wall_ms, best);
	for (i = 0; i < SUCCESSORS && best[i].vm != NULL; i++)
		h->receiver[h->receiver_count++] = best[i].vm->id;
	kf_flow_export_since(t->flows,
	    t->now.mono_us - (int64_t)KF_RETRANSMIT_HORIZON_S * 1000000,
	    collect_flow, h);
	h->parts = (uint32_t)(h->flow_count / FLOWS_PER_PART + 1);
	h->acked = calloc(h->receiver_count * h->parts + 1, 1);
	if (h->acked == NULL || h->failed)
		h->receiver_count = 0;
	return h;
}

static void
fill_flow(const kf_traffic_t *t, const kf_flow_export_t *in,
    kf_peer_handover_flow *out, kf_peer_handover_request *requests)
{
	uint32_t i;

	out->owner.vm = in->owner.vm;
	out->owner.incarnation = in->owner.incarnation;
	if (in->owner.vm == 0) {
		out->owner.vm = t->config.self.vm;
		out->owner.incarnation = t->config.self.incarnation;
	}
	out->flow = in->flow;
	out->floor = in->floor;
	out->requests.requests_len = in->count;
	out->requests.requests_val = requests;
	for (i = 0; i < in->count; i++) {
		requests[i].xid = in->requests[i].xid;
		requests[i].generation = in->requests[i].generation;
		requests[i].refused = in->requests[i].refused;
	}
}

/* Fills in the VMs whose records are complete here; returns their number. */
static u_int
fill_adopted(const kf_traffic_t *t, kf_peer_id *out)
{
	apr_hash_index_t *hi;
	u_int n = 0;

	for (hi = apr_hash_first(NULL, t->adoptions);
	     hi != NULL && n < KF_PEER_MAX_ADOPTED; hi = apr_hash_next(hi)) {
		const adoption_t *a = apr_hash_this_val(hi);

		if (!a->complete)
			continue;
		out[n].vm = a->id.vm;
		out[n++].incarnation = a->id.incarnation;
	}
	return n;
}

static void
send_part(kf_traffic_t *t, const handover_t *h, uint32_t part)
{
	kf_peer_handover_request requests[FLOWS_PER_PART][KF_FLOW_RING];
	kf_peer_handover_flow flows[FLOWS_PER_PART];
	kf_peer_id adopted[KF_PEER_MAX_ADOPTED];
	kf_peer_ended ended[KF_PEER_MAX_ADOPTED];
	kf_peer_msg msg = { .body.type = KF_PEER_HANDOVER };
	kf_peer_handover *out = &msg.body.kf_peer_body_u.handover;
	size_t first = (size_t)part * FLOWS_PER_PART, i;
	uint32_t receiver;

	out->part = part;
	out->parts = h->parts;
	out->shard = t->config.shard;
	out->adopted.adopted_val = adopted;
	out->adopted.adopted_len = fill_adopted(t, adopted);
	out->ended.ended_val = ended;
	out->ended.ended_len = lease_fill_ended(t, ended, KF_PEER_MAX_ADOPTED);
	out->flows.flows_val = flows;
	for (i = 0; i < FLOWS_PER_PART && first + i < h->flow_count; i++)
		fill_flow(t, &h->flows[first + i], &flows[i], requests[i]);
	out->flows.flows_len = (u_int)i;
	for (receiver = 0; receiver < h->receiver_count; receiver++) {
		if (!h->acked[receiver * h->parts + part])
			peer_send_message(t,
			    kf_view_vm(t->view, h->receiver[receiver]),
			    t->config.shard, &msg);
	}
}

static bool
handover_complete(const handover_t *h)
{
	uint32_t i;

	for (i = 0; i < h->receiver_count * h->parts; i++) {
		if (!h->acked[i])
			return false;
	}
	return true;
}

static void
adoption_delete(adoption_t *a)
{
	free(a->part_received);
	free(a->ended);
	free(a);
}

/* Deletes adoptions of VMs that no valid token can name any more. */
static void
adoptions_expire(kf_traffic_t *t)
{
	int64_t keep_us =
	    (t->config.token_lifetime_s + KF_RETRANSMIT_HORIZON_S) * 1000000;
	apr_hash_index_t *hi;

	for (hi = apr_hash_first(NULL, t->adoptions); hi != NULL;
	     hi = apr_hash_next(hi)) {
		adoption_t *a = apr_hash_this_val(hi);

		if (t->now.mono_us - a->first_part_us < keep_us)
			continue;
		apr_hash_set(t->adoptions, &a->id, sizeof(a->id), NULL);
		adoption_delete(a);
	}
}

/* Runs the handover once this VM shuts down and has no request in progress. */
void
handover_tick(kf_traffic_t *t)
{
	handover_t *h = t->handover;
	uint32_t part;

	adoptions_expire(t);
	if (!t->shutting_down || t->shutdown_complete || t->request_count > 0)
		return;
	if (h == NULL) {
		h = t->handover = handover_new(t);
		if (h == NULL) {
			t->shutdown_complete = true;
			return;
		}
	}
	if (handover_complete(h) ||
	    t->now.mono_us - h->started_us >= HANDOVER_TIMEOUT_US) {
		lease_send_end(t);
		t->shutdown_complete = true;
		return;
	}
	if (t->now.mono_us - h->sent_us < PART_RESEND_US)
		return;
	h->sent_us = t->now.mono_us;
	for (part = 0; part < h->parts; part++)
		send_part(t, h, part);
}

void
handover_on_ack(
    kf_traffic_t *t, kf_vm_id_t from, const kf_peer_handover_ack *ack)
{
	handover_t *h = t->handover;
	uint32_t receiver;

	if (h == NULL || ack->part >= h->parts)
		return;
	for (receiver = 0; receiver < h->receiver_count; receiver++) {
		if (h->receiver[receiver].vm == from.vm &&
		    h->receiver[receiver].incarnation == from.incarnation)
			h->acked[receiver * h->parts + ack->part] = 1;
	}
}

static adoption_t *
adoption_find(const kf_traffic_t *t, kf_vm_id_t id)
{
	kf_vm_id_t key;

	/* The hash covers the padding of the key. */
	memset(&key, 0, sizeof(key));
	key.vm = id.vm;
	key.incarnation = id.incarnation;
	return apr_hash_get(t->adoptions, &key, sizeof(key));
}

static adoption_t *
adoption_get(kf_traffic_t *t, kf_vm_id_t id, uint32_t parts)
{
	adoption_t *a = adoption_find(t, id);

	if (a != NULL)
		return a->parts == parts ? a : NULL;
	a = calloc(1, sizeof(*a));
	if (a == NULL)
		return NULL;
	a->id.vm = id.vm;
	a->id.incarnation = id.incarnation;
	a->parts = parts;
	a->first_part_us = t->now.mono_us;
	a->part_received = calloc(parts + 1, 1);
	if (a->part_received == NULL) {
		free(a);
		return NULL;
	}
	apr_hash_set(t->adoptions, &a->id, sizeof(a->id), a);
	return a;
}

static kf_status_t
adopt_flow(kf_traffic_t *t, const kf_peer_handover_flow *in)
{
	kf_flow_export_t flow = {
		.owner = { in->owner.vm, in->owner.incarnation },
		.flow = in->flow,
		.floor = in->floor,
		.count = in->requests.requests_len,
	};
	uint32_t i;

	/* This VM has its own records of the flows that it owns. */
	if (flow.owner.vm == t->config.self.vm &&
	    flow.owner.incarnation == t->config.self.incarnation)
		return KF_OK;
	for (i = 0; i < flow.count; i++) {
		const kf_peer_handover_request *r =
		    &in->requests.requests_val[i];

		flow.requests[i].xid = r->xid;
		flow.requests[i].generation = r->generation;
		flow.requests[i].refused = r->refused != 0;
	}
	return kf_flow_import(t->flows, t->now.mono_us, &flow);
}

/*
 * Marks the adoptions of the ended VM as complete here too, as its parts
 * contained their records.
 */
static void
mark_adopted_complete(kf_traffic_t *t, const kf_peer_handover *part)
{
	u_int i;

	for (i = 0; i < part->adopted.adopted_len; i++) {
		const kf_peer_id *peer = &part->adopted.adopted_val[i];
		kf_vm_id_t id = { peer->vm, peer->incarnation };
		adoption_t *a;

		if (adoption_find(t, id) != NULL)
			continue;
		a = adoption_get(t, id, 0);
		if (a != NULL)
			a->complete = true;
	}
}

static bool
adoption_store_ended(adoption_t *a, const kf_peer_handover *part)
{
	size_t bytes = part->ended.ended_len * sizeof(*a->ended);

	free(a->ended);
	a->ended = malloc(bytes + 1);
	if (a->ended == NULL)
		return false;
	a->ended_count = part->ended.ended_len;
	if (bytes > 0)
		memcpy(a->ended, part->ended.ended_val, bytes);
	return true;
}

void
handover_receive_part(
    kf_traffic_t *t, kf_vm_id_t from, const kf_peer_handover *part)
{
	kf_peer_msg ack = { .body.type = KF_PEER_HANDOVER_ACK };
	adoption_t *a;
	u_int i;

	if (part->parts == 0 || part->part >= part->parts)
		return;
	a = adoption_get(t, from, part->parts);
	if (a == NULL)
		return;
	for (i = 0; i < part->flows.flows_len; i++) {
		/* A part is not acknowledged if the flow table is full. */
		if (adopt_flow(t, &part->flows.flows_val[i]) == KF_ERR_FULL)
			return;
	}
	if (!a->part_received[part->part]) {
		a->part_received[part->part] = 1;
		a->parts_received++;
	}
	if (a->parts_received == a->parts) {
		a->complete = adoption_store_ended(a, part);
		mark_adopted_complete(t, part);
	}
	ack.body.kf_peer_body_u.handover_ack.part = part->part;
	peer_send_message(t, kf_view_vm(t->view, from), part->shard, &ack);
}

static bool
handover_forward(kf_traffic_t *t, packet_t *pkt, kf_vm_id_t last_ended,
    int64_t gone_since_us)
{
	int64_t age_ms = (t->now.mono_us - gone_since_us) / 1000;
	successor_t best[SUCCESSORS];
	uint32_t i, skip = pkt->hops;

	find_successors(t, last_ended, t->now.wall_ms - age_ms, best);
	for (i = 0; i < SUCCESSORS && best[i].vm != NULL; i++) {
		if (best[i].vm == &t->view->vms[t->view->self_index])
			continue;
		if (skip-- > 0)
			continue;
		peer_forward(t, pkt, best[i].vm);
		return true;
	}
	return false;
}

/* Returns what an adopted VM knew of the end of another, or NULL. */
static const kf_peer_ended *
find_observed_end(const adoption_t *a, kf_vm_id_t id)
{
	u_int i;

	for (i = 0; i < a->ended_count; i++) {
		if (a->ended[i].id.vm == id.vm &&
		    a->ended[i].id.incarnation == id.incarnation)
			return &a->ended[i];
	}
	return NULL;
}

/*
 * Returns true if this VM has every record of a token's flow.  The records of
 * the backup are enough if the owner ended first, as the backup acknowledged
 * whatever the owner dispatched.  Those of the owner are enough if the backup
 * ended first and had not fenced the owner.  Otherwise both are needed.
 */
static bool
records_complete(const kf_traffic_t *t, const kf_token_t *token)
{
	const adoption_t *owner = adoption_find(t, token->owner);
	const adoption_t *backup = adoption_find(t, token->backup);
	const kf_peer_ended *ended;

	if (owner != NULL && !owner->complete)
		owner = NULL;
	if (backup != NULL && !backup->complete)
		backup = NULL;
	if (token->backup.vm == 0 || (owner != NULL && backup != NULL))
		return owner != NULL;
	if (backup != NULL)
		return find_observed_end(backup, token->owner) != NULL;
	if (owner == NULL)
		return false;
	ended = find_observed_end(owner, token->backup);
	return ended != NULL && ended->cannot_have_fenced;
}

/*
 * Handles a request whose owner and backup have both ended if this VM has their
 * records, or forwards it to a successor of the one that ended last.  Returns
 * false if neither is possible.
 */
bool
handover_route(kf_traffic_t *t, packet_t *pkt)
{
	uint32_t upstream = pkt->token.upstream;
	kf_vm_id_t last_ended = pkt->token.owner;
	int64_t last_gone_since_us =
	    lease_gone_since_us(t, last_ended, upstream);
	int64_t backup_gone_since_us =
	    lease_gone_since_us(t, pkt->token.backup, upstream);

	if (records_complete(t, &pkt->token)) {
		if (kf_flow_fence(t->flows, t->now.mono_us, pkt->token.owner) !=
		    KF_OK)
			return false;
		backup_take_over(t, pkt);
		return true;
	}
	if (backup_gone_since_us >= last_gone_since_us) {
		last_ended = pkt->token.backup;
		last_gone_since_us = backup_gone_since_us;
	}
	if (last_gone_since_us < 0 || pkt->hops >= FORWARD_HOPS_MAX)
		return false;
	return handover_forward(t, pkt, last_ended, last_gone_since_us);
}

void
handover_delete(kf_traffic_t *t)
{
	apr_hash_index_t *hi;

	for (hi = apr_hash_first(NULL, t->adoptions); hi != NULL;
	     hi = apr_hash_next(hi))
		adoption_delete(apr_hash_this_val(hi));
	if (t->handover == NULL)
		return;
	free(t->handover->flows);
	free(t->handover->acked);
	free(t->handover);
}
