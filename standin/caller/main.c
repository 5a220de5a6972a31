#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "caller.h"

enum {
	OPT_SERVICE = 's',
	OPT_BIND = 256,
	OPT_PROGRAM,
	OPT_VERSION,
	OPT_TAG,
	OPT_CALLER,
	OPT_FLOWS,
	OPT_SOCKETS,
	OPT_RATE,
	OPT_THINK,
	OPT_DURATION,
	OPT_MIX,
	OPT_NON_IDEMPOTENT,
	OPT_TIMEOUT,
	OPT_RETRANSMIT,
	OPT_FLOW_REQUESTS,
	OPT_PAYLOAD,
	OPT_RETRY_REFUSED,
	OPT_PROGRESS,
	OPT_RESULTS,
	OPT_STOCK,
	OPT_SEED,
};

static const struct argp_option option_table[] = {
	{ "service", OPT_SERVICE, "ADDRESS", 0, "Address to call", 0 },
	{ "bind", OPT_BIND, "IP", 0, "Own IP address (127.0.0.1)", 0 },
	{ "program", OPT_PROGRAM, "N", 0, "RPC program (0x20000101)", 0 },
	{ "version", OPT_VERSION, "N", 0, "RPC version (1)", 0 },
	{ "service-tag", OPT_TAG, "N", 0,
	    "Number of the service, part of each request number (1)", 0 },
	{ "caller", OPT_CALLER, "N", 0,
	    "Number of this process, part of each request number (1)", 0 },
	{ "flows", OPT_FLOWS, "N", 0, "Callers at once (10)", 0 },
	{ "sockets", OPT_SOCKETS, "N", 0,
	    "Sockets the flows share (one per flow, at most 512)", 0 },
	{ "rate", OPT_RATE, "R", 0,
	    "Requests a second over all flows; 0 is a closed loop (0)", 0 },
	{ "think-ms", OPT_THINK, "N", 0, "Pause of a closed loop (10)", 0 },
	{ "duration-s", OPT_DURATION, "N", 0, "Length of the run (10)", 0 },
	{ "mix", OPT_MIX, "PROC=WEIGHT,...", 0, "Procedures called (1=1)", 0 },
	{ "non-idempotent", OPT_NON_IDEMPOTENT, "PROC,...", 0,
	    "Procedures that may not run twice", 0 },
	{ "timeout-ms", OPT_TIMEOUT, "N", 0, "Gives up a request (10000)", 0 },
	{ "retransmit-ms", OPT_RETRANSMIT, "N", 0,
	    "Sends a call again; 0 is never (500)", 0 },
	{ "flow-requests", OPT_FLOW_REQUESTS, "N", 0,
	    "Requests after which a flow forgets its token; 0 is never (0)",
	    0 },
	{ "payload-bytes", OPT_PAYLOAD, "N", 0, "Size of arguments (64)", 0 },
	{ "retry-refused", OPT_RETRY_REFUSED, NULL, 0,
	    "Repeats requests refused by overload", 0 },
	{ "progress", OPT_PROGRESS, NULL, 0, "Prints a line each second", 0 },
	{ "results", OPT_RESULTS, "FILE", 0, "Writes one line per request", 0 },
	{ "stock", OPT_STOCK, NULL, 0,
	    "Makes a few calls with libtirpc's client", 0 },
	{ "seed", OPT_SEED, "N", 0, "Seed of all random choices (1)", 0 },
	{ 0 },
};

typedef struct number_option {
	int key;
	uint64_t min;
	uint64_t max;
	size_t offset;
	size_t size;
} number_option_t;

#define FIELD(name)                          \
	offsetof(kf_caller_options_t, name), \
	    sizeof(((kf_caller_options_t *)0)->name)

static const number_option_t number_options[] = {
	{ OPT_VERSION, 0, UINT32_MAX, FIELD(vers) },
	{ OPT_TAG, 1, UINT16_MAX, FIELD(tag) },
	{ OPT_CALLER, 0, 0x7fff, FIELD(caller) },
	{ OPT_FLOWS, 1, KF_CALLER_MAX_FLOWS, FIELD(flows) },
	{ OPT_SOCKETS, 1, KF_CALLER_MAX_SOCKETS, FIELD(sockets) },
	{ OPT_THINK, 0, 3600000, FIELD(think_ms) },
	{ OPT_DURATION, 1, KF_CALLER_MAX_DURATION_S, FIELD(duration_s) },
	{ OPT_TIMEOUT, 1, 120000, FIELD(timeout_ms) },
	{ OPT_RETRANSMIT, 0, 120000, FIELD(retransmit_ms) },
	{ OPT_FLOW_REQUESTS, 0, UINT32_MAX, FIELD(flow_requests) },
	{ OPT_PAYLOAD, 0, KF_SIM_MAX_PAYLOAD, FIELD(payload_bytes) },
	{ OPT_SEED, 0, UINT32_MAX, FIELD(seed) },
	{ 0, 0, 0, 0, 0 },
};

static kf_status_t
set_number(kf_caller_options_t *o, const number_option_t *n, const char *arg)
{
	char *field = (char *)o + n->offset;
	kf_status_t status;
	uint64_t value;
	uint32_t value32;

	status = kf_sim_parse_u64(arg, n->max, &value);
	if (status != KF_OK)
		return status;
	if (value < n->min)
		return kf_status_set(KF_ERR_INVALID, "%s is less than %llu",
		    arg, (unsigned long long)n->min);
	value32 = (uint32_t)value;
	if (n->size == sizeof(value32))
		memcpy(field, &value32, sizeof(value32));
	else
		memcpy(field, &value, sizeof(value));
	return KF_OK;
}

static kf_status_t
set_program(kf_caller_options_t *o, const char *arg)
{
	unsigned long value;
	char *end;

	value = strtoul(arg, &end, 0);
	if (end == arg || *end != '\0' || value == 0 || value > UINT32_MAX)
		return kf_status_set(KF_ERR_INVALID,
		    "'%s' is not a program number from 1 to 4294967295", arg);
	o->prog = (uint32_t)value;
	return KF_OK;
}

static kf_status_t
set_rate(kf_caller_options_t *o, const char *arg)
{
	char *end;

	o->rate = strtod(arg, &end);
	if (end == arg || *end != '\0' || !(o->rate >= 0 && o->rate <= 1e6))
		return kf_status_set(KF_ERR_INVALID,
		    "'%s' is not a rate from 0 to 1000000", arg);
	return KF_OK;
}

static kf_status_t
add_procedure(kf_caller_options_t *o, char *word)
{
	kf_caller_procedure_t *p;
	kf_status_t status;
	uint64_t number;
	char *weight;

	if (o->procedure_count == KF_CALLER_MAX_PROCEDURES)
		return kf_status_set(
		    KF_ERR_FULL, "too many procedures in --mix");
	p = &o->procedures[o->procedure_count];
	weight = strchr(word, '=');
	if (weight == NULL)
		return kf_status_set(
		    KF_ERR_INVALID, "'%s' is not PROC=WEIGHT", word);
	*weight++ = '\0';
	status = kf_sim_parse_u64(word, UINT32_MAX, &number);
	if (status == KF_OK)
		status = kf_sim_parse_u64(weight, UINT16_MAX, &p->weight);
	if (status != KF_OK)
		return status;
	if (number == 0 || p->weight == 0)
		return kf_status_set(KF_ERR_INVALID,
		    "procedure and weight in --mix must not be 0");
	p->number = (uint32_t)number;
	o->procedure_count++;
	return KF_OK;
}

static kf_status_t
set_mix(kf_caller_options_t *o, char *arg)
{
	kf_status_t status = KF_OK;
	char *save = NULL;
	char *word;

	o->procedure_count = 0;
	for (word = strtok_r(arg, ",", &save); word != NULL && status == KF_OK;
	     word = strtok_r(NULL, ",", &save))
		status = add_procedure(o, word);
	if (status == KF_OK && o->procedure_count == 0)
		status =
		    kf_status_set(KF_ERR_INVALID, "--mix lists no procedure");
	return status;
}

static kf_status_t
mark_non_idempotent(kf_caller_options_t *o, char *list)
{
	kf_status_t status;
	uint64_t number;
	char *save = NULL;
	char *word;
	size_t i;

	for (word = strtok_r(list, ",", &save); word != NULL;
	     word = strtok_r(NULL, ",", &save)) {
		status = kf_sim_parse_u64(word, UINT32_MAX, &number);
		if (status != KF_OK)
			return status;
		for (i = 0; i < o->procedure_count; i++)
			if (o->procedures[i].number == number)
				break;
		if (i == o->procedure_count)
			return kf_status_set(KF_ERR_NOT_FOUND,
			    "procedure %s of --non-idempotent is not in --mix",
			    word);
		o->procedures[i].non_idempotent = true;
	}
	return KF_OK;
}

/* non_idempotent is parsed after all options, because --mix may follow it. */
typedef struct parse_state {
	kf_caller_options_t options;
	char *non_idempotent;
} parse_state_t;

static kf_status_t
set_option(parse_state_t *state, int key, char *arg)
{
	kf_caller_options_t *o = &state->options;
	const number_option_t *n;

	for (n = number_options; n->key != 0; n++)
		if (n->key == key)
			return set_number(o, n, arg);
	switch (key) {
	case OPT_SERVICE:
		return kf_sim_addr_parse(arg, &o->service);
	case OPT_BIND:
		return kf_sim_ip_parse(arg, &o->bind.ip);
	case OPT_PROGRAM:
		return set_program(o, arg);
	case OPT_RATE:
		return set_rate(o, arg);
	case OPT_MIX:
		return set_mix(o, arg);
	case OPT_NON_IDEMPOTENT:
		state->non_idempotent = arg;
		return KF_OK;
	case OPT_RESULTS:
		o->results = arg;
		return KF_OK;
	default:
		return KF_ERR_UNSUPPORTED;
	}
}

static bool
set_flag(kf_caller_options_t *o, int key)
{
	switch (key) {
	case OPT_RETRY_REFUSED:
		o->retry_refused = true;
		return true;
	case OPT_PROGRESS:
		o->progress = true;
		return true;
	case OPT_STOCK:
		o->stock = true;
		return true;
	default:
		return false;
	}
}

static kf_status_t
check_options(parse_state_t *state)
{
	if (state->options.service.port == 0)
		return kf_status_set(KF_ERR_INVALID, "--service is required");
	if (state->non_idempotent == NULL)
		return KF_OK;
	return mark_non_idempotent(&state->options, state->non_idempotent);
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	parse_state_t *s = state->input;
	kf_status_t status;

	if (set_flag(&s->options, key))
		return 0;
	if (key == ARGP_KEY_END)
		status = check_options(s);
	else if (arg == NULL)
		return ARGP_ERR_UNKNOWN;
	else
		status = set_option(s, key, arg);
	return kf_sim_argp_result(state, status);
}

static int
run(const kf_caller_options_t *options)
{
	kf_caller_t *caller;
	kf_sim_loop_t *loop;

	loop = kf_sim_loop_new();
	caller = loop == NULL ? NULL : kf_caller_new(loop, options);
	if (caller == NULL) {
		fprintf(stderr, "standin-caller: %s\n", kf_status_message());
		kf_sim_loop_delete(loop);
		return 1;
	}
	printf("event=ready flows=%zu\n", options->flows);
	kf_sim_loop_run(loop);
	kf_caller_finish(caller);
	kf_caller_print(caller, stdout);
	kf_caller_delete(caller);
	kf_sim_loop_delete(loop);
	return 0;
}

int
main(int argc, char **argv)
{
	static const struct argp argp = { .options = option_table,
		.parser = parse_option,
		.doc = "Calls a service as many flows do, on loopback "
		       "addresses only." };
	static parse_state_t state = {
		.options = { .bind = { .ip = 127u << 24 | 1 },
		    .prog = 0x20000101,
		    .vers = 1,
		    .tag = 1,
		    .caller = 1,
		    .flows = 10,
		    .think_ms = 10,
		    .duration_s = 10,
		    .timeout_ms = 10000,
		    .retransmit_ms = 500,
		    .payload_bytes = 64,
		    .seed = 1,
		    .procedures = { { .number = 1, .weight = 1 } },
		    .procedure_count = 1 },
	};

	setvbuf(stdout, NULL, _IOLBF, 0);
	argp_parse(&argp, argc, argv, ARGP_NO_ARGS, NULL, &state);
	if (state.options.stock)
		return kf_caller_stock(&state.options);
	return run(&state.options);
}
