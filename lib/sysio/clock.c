#include <time.h>

#include "kf/clock.h"

kf_time_t
kf_clock_now(void)
{
	struct timespec mono, wall;

	clock_gettime(CLOCK_BOOTTIME, &mono);
	clock_gettime(CLOCK_REALTIME, &wall);
	return (kf_time_t){
		.mono_us = mono.tv_sec * 1000000 + mono.tv_nsec / 1000,
		.wall_ms = wall.tv_sec * 1000 + wall.tv_nsec / 1000000,
	};
}

int64_t
kf_age_ms(int64_t since_us, int64_t now_us)
{
	return since_us == INT64_MIN ? -1 : (now_us - since_us) / 1000;
}

int
kf_wait_ms(int64_t due_us, int64_t now_us, int max_ms)
{
	int64_t ms;

	if (due_us - now_us >= (int64_t)max_ms * 1000)
		return max_ms;
	ms = (due_us - now_us + 999) / 1000;
	return ms < 0 ? 0 : (int)ms;
}
