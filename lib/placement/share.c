#include "kf/placement.h"

enum { SHARE_POINT_SHIFT = 16 }; /* the share point is the upper 16 bits */

/*
 * 2^32 divided by the golden ratio, which makes the most even additive
 * sequence.
 */
static const uint32_t golden_ratio_step = 2654435769u;

void
kf_share_sequence_init(kf_share_sequence_t *seq, kf_random_t *random)
{
	seq->state = (uint32_t)kf_random_next(random);
}

uint32_t
kf_share_sequence_next(kf_share_sequence_t *seq)
{
	seq->state += golden_ratio_step;
	return seq->state >> SHARE_POINT_SHIFT;
}

const kf_selector_t *
kf_placement_selector(const kf_declaration_t *decl, const kf_service_t *service,
    uint32_t point, int64_t wall_ms)
{
	const kf_selector_t *last = NULL;
	double percent = point * 100.0 / KF_SHARE_POINTS;
	double upper = 0;
	uint32_t i;

	for (i = 0; i < service->selector_count; i++) {
		const kf_selector_t *s =
		    &decl->selectors[service->first_selector + i];
		double share = kf_selector_share(s, wall_ms);

		if (share <= 0)
			continue;
		last = s;
		upper += share;
		if (percent < upper)
			return s;
	}
	/* Shares are rounded, so their sum may be just below the last point. */
	return last;
}
