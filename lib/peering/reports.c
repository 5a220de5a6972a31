#include "reports.h"

static report_t *
reports_next_entry(reports_t *r)
{
	report_t *report = &r->list[r->next];

	r->next = (r->next + 1) % MAX_REPORTS;
	return report;
}

void
reports_add_own(reports_t *r, uint32_t ip, uint32_t token, int64_t now_us)
{
	if (now_us - r->window_start_us >= 1000000) {
		r->window_start_us = now_us;
		r->own_in_window = 0;
	}
	if (r->own_in_window++ >= MAX_OWN_REPORTS_PER_S)
		return;
	*reports_next_entry(r) = (report_t){
		.token = token,
		.origin = ip,
		.number = ++r->number,
		.seen_us = now_us,
		.sends_left = REPORT_MAX_SENDS,
		.delivered = true,
	};
}

static bool
is_known(const reports_t *r, const peering_report *wire)
{
	size_t i;

	for (i = 0; i < MAX_REPORTS; i++)
		if (r->list[i].origin == wire->origin &&
		    r->list[i].number == wire->number)
			return true;
	return false;
}

bool
reports_receive(
    reports_t *r, const peering_report *wire, int64_t sent_us, int64_t now_us)
{
	int64_t seen_us = sent_us - (int64_t)wire->age_ms * 1000;

	if (now_us - seen_us >= REPORT_MAX_AGE_US || wire->origin == 0 ||
	    is_known(r, wire))
		return false;
	*reports_next_entry(r) = (report_t){
		.token = wire->token,
		.origin = wire->origin,
		.number = wire->number,
		.seen_us = seen_us,
		.sends_left = REPORT_MAX_SENDS,
	};
	return true;
}

static bool
is_selected(report_t *const *selected, size_t count, const report_t *report)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (selected[i] == report)
			return true;
	return false;
}

/* The recent report sent least often that is not selected yet, or NULL. */
static report_t *
least_sent(
    reports_t *r, report_t *const *selected, size_t count, int64_t now_us)
{
	report_t *best = NULL;
	size_t i;

	for (i = 0; i < MAX_REPORTS; i++) {
		report_t *report = &r->list[i];

		if (report->sends_left == 0 ||
		    is_selected(selected, count, report) ||
		    now_us - report->seen_us >= REPORT_MAX_AGE_US)
			continue;
		if (best == NULL || report->sends_left > best->sends_left)
			best = report;
	}
	return best;
}

size_t
reports_fill(
    reports_t *r, peering_report wire[PEERING_MAX_REPORTS], int64_t now_us)
{
	report_t *selected[PEERING_MAX_REPORTS];
	size_t count = 0;
	report_t *report;

	while (count < PEERING_MAX_REPORTS &&
	    (report = least_sent(r, selected, count, now_us)) != NULL) {
		wire[count] = (peering_report){
			.token = report->token,
			.origin = report->origin,
			.number = report->number,
			.age_ms = (u_int)((now_us - report->seen_us) / 1000),
		};
		report->sends_left--;
		selected[count++] = report;
	}
	return count;
}

size_t
reports_take(reports_t *r, uint32_t *tokens, size_t max)
{
	size_t i, count = 0;

	for (i = 0; i < MAX_REPORTS && count < max; i++) {
		if (r->list[i].delivered || r->list[i].origin == 0)
			continue;
		r->list[i].delivered = true;
		tokens[count++] = r->list[i].token;
	}
	return count;
}
