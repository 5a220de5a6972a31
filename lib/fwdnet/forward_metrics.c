#include <stdio.h>
#include <stdlib.h>

#include "forward_metrics.h"

enum { HISTOGRAM_BYTES = 2048 };

static void
write_value(FILE *out, const char *name, const char *type, const char *help,
    long long value)
{
	fprintf(out,
	    "# HELP knapweed_%s %s\n# TYPE knapweed_%s %s\nknapweed_%s %lld\n",
	    name, help, name, type, name, value);
}

static void
write_decisions(FILE *out, const kf_forwarder_stats_t *stats)
{
	size_t i;

	fprintf(out,
	    "# HELP knapweed_decisions_total decisions by event\n"
	    "# TYPE knapweed_decisions_total counter\n");
	for (i = 0; i < KF_FORWARD_EVENT_COUNT; i++)
		fprintf(out, "knapweed_decisions_total{event=\"%s\"} %llu\n",
		    kf_forward_event_name((kf_forward_event_t)i),
		    (unsigned long long)stats->events[i]);
	fprintf(out,
	    "# HELP knapweed_reason_total refusals and drops by reason\n"
	    "# TYPE knapweed_reason_total counter\n");
	for (i = 1; i < KF_REASON_COUNT; i++)
		fprintf(out, "knapweed_reason_total{reason=\"%s\"} %llu\n",
		    kf_reason_name((kf_reason_t)i),
		    (unsigned long long)stats->by_reason[i]);
}

static void
write_calls(FILE *out, const store_sync_stats_t *stats)
{
	size_t i;

	fprintf(out,
	    "# HELP knapweed_calls_total calls to the store and to VMs\n"
	    "# TYPE knapweed_calls_total counter\n");
	for (i = 0; i < KF_SYNC_CALL_COUNT; i++)
		fprintf(out,
		    "knapweed_calls_total{call=\"%s\"} %llu\n"
		    "knapweed_call_failures_total{call=\"%s\"} %llu\n",
		    kf_sync_call_name((kf_sync_call_t)i),
		    (unsigned long long)stats->calls[i],
		    kf_sync_call_name((kf_sync_call_t)i),
		    (unsigned long long)stats->failures[i]);
}

char *
forward_metrics_render(const forward_metrics_t *m, size_t *len)
{
	char histogram[HISTOGRAM_BYTES];
	char *text = NULL;
	FILE *out;

	out = open_memstream(&text, len);
	if (out == NULL)
		return NULL;
	write_value(out, "packets_total", "counter", "packets of clients",
	    (long long)m->packets.forwarder.packets);
	write_value(out, "malformed_total", "counter",
	    "datagrams that are no packets", (long long)m->packets.malformed);
	write_value(out, "unsent_total", "counter",
	    "datagrams that could not be sent", (long long)m->packets.unsent);
	write_value(out, "flows_opening", "gauge", "flows being opened",
	    (long long)m->packets.forwarder.opening);
	write_value(out, "flows_open", "gauge", "open flows seen by this VM",
	    (long long)m->packets.forwarder.open);
	write_value(out, "flows_other_zone_total", "counter",
	    "new flows sent to an upstream of another zone",
	    (long long)m->packets.forwarder.other_zone);
	write_value(out, "patience_us", "gauge",
	    "time until a second upstream is tried", m->packets.patience_us);
	write_value(out, "revision", "gauge", "revision of the store held",
	    (long long)m->position.revision);
	write_value(out, "store_era", "gauge",
	    "era of the store that the revision belongs to",
	    (long long)m->position.era);
	write_value(out, "config_version", "gauge",
	    "version of the configuration in force",
	    (long long)m->config_version);
	write_value(out, "config_parts_refused", "gauge",
	    "parts of that configuration that are left out as unreadable",
	    (long long)m->config_parts_refused);
	write_value(out, "contact_age_ms", "gauge",
	    "age of the latest contact with the store, -1 if none",
	    m->contact_age_ms);
	write_value(out, "items_refused_total", "counter",
	    "items of the store that could not be decoded",
	    (long long)m->items_refused);
	write_value(out, "entries_hidden", "gauge",
	    "entries not used because another one has their upstream's id",
	    (long long)m->entries_hidden);
	write_value(out, "entry_conflicts_total", "counter",
	    "times that an entry was hidden by another one",
	    (long long)m->entry_conflicts);
	write_value(out, "zones_evacuated", "gauge",
	    "zones whose upstreams get no new flows",
	    (long long)m->packets.zones_evacuated);
	write_value(out, "flows_last_resort_total", "counter",
	    "new flows to evacuated upstreams because the zone is cut off",
	    (long long)m->packets.forwarder.last_resort);
	write_value(out, "probes_total", "counter",
	    "TCP connections that test whether an upstream is alive",
	    (long long)m->packets.forwarder.probes);
	write_value(out, "flows_reset_dead_total", "counter",
	    "open flows reset because their upstream is dead",
	    (long long)m->packets.forwarder.events[KF_FORWARD_RESET]);
	write_value(out, "cold_refused_total", "counter",
	    "SYNs that a cold upstream did not get for lack of allowance",
	    (long long)m->packets.forwarder.events[KF_FORWARD_COLD_LIMITED]);
	write_value(out, "log_dropped_total", "counter",
	    "log lines that the reader had no room for",
	    (long long)m->log_dropped);
	write_value(
	    out, "vms", "gauge", "VMs known, this one included", m->vm_count);
	write_value(out, "beacons_late_total", "counter",
	    "beacons of VMs that took over 1 s", (long long)m->late_beacons);
	write_value(
	    out, "ready", "gauge", "whether this VM takes new flows", m->ready);
	write_decisions(out, &m->packets.forwarder);
	write_calls(out, &m->sync);
	histogram_render(m->opening, "flow_opening",
	    "time from a flow's first packet until it opens", histogram,
	    sizeof(histogram));
	fputs(histogram, out);
	fclose(out);
	return text;
}
