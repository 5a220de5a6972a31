#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "server.h"

enum {
	OPT_UPSTREAM = 'u',
	OPT_CONTROL = 'c',
	OPT_LEDGER = 'l',
	OPT_SERVICE_TIME = 256,
	OPT_COLD,
	OPT_QUEUE,
	OPT_REPLY_BYTES,
	OPT_LEDGER_ENTRIES,
	OPT_STOCK,
	OPT_TOKENS,
	OPT_SEED,
};

enum {
	MAX_SERVICE_TIME_US = 60 * 1000 * 1000,
	MAX_LEDGER_ENTRIES = 1 << 26,
	DEFAULT_LEDGER_ENTRIES = 1 << 20,
	DEFAULT_QUEUE = 64,
	DEFAULT_SLOTS = 3,
	DEFAULT_SERVICE_TIME_US = 2000,
};

static const struct argp_option option_table[] = {
	{ "upstream", OPT_UPSTREAM,
	    "name=N,address=A[,slots=S][,queue=Q][,service=TAG]", 0,
	    "An upstream (repeatable); TAG is the number of its service", 0 },
	{ "control", OPT_CONTROL, "ADDRESS", 0, "Control port", 0 },
	{ "ledger", OPT_LEDGER, "FILE", 0, "Appends one line per execution",
	    0 },
	{ "service-time-us", OPT_SERVICE_TIME, "MEAN", 0,
	    "Mean of the exponential service time (2000)", 0 },
	{ "cold-s", OPT_COLD, "N", 0,
	    "Time after a start in which service takes 3 times as long (0)",
	    0 },
	{ "queue", OPT_QUEUE, "N", 0,
	    "Accept queue of the upstreams that name none (64)", 0 },
	{ "reply-bytes", OPT_REPLY_BYTES, "N", 0, "Filler of each reply (0)",
	    0 },
	{ "ledger-entries", OPT_LEDGER_ENTRIES, "N", 0,
	    "Request numbers counted in memory (1048576)", 0 },
	{ "stock", OPT_STOCK, NULL, 0,
	    "Behaves as a server that knows no load reports", 0 },
	{ "tokens", OPT_TOKENS, NULL, 0,
	    "Issues and requires tokens, to test callers without a balancer",
	    0 },
	{ "seed", OPT_SEED, "N", 0, "Seed of the service times (1)", 0 },
	{ 0 },
};

static kf_status_t
set_number(const char *text, uint64_t min, uint64_t max, uint64_t *value)
{
	kf_status_t status;

	status = kf_sim_parse_u64(text, max, value);
	if (status == KF_OK && *value < min)
		return kf_status_set(KF_ERR_INVALID, "%s is less than %llu",
		    text, (unsigned long long)min);
	return status;
}

static kf_status_t
set_u32(const char *text, uint64_t min, uint64_t max, uint32_t *value)
{
	kf_status_t status;
	uint64_t v;

	status = set_number(text, min, max, &v);
	if (status == KF_OK)
		*value = (uint32_t)v;
	return status;
}

static kf_status_t
set_size(const char *text, uint64_t min, uint64_t max, size_t *value)
{
	kf_status_t status;
	uint64_t v;

	status = set_number(text, min, max, &v);
	if (status == KF_OK)
		*value = (size_t)v;
	return status;
}

static kf_status_t
set_name(const char *text, char name[KF_SIM_NAME_BYTES])
{
	if (*text == '\0' || strlen(text) >= KF_SIM_NAME_BYTES)
		return kf_status_set(KF_ERR_INVALID,
		    "'%s' is not a name of 1 to 63 characters", text);
	snprintf(name, KF_SIM_NAME_BYTES, "%s", text);
	return KF_OK;
}

static kf_status_t
set_upstream_field(kf_sim_upstream_options_t *o, char *field)
{
	char *value;

	value = strchr(field, '=');
	if (value == NULL)
		return kf_status_set(
		    KF_ERR_INVALID, "'%s' is not key=value", field);
	*value++ = '\0';
	if (strcmp(field, "name") == 0)
		return set_name(value, o->name);
	if (strcmp(field, "address") == 0)
		return kf_sim_addr_parse(value, &o->addr);
	if (strcmp(field, "slots") == 0)
		return set_u32(value, 1, KF_SIM_MAX_SLOTS, &o->slots);
	if (strcmp(field, "queue") == 0)
		return set_u32(value, 1, KF_SIM_MAX_QUEUE, &o->queue);
	if (strcmp(field, "service") == 0)
		return set_u32(value, 1, UINT16_MAX, &o->tag);
	return kf_status_set(KF_ERR_INVALID, "unknown key '%s'", field);
}

static kf_status_t
add_upstream(kf_sim_server_options_t *options, char *spec)
{
	kf_sim_upstream_options_t *o;
	kf_status_t status = KF_OK;
	char *save = NULL;
	char *field;

	if (options->count == KF_SIM_MAX_UPSTREAMS)
		return kf_status_set(KF_ERR_FULL, "too many upstreams");
	o = &options->upstreams[options->count++];
	for (field = strtok_r(spec, ",", &save);
	     field != NULL && status == KF_OK;
	     field = strtok_r(NULL, ",", &save))
		status = set_upstream_field(o, field);
	if (status == KF_OK && (o->name[0] == '\0' || o->addr.port == 0))
		status = kf_status_set(
		    KF_ERR_INVALID, "an upstream needs name= and address=");
	return status;
}

static kf_status_t
set_option(kf_sim_server_options_t *o, int key, char *arg)
{
	switch (key) {
	case OPT_UPSTREAM:
		return add_upstream(o, arg);
	case OPT_CONTROL:
		return kf_sim_addr_parse(arg, &o->control);
	case OPT_LEDGER:
		o->ledger = arg;
		return KF_OK;
	case OPT_SERVICE_TIME:
		return set_number(
		    arg, 0, MAX_SERVICE_TIME_US, &o->defaults.service_time_us);
	case OPT_COLD:
		return set_number(arg, 0, 3600, &o->defaults.cold_s);
	case OPT_QUEUE:
		return set_u32(arg, 1, KF_SIM_MAX_QUEUE, &o->defaults.queue);
	case OPT_REPLY_BYTES:
		return set_size(
		    arg, 0, KF_SIM_MAX_PAYLOAD, &o->defaults.reply_bytes);
	case OPT_LEDGER_ENTRIES:
		return set_size(
		    arg, 16, MAX_LEDGER_ENTRIES, &o->ledger_entries);
	case OPT_SEED:
		return set_number(arg, 0, UINT32_MAX, &o->defaults.seed);
	default:
		return KF_ERR_UNSUPPORTED;
	}
}

/*
 * Fills in the settings that --upstream left unset.  Done after parsing, as
 * an option also applies to upstreams named before it.
 */
static void
apply_defaults(kf_sim_server_options_t *options)
{
	kf_sim_upstream_options_t o;
	kf_sim_upstream_options_t *u;
	size_t i;

	for (i = 0; i < options->count; i++) {
		u = &options->upstreams[i];
		o = options->defaults;
		memcpy(o.name, u->name, sizeof(o.name));
		o.addr = u->addr;
		o.tag = u->tag;
		o.slots = u->slots > 0 ? u->slots : o.slots;
		o.queue = u->queue > 0 ? u->queue : o.queue;
		*u = o;
	}
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	kf_sim_server_options_t *o = state->input;
	kf_status_t status;

	if (key == OPT_STOCK) {
		o->defaults.stock = true;
		return 0;
	}
	if (key == OPT_TOKENS) {
		o->defaults.tokens = true;
		return 0;
	}
	if (key == ARGP_KEY_END && o->count == 0)
		argp_error(state, "--upstream is required");
	if (arg == NULL)
		return ARGP_ERR_UNKNOWN;
	status = set_option(o, key, arg);
	return kf_sim_argp_result(state, status);
}

static int
run(const kf_sim_server_options_t *options)
{
	kf_sim_server_t *server;
	kf_sim_loop_t *loop;

	loop = kf_sim_loop_new();
	server = loop == NULL ? NULL : kf_sim_server_new(loop, options);
	if (server == NULL) {
		fprintf(stderr, "standin-upstream: %s\n", kf_status_message());
		kf_sim_loop_delete(loop);
		return 1;
	}
	printf("event=ready upstreams=%zu\n", options->count);
	kf_sim_loop_run(loop);
	kf_sim_server_print(server, stdout);
	kf_sim_server_delete(server);
	kf_sim_loop_delete(loop);
	return 0;
}

int
main(int argc, char **argv)
{
	static const struct argp argp = { .options = option_table,
		.parser = parse_option,
		.doc = "Serves ONC RPC calls as one or many upstreams, on "
		       "loopback addresses only." };
	static kf_sim_server_options_t options = {
		.defaults = { .service_time_us = DEFAULT_SERVICE_TIME_US,
		    .slots = DEFAULT_SLOTS,
		    .queue = DEFAULT_QUEUE,
		    .seed = 1 },
		.ledger_entries = DEFAULT_LEDGER_ENTRIES,
	};

	setvbuf(stdout, NULL, _IOLBF, 0);
	argp_parse(&argp, argc, argv, ARGP_NO_ARGS, NULL, &options);
	apply_defaults(&options);
	return run(&options);
}
