#include "reports.h"

static report_t *
reports_place(reports_t *r)
{
	report_t *report = &r->list[r->next];

	r->next = (r->next + 1) % MAX_REPORTS;
	return report;
}

void
reports_add_own(reports_t *r, uint32_t ip, uint32_t token, int64_t now_us)
{
	if (now_us - r->second_us >= 1000000) {
		r->second_us = now_us;
		r->own = 0;
	}
	if (r->own++ >= MAX_OWN_PER_S)
		return;
	*reports_place(r) = (report_t){
		.token = token,
		.origin = ip,
		.number = ++r->number,
		.seen_us = now_us,
		.tells = REPORT_TELLS,
		.taken = true,
	};
}

static bool
is_known(const reports_t *r, const peering_report *said)
{
	size_t i;

	for (i = 0; i < MAX_REPORTS; i++)
		if (r->list[i].origin == said->origin &&
		    r->list[i].number == said->number)
			return true;
	return false;
}

bool
reports_hear(reports_t *r, const peering_report *said, int64_t now_us)
{
	int64_t seen_us = now_us - (int64_t)said->age_ms * 1000;

	if (now_us - seen_us >= REPORT_LIFE_US || said->origin == 0 ||
	    is_known(r, said))
		return false;
	*reports_place(r) = (report_t){
		.token = said->token,
		.origin = said->origin,
		.number = said->number,
		.seen_us = seen_us,
		.tells = REPORT_TELLS,
	};
	return true;
}

static bool
is_told(report_t *const *told, size_t count, const report_t *report)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (told[i] == report)
			return true;
	return false;
}

/* The report told least that is not old and not among told, or NULL. */
static report_t *
least_told(reports_t *r, report_t *const *told, size_t count, int64_t now_us)
{
	report_t *best = NULL;
	size_t i;

	for (i = 0; i < MAX_REPORTS; i++) {
		report_t *report = &r->list[i];

		if (report->tells == 0 || is_told(told, count, report) ||
		    now_us - report->seen_us >= REPORT_LIFE_US)
			continue;
		if (best == NULL || report->tells > best->tells)
			best = report;
	}
	return best;
}

size_t
reports_tell(
    reports_t *r, peering_report said[PEERING_MAX_REPORTS], int64_t now_us)
{
	report_t *told[PEERING_MAX_REPORTS];
	size_t count = 0;
	report_t *report;

	while (count < PEERING_MAX_REPORTS &&
	    (report = least_told(r, told, count, now_us)) != NULL) {
		said[count] = (peering_report){
			.token = report->token,
			.origin = report->origin,
			.number = report->number,
			.age_ms = (u_int)((now_us - report->seen_us) / 1000),
		};
		report->tells--;
		told[count++] = report;
	}
	return count;
}

size_t
reports_take(reports_t *r, uint32_t *tokens, size_t max)
{
	size_t i, count = 0;

	for (i = 0; i < MAX_REPORTS && count < max; i++) {
		if (r->list[i].taken || r->list[i].origin == 0)
			continue;
		r->list[i].taken = true;
		tokens[count++] = r->list[i].token;
	}
	return count;
}
