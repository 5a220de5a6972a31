#include <stdlib.h>

#include "forwarder_internal.h"

enum {
	/* An answer is complete if its client has sent nothing for this time: a
	 * lost part is sent again after 200 ms. */
	ANSWER_QUIET_US = 250000,
	/* Longest time that the record of an idle flow is kept; flows live 60 s
	 * on the supported deployments. */
	IDLE_RECORD_MAX_US = 60000000,
	RESET_INTERVAL_US = 100000,
	FIRST_ZONES = 8,
};

void
kf_forwarder_set_dead_after(kf_forwarder_t *f, int64_t dead_after_us)
{
	f->dead.after_us = dead_after_us;
}

void
kf_forwarder_set_stability(kf_forwarder_t *f, int64_t stability_us)
{
	f->stability_us = stability_us;
}

static bool
reserve_zone(dead_state_t *d)
{
	size_t cap = d->zone_cap == 0 ? FIRST_ZONES : d->zone_cap * 2;
	dead_zone_t *grown;

	if (d->zone_count < d->zone_cap)
		return true;
	grown = realloc(d->zones, cap * sizeof(*grown));
	if (grown == NULL)
		return false;
	d->zones = grown;
	d->zone_cap = cap;
	return true;
}

/* Returns the entry of a zone, valid until the next call; NULL if memory is
 * short. */
static dead_zone_t *
find_zone(kf_forwarder_t *f, uint64_t zone)
{
	dead_state_t *d = &f->dead;
	size_t i;

	for (i = 0; i < d->zone_count; i++)
		if (d->zones[i].zone == zone)
			return &d->zones[i];
	if (!reserve_zone(d))
		return NULL;
	d->zones[d->zone_count] = (dead_zone_t){ .zone = zone };
	return &d->zones[d->zone_count++];
}

static void
record_liveness(
    kf_forwarder_t *f, const kf_target_t *target, kf_forward_event_t event)
{
	kf_forward_record_t record = { .event = event, .target = target };

	forwarder_record(f, &record);
}

static void
note_links(kf_forwarder_t *f, const kf_target_t *target, int64_t now_us)
{
	dead_zone_t *zone = find_zone(f, target->info.zone);

	if (zone != NULL)
		zone->alive_us = now_us;
	f->dead.alive_us = now_us;
	if (target->info.zone != kf_directory_zone(f->directory))
		kf_isolation_heard(&f->isolation, now_us);
}

void
dead_note_alive(kf_forwarder_t *f, kf_target_t *target, int64_t now_us)
{
	if (target == NULL)
		return;
	note_links(f, target, now_us);
	if (f->dead.after_us > 0 &&
	    kf_dead_upstream_alive(&target->dead, now_us))
		record_liveness(f, target, KF_FORWARD_ALIVE);
}

/* Returns true for an upstream that drains: it may have closed its listener
 * while it serves its flows. */
static bool
is_exempt(const kf_target_t *target)
{
	return target->info.draining && !kf_target_has_left(target);
}

static bool
is_dead(const kf_target_t *target)
{
	return target->dead.liveness == KF_LIVENESS_DEAD && !is_exempt(target);
}

/* Returns true if there is recent evidence to reset flows of an upstream.  Asks
 * for it otherwise, and when it will be too old for the next flow. */
static bool
is_certain(const kf_forwarder_t *f, kf_target_t *target, int64_t now_us)
{
	kf_dead_upstream_want_probe(&target->dead);
	return kf_dead_upstream_may_reset(&target->dead,
	    forwarder_evidence_age_us(f, KF_DEAD_EVIDENCE_US), now_us);
}

void
dead_note_unanswered(kf_forwarder_t *f, kf_target_t *target, int64_t since_us,
    bool reported, int64_t now_us)
{
	if (target == NULL || f->dead.after_us == 0 || is_exempt(target))
		return;
	kf_dead_upstream_unanswered(&target->dead, since_us, reported, now_us);
	f->dead.watching =
	    f->dead.watching || target->dead.liveness != KF_LIVENESS_ALIVE;
}

/*
 * Takes evidence from a client's packet.  An acknowledgement without data comes
 * soon after the answer; one with the next request may come long after it.
 */
void
dead_note_packet(kf_forwarder_t *f, kf_flow_t *flow, const kf_packet_t *packet,
    kf_target_t *target, int64_t now_us)
{
	if (packet->payload_bytes == 0 && !packet->fin && !packet->rst &&
	    flow->acknowledged_known &&
	    (int32_t)(packet->acknowledged - flow->acknowledged) > 0)
		dead_note_alive(f, target, now_us);
	/* A packet that was overtaken has an older number. */
	if (!flow->acknowledged_known ||
	    (int32_t)(packet->acknowledged - flow->acknowledged) > 0)
		flow->acknowledged = packet->acknowledged;
	flow->acknowledged_known = true;
}

bool
dead_keep_idle(kf_forwarder_t *f, kf_flow_t *flow)
{
	kf_target_t *target = kf_directory_find(f->directory, flow->token);

	if (f->dead.after_us == 0 || !flow->acknowledged_known)
		return false;
	flow_clear_busy(f, flow);
	if (target != NULL && target->open > 0)
		target->open--;
	flow_release_tries(f, flow);
	kf_conntrack_set_idle(f->flows, flow);
	return true;
}

void
dead_expire_idle(kf_forwarder_t *f, int64_t now_us)
{
	int64_t limit_us = IDLE_RECORD_MAX_US;
	kf_flow_t *flow;

	if (f->routes != NULL && f->routes->idle_timeout_us > 0 &&
	    f->routes->idle_timeout_us < limit_us)
		limit_us = f->routes->idle_timeout_us;
	while ((flow = kf_conntrack_first(f->flows, KF_FLOW_IDLE)) != NULL &&
	    now_us - flow->last_packet_us >= limit_us)
		kf_conntrack_remove(f->flows, flow);
}

bool
dead_idle_packet(kf_forwarder_t *f, kf_flow_t *flow, const kf_packet_t *packet,
    kf_target_t *target, int64_t now_us)
{
	if (packet->payload_bytes > 0 || packet->fin || packet->rst) {
		kf_conntrack_remove(f->flows, flow);
		return false;
	}
	dead_note_packet(f, flow, packet, target, now_us);
	if (flow->request_started_us != 0 &&
	    (int32_t)(packet->acknowledged - flow->request_ack) > 0)
		flow->answering = true;
	flow->last_packet_us = now_us;
	kf_conntrack_set_idle(f->flows, flow);
	return true;
}

static void
reset_flow(kf_forwarder_t *f, kf_flow_t *flow, const kf_packet_t *packet,
    const kf_target_t *target, int64_t now_us)
{
	kf_forward_record_t record =
	    make_flow_record(f, flow, KF_FORWARD_RESET, target, now_us);

	record.verdict = KF_MAY_HAVE_RUN;
	record.reason = KF_REASON_UPSTREAM_LOST;
	record.evidence_age_us =
	    target->dead.replaced ? 0 : now_us - target->dead.evidence_us;
	f->callbacks.reset(f->callbacks.ctx, packet);
	forwarder_record(f, &record);
}

/* Answers a packet of a flow that this VM has no record of. */
static void
reset_unknown_flow(kf_forwarder_t *f, const kf_packet_t *packet,
    const kf_target_t *target, int64_t now_us)
{
	kf_flow_t flow = {
		.client = packet->client,
		.address = packet->address,
		.hash = kf_flow_hash(packet->client, packet->address),
		.started_us = now_us,
	};

	reset_flow(f, &flow, packet, target, now_us);
}

bool
dead_answers_packet(kf_forwarder_t *f, const kf_packet_t *packet,
    const kf_route_t *route, kf_target_t *target, int64_t now_us)
{
	kf_flow_t *flow;

	if (!is_dead(target) || packet->rst || packet->fin || route == NULL ||
	    !route->idempotent)
		return false;
	flow = kf_conntrack_find(f->flows, packet->client, packet->address);
	if (flow != NULL && flow->state == KF_FLOW_OPENING)
		return false; /* the packet shows that the upstream answered */
	if (!is_certain(f, target, now_us))
		return false;
	if (flow == NULL || flow->token != packet->token) {
		reset_unknown_flow(f, packet, target, now_us);
		return true;
	}
	dead_note_packet(f, flow, packet, target, now_us);
	if (!is_dead(target))
		return false;
	reset_flow(f, flow, packet, target, now_us);
	flow_close(f, flow);
	return true;
}

/*
 * Returns true if a flow of a dead upstream may be reset now.  When the number
 * of VMs changes, routers move flows, and a request that must run once may be
 * in progress through another VM, unless the upstream has ended for certain.
 */
static bool
may_reset(const kf_forwarder_t *f, const kf_flow_t *flow,
    const kf_target_t *target, int64_t now_us)
{
	const kf_route_t *route = kf_route_table_find(f->routes, flow->address);

	if (route == NULL || route->removed || !flow->acknowledged_known)
		return false;
	return route->idempotent ||
	    (flow->answering &&
		(target->dead.replaced ||
		    flow->last_packet_us > f->vm_count_changed_us) &&
		now_us - flow->last_packet_us >= ANSWER_QUIET_US);
}

static bool
has_flows(const kf_forwarder_t *f, kf_flow_state_t state, uint32_t token)
{
	const kf_flow_t *flow = kf_conntrack_first(f->flows, state);

	while (flow != NULL && flow->token != token)
		flow = kf_conntrack_next(f->flows, flow);
	return flow != NULL;
}

bool
dead_has_flows(const kf_forwarder_t *f, const kf_target_t *target)
{
	return has_flows(f, KF_FLOW_OPEN, target->token) ||
	    has_flows(f, KF_FLOW_IDLE, target->token);
}

static void
reset_flows(kf_forwarder_t *f, kf_flow_state_t state, int64_t now_us)
{
	kf_flow_t *flow, *next;

	for (flow = kf_conntrack_first(f->flows, state); flow != NULL;
	     flow = next) {
		kf_target_t *target =
		    kf_directory_find(f->directory, flow->token);
		kf_packet_t packet = {
			.client = flow->client,
			.address = flow->address,
			.acknowledged = flow->acknowledged,
			.token = flow->token,
		};

		next = kf_conntrack_next(f->flows, flow);
		if (target == NULL || !is_dead(target) ||
		    !may_reset(f, flow, target, now_us) ||
		    !is_certain(f, target, now_us))
			continue;
		reset_flow(f, flow, &packet, target, now_us);
		flow_close(f, flow);
	}
}

void
dead_reset_flows(kf_forwarder_t *f, int64_t now_us)
{
	if (f->dead.dead_count == 0 || now_us < f->dead.reset_us)
		return;
	f->dead.reset_us = now_us + RESET_INTERVAL_US;
	reset_flows(f, KF_FLOW_OPEN, now_us);
	reset_flows(f, KF_FLOW_IDLE, now_us);
}

static void
add_probe(kf_forwarder_t *f, kf_target_t *target, kf_probe_t *probes,
    size_t *count, int64_t now_us)
{
	probes[(*count)++] = (kf_probe_t){
		.token = target->token,
		.address = target->info.address,
	};
	kf_dead_upstream_probe_sent(&target->dead, now_us);
	f->stats.probes++;
}

/* Returns the upstream of a zone that was last seen alive, or NULL. */
static kf_target_t *
find_control(kf_forwarder_t *f, uint64_t zone, int64_t now_us)
{
	kf_target_t *best = NULL;
	size_t i;

	for (i = 0; i < kf_directory_count(f->directory); i++) {
		const kf_target_t *t = kf_directory_at(f->directory, i);

		if (t->info.zone != zone || t->listing != KF_LISTED ||
		    t->token_conflict || t->info.draining ||
		    !kf_dead_upstream_may_be_control(&t->dead, now_us) ||
		    (best != NULL && t->dead.alive_us <= best->dead.alive_us))
			continue;
		best = kf_directory_find(f->directory, t->token);
	}
	return best;
}

/* Adds a control for each zone that needs one. */
static void
add_controls(kf_forwarder_t *f, kf_probe_t *probes, size_t *count, size_t max,
    int64_t now_us)
{
	kf_target_t *control;
	size_t i;

	for (i = 0; i < f->dead.zone_count && *count < max; i++) {
		dead_zone_t *zone = &f->dead.zones[i];

		if (!zone->control_due)
			continue;
		zone->control_due = false;
		zone->control_us = now_us;
		control = find_control(f, zone->zone, now_us);
		if (control != NULL)
			add_probe(f, control, probes, count, now_us);
	}
}

/*
 * A dead upstream that has left publishes a new entry if it starts again, and
 * is probed only to reset flows: it may live, cut off from the store.
 */
static bool
is_probe_due(const kf_target_t *target, int64_t now_us)
{
	if (target->dead.liveness == KF_LIVENESS_DEAD &&
	    kf_target_has_left(target))
		return kf_dead_upstream_wanted_probe_due(&target->dead, now_us);
	return kf_dead_upstream_probe_due(&target->dead, now_us);
}

/* Notes whether the probe of a suspect needs a control: its failure counts only
 * if the links to the zone are known to work. */
static void
check_control(kf_forwarder_t *f, const kf_target_t *target, int64_t now_us)
{
	dead_zone_t *zone = find_zone(f, target->info.zone);

	if (zone != NULL &&
	    kf_dead_upstream_needs_control(
		&target->dead, zone->alive_us, zone->control_us, now_us))
		zone->control_due = true;
}

/* Marks replaced upstreams as dead and has their flows reset.  One is no longer
 * replaced if the entry of the other one is gone, too. */
static void
update_replaced(kf_forwarder_t *f)
{
	bool replaced;
	size_t i;

	for (i = 0; i < kf_directory_count(f->directory); i++) {
		kf_target_t *target = kf_directory_find(
		    f->directory, kf_directory_at(f->directory, i)->token);

		if (target == NULL)
			continue;
		replaced = kf_directory_is_replaced(f->directory, target);
		if (replaced == target->dead.replaced)
			continue;
		if (!replaced) {
			kf_dead_upstream_not_replaced(&target->dead);
			continue;
		}
		if (kf_dead_upstream_replaced(&target->dead))
			record_liveness(f, target, KF_FORWARD_DEAD);
		f->dead.watching = true;
		f->dead.reset_us = 0;
	}
}

size_t
kf_forwarder_take_probes(
    kf_forwarder_t *f, int64_t now_us, kf_probe_t *probes, size_t max)
{
	size_t i, count = 0, dead = 0, watched = 0;

	outlier_run_due(f, now_us);
	if (f->dead.after_us > 0 && kf_directory_take_changed(f->directory))
		update_replaced(f);
	if (!f->dead.watching)
		return 0;
	for (i = 0; i < kf_directory_count(f->directory); i++) {
		kf_target_t *target = kf_directory_find(
		    f->directory, kf_directory_at(f->directory, i)->token);

		/* An upstream added by a batch of updates is not indexed yet.
		 */
		if (target == NULL)
			continue;
		dead += target->dead.liveness == KF_LIVENESS_DEAD;
		watched += target->dead.liveness != KF_LIVENESS_ALIVE;
		check_control(f, target, now_us);
		/* One place is left for the control. */
		if (count + 1 >= max || !is_probe_due(target, now_us))
			continue;
		add_probe(f, target, probes, &count, now_us);
	}
	f->dead.dead_count = dead;
	f->dead.watching = watched > 0;
	add_controls(f, probes, &count, max, now_us);
	return count;
}

/*
 * Returns the time of the last evidence that the links to an upstream work.  If
 * its entry is gone, an upstream of any zone will do.
 */
static int64_t
links_us(kf_forwarder_t *f, const kf_target_t *target)
{
	const dead_zone_t *zone = find_zone(f, target->info.zone);

	if (kf_target_has_left(target))
		return f->dead.alive_us + KF_DEAD_CHECK_US;
	return zone == NULL ? 0 : zone->alive_us;
}

bool
kf_forwarder_probe_result(
    kf_forwarder_t *f, uint32_t token, bool accepted, int64_t now_us)
{
	kf_target_t *target = kf_directory_find(f->directory, token);
	bool was_dead;

	if (target == NULL)
		return false;
	was_dead = target->dead.liveness == KF_LIVENESS_DEAD;
	if (is_exempt(target) && !target->dead.replaced)
		target->dead.liveness = KF_LIVENESS_ALIVE;
	if (accepted) {
		note_links(f, target, now_us);
		if (kf_dead_upstream_accepted(&target->dead, now_us))
			record_liveness(f, target, KF_FORWARD_ALIVE);
		return false;
	}
	if (!kf_dead_upstream_probe_failed(
		&target->dead, links_us(f, target), f->dead.after_us, now_us))
		return false;
	f->dead.reset_us = 0;
	if (!was_dead) {
		f->dead.dead_count++;
		record_liveness(f, target, KF_FORWARD_DEAD);
	}
	return true;
}

void
kf_forwarder_probe_cancelled(kf_forwarder_t *f, uint32_t token)
{
	kf_target_t *target = kf_directory_find(f->directory, token);

	if (target != NULL)
		target->dead.probing = false;
}
