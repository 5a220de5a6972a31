#include <math.h>

#include "kf/standin.h"

uint64_t
kf_sim_random_u64(kf_sim_random_t *random)
{
	uint64_t z;

	random->state += 0x9e3779b97f4a7c15u;
	z = random->state;
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return z ^ (z >> 31);
}

uint64_t
kf_sim_random_below(kf_sim_random_t *random, uint64_t limit)
{
	return limit == 0 ? 0 : kf_sim_random_u64(random) % limit;
}

double
kf_sim_random_unit(kf_sim_random_t *random)
{
	return (double)(kf_sim_random_u64(random) >> 11) / 9007199254740992.0;
}

int64_t
kf_sim_random_exp(kf_sim_random_t *random, double mean)
{
	double v;

	v = -log(1 - kf_sim_random_unit(random));
	return (int64_t)(mean * (v > 20 ? 20 : v));
}
