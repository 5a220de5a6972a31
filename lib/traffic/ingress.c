#include <string.h>

#include "traffic_internal.h"

enum {
	/*
	 * Callers retransmit for about this long.  While the owner or the
	 * backup of a request has been silent for less, the request is dropped:
	 * a reply that its outcome is unknown would break a flow of which a VM
	 * still has the records.
	 */
	DEAD_VM_GRACE_US = 10000000,
};

/* Copies uid and gid of an AUTH_SYS credential into the token. */
static void
ingress_set_identity(const packet_t *pkt, kf_token_t *token)
{
	kf_rpc_auth_sys_t sys;

	if (kf_rpc_auth_sys_parse(&pkt->call.cred, &sys) != KF_OK)
		return;
	token->uid = sys.uid;
	token->gid = sys.gid;
}

static void
ingress_report_placement(
    kf_traffic_t *t, const packet_t *pkt, const placement_t *place)
{
	kf_decision_t decision = {
		.event = KF_EVENT_PLACE,
		.service = pkt->service->name,
		.selector = place->selector->name,
		.upstream = t->view->decl->upstreams[place->upstream].name,
		.caller = pkt->route.caller,
		.flow = pkt->token.flow,
		.xid = pkt->call.xid,
		.proc = pkt->call.proc,
		.revision = t->view->decl->revision,
	};

	kf_counters_add(&t->counters, KF_COUNT_FLOWS_PLACED, 1);
	t->config.ops.decision(t->config.ops.ctx, &decision);
}

/* Answers procedure 0, which establishes a flow or renews its token. */
static void
ingress_handle_null(kf_traffic_t *t, packet_t *pkt)
{
	kf_liveness_t liveness;
	placement_t place;

	if (pkt->has_token && !pkt->expired) {
		liveness = kf_view_liveness(t->view, pkt->token.owner);
		if (liveness <= KF_VM_SUSPECT &&
		    place_may_keep_upstream(t, pkt->service, &pkt->token)) {
			place_renew_token(t, &pkt->token);
			reply_send_null(t, pkt, &pkt->token);
			return;
		}
	}
	if (place_new_flow(t, pkt->service, KF_VIEW_NONE, &place) != KF_OK ||
	    (ingress_set_identity(pkt, &pkt->token),
		place_fill_token(t, pkt->service, &place, &pkt->token)) !=
		KF_OK) {
		packet_refuse(t, pkt, KF_REASON_NO_UPSTREAM);
		return;
	}
	ingress_report_placement(t, pkt, &place);
	reply_send_null(t, pkt, &pkt->token);
}

/*
 * Places an idempotent call without a token.  The hash of the call chooses the
 * upstream and is its flow id.
 */
static bool
ingress_place_call(kf_traffic_t *t, packet_t *pkt)
{
	placement_t place;
	uint64_t flow = packet_flow_hash(pkt);

	if (place_by_hash(t, pkt->service, flow, &place) != KF_OK ||
	    place_fill_token(t, pkt->service, &place, &pkt->token) != KF_OK) {
		packet_refuse(t, pkt, KF_REASON_NO_UPSTREAM);
		return false;
	}
	pkt->token.flow = flow;
	ingress_set_identity(pkt, &pkt->token);
	if (kf_token_seal(&pkt->token, t->keys, t->now.wall_ms / 1000,
		pkt->route.caller.ip, pkt->token_bytes) != KF_OK) {
		packet_drop(t, pkt, KF_REASON_NO_CONFIG);
		return false;
	}
	pkt->has_token = true;
	pkt->new_flow = true;
	ingress_report_placement(t, pkt, &place);
	return true;
}

/*
 * Returns true if a VM that counts as dead has been silent for less than
 * DEAD_VM_GRACE_US.  It may still answer, or the report of its end may still
 * arrive.
 */
static bool
vm_died_recently(const kf_traffic_t *t, kf_vm_id_t id, uint32_t upstream)
{
	const kf_view_vm_t *vm = kf_view_vm(t->view, id);

	return vm != NULL && lease_liveness(t, id, upstream) == KF_VM_DEAD &&
	    t->now.mono_us - vm->heard_us < DEAD_VM_GRACE_US;
}

/*
 * Returns true if views have been settled for horizon_us, and this one lists no
 * VM that is dead or has not been heard yet.
 */
static bool
ingress_fleet_fully_known(const kf_traffic_t *t, int64_t horizon_us)
{
	uint32_t i;

	if (t->now.mono_us - t->views_settled_since_us < horizon_us)
		return false;
	for (i = 0; i < t->view->vm_count; i++) {
		kf_liveness_t liveness = t->view->vms[i].liveness;

		if (liveness == KF_VM_UNKNOWN || liveness == KF_VM_DEAD)
			return false;
	}
	return true;
}

/*
 * Returns true if a token was issued at least age_s ago.  Its issue time is the
 * expiry less the token lifetime.  If the end of the key's validity has limited
 * the expiry, the issue time is unknown, and the age counts from the expiry,
 * which never makes it too high.
 */
static bool
ingress_token_older_than(
    const kf_traffic_t *t, const packet_t *pkt, int64_t age_s)
{
	int64_t expiry_s = pkt->token.expiry_s;
	int64_t latest_s =
	    kf_keyring_not_after_s(t->keys, kf_get_u32(pkt->token_bytes + 4)) -
	    KF_TOKEN_KEY_MARGIN_S;

	if (expiry_s < latest_s)
		expiry_s -= t->config.token_lifetime_s;
	return t->now.wall_ms / 1000 - expiry_s >= age_s;
}

/*
 * Returns true if a VM ended at least KF_RETRANSMIT_HORIZON_S ago, so that no
 * copy of a request it executed can still arrive.  Views do not list VMs that
 * ended earlier than that.  They also lack a live VM for the first seconds
 * after its start, or while a partition hides it; other VMs behind the
 * partition are then listed as dead.
 */
static bool
ingress_vm_ended_before_horizon(
    const kf_traffic_t *t, const packet_t *pkt, kf_vm_id_t id)
{
	const int64_t horizon_us = (int64_t)KF_RETRANSMIT_HORIZON_S * 1000000;
	const kf_view_vm_t *vm = kf_view_vm(t->view, id);
	int64_t since_us;

	if (id.vm == 0)
		return true;
	if (vm == NULL)
		return ingress_token_older_than(
			   t, pkt, KF_RETRANSMIT_HORIZON_S) &&
		    ingress_fleet_fully_known(t, horizon_us);
	since_us = lease_gone_since_us(t, id, pkt->token.upstream);
	return since_us >= 0 && t->now.mono_us - since_us >= horizon_us;
}

static bool
ingress_both_ended_before_horizon(const kf_traffic_t *t, const packet_t *pkt)
{
	return ingress_vm_ended_before_horizon(t, pkt, pkt->token.owner) &&
	    ingress_vm_ended_before_horizon(t, pkt, pkt->token.backup);
}

/*
 * Assigns an idempotent call whose owner has ended to the current owner of its
 * upstream.  If the flow may not keep the upstream, the call is placed like one
 * without a token.
 */
static bool
ingress_reassign_owner(kf_traffic_t *t, packet_t *pkt)
{
	placement_t place = { .point = pkt->token.share_point };
	uint64_t flow = packet_flow_hash(pkt);

	if (!place_may_keep_upstream(t, pkt->service, &pkt->token))
		return ingress_place_call(t, pkt);
	place.upstream = place_upstream_index(t, pkt->token.upstream);
	if (place_fill_token(t, pkt->service, &place, &pkt->token) != KF_OK)
		return ingress_place_call(t, pkt);
	pkt->token.flow = flow;
	pkt->token.generation = GENERATION_KEPT_UPSTREAM;
	if (kf_token_seal(&pkt->token, t->keys, t->now.wall_ms / 1000,
		pkt->route.caller.ip, pkt->token_bytes) != KF_OK) {
		packet_drop(t, pkt, KF_REASON_NO_CONFIG);
		return false;
	}
	pkt->new_flow = true;
	return true;
}

/*
 * Handles a request of which neither the owner nor the backup can tell any more
 * whether it has run.
 */
static void
ingress_handle_lost_flow(kf_traffic_t *t, packet_t *pkt)
{
	uint32_t upstream = pkt->token.upstream;

	if (pkt->proc.idempotent) {
		if (pkt->hops > 0)
			packet_drop(t, pkt, KF_REASON_OWNER_LOST);
		else if (ingress_reassign_owner(t, pkt))
			ingress_route(t, pkt);
		return;
	}
	if (handover_route(t, pkt))
		return;
	if (vm_died_recently(t, pkt->token.owner, upstream) ||
	    vm_died_recently(t, pkt->token.backup, upstream))
		packet_drop(t, pkt, KF_REASON_OWNER_LOST);
	else if (ingress_both_ended_before_horizon(t, pkt))
		packet_refuse(t, pkt, KF_REASON_OWNER_LOST);
	else
		packet_answer_unknown(t, pkt, KF_REASON_OWNER_LOST);
}

static bool
is_self(const kf_traffic_t *t, kf_vm_id_t id)
{
	return id.vm == t->config.self.vm &&
	    id.incarnation == t->config.self.incarnation;
}

/*
 * Forwards the packet to the shard of a VM that handles its upstream.  The VM
 * may be this one.
 */
static void
ingress_forward_packet(kf_traffic_t *t, packet_t *pkt, const kf_view_vm_t *vm)
{
	if (pkt->hops >= COPY_HOPS_MAX) {
		packet_drop(t, pkt, KF_REASON_OWNER_LOST);
		return;
	}
	peer_forward(t, pkt, vm);
}

static void
ingress_route_to_backup(kf_traffic_t *t, packet_t *pkt)
{
	const kf_view_vm_t *vm;
	kf_liveness_t liveness;

	if (pkt->token.backup.vm == 0 ||
	    ingress_both_ended_before_horizon(t, pkt)) {
		ingress_handle_lost_flow(t, pkt);
		return;
	}
	vm = kf_view_vm(t->view, pkt->token.backup);
	if (is_self(t, pkt->token.backup) &&
	    kf_view_shard(vm, pkt->token.upstream) == t->config.shard) {
		backup_take_over(t, pkt);
		return;
	}
	liveness = lease_liveness(t, pkt->token.backup, pkt->token.upstream);
	if (liveness >= KF_VM_DEAD)
		ingress_handle_lost_flow(t, pkt);
	else if (vm == NULL || vm->peer_addr.port == 0)
		packet_drop(t, pkt, KF_REASON_OWNER_LOST);
	else
		ingress_forward_packet(t, pkt, vm);
}

/*
 * Routes a packet with a token to the owner of its flow, or to the backup if
 * the owner cannot serve it.
 */
void
ingress_route(kf_traffic_t *t, packet_t *pkt)
{
	const kf_view_vm_t *vm = kf_view_vm(t->view, pkt->token.owner);
	kf_liveness_t liveness;

	if (is_self(t, pkt->token.owner) &&
	    kf_view_shard(vm, pkt->token.upstream) == t->config.shard) {
		owner_handle_packet(t, pkt);
		return;
	}
	/* A fenced owner cannot run the request, even if it is alive again. */
	if (is_self(t, pkt->token.backup) && !pkt->proc.idempotent &&
	    kf_flow_fenced(t->flows, pkt->token.owner)) {
		ingress_route_to_backup(t, pkt);
		return;
	}
	liveness = lease_liveness(t, pkt->token.owner, pkt->token.upstream);
	if (liveness < KF_VM_DEAD && vm != NULL && vm->peer_addr.port != 0) {
		ingress_forward_packet(t, pkt, vm);
		return;
	}
	/*
	 * An idempotent request needs no record of its old owner, so it is
	 * placed again at once.  An owner that the view lists but that has not
	 * been heard yet may be alive.
	 */
	if (pkt->proc.idempotent && (liveness >= KF_VM_DEAD || vm == NULL))
		ingress_handle_lost_flow(t, pkt);
	else
		ingress_route_to_backup(t, pkt);
}

/*
 * Drops or refuses a call that exceeds the ingress limit.  A non-idempotent
 * request with a token is dropped: a copy of it may have been dispatched, and a
 * refusal would state that the request has not run.
 */
static void
ingress_handle_overload(kf_traffic_t *t, packet_t *pkt)
{
	if (pkt->has_token && !pkt->proc.idempotent)
		packet_drop(t, pkt, KF_REASON_OVERLOAD);
	else
		packet_refuse(t, pkt, KF_REASON_OVERLOAD);
}

static void
ingress_handle_call(kf_traffic_t *t, packet_t *pkt)
{
	if (!kf_admission_take_ingress(
		t->admission, t->now.mono_us, pkt->proc.cls)) {
		ingress_handle_overload(t, pkt);
		return;
	}
	if (pkt->call.proc == 0) {
		ingress_handle_null(t, pkt);
		return;
	}
	if (pkt->has_token) {
		ingress_route(t, pkt);
		return;
	}
	if (!pkt->proc.idempotent)
		packet_refuse(t, pkt, KF_REASON_NO_FLOW);
	else if (ingress_place_call(t, pkt))
		ingress_route(t, pkt);
}

void
kf_traffic_on_caller(kf_traffic_t *t, kf_time_t now, const kf_route_t *route,
    const uint8_t *data, size_t len)
{
	packet_t pkt = { .route = *route, .data = data, .len = len };
	kf_reason_t reason;

	t->now = now;
	kf_counters_add(&t->counters, KF_COUNT_CALLER_PACKETS, 1);
	if (t->shutting_down) {
		packet_drop(t, &pkt, KF_REASON_DRAINING);
		return;
	}
	if (t->view == NULL || !t->view->settled) {
		packet_drop(t, &pkt, KF_REASON_NO_CONFIG);
		return;
	}
	reason = packet_parse(t, &pkt);
	switch (reason) {
	case KF_REASON_NONE:
		ingress_handle_call(t, &pkt);
		break;
	case KF_REASON_NO_SERVICE:
		if (pkt.service != NULL)
			reply_send_no_program(t, &pkt);
		packet_drop(t, &pkt, reason);
		break;
	case KF_REASON_TOKEN_BAD:
	case KF_REASON_TOKEN_SERVICE:
	case KF_REASON_TOKEN_EXPIRED:
		packet_refuse(t, &pkt, reason);
		break;
	default:
		packet_drop(t, &pkt, reason);
		break;
	}
}
