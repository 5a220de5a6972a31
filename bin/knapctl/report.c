#include <err.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kf/confdist.h"
#include "kf/membership.h"
#include "kf/view.h"
#include "report.h"

enum { MILLI_PERCENT_PER_PERCENT = 1000 };

/* Returns the version of a document that a server has in force. */
typedef kf_doc_version_t version_fn(const kf_rpc_status *status);

static kf_doc_version_t
declaration_version(const kf_rpc_status *status)
{
	return (
	    kf_doc_version_t){ status->revision, status->declaration_version };
}

static kf_doc_version_t
keys_version(const kf_rpc_status *status)
{
	return (kf_doc_version_t){ 0, status->keys_version };
}

static kf_doc_version_t
vms_version(const kf_rpc_status *status)
{
	return (kf_doc_version_t){ 0, status->vms_version };
}

static version_fn *const version_functions[KF_DOC_KINDS] = {
	[KF_DOC_DECLARATION] = declaration_version,
	[KF_DOC_KEYS] = keys_version,
	[KF_DOC_VMS] = vms_version,
};

static void
add_age_cell(table_t *table, int64_t age_ms)
{
	if (age_ms < 0)
		table_add_cell(table, "never");
	else
		table_add_cell(table, "%" PRId64, age_ms);
}

static void
add_percent_cell(table_t *table, u_int milli_percent)
{
	table_add_cell(
	    table, "%.2f", (double)milli_percent / MILLI_PERCENT_PER_PERCENT);
}

static void
add_number_cell(table_t *table, u_quad_t number)
{
	table_add_cell(table, "%" PRIu64, (uint64_t)number);
}

static const char *
server_state(const fleet_server_t *server)
{
	const kf_rpc_status *status = &server->status;

	if (status->vm == 0)
		return "no_config";
	if (status->leaving)
		return "leaving";
	return status->settled ? "serving" : "starting";
}

static void
add_server(table_t *table, const fleet_server_t *server)
{
	const kf_rpc_status *status = &server->status;

	table_add_cell(table, "%s", status->name);
	table_add_cell(table, "%s", server_state(server));
	add_number_cell(table, status->incarnation);
	table_add_cell(table, "%u", status->revision);
	add_number_cell(table, status->declaration_version);
	add_number_cell(table, status->keys_version);
	add_number_cell(table, status->vms_version);
	add_age_cell(table, status->platform_age_ms);
	table_add_cell(table, "%" PRId64, server->clock_offset_ms);
	table_add_cell(table, "%u", status->flows);
	table_add_cell(table, "%u", status->requests_in_progress);
}

/* Fills the row of a server that did not answer; only its address is known. */
static void
add_unreachable_cells(table_t *table, size_t cells)
{
	table_add_cell(table, "%s", "");
	table_add_cell(table, "unreachable");
	for (cells -= 2; cells > 0; cells--)
		table_add_cell(table, "%s", "");
}

static void
report_servers(const fleet_t *fleet, format_t format)
{
	static const char *const columns[] = { "address", "server", "state",
		"incarnation", "revision", "declaration_version",
		"keys_version", "vms_version", "platform_age_ms",
		"clock_offset_ms", "flows", "requests_in_progress", NULL };
	enum { SERVER_COLUMNS = sizeof(columns) / sizeof(columns[0]) - 1 };
	table_t *table = table_new("server", columns);
	size_t i;

	for (i = 0; i < fleet->count; i++) {
		const fleet_server_t *server = &fleet->servers[i];

		table_add_cell(table, "%s", server->addr_text);
		if (server->reached)
			add_server(table, server);
		else
			add_unreachable_cells(table, SERVER_COLUMNS - 1);
	}
	table_finish(table, format);
}

static kf_doc_version_t
newest_version(const fleet_t *fleet, version_fn *version_of)
{
	kf_doc_version_t newest = { 0 }, version;
	size_t i;

	for (i = 0; i < fleet->count; i++) {
		version = version_of(&fleet->servers[i].status);
		if (kf_doc_version_compare(version, newest) > 0)
			newest = version;
	}
	return newest;
}

/*
 * Returns the names of the reached servers that do not have the newest version,
 * separated by blanks, or NULL if out of memory.
 */
static char *
list_behind(
    const fleet_t *fleet, version_fn *version_of, kf_doc_version_t newest)
{
	char *list = NULL;
	size_t i, len;
	FILE *stream;

	stream = open_memstream(&list, &len);
	if (stream == NULL)
		return NULL;
	for (i = 0; i < fleet->count; i++) {
		const fleet_server_t *server = &fleet->servers[i];

		if (server->reached &&
		    kf_doc_version_compare(
			version_of(&server->status), newest) != 0)
			fprintf(stream, "%s%s", ftell(stream) > 0 ? " " : "",
			    server->status.name);
	}
	fclose(stream);
	return list;
}

static size_t
reached_count(const fleet_t *fleet)
{
	size_t i, count = 0;

	for (i = 0; i < fleet->count; i++) {
		if (fleet->servers[i].reached)
			count++;
	}
	return count;
}

static void
add_document(table_t *table, const fleet_t *fleet, kf_doc_kind_t kind)
{
	kf_doc_version_t newest =
	    newest_version(fleet, version_functions[kind]);
	char *behind;

	behind = list_behind(fleet, version_functions[kind], newest);
	if (behind == NULL)
		err(1, NULL);
	table_add_cell(table, "%s", kf_doc_kind_name(kind));
	table_add_cell(table, "%u", newest.revision);
	add_number_cell(table, newest.platform_version);
	table_add_cell(table, "%zu", reached_count(fleet));
	table_add_cell(table, "%s", *behind == '\0' ? "yes" : "no");
	table_add_cell(table, "%s", behind);
	free(behind);
}

/* Compares the versions in force on the servers that answered. */
static void
report_documents(const fleet_t *fleet, format_t format)
{
	static const char *const columns[] = { "document", "newest_revision",
		"newest_version", "servers", "agree", "behind", NULL };
	table_t *table = table_new("document", columns);
	kf_doc_kind_t kind;

	for (kind = KF_DOC_DECLARATION;
	     kind < KF_DOC_KINDS && reached_count(fleet) > 0; kind++)
		add_document(table, fleet, kind);
	table_finish(table, format);
}

void
report_summary(const fleet_t *fleet, format_t format)
{
	report_servers(fleet, format);
	report_documents(fleet, format);
}

/* Returns the most severe state flagged in the last digest of the owner. */
static const char *
upstream_health(const kf_rpc_upstream *u)
{
	if (u->heard_age_ms < 0)
		return "unknown";
	if (u->flags & KF_DIGEST_EJECTED)
		return "ejected";
	if (u->flags & KF_DIGEST_OVERLOADED)
		return "overloaded";
	return u->flags & KF_DIGEST_COLD ? "cold" : "ok";
}

static const char *
upstream_drain(const kf_rpc_upstream *u)
{
	if (u->draining)
		return "declared";
	return u->flags & KF_DIGEST_DRAINING ? "reported" : "no";
}

static void
add_upstream(
    table_t *table, const kf_rpc_status *status, const kf_rpc_upstream *u)
{
	table_add_cell(table, "%s", status->name);
	table_add_cell(table, "%s", u->service);
	table_add_cell(table, "%s", u->name);
	table_add_cell(table, "%s", u->zone);
	table_add_cell(table, "%s", u->owner);
	table_add_cell(table, "%s", u->backup);
	table_add_cell(table, "%s", upstream_health(u));
	table_add_cell(table, "%s", upstream_drain(u));
	table_add_cell(table, "%u", u->load);
	table_add_cell(table, "%u", u->slots);
	add_age_cell(table, u->heard_age_ms);
	add_number_cell(table, u->incarnation);
}

void
report_upstreams(const fleet_t *fleet, format_t format)
{
	static const char *const columns[] = { "server", "service", "upstream",
		"zone", "owner", "backup", "health", "drain", "load", "slots",
		"digest_age_ms", "incarnation", NULL };
	table_t *table = table_new("upstream", columns);
	u_int j;
	size_t i;

	for (i = 0; i < fleet->count; i++) {
		const kf_rpc_status *status = &fleet->servers[i].status;

		for (j = 0; j < status->upstreams.upstreams_len; j++)
			add_upstream(
			    table, status, &status->upstreams.upstreams_val[j]);
	}
	table_finish(table, format);
}

/* Returns the elapsed fraction of a ramp, 0 to 1, by the server's clock. */
static double
ramp_progress(const kf_rpc_selector *s, int64_t wall_ms)
{
	double elapsed_s = (double)wall_ms / 1000 - (double)s->ramp_start_s;

	if (elapsed_s <= 0)
		return 0;
	return elapsed_s >= (double)s->ramp_s ? 1
					      : elapsed_s / (double)s->ramp_s;
}

static void
add_ramp_cells(table_t *table, const kf_rpc_selector *s, int64_t wall_ms)
{
	double progress;

	if (s->ramp_s == 0) {
		table_add_cell(table, "none");
		table_add_cell(table, "%s", "");
		table_add_cell(table, "%s", "");
		return;
	}
	progress = ramp_progress(s, wall_ms);
	table_add_cell(table, "%s",
	    progress <= 0	? "waiting"
		: progress >= 1 ? "done"
				: "running");
	table_add_cell(table, "%.1f", progress * 100);
	add_percent_cell(table, s->ramp_from_share);
}

static void
add_selector(
    table_t *table, const kf_rpc_status *status, const kf_rpc_selector *s)
{
	table_add_cell(table, "%s", status->name);
	table_add_cell(table, "%s", s->service);
	table_add_cell(table, "%s", s->name);
	add_percent_cell(table, s->declared_share);
	add_percent_cell(table, s->effective_share);
	add_ramp_cells(table, s, (int64_t)status->wall_ms);
	table_add_cell(table, "%u", s->upstreams);
}

void
report_selectors(const fleet_t *fleet, format_t format)
{
	static const char *const columns[] = { "server", "service", "selector",
		"declared_percent", "effective_percent", "ramp",
		"ramp_progress_percent", "ramp_from_percent", "upstreams",
		NULL };
	table_t *table = table_new("selector", columns);
	u_int j;
	size_t i;

	for (i = 0; i < fleet->count; i++) {
		const kf_rpc_status *status = &fleet->servers[i].status;

		for (j = 0; j < status->selectors.selectors_len; j++)
			add_selector(
			    table, status, &status->selectors.selectors_val[j]);
	}
	table_finish(table, format);
}

static void
add_vm(table_t *table, const kf_rpc_status *status, const kf_rpc_vm *vm)
{
	kf_addr_t addr = { .ip = vm->addr, .port = (uint16_t)vm->port };
	char text[KF_ADDR_TEXT_BYTES];

	table_add_cell(table, "%s", status->name);
	/*
	 * A heartbeat carries no name, and it may arrive before a VM list
	 * that names its sender.
	 */
	if (*vm->name != '\0')
		table_add_cell(table, "%s", vm->name);
	else
		table_add_cell(table, "%08x", vm->id);
	table_add_cell(table, "%s", vm->zone);
	table_add_cell(table, "%s", kf_addr_format(addr, text));
	table_add_cell(
	    table, "%s", kf_liveness_name((kf_liveness_t)vm->liveness));
	table_add_cell(table, "%s", vm->leaving ? "yes" : "no");
	add_number_cell(table, vm->incarnation);
	add_age_cell(table, vm->heard_age_ms);
}

void
report_vms(const fleet_t *fleet, format_t format)
{
	static const char *const columns[] = { "server", "vm", "zone",
		"address", "liveness", "leaving", "incarnation", "heard_age_ms",
		NULL };
	table_t *table = table_new("vm", columns);
	u_int j;
	size_t i;

	for (i = 0; i < fleet->count; i++) {
		const kf_rpc_status *status = &fleet->servers[i].status;

		for (j = 0; j < status->vms.vms_len; j++)
			add_vm(table, status, &status->vms.vms_val[j]);
	}
	table_finish(table, format);
}

static void
add_counter_rows(table_t *table, const kf_rpc_status *status,
    const kf_rpc_counter *counters, u_int count, format_t format)
{
	u_int i;

	for (i = 0; i < count; i++) {
		if (format == FORMAT_TABLE && counters[i].value == 0)
			continue;
		table_add_cell(table, "%s", status->name);
		table_add_cell(table, "%s", counters[i].name);
		add_number_cell(table, counters[i].value);
	}
}

void
report_refusals(const fleet_t *fleet, format_t format)
{
	static const char *const columns[] = { "server", "reason", "count",
		NULL };
	table_t *table = table_new("refusal", columns);
	size_t i;

	for (i = 0; i < fleet->count; i++) {
		const kf_rpc_status *status = &fleet->servers[i].status;
		u_int count = status->reasons.reasons_len;

		/* Skips the first reason, KF_REASON_NONE. */
		if (count > 1)
			add_counter_rows(table, status,
			    status->reasons.reasons_val + 1, count - 1, format);
	}
	table_finish(table, format);
}

static u_quad_t
counter_value(const kf_rpc_status *status, const char *name)
{
	u_int i;

	for (i = 0; i < status->counters.counters_len; i++) {
		if (strcmp(status->counters.counters_val[i].name, name) == 0)
			return status->counters.counters_val[i].value;
	}
	return 0;
}

void
report_flows(const fleet_t *fleet, format_t format)
{
	static const char *const columns[] = { "server", "flows", "flow_bytes",
		"requests_in_progress", "placed", "moved", "forwarded",
		"replayed", "takeovers", NULL };
	static const char *const counters[] = { "flows_placed", "flows_moved",
		"forwarded", "replayed", "takeovers" };
	table_t *table = table_new("flows", columns);
	size_t i, j;

	for (i = 0; i < fleet->count; i++) {
		const kf_rpc_status *status = &fleet->servers[i].status;

		if (!fleet->servers[i].reached)
			continue;
		table_add_cell(table, "%s", status->name);
		table_add_cell(table, "%u", status->flows);
		add_number_cell(table, status->flow_bytes);
		table_add_cell(table, "%u", status->requests_in_progress);
		for (j = 0; j < sizeof(counters) / sizeof(counters[0]); j++)
			add_number_cell(
			    table, counter_value(status, counters[j]));
	}
	table_finish(table, format);
}

void
report_counters(const fleet_t *fleet, format_t format)
{
	static const char *const columns[] = { "server", "counter", "value",
		NULL };
	table_t *table = table_new("counter", columns);
	size_t i;

	for (i = 0; i < fleet->count; i++) {
		const kf_rpc_status *status = &fleet->servers[i].status;

		add_counter_rows(table, status, status->counters.counters_val,
		    status->counters.counters_len, format);
	}
	table_finish(table, format);
}
