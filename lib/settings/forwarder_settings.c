#include <stdlib.h>
#include <string.h>

#include "kf/forwarder_settings.h"

enum {
	GRACE_MIN_MS = 1000,
	GRACE_MAX_MS = 600000,
	/* A read of the store and its retry take up to a fifth of it, and some
	 * pauses. */
	BOUND_MIN_MS = 1000,
	BOUND_MAX_MS = 600000,
	MAX_DECISIONS_PER_S = 1000000,
	MAX_SAMPLE = 1000000,
	MAX_TRANSFER_US_PER_KB = 1000000,
	/* Clients give up after 1 to 5 s. */
	MAX_DEAD_AFTER_MS = 10000,
	MAX_COLD_EXCESS = 1000,
	MAX_COLD_SLACK = 1000000,
};

static const char *const switches[] = { "on", "off", NULL };

static kf_status_t
set_seeds(void *object, const char *value)
{
	kf_forwarder_settings_t *s = object;

	return kf_settings_addrs_parse(
	    value, s->seeds, KF_FORWARDER_MAX_SEEDS, &s->seed_count);
}

static kf_status_t
set_ready_path(void *object, const char *value)
{
	kf_forwarder_settings_t *s = object;

	if (*value != '/' || strlen(value) >= sizeof(s->ready_path))
		return kf_status_set(KF_ERR_INVALID,
		    "'%.40s' is not a path of up to %zu bytes", value,
		    sizeof(s->ready_path) - 1);
	memcpy(s->ready_path, value, strlen(value) + 1);
	return KF_OK;
}

static kf_status_t
set_fraction(const char *value, double max, double *number)
{
	char *end;
	double n = strtod(value, &end);

	if (end == value || *end != '\0' || !(n >= 0 && n <= max))
		return kf_status_set(KF_ERR_INVALID,
		    "'%.40s' is not a number from 0 to %.0f", value, max);
	*number = n;
	return KF_OK;
}

static kf_status_t
set_cold_excess(void *object, const char *value)
{
	kf_forwarder_settings_t *s = object;

	return set_fraction(value, MAX_COLD_EXCESS, &s->cold_excess);
}

static kf_status_t
set_cold_slack(void *object, const char *value)
{
	kf_forwarder_settings_t *s = object;

	return set_fraction(value, MAX_COLD_SLACK, &s->cold_slack);
}

#define MEMBER_OFFSET(member) \
	.offset = offsetof(kf_forwarder_settings_t, member)

static const kf_field_t fields[] = {
	{ "vm", "name", KF_FIELD_NAME, MEMBER_OFFSET(name),
	    .text = "name of the VM" },
	{ "vm", "zone", KF_FIELD_NAME, MEMBER_OFFSET(zone),
	    .text = "availability zone of the VM" },
	{ "vm", "packet_address", KF_FIELD_ADDR, MEMBER_OFFSET(packet_address),
	    .text =
		"packets of clients, UDP; clients take resets on its port" },
	{ "vm", "ready_address", KF_FIELD_ADDR, MEMBER_OFFSET(ready_address),
	    .text = "readiness for the routers, HTTP" },
	{ "vm", "ready_path", KF_FIELD_CUSTOM, .set = set_ready_path,
	    .unit = "path", .default_value = "/ready",
	    .text = "path of the readiness" },
	{ "vm", "peer_address", KF_FIELD_ADDR, MEMBER_OFFSET(peer_address),
	    .text = "beacons, UDP, and changes and metrics, HTTP; the port is "
		    "the same on all VMs" },
	{ "platform", "store_address", KF_FIELD_ADDR,
	    MEMBER_OFFSET(store_address), .text = "metadata store, HTTP" },
	{ "platform", "seeds", KF_FIELD_CUSTOM, .set = set_seeds,
	    .unit = "ip:port ...", .default_value = "",
	    .text = "VMs that may know others; the ports are not used" },
	{ "bounds", "drain_ms", KF_FIELD_I64, MEMBER_OFFSET(drain_bound_ms),
	    .unit = "ms", .min = BOUND_MIN_MS, .max = BOUND_MAX_MS,
	    .default_value = "3000",
	    .text = "time within which an upstream that drains gets no new "
		    "flows" },
	{ "bounds", "apply_ms", KF_FIELD_I64, MEMBER_OFFSET(apply_bound_ms),
	    .unit = "ms", .min = BOUND_MIN_MS, .max = BOUND_MAX_MS,
	    .default_value = "3000",
	    .text = "time within which a new configuration is in force" },
	{ "bounds", "evacuate_ms", KF_FIELD_I64,
	    MEMBER_OFFSET(evacuate_bound_ms), .unit = "ms", .min = 0,
	    .max = BOUND_MAX_MS, .default_value = "0",
	    .text = "time within which an evacuated zone gets no new flows; "
		    "0: none is evacuated" },
	{ "bounds", "stability_ms", KF_FIELD_I64, MEMBER_OFFSET(stability_ms),
	    .unit = "ms", .min = 0, .max = BOUND_MAX_MS, .default_value = "0",
	    .text = "time after a failure from which on no open flow may be "
		    "reset because of it; 0: not known" },
	{ "zones", "balance", KF_FIELD_CHOICE, MEMBER_OFFSET(zone_balance),
	    .choices = switches, .default_value = "on",
	    .text = "whether new flows leave a zone with too few upstreams "
		    "for its demand" },
	{ "zones", "last_resort", KF_FIELD_CHOICE, MEMBER_OFFSET(last_resort),
	    .choices = switches, .default_value = "on",
	    .text = "whether VMs of an evacuated zone that reach neither the "
		    "store nor other zones use its upstreams" },
	{ "zones", "transfer_us_per_kb", KF_FIELD_U32,
	    MEMBER_OFFSET(transfer_us_per_kb), .unit = "us/KB", .min = 0,
	    .max = MAX_TRANSFER_US_PER_KB, .default_value = "500",
	    .text = "cost of the transfer of an answer between zones, as "
		    "time" },
	{ "upstreams", "dead_after_ms", KF_FIELD_I64,
	    MEMBER_OFFSET(dead_after_ms), .unit = "ms", .min = 0,
	    .max = MAX_DEAD_AFTER_MS, .default_value = "250",
	    .text = "time without an answer after which an upstream may be "
		    "dead, and its flows reset; 0: never" },
	{ "bounds", "cold_excess", KF_FIELD_CUSTOM, .set = set_cold_excess,
	    .unit = "0 to 1000", .default_value = "0",
	    .text = "openings to a cold upstream, as a multiple of the "
		    "requests that it serves; 0: no limit" },
	{ "bounds", "cold_slack", KF_FIELD_CUSTOM, .set = set_cold_slack,
	    .unit = "0 to 1000000", .default_value = "0",
	    .text = "openings a second to a cold upstream in addition" },
	{ "stop", "grace_ms", KF_FIELD_I64, MEMBER_OFFSET(grace_ms),
	    .unit = "ms", .min = GRACE_MIN_MS, .max = GRACE_MAX_MS,
	    .default_value = "6000",
	    .text = "time from SIGTERM until the process is killed" },
	{ "log", "level", KF_FIELD_CHOICE, MEMBER_OFFSET(log_level),
	    .choices = kf_log_levels, .default_value = "info",
	    .text = "least severe level written" },
	{ "log", "decisions_per_s", KF_FIELD_U32,
	    MEMBER_OFFSET(decisions_per_s), .unit = "lines/s", .min = 0,
	    .max = MAX_DECISIONS_PER_S, .default_value = "50",
	    .text = "limit of decision lines" },
	{ "log", "sample", KF_FIELD_U32, MEMBER_OFFSET(sample), .unit = "flows",
	    .min = 1, .max = MAX_SAMPLE, .default_value = "128",
	    .text = "of flows that open without trouble, one in this many is "
		    "logged, on all VMs the same" },
	{ "log", "file", KF_FIELD_TEXT, MEMBER_OFFSET(log_file),
	    .max = KF_FORWARDER_LOG_PATH_BYTES - 1, .default_value = "stdout",
	    .text = "path of the log, stdout or stderr" },
};

static void
check_settings(const void *object, kf_reader_t *reader)
{
	const kf_forwarder_settings_t *s = object;

	if (kf_addr_equal(s->packet_address, s->peer_address))
		kf_reader_error(reader, 0,
		    "vm: packet_address and peer_address are the same");
	if (kf_addr_equal(s->ready_address, s->peer_address))
		kf_reader_error(reader, 0,
		    "vm: ready_address and peer_address are the same");
	if (s->evacuate_bound_ms > 0 && s->evacuate_bound_ms < BOUND_MIN_MS)
		kf_reader_error(reader, 0,
		    "bounds: evacuate_ms: %lld is neither 0 nor in %d to %d",
		    (long long)s->evacuate_bound_ms, BOUND_MIN_MS,
		    BOUND_MAX_MS);
}

int64_t
kf_forwarder_shortest_bound_us(const kf_forwarder_settings_t *s)
{
	int64_t shortest_ms = s->drain_bound_ms < s->apply_bound_ms
	    ? s->drain_bound_ms
	    : s->apply_bound_ms;

	if (s->evacuate_bound_ms > 0 && s->evacuate_bound_ms < shortest_ms)
		shortest_ms = s->evacuate_bound_ms;
	return shortest_ms * 1000;
}

const kf_settings_table_t kf_forwarder_settings_table = {
	.fields = fields,
	.count = sizeof(fields) / sizeof(fields[0]),
	.check = check_settings,
};
