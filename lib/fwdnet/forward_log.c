#include <stdio.h>

#include "kf/clock.h"

#include "forward_log.h"

enum { PAIRS_BYTES = 480 };

void
forward_log_init(
    forward_log_t *l, kf_eventlog_t *log, uint32_t limit_per_s, uint32_t sample)
{
	*l = (forward_log_t){
		.log = log,
		.limit = { .max_lines = limit_per_s, .window_ms = 1000 },
		.sample = sample,
		.contact_us = INT64_MIN,
	};
}

void
forward_log_set_replica_state(
    forward_log_t *l, kf_store_position_t position, int64_t contact_us)
{
	__atomic_store_n(&l->position.era, position.era, __ATOMIC_RELAXED);
	__atomic_store_n(
	    &l->position.revision, position.revision, __ATOMIC_RELAXED);
	__atomic_store_n(&l->contact_us, contact_us, __ATOMIC_RELAXED);
}

static bool
is_sampled_record(const kf_forward_record_t *r)
{
	return r->event == KF_FORWARD_COLD_LIMITED ||
	    ((r->event == KF_FORWARD_PLACED || r->event == KF_FORWARD_OPENED) &&
		r->copies == 0 && r->tries <= 1);
}

static void
report_suppressed(forward_log_t *l)
{
	uint64_t lines = line_limit_take_suppressed(&l->limit);

	if (lines > 0)
		kf_eventlog_write(l->log, KF_LOG_INFO, "suppressed",
		    "lines=%llu", (unsigned long long)lines);
}

static void
log_upstream(forward_log_t *l, const kf_forward_record_t *r)
{
	kf_eventlog_write(l->log, KF_LOG_WARN, kf_forward_event_name(r->event),
	    "upstream=%s failures=%u ejections=%u open=%u failed=%.1f "
	    "outlier_ejections=%u",
	    r->target->info.name, r->target->failures, r->target->ejections,
	    r->target->open, r->target->failed, r->target->outlier_ejections);
}

static void
log_flow(forward_log_t *l, const kf_forward_record_t *r, kf_time_t now)
{
	int64_t contact_us = __atomic_load_n(&l->contact_us, __ATOMIC_RELAXED);
	char client[KF_ADDR_TEXT_BYTES], address[KF_ADDR_TEXT_BYTES];
	char choice[PAIRS_BYTES / 2] = "", details[PAIRS_BYTES / 8] = "";

	if (r->target != NULL)
		snprintf(choice, sizeof(choice),
		    " upstream=%s open=%u opening=%u eligible=%u load=%.2f",
		    r->target->info.name, r->target->open, r->target->opening,
		    r->eligible, r->load);
	if (r->event == KF_FORWARD_SHORT)
		snprintf(details, sizeof(details),
		    " answer_bytes=%u usual_bytes=%u", r->answer_bytes,
		    r->usual_bytes);
	else if (r->event == KF_FORWARD_RESET && r->target != NULL)
		snprintf(details, sizeof(details),
		    " evidence=%s evidence_age_ms=%lld",
		    r->target->dead.replaced ? "replaced" : "probe",
		    (long long)r->evidence_age_us / 1000);
	kf_eventlog_write(l->log, KF_LOG_INFO, kf_forward_event_name(r->event),
	    "flow=%016llx client=%s address=%s route=%s priority=%u copies=%u "
	    "tries=%u since_us=%lld%s%s verdict=%s reason=%s era=%llu "
	    "revision=%llu "
	    "contact_age_ms=%lld",
	    (unsigned long long)r->flow_hash, kf_addr_format(r->client, client),
	    kf_addr_format(r->address, address),
	    r->route == NULL ? "-" : r->route->name,
	    r->route == NULL ? 0 : r->route->priority, r->copies, r->tries,
	    (long long)r->since_us, choice, details,
	    kf_verdict_name(r->verdict), kf_reason_name(r->reason),
	    (unsigned long long)__atomic_load_n(
		&l->position.era, __ATOMIC_RELAXED),
	    (unsigned long long)__atomic_load_n(
		&l->position.revision, __ATOMIC_RELAXED),
	    (long long)kf_age_ms(contact_us, now.mono_us));
}

void
forward_log_record(void *ctx, const kf_forward_record_t *r)
{
	forward_log_t *l = ctx;
	kf_time_t now;

	if (r->event == KF_FORWARD_OPENED)
		histogram_add(&l->opening, r->since_us);
	if (is_sampled_record(r) && r->flow_hash % l->sample != 0)
		return;
	if (!kf_eventlog_enabled(l->log, KF_LOG_INFO))
		return;
	now = kf_clock_now();
	if (!line_limit_allows(&l->limit, now.mono_us / 1000))
		return;
	report_suppressed(l);
	if (r->client.port == 0 && r->target != NULL)
		log_upstream(l, r);
	else
		log_flow(l, r, now);
}
