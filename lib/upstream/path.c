#include <string.h>

#include "path.h"

/* Before any real time, but far from overflow in a difference. */
#define NEVER_US (INT64_MIN / 4)

void
kf_path_init(kf_path_t *path, int64_t now_us)
{
	memset(path, 0, sizeof(*path));
	path->answered_us = NEVER_US;
	path->probed_us = now_us;
	path->opened_us = now_us;
}

void
kf_path_on_sent(kf_path_t *path, int64_t now_us)
{
	if (path->unanswered < KF_PATH_MAX_UNANSWERED)
		path->unanswered_us[path->unanswered++] = now_us;
}

void
kf_path_on_answer(kf_path_t *path, int64_t now_us)
{
	path->unanswered = 0;
	path->answered_us = now_us;
}

void
kf_path_on_pause(kf_path_t *path, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < path->unanswered; i++)
		path->unanswered_us[i] = now_us;
}

uint32_t
kf_path_overdue(const kf_path_t *path, int64_t now_us, int64_t wait_us)
{
	uint32_t count = 0;

	while (count < path->unanswered &&
	    now_us - path->unanswered_us[count] >= wait_us)
		count++;
	return count;
}
