#include <argp.h>
#include <stdlib.h>

#include "fabric.h"

enum {
	OPT_SERVICE = 's',
	OPT_BALANCER = 'b',
	OPT_ENCAP = 'e',
	OPT_CONTROL = 'c',
	OPT_SEED = 256,
	OPT_DROP,
	OPT_DUPLICATE,
	OPT_DELAY,
};

static const struct argp_option option_table[] = {
	{ "service", OPT_SERVICE, "ADDRESS", 0, "Service address (repeatable)",
	    0 },
	{ "balancer", OPT_BALANCER, "ADDRESS", 0,
	    "Ingress address of a balancer (repeatable)", 0 },
	{ "encap-address", OPT_ENCAP, "ADDRESS", 0,
	    "Own address towards balancers", 0 },
	{ "control", OPT_CONTROL, "ADDRESS", 0, "Control port", 0 },
	{ "seed", OPT_SEED, "N", 0, "Seed of all random choices (1)", 0 },
	{ "drop", OPT_DROP, "P", 0, "Probability of losing a packet (0)", 0 },
	{ "duplicate", OPT_DUPLICATE, "P", 0,
	    "Probability of sending a packet twice (0)", 0 },
	{ "delay-ms", OPT_DELAY, "MIN-MAX", 0,
	    "Delay of each packet; a range reorders packets (0)", 0 },
	{ 0 },
};

static kf_status_t
add_address(const char *arg, kf_addr_t *list, size_t max, size_t *count)
{
	if (*count == max)
		return kf_status_set(KF_ERR_FULL, "too many addresses");
	return kf_sim_addr_parse(arg, &list[(*count)++]);
}

static kf_status_t
set_option(kf_fabric_options_t *o, int key, const char *arg)
{
	switch (key) {
	case OPT_SERVICE:
		return add_address(arg, o->services, KF_FABRIC_MAX_SERVICES,
		    &o->service_count);
	case OPT_BALANCER:
		return add_address(arg, o->balancers, KF_FABRIC_MAX_BALANCERS,
		    &o->balancer_count);
	case OPT_ENCAP:
		return kf_sim_addr_parse(arg, &o->encap);
	case OPT_CONTROL:
		return kf_sim_addr_parse(arg, &o->control);
	case OPT_SEED:
		return kf_sim_parse_u64(arg, UINT64_MAX / 10 - 1, &o->seed);
	case OPT_DROP:
		return kf_sim_parse_probability(arg, &o->drop);
	case OPT_DUPLICATE:
		return kf_sim_parse_probability(arg, &o->duplicate);
	case OPT_DELAY:
		return kf_sim_parse_range(arg, KF_FABRIC_MAX_DELAY_MS,
		    &o->delay_min_ms, &o->delay_max_ms);
	default:
		return KF_ERR_UNSUPPORTED;
	}
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	kf_fabric_options_t *o = state->input;
	kf_status_t status;

	if (key == ARGP_KEY_END &&
	    (o->service_count == 0 || o->encap.port == 0))
		argp_error(state, "--service and --encap-address are required");
	if (arg == NULL)
		return ARGP_ERR_UNKNOWN;
	status = set_option(o, key, arg);
	return kf_sim_argp_result(state, status);
}

static int
run(const kf_fabric_options_t *options)
{
	kf_fabric_t *fabric;
	kf_sim_loop_t *loop;

	loop = kf_sim_loop_new();
	fabric = loop == NULL ? NULL : kf_fabric_new(loop, options);
	if (fabric == NULL) {
		fprintf(stderr, "standin-fabric: %s\n", kf_status_message());
		kf_sim_loop_delete(loop);
		return 1;
	}
	printf("event=ready services=%zu balancers=%zu\n",
	    options->service_count, options->balancer_count);
	kf_sim_loop_run(loop);
	printf("event=summary ");
	kf_fabric_print(fabric, stdout);
	printf("\n");
	kf_fabric_delete(fabric);
	kf_sim_loop_delete(loop);
	return 0;
}

int
main(int argc, char **argv)
{
	static const struct argp argp = { .options = option_table,
		.parser = parse_option,
		.doc = "Sprays callers' datagrams over balancers, on loopback "
		       "addresses only." };
	kf_fabric_options_t options = { .seed = 1 };

	setvbuf(stdout, NULL, _IOLBF, 0);
	argp_parse(&argp, argc, argv, ARGP_NO_ARGS, NULL, &options);
	return run(&options);
}
