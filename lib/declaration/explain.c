#include <math.h>
#include <stddef.h>

#include "kf/explain.h"

static void
explain_selector(const kf_declaration_t *decl, const kf_selector_t *selector,
    int64_t wall_ms, kf_explain_selector_t *result)
{
	uint32_t i;

	*result = (kf_explain_selector_t){
		.selector = selector,
		.share_percent = kf_selector_share(selector, wall_ms),
	};
	for (i = 0; i < selector->upstream_count; i++) {
		const kf_upstream_t *upstream =
		    &decl->upstreams[selector->upstreams[i]];

		if (upstream->draining) {
			result->draining_count++;
			continue;
		}
		result->live_count++;
		result->live_slots += upstream->slots;
	}
}

/*
 * Returns the number of share points p with p * 100 / 65536 < percent.  A point
 * belongs to the first selector for which this holds, percent being the sum of
 * the shares up to and including its own.  The rounded product may be off by
 * one, so the result is corrected with the same comparison as in placement.
 */
static uint32_t
count_points_below(double percent)
{
	double points = ceil(percent * KF_SHARE_POINTS / 100);
	uint32_t end;

	if (points >= KF_SHARE_POINTS)
		return KF_SHARE_POINTS;
	end = (uint32_t)points;
	while (end > 0 && (end - 1) * 100.0 / KF_SHARE_POINTS >= percent)
		end--;
	while (end < KF_SHARE_POINTS && end * 100.0 / KF_SHARE_POINTS < percent)
		end++;
	return end;
}

/*
 * Extends the last range that is not empty to the end, as rounding may leave
 * the sum of the shares just below 100.
 */
static void
extend_last_range(kf_explanation_t *explanation)
{
	kf_explain_selector_t *selectors = explanation->selectors;
	uint32_t i = explanation->selector_count;

	while (i > 0 && selectors[i - 1].share_percent <= 0) {
		selectors[i - 1].first_point = KF_SHARE_POINTS;
		selectors[i - 1].end_point = KF_SHARE_POINTS;
		i--;
	}
	if (i > 0)
		selectors[i - 1].end_point = KF_SHARE_POINTS;
}

void
kf_explain_service(const kf_declaration_t *decl, const kf_service_t *service,
    int64_t wall_ms, kf_explanation_t *result)
{
	double percent_so_far = 0;
	uint32_t i, start = 0;

	result->service = service;
	result->selector_count = service->selector_count;
	for (i = 0; i < service->selector_count; i++) {
		kf_explain_selector_t *selector = &result->selectors[i];

		explain_selector(decl,
		    &decl->selectors[service->first_selector + i], wall_ms,
		    selector);
		percent_so_far += selector->share_percent;
		selector->first_point = start;
		selector->end_point = count_points_below(percent_so_far);
		start = selector->end_point;
	}
	extend_last_range(result);
}

const kf_explain_selector_t *
kf_explain_point(const kf_explanation_t *explanation, uint32_t point)
{
	uint32_t i;

	for (i = 0; i < explanation->selector_count; i++) {
		if (point < explanation->selectors[i].end_point)
			return &explanation->selectors[i];
	}
	return NULL;
}

kf_eligibility_t
kf_explain_upstream(const kf_selector_t *selector,
    const kf_upstream_t *upstream, const kf_label_t **failed)
{
	kf_selector_t one = { .service = selector->service, .match_count = 1 };
	uint32_t i;

	*failed = NULL;
	for (i = 0; i < selector->match_count; i++) {
		one.match = &selector->match[i];
		if (kf_selector_matches(&one, upstream))
			continue;
		*failed = &selector->match[i];
		return KF_INELIGIBLE_NO_MATCH;
	}
	if (!kf_selector_matches(selector, upstream))
		return KF_INELIGIBLE_NO_MATCH;
	return upstream->draining ? KF_INELIGIBLE_DRAINING : KF_ELIGIBLE;
}

/* Finds or adds the entry of a zone; NULL if there are too many. */
static kf_explain_zone_t *
find_or_add_zone(
    kf_explain_zone_t *zones, size_t *count, const kf_upstream_t *upstream)
{
	size_t i;

	for (i = 0; i < *count; i++) {
		if (zones[i].zone == upstream->zone)
			return &zones[i];
	}
	if (*count == KF_EXPLAIN_MAX_ZONES)
		return NULL;
	zones[*count] = (kf_explain_zone_t){
		.zone = upstream->zone,
		.name = upstream->zone_name,
	};
	return &zones[(*count)++];
}

size_t
kf_explain_zones(const kf_declaration_t *decl, const kf_selector_t *selector,
    kf_explain_zone_t zones[KF_EXPLAIN_MAX_ZONES])
{
	kf_explain_zone_t *entry;
	size_t count = 0;
	uint32_t i;

	for (i = 0; i < decl->upstream_count; i++) {
		const kf_upstream_t *upstream = &decl->upstreams[i];

		if (upstream->service != selector->service)
			continue;
		entry = find_or_add_zone(zones, &count, upstream);
		if (entry == NULL || upstream->draining ||
		    !kf_selector_matches(selector, upstream))
			continue;
		entry->live_count++;
		entry->live_slots += upstream->slots;
	}
	return count;
}
