#include "kf/backoff.h"

int64_t
kf_backoff_us(int64_t min_us, int64_t max_us, uint32_t doublings)
{
	int64_t us = min_us;

	for (; doublings > 0 && us < max_us; doublings--)
		us *= 2;
	return us < max_us ? us : max_us;
}
