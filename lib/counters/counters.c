#include <stdarg.h>
#include <stdio.h>

#include "kf/counters.h"

typedef struct counter_info {
	const char *name;
	const char *help;
} counter_info_t;

static const counter_info_t counter_infos[KF_COUNTER_COUNT] = {
	[KF_COUNT_CALLER_PACKETS] = { "caller_packets",
	    "datagrams received from the fabric" },
	[KF_COUNT_PEER_PACKETS] = { "peer_packets",
	    "datagrams received from other balancers" },
	[KF_COUNT_UPSTREAM_PACKETS] = { "upstream_packets",
	    "datagrams received from upstreams" },
	[KF_COUNT_REQUESTS] = { "requests", "requests accepted by an owner" },
	[KF_COUNT_ANSWERED] = { "answered", "requests answered" },
	[KF_COUNT_REFUSED] = { "refused", "requests refused as not run" },
	[KF_COUNT_MAY_HAVE_RUN] = { "may_have_run",
	    "requests whose outcome is unknown" },
	[KF_COUNT_DROPPED] = { "dropped", "datagrams dropped" },
	[KF_COUNT_FLOWS_PLACED] = { "flows_placed", "new flows placed" },
	[KF_COUNT_FLOWS_MOVED] = { "flows_moved",
	    "flows moved to another upstream" },
	[KF_COUNT_FORWARDED] = { "forwarded", "requests sent to another VM" },
	[KF_COUNT_DISPATCHED] = { "dispatched", "calls sent to upstreams" },
	[KF_COUNT_RETRIED] = { "retried", "calls sent again" },
	[KF_COUNT_REPLAYED] = { "replayed", "stored replies sent again" },
	[KF_COUNT_TAKEOVERS] = { "takeovers",
	    "requests served as backup of a dead owner" },
	[KF_COUNT_INTENTS_SENT] = { "intents_sent", "intents sent" },
	[KF_COUNT_INTENTS_REFUSED] = { "intents_refused",
	    "intents refused because the owner is fenced" },
	[KF_COUNT_PATHS_REPLACED] = { "paths_replaced",
	    "silent paths to upstreams replaced" },
	[KF_COUNT_EJECTIONS] = { "ejections", "upstreams ejected" },
	[KF_COUNT_PEER_REJECTED] = { "peer_rejected",
	    "peer datagrams malformed or with a wrong MAC" },
	[KF_COUNT_LOG_SUPPRESSED] = { "log_suppressed",
	    "decision lines not logged because of the rate limit" },
	[KF_COUNT_CONTROL_BYTES_SENT] = { "control_bytes_sent",
	    "bytes of control messages sent" },
	[KF_COUNT_CONTROL_BYTES_RECEIVED] = { "control_bytes_received",
	    "bytes of control messages received" },
	[KF_COUNT_PLATFORM_READS] = { "platform_reads",
	    "reads of the platform's documents" },
	[KF_COUNT_CONFIG_ACCEPTED] = { "config_accepted",
	    "documents accepted" },
	[KF_COUNT_CONFIG_REFUSED] = { "config_refused", "documents refused" },
};

/* Output buffer; len counts the whole text, also what cap cuts off. */
typedef struct text {
	char *buf;
	size_t cap;
	size_t len;
} text_t;

void
kf_counters_add(kf_counters_t *counters, kf_counter_t id, uint64_t n)
{
	__atomic_fetch_add(&counters->values[id], n, __ATOMIC_RELAXED);
}

void
kf_counters_add_reason(kf_counters_t *counters, kf_reason_t reason)
{
	__atomic_fetch_add(&counters->by_reason[reason], 1, __ATOMIC_RELAXED);
}

uint64_t
kf_counters_get(const kf_counters_t *counters, kf_counter_t id)
{
	return __atomic_load_n(&counters->values[id], __ATOMIC_RELAXED);
}

const char *
kf_counter_name(kf_counter_t id)
{
	return counter_infos[id].name;
}

void
kf_counters_sum(kf_counters_t *sum, const kf_counters_t *from)
{
	size_t i;

	for (i = 0; i < KF_COUNTER_COUNT; i++)
		kf_counters_add(sum, (kf_counter_t)i,
		    kf_counters_get(from, (kf_counter_t)i));
	for (i = 0; i < KF_REASON_COUNT; i++)
		__atomic_fetch_add(&sum->by_reason[i],
		    __atomic_load_n(&from->by_reason[i], __ATOMIC_RELAXED),
		    __ATOMIC_RELAXED);
}

static void __attribute__((format(printf, 2, 3)))
text_append(text_t *text, const char *fmt, ...)
{
	size_t bytes_left;
	va_list ap;
	int n;

	bytes_left = text->len < text->cap ? text->cap - text->len : 0;
	va_start(ap, fmt);
	n = vsnprintf(
	    bytes_left > 0 ? text->buf + text->len : NULL, bytes_left, fmt, ap);
	va_end(ap);
	if (n > 0)
		text->len += (size_t)n;
}

size_t
kf_counters_render(const kf_counters_t *counters, char *buf, size_t cap)
{
	text_t text = { .buf = buf, .cap = cap };
	size_t i;

	for (i = 0; i < KF_COUNTER_COUNT; i++) {
		const counter_info_t *d = &counter_infos[i];

		text_append(&text,
		    "# HELP knapweed_%s_total %s\n"
		    "# TYPE knapweed_%s_total counter\n"
		    "knapweed_%s_total %llu\n",
		    d->name, d->help, d->name, d->name,
		    (unsigned long long)kf_counters_get(
			counters, (kf_counter_t)i));
	}
	text_append(&text,
	    "# HELP knapweed_reason_total refusals and drops by reason\n"
	    "# TYPE knapweed_reason_total counter\n");
	for (i = 1; i < KF_REASON_COUNT; i++)
		text_append(&text,
		    "knapweed_reason_total{reason=\"%s\"} %llu\n",
		    kf_reason_name((kf_reason_t)i),
		    (unsigned long long)__atomic_load_n(
			&counters->by_reason[i], __ATOMIC_RELAXED));
	return text.len;
}
