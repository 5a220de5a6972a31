#include <stdio.h>
#include <stdlib.h>

#include "kf/clock.h"
#include "kf/flow_explanation.h"

#include "forward_state.h"
#include "zone_balancing.h"

enum { ALLOWANCE_BYTES = 16 };

static void
write_vm(FILE *out, const forward_state_t *s, kf_forwarder_t *forwarder)
{
	const kf_route_table_t *routes = kf_forwarder_routes(forwarder);

	fprintf(out,
	    "record=vm vm=%s zone=%s ready=%s leaving=%s era=%llu "
	    "revision=%llu "
	    "config_version=%llu config_parts_refused=%zu "
	    "own_contact_age_ms=%lld contact_age_ms=%lld "
	    "rank=%u zone_vms=%u known_vms=%u patience_us=%lld\n",
	    s->vm, s->zone, s->ready ? "yes" : "no", s->leaving ? "yes" : "no",
	    (unsigned long long)s->position.era,
	    (unsigned long long)s->position.revision,
	    routes == NULL ? 0ULL : (unsigned long long)routes->version,
	    routes == NULL ? 0 : routes->parts_refused,
	    (long long)kf_age_ms(s->own_contact_us, s->now_us),
	    (long long)kf_age_ms(s->view.contact_us, s->now_us), s->view.rank,
	    s->view.zone_count, s->view.vm_count,
	    (long long)kf_forwarder_hedge_delay_us(forwarder));
}

static void
write_target(FILE *out, const char *record, const kf_target_t *t,
    kf_position_t position, int64_t now_us)
{
	char address[KF_ADDR_TEXT_BYTES], allowance[ALLOWANCE_BYTES] = "-";

	if (kf_target_cold_limited(t, now_us))
		snprintf(allowance, sizeof(allowance), "%u",
		    kf_target_cold_left(t, now_us));
	fprintf(out,
	    "record=%s upstream=%s service=%s zone=%s address=%s slots=%u "
	    "state=%s listing=%s health=%s eligible=%s evacuated=%s load=%.2f "
	    "open=%u "
	    "opening=%u failures=%u cold_left_ms=%lld "
	    "cold_allowance=%s",
	    record, t->info.name, t->info.service_name, t->info.zone_name,
	    kf_addr_format(t->info.address, address), t->info.slots,
	    t->info.draining ? "draining" : "ready",
	    kf_listing_name(t->listing),
	    kf_health_name(kf_target_health(t, now_us)),
	    kf_target_eligible(t, now_us) ? "yes" : "no",
	    t->evacuated ? "yes" : "no", kf_estimate_load(t, position, now_us),
	    t->open, t->opening, t->failures,
	    t->cold_end_us > now_us
		? (long long)((t->cold_end_us - now_us) / 1000)
		: 0LL,
	    allowance);
}

/* Writes the load of a service as of its last new flow at this VM. */
static void
write_service(FILE *out, const kf_pool_t *pool, int64_t now_us)
{
	kf_pool_usage_t usage = kf_pool_get_usage(pool, now_us);

	fprintf(out,
	    "record=service service=%s slots=%llu requests=%llu limit=%.1f "
	    "flows_per_slot=%.2f load=%.2f mean_load=%.2f own_zone_load=%.2f\n",
	    kf_pool_service_name(pool), (unsigned long long)usage.slots,
	    (unsigned long long)usage.flows, pool->load.limit,
	    pool->load.flows_per_slot, pool->load.current, pool->load.mean,
	    pool->load.mean_own_zone);
}

static void
write_services(FILE *out, kf_forwarder_t *forwarder, int64_t now_us)
{
	kf_directory_t *directory = kf_forwarder_directory(forwarder);
	size_t i;

	for (i = 0; i < kf_directory_pool_count(directory); i++) {
		const kf_pool_t *pool = kf_directory_pool_at(directory, i);

		if (pool->own_zone_count + pool->other_zones_count > 0)
			write_service(out, pool, now_us);
	}
}

static void
write_targets(FILE *out, kf_forwarder_t *forwarder, int64_t now_us)
{
	const kf_directory_t *directory = kf_forwarder_directory(forwarder);
	size_t i;

	for (i = 0; i < kf_directory_count(directory); i++) {
		write_target(out, "upstream", kf_directory_at(directory, i),
		    kf_forwarder_position(forwarder), now_us);
		fputc('\n', out);
	}
}

/* Writes the upstreams of the service of a flow, each with the reason why it
 * gets the flow or does not. */
static void
write_candidates(FILE *out, kf_forwarder_t *forwarder,
    const kf_flow_explanation_t *e, int64_t now_us)
{
	const kf_directory_t *directory = kf_forwarder_directory(forwarder);
	kf_position_t position = kf_forwarder_position(forwarder);
	kf_candidate_t reason;
	size_t i;

	for (i = 0; i < kf_directory_count(directory); i++) {
		const kf_target_t *target = kf_directory_at(directory, i);

		if (target->info.service != e->service)
			continue;
		reason =
		    kf_flow_explanation_candidate(e, target, position, now_us);
		write_target(out, "candidate", target, position, now_us);
		fprintf(out, " reason=%s\n", kf_candidate_name(reason));
	}
}

char *
forward_state_render(
    const forward_state_t *s, packet_thread_t *packets, size_t *len)
{
	kf_forwarder_t *forwarder;
	char *text = NULL;
	FILE *out;

	out = open_memstream(&text, len);
	if (out == NULL)
		return NULL;
	forwarder = packet_thread_lock(packets);
	write_vm(out, s, forwarder);
	zone_balancing_render(out, forwarder, 0);
	write_services(out, forwarder, s->now_us);
	write_targets(out, forwarder, s->now_us);
	packet_thread_unlock(packets);
	fclose(out);
	return text;
}

/* Returns the text for a refusal, or for the choice of an upstream. */
static const char *
outcome_text(const kf_flow_explanation_t *e)
{
	if (e->outcome == KF_FLOW_KNOWN)
		return "its packets go where its record says";
	if (e->route == NULL)
		return "no route has the address";
	if (e->route->removed)
		return "the route was removed";
	if (e->route->share_count == 0)
		return "no service of the route can be read";
	if (e->reason == KF_REASON_OVERLOAD)
		return "the service is overloaded";
	if (e->choice.target == NULL)
		return e->choice.cold_passed > 0
		    ? "cold upstreams have no opening left"
		    : "no upstream is eligible";
	if (e->choice.target->last_resort)
		return "the zone is cut off and evacuated: last resort";
	if (e->zone != 0 && e->choice.target->info.zone == e->zone)
		return "a share of the load leaves the zone";
	return "healthiest, then least load, then in turn";
}

/* The load is as of this decision. */
static void
write_route(FILE *out, const kf_flow_explanation_t *e, kf_position_t position)
{
	const kf_target_t *target = e->choice.target;

	fprintf(out, "record=route route=%s outcome=%s",
	    e->route == NULL ? "-" : e->route->name,
	    kf_flow_outcome_name(e->outcome));
	if (target != NULL)
		fprintf(out,
		    " upstream=%s zone=%s health=%s load=%.2f eligible=%u",
		    target->info.name, target->info.zone_name,
		    kf_health_name(e->choice.health), e->choice.load,
		    e->choice.eligible);
	if (e->outcome != KF_FLOW_KNOWN && e->route != NULL && e->service != 0)
		fprintf(out,
		    " priority=%u service_load=%.2f service_mean_load=%.2f "
		    "limit=%.1f rank=%u zone_vms=%u",
		    e->route->priority, e->load.current, e->load.mean,
		    e->load.limit, position.rank, position.vm_count);
	fprintf(out, " reason=\"%s\"\n", outcome_text(e));
}

static void
write_flow(
    FILE *out, const kf_flow_t *flow, kf_forwarder_t *forwarder, int64_t now_us)
{
	const kf_target_t *target =
	    kf_directory_find(kf_forwarder_directory(forwarder), flow->token);

	fprintf(out,
	    "record=flow flow=%016llx state=%s upstream=%s tries=%u copies=%u "
	    "age_ms=%lld\n",
	    (unsigned long long)flow->hash,
	    flow->state == KF_FLOW_OPEN ? "open" : "opening",
	    target == NULL ? "-" : target->info.name, flow->tries, flow->copies,
	    (long long)((now_us - flow->started_us) / 1000));
}

char *
forward_state_explain(packet_thread_t *packets, kf_addr_t client,
    kf_addr_t address, int64_t now_us, size_t *len)
{
	kf_flow_explanation_t explanation;
	kf_forwarder_t *forwarder;
	char *text = NULL;
	FILE *out;

	out = open_memstream(&text, len);
	if (out == NULL)
		return NULL;
	forwarder = packet_thread_lock(packets);
	explanation = kf_forwarder_explain(forwarder, client, address, now_us);
	write_route(out, &explanation, kf_forwarder_position(forwarder));
	if (explanation.flow != NULL)
		write_flow(out, explanation.flow, forwarder, now_us);
	if (explanation.service != 0) {
		zone_balancing_render(out, forwarder, explanation.service);
		write_candidates(out, forwarder, &explanation, now_us);
	}
	packet_thread_unlock(packets);
	fclose(out);
	return text;
}
