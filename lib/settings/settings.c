#include <stdlib.h>
#include <string.h>

#include "kf/settings.h"
#include "kf/settings_table.h"

enum {
	MIB = 1024 * 1024,
	/*
	 * A longer wait would hold a watch open on a platform that has stopped
	 * answering.
	 */
	POLL_WAIT_MAX_MS = 60000,
	START_WINDOW_MAX_MS = 60000,
	TOKEN_LIFETIME_MIN_S = 60,
	TOKEN_LIFETIME_MAX_S = 7 * 86400,
};

static const char *const encapsulations[] = { "proxy-v2", "none", NULL };

static kf_status_t set_url(void *object, const char *value);
static kf_status_t set_seeds(void *object, const char *value);

#define MEMBER_OFFSET(member) .offset = offsetof(kf_settings_t, member)

static const kf_field_t fields[] = {
	{ "vm", "name", KF_FIELD_NAME, MEMBER_OFFSET(name),
	    .text = "name of the VM in the platform's list" },
	{ "vm", "zone", KF_FIELD_NAME, MEMBER_OFFSET(zone_name),
	    .text = "availability zone of the VM" },
	{ "vm", "ingress_address", KF_FIELD_ADDR,
	    MEMBER_OFFSET(ingress_address),
	    .text = "datagrams of the fabric, UDP" },
	{ "vm", "peer_address", KF_FIELD_ADDR, MEMBER_OFFSET(peer_address),
	    .text = "peer datagrams, UDP; traffic thread i adds i" },
	{ "vm", "control_address", KF_FIELD_ADDR,
	    MEMBER_OFFSET(control_address), .text = "heartbeats, UDP" },
	{ "vm", "rpc_address", KF_FIELD_ADDR, MEMBER_OFFSET(rpc_address),
	    .text = "operator RPC, TCP" },
	{ "vm", "metrics_address", KF_FIELD_ADDR,
	    MEMBER_OFFSET(metrics_address), .default_value = "",
	    .text = "counters over HTTP, TCP; absent: off" },
	{ "vm", "traffic_threads", KF_FIELD_U32, MEMBER_OFFSET(traffic_threads),
	    .unit = "threads", .min = 1, .max = KF_SETTINGS_MAX_THREADS,
	    .default_value = "1", .text = "traffic threads" },
	{ "vm", "encapsulation", KF_FIELD_CHOICE, MEMBER_OFFSET(encapsulation),
	    .choices = encapsulations, .default_value = "proxy-v2",
	    .text = "header between fabric and balancer" },
	{ "platform", "url", KF_FIELD_CUSTOM, .set = set_url,
	    .unit = "http URL", .text = "configuration service" },
	{ "platform", "poll_wait_ms", KF_FIELD_I64, MEMBER_OFFSET(poll_wait_ms),
	    .unit = "ms", .min = 0, .max = POLL_WAIT_MAX_MS,
	    .default_value = "10000", .text = "longest wait of a watch" },
	{ "platform", "start_window_ms", KF_FIELD_I64,
	    MEMBER_OFFSET(start_window_ms), .unit = "ms", .min = 0,
	    .max = START_WINDOW_MAX_MS, .default_value = "1000",
	    .text = "with seeds, spreads the first reads of the platform" },
	{ "platform", "seeds", KF_FIELD_CUSTOM, .set = set_seeds,
	    .unit = "ip:port ...", .default_value = "",
	    .text = "control addresses of peers asked at the start" },
	{ "limits", "max_flows", KF_FIELD_U32, MEMBER_OFFSET(max_flows),
	    .unit = "flows", .min = 1000, .max = 10000000,
	    .default_value = "500000", .text = "at-most-once flow records" },
	{ "limits", "max_reply_cache_bytes", KF_FIELD_I64,
	    MEMBER_OFFSET(max_reply_cache_bytes), .unit = "bytes", .min = MIB,
	    .max = INT64_C(16384) * MIB, .default_value = "67108864",
	    .text = "replies kept for retransmissions" },
	{ "limits", "queue_bytes", KF_FIELD_I64, MEMBER_OFFSET(queue_bytes),
	    .unit = "bytes", .min = MIB, .max = INT64_C(16384) * MIB,
	    .default_value = "16777216", .text = "queued requests" },
	{ "limits", "token_lifetime_s", KF_FIELD_I64,
	    MEMBER_OFFSET(token_lifetime_s), .unit = "s",
	    .min = TOKEN_LIFETIME_MIN_S, .max = TOKEN_LIFETIME_MAX_S,
	    .default_value = "3600", .text = "validity of a token" },
	{ "limits", "ingress_packets_per_s", KF_FIELD_U32,
	    MEMBER_OFFSET(ingress_packets_per_s), .unit = "packets/s", .min = 0,
	    .max = 100000000, .default_value = "0",
	    .text = "ingress limit; 0: none" },
	{ "log", "level", KF_FIELD_CHOICE, MEMBER_OFFSET(log_level),
	    .choices = kf_log_levels, .default_value = "info",
	    .text = "least severe level written" },
	{ "log", "decisions_per_s", KF_FIELD_U32,
	    MEMBER_OFFSET(decisions_per_s), .unit = "lines/s", .min = 0,
	    .max = 1000000, .default_value = "200",
	    .text = "limit of decision lines" },
	{ "log", "file", KF_FIELD_TEXT, MEMBER_OFFSET(log_file),
	    .max = KF_SETTINGS_TEXT_BYTES - 1, .default_value = "stderr",
	    .text = "path of the log, stdout or stderr" },
	{ "upstream", "paths", KF_FIELD_U32, MEMBER_OFFSET(upstream_paths),
	    .unit = "paths", .min = 1, .max = 64, .default_value = "4",
	    .text = "UDP source ports per upstream" },
};

enum { FIELD_COUNT = sizeof(fields) / sizeof(fields[0]) };

static kf_status_t
set_url(void *object, const char *value)
{
	kf_settings_t *settings = object;
	const char *host;

	if (strncmp(value, "http://", 7) == 0)
		host = value + 7;
	else if (strncmp(value, "https://", 8) == 0)
		host = value + 8;
	else
		return kf_status_set(KF_ERR_INVALID,
		    "'%.80s' starts with neither http:// nor https://", value);
	if (*host == '\0' || *host == '/' || strpbrk(value, " \t?#") != NULL)
		return kf_status_set(
		    KF_ERR_INVALID, "'%.80s' is not a base URL", value);
	if (strlen(value) >= sizeof(settings->platform_url))
		return kf_status_set(KF_ERR_INVALID,
		    "URL is longer than %zu bytes",
		    sizeof(settings->platform_url) - 1);
	memcpy(settings->platform_url, value, strlen(value) + 1);
	return KF_OK;
}

static kf_status_t
set_seeds(void *object, const char *value)
{
	kf_settings_t *settings = object;

	return kf_settings_addrs_parse(value, settings->seeds,
	    KF_SETTINGS_MAX_SEEDS, &settings->seed_count);
}

static bool
in_peer_range(const kf_settings_t *settings, kf_addr_t addr)
{
	return addr.ip == settings->peer_address.ip &&
	    addr.port >= settings->peer_address.port &&
	    addr.port < settings->peer_address.port + settings->traffic_threads;
}

/* Ingress, peer and control sockets are UDP and cannot share a port. */
static void
check_addresses(const kf_settings_t *settings, kf_reader_t *reader)
{
	if (settings->peer_address.port + settings->traffic_threads - 1 >
	    UINT16_MAX)
		kf_reader_error(reader, 0,
		    "vm: peer_address: port %u and %u traffic_threads go past "
		    "port 65535",
		    settings->peer_address.port, settings->traffic_threads);
	if (kf_addr_equal(settings->ingress_address, settings->control_address))
		kf_reader_error(reader, 0,
		    "vm: ingress_address and control_address are the same");
	if (in_peer_range(settings, settings->ingress_address))
		kf_reader_error(reader, 0,
		    "vm: ingress_address is in the port range of peer_address");
	if (in_peer_range(settings, settings->control_address))
		kf_reader_error(reader, 0,
		    "vm: control_address is in the port range of peer_address");
}

/*
 * The RPC server listens over TCP on rpc_address and control_address, so the
 * metrics listener needs another address.
 */
static void
check_metrics(const kf_settings_t *settings, kf_reader_t *reader)
{
	if (kf_addr_equal(settings->metrics_address, settings->rpc_address))
		kf_reader_error(reader, 0,
		    "vm: metrics_address and rpc_address are the same");
	if (kf_addr_equal(settings->metrics_address, settings->control_address))
		kf_reader_error(reader, 0,
		    "vm: metrics_address and control_address are the same");
}

static void
check_settings(const void *object, kf_reader_t *reader)
{
	check_addresses(object, reader);
	check_metrics(object, reader);
}

static const kf_settings_table_t settings_table = {
	.fields = fields,
	.count = FIELD_COUNT,
	.check = check_settings,
};

/*
 * Completes settings after a parser returned status: sets the IDs derived from
 * names, or frees settings and returns NULL if the parser failed.
 */
static kf_settings_t *
settings_finish(kf_settings_t *settings, kf_status_t status)
{
	if (status != KF_OK) {
		kf_settings_delete(settings);
		return NULL;
	}
	settings->vm_id = kf_name_id(settings->name);
	settings->zone = kf_name_id(settings->zone_name);
	return settings;
}

static kf_settings_t *
settings_new(const char *file, kf_error_fn *on_error, void *ctx)
{
	kf_settings_t *settings;

	settings = calloc(1, sizeof(*settings));
	if (settings == NULL)
		on_error(ctx, file, 0, "out of memory");
	return settings;
}

kf_settings_t *
kf_settings_parse(const char *file, const char *text, size_t len,
    kf_error_fn *on_error, void *ctx)
{
	kf_settings_t *settings = settings_new(file, on_error, ctx);

	return settings == NULL
	    ? NULL
	    : settings_finish(settings,
		  kf_settings_table_parse(&settings_table, file, text, len,
		      on_error, ctx, settings));
}

kf_settings_t *
kf_settings_load(const char *path, const kf_overrides_t *overrides,
    kf_error_fn *on_error, void *ctx)
{
	kf_settings_t *settings = settings_new(path, on_error, ctx);

	return settings == NULL
	    ? NULL
	    : settings_finish(settings,
		  kf_settings_table_load(&settings_table, path, overrides,
		      on_error, ctx, settings));
}

void
kf_settings_delete(kf_settings_t *settings)
{
	free(settings);
}

const kf_field_t *
kf_settings_fields(size_t *count)
{
	*count = FIELD_COUNT;
	return fields;
}
