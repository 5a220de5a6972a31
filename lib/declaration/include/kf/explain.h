#ifndef KF_EXPLAIN_H
#define KF_EXPLAIN_H

#include "kf/declaration.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_explain - where the flows of a service go, and why
 *
 * DESCRIPTION
 *	Each flow has a share point, a number from 0 to 65535.  The selectors
 *	of a service divide these numbers into ranges in proportion to their
 *	effective shares, in declared order.  A selector takes the flows with
 *	share points from first_point to end_point - 1; its range may be
 *	empty.
 */

typedef struct kf_explain_selector {
	const kf_selector_t *selector;
	double share_percent;
	uint32_t first_point;
	uint32_t end_point;
	uint32_t live_count;
	uint32_t draining_count;
	uint64_t live_slots;
} kf_explain_selector_t;

typedef struct kf_explanation {
	const kf_service_t *service;
	uint32_t selector_count;
	kf_explain_selector_t selectors[KF_MAX_SELECTORS];
} kf_explanation_t;

/* Why an upstream is or is not a candidate for a flow. */
typedef enum kf_eligibility {
	KF_ELIGIBLE = 0,
	KF_INELIGIBLE_DRAINING,
	KF_INELIGIBLE_NO_MATCH, /* does not match the selector */
} kf_eligibility_t;

enum { KF_EXPLAIN_MAX_ZONES = 64 };

/* Live upstreams of a selector in one availability zone. */
typedef struct kf_explain_zone {
	const char *name;
	uint64_t live_slots;
	uint32_t zone;
	uint32_t live_count;
} kf_explain_zone_t;

void kf_explain_service(const kf_declaration_t *decl,
    const kf_service_t *service, int64_t wall_ms, kf_explanation_t *result);

/* Returns the selector whose range contains the share point. */
const kf_explain_selector_t *kf_explain_point(
    const kf_explanation_t *explanation, uint32_t point);

/*
 * Fills in the zones that have an upstream of the selector's service, in
 * declared order, and returns their number.  Zones after the first
 * KF_EXPLAIN_MAX_ZONES are left out.
 */
size_t kf_explain_zones(const kf_declaration_t *decl,
    const kf_selector_t *selector,
    kf_explain_zone_t zones[KF_EXPLAIN_MAX_ZONES]);

/*
 * Tells whether the selector may place a flow on the upstream.  *failed is set
 * to the first label of the match that the upstream does not have, or NULL.
 */
kf_eligibility_t kf_explain_upstream(const kf_selector_t *selector,
    const kf_upstream_t *upstream, const kf_label_t **failed);

#ifdef __cplusplus
}
#endif

#endif
