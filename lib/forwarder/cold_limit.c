#include <string.h>

#include "kf/cold_limit.h"

/* The part of the limit that is allocated to VMs. */
static const double allocated_part = 0.5;
/* Larger limits than any upstream serves; keeps the counts in 32 bits. */
static const double max_openings = 1000000;

kf_cold_share_t
kf_cold_share(const kf_cold_bounds_t *bounds, double per_s, uint32_t vm_count)
{
	double limit = per_s * bounds->excess + bounds->slack;
	double allocated = limit * allocated_part;
	kf_cold_share_t share = { .owners = vm_count };

	if (allocated > max_openings)
		allocated = max_openings;
	if (vm_count == 0)
		return share;
	if (allocated < vm_count)
		share.owners = allocated < 1 ? 1 : (uint32_t)allocated;
	share.openings = (uint32_t)(allocated / share.owners);
	return share;
}

uint32_t
kf_cold_allowance(kf_cold_share_t share, uint32_t rank)
{
	return rank < share.owners ? share.openings : 0;
}

/* Returns the age of the window's count i, in counts before the latest one. */
static int64_t
count_age(const kf_cold_window_t *w, int64_t i)
{
	return (w->latest - i + KF_COLD_COUNTS) % KF_COLD_COUNTS;
}

uint32_t
kf_cold_window_left(
    const kf_cold_window_t *w, uint32_t allowance, int64_t now_us)
{
	int64_t i, elapsed = now_us / KF_COLD_COUNT_US - w->latest;
	uint32_t sent = 0;

	for (i = 0; i < KF_COLD_COUNTS; i++)
		if (count_age(w, i) + elapsed < KF_COLD_COUNTS)
			sent += w->counts[i];
	return sent < allowance ? allowance - sent : 0;
}

void
kf_cold_window_add(kf_cold_window_t *w, int64_t now_us)
{
	int64_t count = now_us / KF_COLD_COUNT_US;

	if (count - w->latest >= KF_COLD_COUNTS) {
		memset(w->counts, 0, sizeof(w->counts));
		w->latest = count;
	}
	while (w->latest < count)
		w->counts[++w->latest % KF_COLD_COUNTS] = 0;
	w->counts[w->latest % KF_COLD_COUNTS]++;
}

void
kf_cold_view_update(
    kf_cold_view_t *view, const kf_cold_report_t *report, int64_t now_us)
{
	/* Members expire during a long suspension, so it counts as a start. */
	if (!view->started || now_us - view->updated_us >= KF_COLD_HEARD_US)
		view->started_us = now_us;
	if (!view->started || now_us - view->updated_us > KF_COLD_VIEW_US)
		view->resumed_us = now_us;
	view->started = true;
	view->updated_us = now_us;
	view->bounds = report->bounds;
	view->alone = report->alone;
	view->heard_us = report->heard_us;
	if (report->vm_count < view->vm_count &&
	    now_us - view->vm_count_us < KF_COLD_SHRINK_US)
		return;
	view->vm_count = report->vm_count;
	view->vm_count_us = now_us;
}

bool
kf_cold_view_is_certain(const kf_cold_view_t *view, int64_t now_us)
{
	if (!view->started || now_us - view->updated_us > KF_COLD_VIEW_US ||
	    now_us - view->started_us < KF_COLD_START_US)
		return false;
	return view->alone ||
	    (view->heard_us >= view->resumed_us &&
		now_us - view->heard_us < KF_COLD_HEARD_US);
}
