#include <math.h>

#include "kf/bench_model.h"
#include "kf/placement.h"

uint32_t
kf_model_choose(const kf_model_view_t *view, uint64_t seed, uint32_t flow)
{
	double score, best = -1;
	uint32_t i, chosen = view->ids[0];

	for (i = 0; i < view->count; i++) {
		uint64_t hash = kf_rendezvous_score(flow, seed, view->ids[i]);
		double uniform =
		    ((double)(hash >> 11) + 0.5) / 9007199254740992.0;

		if (view->weights[i] <= 0)
			continue;
		score = -view->weights[i] / log(uniform);
		if (score > best) {
			best = score;
			chosen = view->ids[i];
		}
	}
	return chosen;
}
