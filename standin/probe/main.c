/*
 * standin-probe sends one call to an upstream as a balancer does, and
 * prints the reply.  Exit status: 0 if the call was accepted, 1 if it was
 * denied, 2 if it could not be sent, no reply came or the reply was malformed.
 */
#include <argp.h>
#include <inttypes.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "kf/call_info.h"
#include "kf/standin.h"

enum {
	OPT_XID = 'x',
	OPT_VM = 'v',
	OPT_NUMBER = 'n',
	OPT_PROC = 'p',
	OPT_DEADLINE = 'd',
	OPT_INCARNATION = 'i',
	OPT_WAIT = 'w',
};

typedef struct options {
	const char *mode; /* status, cancel, call or garbage */
	kf_addr_t addr;
	uint64_t xid;
	uint64_t vm;
	uint64_t number;
	uint64_t proc;
	uint64_t deadline_ms;
	uint64_t incarnation;
	uint64_t wait_ms;
} options_t;

static const struct argp_option option_table[] = {
	{ "xid", OPT_XID, "N", 0, "Transaction id (1)", 0 },
	{ "vm", OPT_VM, "N", 0, "Calling VM (1)", 0 },
	{ "number", OPT_NUMBER, "N", 0, "Request number of a call (1)", 0 },
	{ "proc", OPT_PROC, "N", 0, "Procedure of a call (1)", 0 },
	{ "deadline-ms", OPT_DEADLINE, "N", 0, "Deadline (2000)", 0 },
	{ "incarnation", OPT_INCARNATION, "N", 0,
	    "Incarnation expected; 0 is any (0)", 0 },
	{ "wait-ms", OPT_WAIT, "N", 0, "Wait for the reply (2000)", 0 },
	{ 0 },
};

static kf_status_t
set_option(options_t *o, int key, const char *arg)
{
	switch (key) {
	case OPT_XID:
		return kf_sim_parse_u64(arg, UINT32_MAX, &o->xid);
	case OPT_VM:
		return kf_sim_parse_u64(arg, UINT32_MAX, &o->vm);
	case OPT_NUMBER:
		return kf_sim_parse_u64(arg, UINT64_MAX / 16, &o->number);
	case OPT_PROC:
		return kf_sim_parse_u64(arg, UINT32_MAX, &o->proc);
	case OPT_DEADLINE:
		return kf_sim_parse_u64(arg, 120000, &o->deadline_ms);
	case OPT_INCARNATION:
		return kf_sim_parse_u64(arg, UINT64_MAX / 16, &o->incarnation);
	case OPT_WAIT:
		return kf_sim_parse_u64(arg, 120000, &o->wait_ms);
	default:
		return KF_ERR_UNSUPPORTED;
	}
}

static kf_status_t
set_argument(options_t *o, unsigned position, const char *arg)
{
	if (position == 0)
		return kf_sim_addr_parse(arg, &o->addr);
	if (position > 1)
		return kf_status_set(KF_ERR_INVALID, "too many arguments");
	if (strcmp(arg, "status") != 0 && strcmp(arg, "cancel") != 0 &&
	    strcmp(arg, "call") != 0 && strcmp(arg, "garbage") != 0)
		return kf_status_set(KF_ERR_INVALID,
		    "unknown mode '%s', expected status, cancel, call or "
		    "garbage",
		    arg);
	o->mode = arg;
	return KF_OK;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	options_t *o = state->input;
	kf_status_t status;

	if (key == ARGP_KEY_END && o->mode == NULL)
		argp_usage(state);
	if (arg == NULL)
		return ARGP_ERR_UNKNOWN;
	status = key == ARGP_KEY_ARG ? set_argument(o, state->arg_num, arg)
				     : set_option(o, key, arg);
	if (status == KF_ERR_UNSUPPORTED)
		return ARGP_ERR_UNKNOWN;
	if (status != KF_OK)
		argp_error(state, "%s", kf_status_message());
	return 0;
}

static void
fill_call(const options_t *o, kf_rpc_call_t *call, uint8_t args[8])
{
	call->args = args;
	if (strcmp(o->mode, "call") == 0) {
		call->prog = 0x20000101;
		call->vers = 1;
		call->proc = (uint32_t)o->proc;
		call->args_len = 8;
		kf_put_u64(args, o->number);
		return;
	}
	call->prog = KF_UPSTREAM_PROG;
	call->vers = KF_UPSTREAM_VERS;
	call->proc = KF_UPSTREAM_PROC_STATUS;
	if (strcmp(o->mode, "cancel") == 0) {
		call->proc = KF_UPSTREAM_PROC_CANCEL;
		call->args_len = 8;
		kf_put_u32(args, (uint32_t)o->xid);
		kf_put_u32(args + 4, (uint32_t)o->vm);
	}
}

static size_t
write_call(const options_t *o, uint8_t *buf, size_t cap)
{
	kf_call_info_t info = { .deadline_ms = (uint32_t)o->deadline_ms,
		.vm = (uint32_t)o->vm,
		.vm_incarnation = 1,
		.upstream_incarnation = o->incarnation };
	kf_rpc_call_t call = { .xid = (uint32_t)o->xid };
	uint8_t verf[KF_CALL_INFO_BYTES];
	uint8_t args[8];

	if (strcmp(o->mode, "garbage") == 0) {
		memset(buf, 0x5a, 64);
		return 64;
	}
	fill_call(o, &call, args);
	kf_call_info_write(&info, verf);
	call.verf.flavor = KF_FLAVOR_CALL_INFO;
	call.verf.len = sizeof(verf);
	call.verf.body = verf;
	return kf_rpc_call_write(&call, buf, cap);
}

static int
print_reply(const options_t *o, const uint8_t *buf, size_t len)
{
	kf_load_report_t r = { 0 };
	kf_sim_result_t result;
	kf_rpc_reply_t reply;

	if (kf_rpc_reply_parse(buf, len, &reply) != KF_OK) {
		printf("event=reply result=malformed\n");
		return 2;
	}
	if (reply.reply_stat == KF_RPC_MSG_DENIED) {
		printf("event=reply result=denied auth_stat=%u\n",
		    reply.auth_stat);
		return 1;
	}
	printf("event=reply result=accepted accept_stat=%u", reply.accept_stat);
	if (kf_load_report_read(&reply.verf, &r) == KF_OK)
		printf(" incarnation=%" PRIu64
		       " in_flight=%u queued=%u slots=%u flags=%u",
		    r.incarnation, r.in_flight, r.queued, r.slots, r.flags);
	if (strcmp(o->mode, "cancel") == 0 && reply.results_len >= 4)
		printf(" cancel=%u", kf_get_u32(reply.results));
	if (strcmp(o->mode, "call") == 0 &&
	    kf_sim_result_read(reply.results, reply.results_len, &result) ==
		KF_OK)
		printf(" number=%" PRIu64 " upstream=%s executions=%u",
		    result.number, result.upstream, result.executions);
	printf("\n");
	return 0;
}

static int
exchange(const options_t *o)
{
	static uint8_t buf[KF_SIM_DATAGRAM_BYTES];
	kf_addr_t bind_addr = { .ip = 127u << 24 | 1 };
	struct pollfd pfd = { .events = POLLIN };
	kf_addr_t src;
	ssize_t n = -1;

	if (kf_sim_udp_open(bind_addr, &pfd.fd) != KF_OK ||
	    !kf_sim_udp_send(
		pfd.fd, o->addr, buf, write_call(o, buf, sizeof(buf)))) {
		fprintf(stderr, "standin-probe: cannot send the call\n");
		return 2;
	}
	if (poll(&pfd, 1, (int)o->wait_ms) == 1)
		n = kf_sim_udp_recv(pfd.fd, &src, buf, sizeof(buf));
	close(pfd.fd);
	if (n >= 0)
		return print_reply(o, buf, (size_t)n);
	printf("event=reply result=none\n");
	return 2;
}

int
main(int argc, char **argv)
{
	static const struct argp argp = { .options = option_table,
		.parser = parse_option,
		.args_doc = "ADDRESS status|cancel|call|garbage",
		.doc = "Sends one call to an upstream as a balancer does." };
	options_t options = { .xid = 1,
		.vm = 1,
		.number = 1,
		.proc = 1,
		.deadline_ms = 2000,
		.wait_ms = 2000 };

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	return exchange(&options);
}
