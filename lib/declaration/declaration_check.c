#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "draft.h"
#include "dups.h"

/* Allows for the rounding of decimal fractions when shares are added up. */
static const double share_tolerance_percent = 1e-6;

/*
 * Objects grouped by service: those of service s have the indexes
 * members[first[s]] to members[first[s + 1] - 1].
 */
typedef struct groups {
	uint32_t *first;
	uint32_t *members;
} groups_t;

static void
check_services_unique(kf_draft_t *draft)
{
	const kf_service_t *services = draft->services.items;
	const kf_check_info_t *infos = draft->service_info.items;
	kf_dups_t *names = kf_dups_new("service", draft->services.count);
	size_t i;

	for (i = 0; i < draft->services.count; i++)
		kf_dups_add(
		    names, services[i].id, services[i].name, infos[i].line);
	kf_dups_report(names, &draft->reader);
}

static void
check_upstreams_unique(kf_draft_t *draft)
{
	const kf_upstream_t *upstreams = draft->upstreams.items;
	const kf_check_info_t *infos = draft->upstream_info.items;
	kf_dups_t *names = kf_dups_new("upstream", draft->upstreams.count);
	kf_dups_t *zones =
	    kf_dups_new_collisions("zone", draft->upstreams.count);
	size_t i;

	for (i = 0; i < draft->upstreams.count; i++) {
		kf_dups_add(
		    names, upstreams[i].id, upstreams[i].name, infos[i].line);
		kf_dups_add(zones, upstreams[i].zone, upstreams[i].zone_name,
		    infos[i].line);
	}
	kf_dups_report(names, &draft->reader);
	kf_dups_report(zones, &draft->reader);
}

static void
check_selectors_unique(kf_draft_t *draft)
{
	const kf_selector_t *selectors = draft->selectors.items;
	const kf_check_info_t *infos = draft->selector_info.items;
	kf_dups_t *names = kf_dups_new("selector", draft->selectors.count);
	size_t i;

	for (i = 0; i < draft->selectors.count; i++)
		kf_dups_add(names, kf_name_id(selectors[i].name),
		    selectors[i].name, infos[i].line);
	kf_dups_report(names, &draft->reader);
}

/* Requests for one object could reach another one with the same address. */
static void
check_addresses_unique(kf_draft_t *draft)
{
	const kf_service_t *services = draft->services.items;
	const kf_upstream_t *upstreams = draft->upstreams.items;
	const kf_check_info_t *service_info = draft->service_info.items;
	const kf_check_info_t *upstream_info = draft->upstream_info.items;
	kf_dups_t *addrs = kf_dups_new(
	    "address", draft->services.count + draft->upstreams.count);
	size_t i;

	for (i = 0; i < draft->services.count; i++)
		kf_dups_add_addr(addrs, services[i].addr, service_info[i].line);
	for (i = 0; i < draft->upstreams.count; i++)
		kf_dups_add_addr(
		    addrs, upstreams[i].addr, upstream_info[i].line);
	kf_dups_report(addrs, &draft->reader);
}

static uint32_t
find_service(const kf_draft_t *draft, const char *name)
{
	const kf_service_t *services = draft->services.items;
	uint32_t id = kf_name_id(name);
	size_t low = 0, high = draft->services.count;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (services[draft->services_by_id[middle]].id < id)
			low = middle + 1;
		else
			high = middle;
	}
	if (low == draft->services.count ||
	    strcmp(services[draft->services_by_id[low]].name, name) != 0)
		return KF_NO_SERVICE;
	return draft->services_by_id[low];
}

static uint32_t
resolve_service(kf_draft_t *draft, const char *kind, const char *name,
    const kf_check_info_t *check_info)
{
	uint32_t service;

	if (*check_info->service == '\0')
		return KF_NO_SERVICE;
	service = find_service(draft, check_info->service);
	if (service == KF_NO_SERVICE)
		kf_reader_error(&draft->reader, check_info->line,
		    "%s %s: no service '%s' is declared", kind, name,
		    check_info->service);
	return service;
}

static void
resolve_services(kf_draft_t *draft)
{
	kf_upstream_t *upstreams = draft->upstreams.items;
	kf_selector_t *selectors = draft->selectors.items;
	const kf_check_info_t *upstream_info = draft->upstream_info.items;
	const kf_check_info_t *selector_info = draft->selector_info.items;
	size_t i;

	for (i = 0; i < draft->upstreams.count; i++)
		upstreams[i].service = resolve_service(
		    draft, "upstream", upstreams[i].name, &upstream_info[i]);
	for (i = 0; i < draft->selectors.count; i++)
		selectors[i].service = resolve_service(
		    draft, "selector", selectors[i].name, &selector_info[i]);
}

static void
groups_clear(groups_t *groups)
{
	free(groups->first);
	free(groups->members);
}

/*
 * Groups objects by a counting sort.  offset is that of the service index in
 * an object of size bytes.  Objects without a service are left out.
 */
static bool
groups_build(groups_t *groups, size_t services, const void *objects,
    size_t count, size_t size, size_t offset)
{
	const char *bytes = objects;
	uint32_t i, service;

	groups->first = calloc(services + 2, sizeof(uint32_t));
	groups->members = calloc(count + 1, sizeof(uint32_t));
	if (groups->first == NULL || groups->members == NULL)
		return false;
	for (i = 0; i < count; i++) {
		memcpy(&service, bytes + offset + i * size, sizeof(service));
		if (service != KF_NO_SERVICE)
			groups->first[service + 2]++;
	}
	for (i = 2; i < services + 2; i++)
		groups->first[i] += groups->first[i - 1];
	for (i = 0; i < count; i++) {
		memcpy(&service, bytes + offset + i * size, sizeof(service));
		if (service != KF_NO_SERVICE)
			groups->members[groups->first[service + 1]++] = i;
	}
	return true;
}

/*
 * Appends the upstreams of a selector to those of the previous ones.  The
 * pointers to them are set when the array no longer grows.
 */
static void
find_selector_upstreams(kf_draft_t *draft, kf_selector_t *selector,
    const kf_check_info_t *check_info, const groups_t *groups)
{
	const kf_upstream_t *upstreams = draft->upstreams.items;
	const uint32_t *first = &groups->first[selector->service];
	const kf_check_info_t *upstream_info = draft->upstream_info.items;
	uint32_t i, live = 0;
	uint32_t *match;
	/* Do not report a missing match that may follow from other errors. */
	bool labels_known = !check_info->labels_invalid && first[0] < first[1];

	for (i = first[0]; i < first[1]; i++) {
		uint32_t u = groups->members[i];

		labels_known = labels_known &&
		    !upstream_info[u].labels_invalid &&
		    *upstreams[u].zone_name != '\0';
		if (!kf_selector_matches(selector, &upstreams[u]))
			continue;
		match =
		    kf_array_add(&draft->selector_upstreams, sizeof(*match));
		if (match == NULL) {
			draft->no_memory = true;
			return;
		}
		*match = u;
		selector->upstream_count++;
		live += !upstreams[u].draining;
	}
	if (!labels_known)
		return;
	if (selector->upstream_count == 0)
		kf_reader_error(&draft->reader, check_info->line,
		    "selector %s: no upstream of service '%s' matches",
		    selector->name, check_info->service);
	else if (live == 0 && selector->share_percent > 0)
		kf_reader_error(&draft->reader, check_info->line,
		    "selector %s: has a share, but all its upstreams are "
		    "draining",
		    selector->name);
}

static bool
ramps_differ(const kf_selector_t *a, const kf_selector_t *b)
{
	return a->ramp_s != 0 && b->ramp_s != 0 &&
	    (a->ramp_s != b->ramp_s || a->ramp_start_s != b->ramp_start_s);
}

/*
 * Checks that the shares of a service sum to 100.  All its ramps must have the
 * same start and duration: then shares that sum to 100 before and after the
 * ramps also do so during them.
 */
static void
check_shares(kf_draft_t *draft, const kf_service_t *service, int line,
    const groups_t *groups, uint32_t s)
{
	const kf_selector_t *selectors = draft->selectors.items;
	const kf_selector_t *ramp = NULL;
	double after = 0, before = 0;
	uint32_t i;

	for (i = groups->first[s]; i < groups->first[s + 1]; i++) {
		const kf_selector_t *selector = &selectors[groups->members[i]];

		after += selector->share_percent;
		before += selector->ramp_from_percent;
		if (ramp != NULL && ramps_differ(ramp, selector))
			kf_reader_error(&draft->reader, line,
			    "service %s: the ramps of selectors '%s' and '%s' "
			    "have different times",
			    service->name, ramp->name, selector->name);
		if (selector->ramp_s != 0)
			ramp = selector;
	}
	if (fabs(after - 100) > share_tolerance_percent)
		kf_reader_error(&draft->reader, line,
		    "service %s: shares sum to %g, not 100", service->name,
		    after);
	if (ramp != NULL && fabs(before - 100) > share_tolerance_percent)
		kf_reader_error(&draft->reader, line,
		    "service %s: shares before the ramp sum to %g, not 100",
		    service->name, before);
}

/* True if the sum of the shares is unknown because of earlier errors. */
static bool
share_sum_unknown(const kf_draft_t *draft, const groups_t *groups, uint32_t s)
{
	const kf_selector_t *selectors = draft->selectors.items;
	const kf_check_info_t *infos = draft->selector_info.items;
	uint32_t i;

	for (i = groups->first[s]; i < groups->first[s + 1]; i++) {
		uint32_t m = groups->members[i];

		if (selectors[m].share_percent < 0 ||
		    (selectors[m].ramp_s != 0 && infos[m].bad))
			return true;
	}
	return false;
}

static void
check_service(kf_draft_t *draft, uint32_t s, const groups_t *upstreams,
    const groups_t *selectors)
{
	kf_service_t *service = &((kf_service_t *)draft->services.items)[s];
	int line = ((kf_check_info_t *)draft->service_info.items)[s].line;
	uint32_t count = selectors->first[s + 1] - selectors->first[s];

	service->first_selector = selectors->first[s];
	service->selector_count = count;
	if (upstreams->first[s + 1] == upstreams->first[s])
		kf_reader_error(&draft->reader, line,
		    "service %s: has no upstream", service->name);
	if (count == 0)
		kf_reader_error(&draft->reader, line,
		    "service %s: has no selector", service->name);
	else if (count > KF_MAX_SELECTORS)
		kf_reader_error(&draft->reader, line,
		    "service %s: has more than %d selectors", service->name,
		    KF_MAX_SELECTORS);
	else if (!share_sum_unknown(draft, selectors, s))
		check_shares(draft, service, line, selectors, s);
}

/* Sorts the selectors by service, in declared order within a service. */
static void
group_selectors(kf_draft_t *draft, const groups_t *groups)
{
	kf_selector_t *old = draft->selectors.items, *sorted;
	size_t i, count = groups->first[draft->services.count];

	sorted = calloc(count + 1, sizeof(*sorted));
	if (sorted == NULL) {
		draft->no_memory = true;
		return;
	}
	for (i = 0; i < count; i++)
		sorted[i] = old[groups->members[i]];
	free(old);
	draft->selectors.items = sorted;
	draft->selectors.count = count;
}

static void
check_services(
    kf_draft_t *draft, const groups_t *upstreams, const groups_t *selectors)
{
	kf_selector_t *all = draft->selectors.items;
	const kf_service_t *services = draft->services.items;
	const kf_check_info_t *infos = draft->selector_info.items;
	uint32_t s, i;

	for (s = 0; s < draft->services.count; s++)
		check_service(draft, s, upstreams, selectors);
	for (i = 0; i < selectors->first[draft->services.count]; i++) {
		uint32_t m = selectors->members[i];

		/*
		 * A service with too many selectors was reported, and
		 * matching them all could take very long.
		 */
		if (services[all[m].service].selector_count <= KF_MAX_SELECTORS)
			find_selector_upstreams(
			    draft, &all[m], &infos[m], upstreams);
	}
	group_selectors(draft, selectors);
}

void
kf_draft_check(kf_draft_t *draft)
{
	groups_t upstreams = { 0 }, selectors = { 0 };

	check_services_unique(draft);
	check_upstreams_unique(draft);
	check_selectors_unique(draft);
	check_addresses_unique(draft);
	draft->services_by_id = kf_sorted_indexes(
	    draft->services.count, kf_service_id_key, draft->services.items);
	if (draft->services_by_id == NULL) {
		draft->no_memory = true;
		return;
	}
	resolve_services(draft);
	if (groups_build(&upstreams, draft->services.count,
		draft->upstreams.items, draft->upstreams.count,
		sizeof(kf_upstream_t), offsetof(kf_upstream_t, service)) &&
	    groups_build(&selectors, draft->services.count,
		draft->selectors.items, draft->selectors.count,
		sizeof(kf_selector_t), offsetof(kf_selector_t, service)))
		check_services(draft, &upstreams, &selectors);
	else
		draft->no_memory = true;
	groups_clear(&upstreams);
	groups_clear(&selectors);
}
