#include <stdio.h>
#include <stdlib.h>

#include "kf/clock.h"

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
	    "config_version=%llu own_contact_age_ms=%lld contact_age_ms=%lld "
	    "rank=%u zone_vms=%u known_vms=%u patience_us=%lld\n",
	    s->vm, s->zone, s->ready ? "yes" : "no", s->leaving ? "yes" : "no",
	    (unsigned long long)s->position.era,
	    (unsigned long long)s->position.revision,
	    routes == NULL ? 0ULL : (unsigned long long)routes->version,
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
	    "cold_allowance=%s\n",
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
	const kf_target_t *target =
	    pool->own_zone_count > 0 ? pool->own_zone[0] : pool->other_zones[0];
	kf_pool_usage_t usage = kf_pool_get_usage(pool, now_us);

	fprintf(out,
	    "record=service service=%s slots=%llu requests=%llu limit=%.1f "
	    "flows_per_slot=%.2f load=%.2f mean_load=%.2f own_zone_load=%.2f\n",
	    target->info.service_name, (unsigned long long)usage.slots,
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

/* Writes the upstreams of a service, or all upstreams if service is 0. */
static void
write_targets(FILE *out, const char *record, kf_forwarder_t *forwarder,
    uint64_t service, int64_t now_us)
{
	const kf_directory_t *directory = kf_forwarder_directory(forwarder);
	size_t i;

	for (i = 0; i < kf_directory_count(directory); i++) {
		const kf_target_t *target = kf_directory_at(directory, i);

		if (service == 0 || target->info.service == service)
			write_target(out, record, target,
			    kf_forwarder_position(forwarder), now_us);
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
	write_targets(out, "upstream", forwarder, 0, s->now_us);
	packet_thread_unlock(packets);
	fclose(out);
	return text;
}

static void
write_route(FILE *out, const kf_flow_explanation_t *e)
{
	if (e->route == NULL)
		fprintf(out,
		    "record=route route=- outcome=refused "
		    "reason=\"no route has the address\"\n");
	else if (e->route->removed)
		fprintf(out,
		    "record=route route=%s outcome=refused "
		    "reason=\"the route was removed\"\n",
		    e->route->name);
	else if (e->choice.target == NULL)
		fprintf(out,
		    "record=route route=%s outcome=refused "
		    "reason=\"no upstream is eligible\"\n",
		    e->route->name);
	else
		fprintf(out,
		    "record=route route=%s outcome=placed upstream=%s "
		    "health=%s load=%.2f eligible=%u reason=\"healthiest, then "
		    "least load, then in turn\"\n",
		    e->route->name, e->choice.target->info.name,
		    kf_health_name(e->choice.health), e->choice.load,
		    e->choice.eligible);
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
	write_route(out, &explanation);
	if (explanation.flow != NULL)
		write_flow(out, explanation.flow, forwarder, now_us);
	if (explanation.service != 0) {
		zone_balancing_render(out, forwarder, explanation.service);
		write_targets(
		    out, "candidate", forwarder, explanation.service, now_us);
	}
	packet_thread_unlock(packets);
	fclose(out);
	return text;
}
