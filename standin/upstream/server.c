#include <stdlib.h>
#include <string.h>

#include "server.h"

struct kf_sim_server {
	kf_sim_loop_t *loop;
	kf_ledger_t *ledger;
	kf_sim_control_t *control;
	kf_sim_upstream_t *upstreams[KF_SIM_MAX_UPSTREAMS];
	size_t count;
};

/* Returns NULL with a status message if no upstream has the name. */
static kf_sim_upstream_t *
server_find_upstream(const kf_sim_server_t *server, const char *name)
{
	size_t i;

	for (i = 0; i < server->count; i++)
		if (strcmp(kf_sim_upstream_name(server->upstreams[i]), name) ==
		    0)
			return server->upstreams[i];
	kf_status_set(KF_ERR_NOT_FOUND, "no upstream '%s'", name);
	return NULL;
}

static kf_status_t
command_drain(void *ctx, int argc, char **argv, FILE *out)
{
	bool draining = strcmp(argv[0], "drain") == 0;
	kf_sim_upstream_t *upstream;

	(void)argc;
	upstream = server_find_upstream(ctx, argv[1]);
	if (upstream == NULL)
		return KF_ERR_NOT_FOUND;
	kf_sim_upstream_set_draining(upstream, draining);
	fprintf(out, "upstream=%s draining=%d", argv[1], draining ? 1 : 0);
	return KF_OK;
}

static kf_status_t
command_freeze(void *ctx, int argc, char **argv, FILE *out)
{
	bool frozen = strcmp(argv[0], "freeze") == 0;
	kf_sim_upstream_t *upstream;

	(void)argc;
	upstream = server_find_upstream(ctx, argv[1]);
	if (upstream == NULL)
		return KF_ERR_NOT_FOUND;
	kf_sim_upstream_set_frozen(upstream, frozen);
	fprintf(out, "upstream=%s frozen=%d", argv[1], frozen ? 1 : 0);
	return KF_OK;
}

static kf_status_t
command_slow(void *ctx, int argc, char **argv, FILE *out)
{
	kf_sim_upstream_t *upstream;
	double factor;
	char *end;

	(void)argc;
	upstream = server_find_upstream(ctx, argv[1]);
	if (upstream == NULL)
		return KF_ERR_NOT_FOUND;
	factor = strtod(argv[2], &end);
	if (end == argv[2] || *end != '\0' || !(factor > 0 && factor <= 1e6))
		return kf_status_set(KF_ERR_INVALID,
		    "'%s' is not a factor above 0 and up to 1000000", argv[2]);
	kf_sim_upstream_set_service_time_factor(upstream, factor);
	fprintf(out, "upstream=%s slow=%g", argv[1], factor);
	return KF_OK;
}

static kf_status_t
command_false_report(void *ctx, int argc, char **argv, FILE *out)
{
	static const char *const names[] = { "off", "good", "bad" };
	kf_sim_upstream_t *upstream;
	int false_report = 0;

	(void)argc;
	upstream = server_find_upstream(ctx, argv[1]);
	if (upstream == NULL)
		return KF_ERR_NOT_FOUND;
	while (false_report < 3 && strcmp(names[false_report], argv[2]) != 0)
		false_report++;
	if (false_report == 3)
		return kf_status_set(
		    KF_ERR_INVALID, "'%s' is not good, bad or off", argv[2]);
	kf_sim_upstream_set_false_report(
	    upstream, (kf_sim_false_report_t)false_report);
	fprintf(out, "upstream=%s lie=%s", argv[1], argv[2]);
	return KF_OK;
}

static kf_status_t
command_restart(void *ctx, int argc, char **argv, FILE *out)
{
	kf_sim_upstream_t *upstream;

	(void)argc;
	upstream = server_find_upstream(ctx, argv[1]);
	if (upstream == NULL)
		return KF_ERR_NOT_FOUND;
	kf_sim_upstream_restart(upstream);
	kf_sim_upstream_print(upstream, out);
	return KF_OK;
}

static kf_status_t
command_silence(void *ctx, int argc, char **argv, FILE *out)
{
	kf_sim_upstream_t *upstream;
	kf_status_t status = KF_OK;
	uint64_t port = 0;

	(void)argc;
	upstream = server_find_upstream(ctx, argv[1]);
	if (upstream == NULL)
		return KF_ERR_NOT_FOUND;
	if (strcmp(argv[2], "ANY") != 0) {
		status = kf_sim_parse_u64(argv[2], UINT16_MAX, &port);
		if (status == KF_OK && port == 0)
			status = kf_status_set(KF_ERR_INVALID,
			    "port 0 is not in the range 1 to 65535");
	}
	if (status == KF_OK)
		status = kf_sim_upstream_ignore_port(upstream, (uint16_t)port);
	if (status == KF_OK)
		fprintf(out, "upstream=%s silenced=%s", argv[1], argv[2]);
	return status;
}

static kf_status_t
command_revoke(void *ctx, int argc, char **argv, FILE *out)
{
	kf_sim_upstream_t *upstream;

	(void)argc;
	upstream = server_find_upstream(ctx, argv[1]);
	if (upstream == NULL)
		return KF_ERR_NOT_FOUND;
	kf_sim_upstream_revoke_tokens(upstream);
	fprintf(out, "upstream=%s revoked=1", argv[1]);
	return KF_OK;
}

static kf_status_t
command_fault(void *ctx, int argc, char **argv, FILE *out)
{
	static const char *const names[KF_SIM_FAULT_COUNT] = { "refuse", "fail",
		"corrupt" };
	kf_sim_upstream_t *upstream;
	kf_status_t status;
	uint64_t count = 0;
	int fault = 0;

	(void)argc;
	upstream = server_find_upstream(ctx, argv[1]);
	if (upstream == NULL)
		return KF_ERR_NOT_FOUND;
	status = kf_sim_parse_u64(argv[2], UINT32_MAX, &count);
	if (status != KF_OK)
		return status;
	while (fault + 1 < KF_SIM_FAULT_COUNT &&
	    strcmp(names[fault], argv[0]) != 0)
		fault++;
	kf_sim_upstream_set_fault_count(
	    upstream, (kf_sim_fault_t)fault, (uint32_t)count);
	fprintf(out, "upstream=%s %s=%s", argv[1], argv[0], argv[2]);
	return KF_OK;
}

static void
server_print_totals(const kf_sim_server_t *server, FILE *out)
{
	fprintf(out, "upstreams=%zu executions=%llu repeated=%llu",
	    server->count,
	    (unsigned long long)kf_ledger_executions(server->ledger),
	    (unsigned long long)kf_ledger_repeated(server->ledger));
}

static kf_status_t
command_stats(void *ctx, int argc, char **argv, FILE *out)
{
	kf_sim_server_t *server = ctx;
	kf_sim_upstream_t *upstream;

	if (argc == 1) {
		server_print_totals(server, out);
		return KF_OK;
	}
	upstream = server_find_upstream(server, argv[1]);
	if (upstream == NULL)
		return KF_ERR_NOT_FOUND;
	kf_sim_upstream_print(upstream, out);
	return KF_OK;
}

static kf_status_t
command_quit(void *ctx, int argc, char **argv, FILE *out)
{
	kf_sim_server_t *server = ctx;

	(void)argc;
	(void)argv;
	kf_sim_loop_stop(server->loop);
	fputs("quit=1", out);
	return KF_OK;
}

static const kf_sim_command_t commands[] = {
	{ "drain", 1, 1, "NAME", command_drain },
	{ "undrain", 1, 1, "NAME", command_drain },
	{ "freeze", 1, 1, "NAME", command_freeze },
	{ "thaw", 1, 1, "NAME", command_freeze },
	{ "slow", 2, 2, "NAME FACTOR", command_slow },
	{ "lie", 2, 2, "NAME good|bad|off", command_false_report },
	{ "restart", 1, 1, "NAME", command_restart },
	{ "silence", 2, 2, "NAME PORT|ANY", command_silence },
	{ "revoke", 1, 1, "NAME", command_revoke },
	{ "refuse", 2, 2, "NAME COUNT", command_fault },
	{ "fail", 2, 2, "NAME COUNT", command_fault },
	{ "corrupt", 2, 2, "NAME COUNT", command_fault },
	{ "stats", 0, 1, "[NAME]", command_stats },
	{ "quit", 0, 0, "", command_quit },
	{ NULL, 0, 0, NULL, NULL },
};

static kf_status_t
server_open(kf_sim_server_t *server, const kf_sim_server_options_t *options)
{
	kf_sim_upstream_options_t o;
	size_t i;

	server->ledger =
	    kf_ledger_new(options->ledger, options->ledger_entries);
	if (server->ledger == NULL)
		return KF_ERR_IO;
	for (i = 0; i < options->count; i++) {
		o = options->upstreams[i];
		o.seed = options->defaults.seed + i;
		server->upstreams[i] =
		    kf_sim_upstream_new(server->loop, server->ledger, &o);
		if (server->upstreams[i] == NULL)
			return KF_ERR_IO;
		server->count++;
	}
	if (options->control.port == 0)
		return KF_OK;
	server->control = kf_sim_control_new(
	    server->loop, options->control, commands, server);
	return server->control == NULL ? KF_ERR_IO : KF_OK;
}

kf_sim_server_t *
kf_sim_server_new(kf_sim_loop_t *loop, const kf_sim_server_options_t *options)
{
	kf_sim_server_t *server;

	server = calloc(1, sizeof(*server));
	if (server == NULL) {
		kf_status_set(KF_ERR_NO_MEMORY, "no memory");
		return NULL;
	}
	server->loop = loop;
	if (server_open(server, options) != KF_OK) {
		kf_sim_server_delete(server);
		return NULL;
	}
	return server;
}

void
kf_sim_server_delete(kf_sim_server_t *server)
{
	size_t i;

	if (server == NULL)
		return;
	kf_sim_control_delete(server->control);
	for (i = 0; i < server->count; i++)
		kf_sim_upstream_delete(server->upstreams[i]);
	kf_ledger_delete(server->ledger);
	free(server);
}

void
kf_sim_server_print(const kf_sim_server_t *server, FILE *out)
{
	size_t i;

	for (i = 0; i < server->count; i++) {
		fprintf(out, "event=upstream ");
		kf_sim_upstream_print(server->upstreams[i], out);
		fprintf(out, "\n");
	}
	fprintf(out, "event=summary ");
	server_print_totals(server, out);
	fprintf(out, "\n");
}
