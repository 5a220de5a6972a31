#include <string.h>

#include <xxhash.h>

#include "traffic_internal.h"

enum {
	/*
	 * Requests beyond an upstream's slots, as a multiple of the slots,
	 * above which the own zone no longer takes precedence: a new flow's
	 * reply would be late.
	 */
	ZONE_SPILL_EXCESS_RATIO = 4,
};

/*
 * Slow-start factor of an upstream that another VM owns.  A digest shows that
 * slow start is in progress, not how far it is, so this is near the mean (0.55)
 * of the owner's factor, which rises linearly from 0.1 to 1.
 */
static const double remote_slow_start_factor = 0.5;

uint32_t
place_upstream_index(const kf_traffic_t *t, uint32_t upstream_id)
{
	const kf_upstream_t *u =
	    kf_declaration_upstream(t->view->decl, upstream_id);

	return u == NULL ? KF_VIEW_NONE
			 : (uint32_t)(u - t->view->decl->upstreams);
}

/*
 * Returns true if an upstream may get new requests.  Sets the factor by which
 * slow start reduces its weight.
 */
static bool
upstream_eligible(kf_traffic_t *t, uint32_t index, double *weight_factor)
{
	const kf_upstream_t *u = &t->view->decl->upstreams[index];
	const kf_view_upstream_t *vu = &t->view->upstreams[index];
	served_upstream_t *s;

	*weight_factor = 1;
	if (u->draining || vu->owner == KF_VIEW_NONE)
		return false;
	if (vu->owner == t->view->self_index &&
	    (s = served_upstream_find(t, u->id)) != NULL) {
		*weight_factor =
		    kf_upstream_state_weight(s->state, t->now.mono_us, 0);
		return served_upstream_usable(t, s);
	}
	if (vu->digest.flags & KF_DIGEST_COLD)
		*weight_factor = remote_slow_start_factor;
	return !(vu->digest.flags & (KF_DIGEST_EJECTED | KF_DIGEST_DRAINING));
}

typedef enum zone_filter {
	ZONE_OWN,
	ZONE_ANY,
	ZONE_ANY_LAST_RESORT, /* ineligible upstreams too */
} zone_filter_t;

static size_t
collect_candidates(kf_traffic_t *t, const kf_selector_t *selector,
    zone_filter_t filter, uint32_t exclude)
{
	size_t count = 0;
	uint32_t i;

	for (i = 0; i < selector->upstream_count; i++) {
		uint32_t index = selector->upstreams[i];
		const kf_upstream_t *u = &t->view->decl->upstreams[index];
		const kf_view_upstream_t *vu = &t->view->upstreams[index];
		double weight_factor, excess;
		bool eligible;

		if (index == exclude ||
		    (filter == ZONE_OWN && u->zone != t->config.zone))
			continue;
		eligible = upstream_eligible(t, index, &weight_factor);
		if (!eligible &&
		    (filter != ZONE_ANY_LAST_RESORT || u->draining ||
			vu->owner == KF_VIEW_NONE))
			continue;
		excess = vu->digest.load > u->slots
		    ? (double)(vu->digest.load - u->slots) / u->slots
		    : 0;
		if (filter == ZONE_OWN && excess > ZONE_SPILL_EXCESS_RATIO)
			continue;
		t->candidates[count++] = (kf_candidate_t){
			.upstream = index,
			.id = u->id,
			.weight = u->slots * weight_factor,
			/*
			 * All VMs get the same digest, so each reacts to an
			 * equal part of the excess.
			 */
			.excess = excess / t->placing_vm_count,
		};
	}
	return count;
}

static size_t
find_candidates(
    kf_traffic_t *t, const kf_selector_t *selector, uint32_t exclude)
{
	size_t count = 0;

	if (selector->zone_preference == KF_ZONE_LOCAL)
		count = collect_candidates(t, selector, ZONE_OWN, exclude);
	if (count == 0)
		count = collect_candidates(t, selector, ZONE_ANY, exclude);
	if (count == 0)
		count = collect_candidates(
		    t, selector, ZONE_ANY_LAST_RESORT, exclude);
	return count;
}

/* Chooses an upstream for a flow at a point of the service's shares. */
kf_status_t
place_at_point(kf_traffic_t *t, const kf_service_t *service, uint32_t point,
    uint32_t exclude, placement_t *out)
{
	const kf_declaration_t *decl = t->view->decl;
	const kf_selector_t *selector;
	uint32_t chosen;
	size_t count;

	selector = kf_placement_selector(decl, service, point, t->now.wall_ms);
	if (selector == NULL)
		return KF_ERR_NOT_FOUND;
	count = find_candidates(t, selector, exclude);
	if (count == 0)
		return KF_ERR_NOT_FOUND;
	chosen = kf_balance_choose(t->balance,
	    (uint32_t)(selector - decl->selectors), t->candidates, count,
	    kf_random_next(&t->random));
	out->upstream = t->candidates[chosen].upstream;
	out->selector = selector;
	out->point = point;
	return KF_OK;
}

/*
 * Returns true if the point's selector has an eligible upstream other than
 * exclude.
 */
bool
place_has_alternative(kf_traffic_t *t, const kf_service_t *service,
    uint32_t point, uint32_t exclude)
{
	const kf_selector_t *selector;

	selector = kf_placement_selector(
	    t->view->decl, service, point, t->now.wall_ms);
	return selector != NULL &&
	    collect_candidates(t, selector, ZONE_ANY, exclude) > 0;
}

kf_status_t
place_new_flow(kf_traffic_t *t, const kf_service_t *service, uint32_t exclude,
    placement_t *out)
{
	return place_at_point(
	    t, service, kf_share_sequence_next(&t->shares), exclude, out);
}

/*
 * Places a flow by a hash that is the same on all VMs with the same view, so
 * that all copies of a call without a token reach the same owner.  The health
 * of upstreams is ignored here and checked by that owner: digests reach the VMs
 * at different times, and copies placed by health reached different owners, of
 * which one refused as not run what another ran.
 */
kf_status_t
place_by_hash(kf_traffic_t *t, const kf_service_t *service, uint64_t flow,
    placement_t *out)
{
	const kf_selector_t *selector;
	uint64_t score, best_score = 0;
	size_t count, i, best = 0;

	out->point = (uint32_t)(flow >> 48);
	selector = kf_placement_selector(
	    t->view->decl, service, out->point, t->now.wall_ms);
	if (selector == NULL)
		return KF_ERR_NOT_FOUND;
	count =
	    collect_candidates(t, selector, ZONE_ANY_LAST_RESORT, KF_VIEW_NONE);
	if (count == 0)
		return KF_ERR_NOT_FOUND;
	for (i = 0; i < count; i++) {
		score = kf_rendezvous_score(
		    (uint32_t)flow, flow >> 32, t->candidates[i].id);
		if (score >= best_score) {
			best_score = score;
			best = i;
		}
	}
	out->upstream = t->candidates[best].upstream;
	out->selector = selector;
	return KF_OK;
}

/* Returns true if a flow may stay with the upstream of its token. */
bool
place_may_keep_upstream(
    kf_traffic_t *t, const kf_service_t *service, const kf_token_t *token)
{
	const kf_declaration_t *decl = t->view->decl;
	const kf_selector_t *selector;
	uint32_t index;
	double weight_factor;

	index = place_upstream_index(t, token->upstream);
	if (index == KF_VIEW_NONE ||
	    &decl->services[decl->upstreams[index].service] != service)
		return false;
	selector = kf_placement_selector(
	    decl, service, token->share_point, t->now.wall_ms);
	if (selector == NULL ||
	    !kf_selector_matches(selector, &decl->upstreams[index]))
		return false;
	return upstream_eligible(t, index, &weight_factor);
}

uint64_t
place_new_flow_id(kf_traffic_t *t)
{
	uint64_t id;

	do
		id = kf_random_next(&t->random) ^
		    kf_rendezvous_score(t->config.self.vm,
			t->config.self.incarnation, t->config.shard);
	while (id == 0);
	return id;
}

static void
set_expiry(kf_traffic_t *t, kf_token_t *token)
{
	token->expiry_s = t->now.wall_ms / 1000 + t->config.token_lifetime_s;
	token->revision = t->view->decl->revision;
}

/* Fills in a token for a new flow at place, keeping uid and gid. */
kf_status_t
place_fill_token(kf_traffic_t *t, const kf_service_t *service,
    const placement_t *place, kf_token_t *token)
{
	const kf_view_upstream_t *vu = &t->view->upstreams[place->upstream];

	if (vu->owner == KF_VIEW_NONE)
		return KF_ERR_NOT_FOUND;
	token->service = service->id;
	token->upstream = t->view->decl->upstreams[place->upstream].id;
	token->upstream_incarnation = vu->digest.incarnation;
	token->owner = t->view->vms[vu->owner].id;
	token->backup = (kf_vm_id_t){ 0 };
	if (vu->backup != KF_VIEW_NONE)
		token->backup = t->view->vms[vu->backup].id;
	token->flow = place_new_flow_id(t);
	token->generation = 0;
	token->share_point = place->point;
	set_expiry(t, token);
	return KF_OK;
}

static bool
vm_id_equal(kf_vm_id_t a, kf_vm_id_t b)
{
	return a.vm == b.vm && a.incarnation == b.incarnation;
}

/*
 * Renews the token of an established flow.  If the owner or the backup of its
 * upstream has changed, the flow gets a new id, so that the records of its
 * requests need not be transferred.
 */
void
place_renew_token(kf_traffic_t *t, kf_token_t *token)
{
	placement_t place = { .point = token->share_point };
	kf_token_t renewed = *token;
	const kf_service_t *service;

	set_expiry(t, token);
	service = kf_declaration_service(t->view->decl, token->service);
	place.upstream = place_upstream_index(t, token->upstream);
	if (service == NULL || place.upstream == KF_VIEW_NONE ||
	    place_fill_token(t, service, &place, &renewed) != KF_OK)
		return;
	if (!vm_id_equal(renewed.owner, token->owner) ||
	    !vm_id_equal(renewed.backup, token->backup))
		*token = renewed;
	else
		token->upstream_incarnation = renewed.upstream_incarnation;
}
