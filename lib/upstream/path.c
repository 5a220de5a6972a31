#include <string.h>

#include "path.h"

/* Earlier than any time, and differences to it do not overflow. */
#define NEVER_US (INT64_MIN / 4)

void
kf_path_init(kf_path_t *path, int64_t now_us)
{
	memset(path, 0, sizeof(*path));
	path->last_answer_us = NEVER_US;
	path->last_probe_us = now_us;
	path->opened_us = now_us;
}

void
kf_path_on_sent(kf_path_t *path, int64_t now_us)
{
	if (path->unanswered_count < KF_PATH_MAX_UNANSWERED)
		path->unanswered_sent_us[path->unanswered_count++] = now_us;
}

void
kf_path_on_answer(kf_path_t *path, int64_t now_us)
{
	path->unanswered_count = 0;
	path->last_answer_us = now_us;
}

void
kf_path_on_pause(kf_path_t *path, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < path->unanswered_count; i++)
		path->unanswered_sent_us[i] = now_us;
}

uint32_t
kf_path_count_overdue(const kf_path_t *path, int64_t now_us, int64_t wait_us)
{
	uint32_t count = 0;

	while (count < path->unanswered_count &&
	    now_us - path->unanswered_sent_us[count] >= wait_us)
		count++;
	return count;
}
