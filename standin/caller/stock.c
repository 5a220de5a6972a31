#include <rpc/rpc.h>
#include <rpc/clnt_soc.h>

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "caller.h"

/*
 * Makes a few calls with libtirpc's unmodified client, to show that callers
 * need no changes to use the balancer.
 */

enum { STOCK_CALLS = 8 };

typedef struct stock_args {
	uint64_t number;
	char *payload;
	u_int payload_len;
} stock_args_t;

typedef struct stock_results {
	uint64_t number;
	uint64_t digest;
	char *upstream;
	uint32_t executions;
	char *filler;
	u_int filler_len;
} stock_results_t;

static bool_t
xdr_stock_args(XDR *xdrs, stock_args_t *args)
{
	return xdr_uint64_t(xdrs, &args->number) &&
	    xdr_bytes(
		xdrs, &args->payload, &args->payload_len, KF_SIM_MAX_PAYLOAD);
}

static bool_t
xdr_stock_results(XDR *xdrs, stock_results_t *results)
{
	return xdr_uint64_t(xdrs, &results->number) &&
	    xdr_uint64_t(xdrs, &results->digest) &&
	    xdr_string(xdrs, &results->upstream, KF_SIM_NAME_BYTES) &&
	    xdr_uint32_t(xdrs, &results->executions) &&
	    xdr_bytes(xdrs, &results->filler, &results->filler_len,
		KF_SIM_MAX_PAYLOAD);
}

/* xdr_void is declared without arguments, so it cannot be cast directly. */
static bool_t
xdr_nothing(XDR *xdrs, ...)
{
	(void)xdrs;
	return TRUE;
}

static CLIENT *
stock_open(const kf_caller_options_t *o, int *sock)
{
	struct timeval wait = { .tv_sec = (time_t)(o->retransmit_ms / 1000),
		.tv_usec = (suseconds_t)(o->retransmit_ms % 1000 * 1000) };
	struct sockaddr_in sin = { .sin_family = AF_INET };
	gid_t gid = 1000;
	CLIENT *client;

	sin.sin_addr.s_addr = htonl(o->service.ip);
	sin.sin_port = htons(o->service.port);
	client = clntudp_create(&sin, o->prog, o->vers, wait, sock);
	if (client == NULL)
		return NULL;
	auth_destroy(client->cl_auth);
	client->cl_auth = authunix_create("stock", 1000, gid, 0, &gid);
	return client;
}

static enum clnt_stat
stock_call(CLIENT *client, const kf_caller_options_t *o, size_t i,
    stock_results_t *results)
{
	const kf_caller_procedure_t *p = &o->procedures[i % o->procedure_count];
	struct timeval total = { .tv_sec = (time_t)(o->timeout_ms / 1000),
		.tv_usec = (suseconds_t)(o->timeout_ms % 1000 * 1000) };
	static char payload[64];
	stock_args_t args = { .payload = payload,
		.payload_len = sizeof(payload) };

	args.number = kf_sim_number(
	    o->tag, p->non_idempotent, o->caller, (uint32_t)i + 1);
	memset(results, 0, sizeof(*results));
	return clnt_call(client, p->number, (xdrproc_t)xdr_stock_args,
	    (char *)&args, (xdrproc_t)xdr_stock_results, (char *)results,
	    total);
}

int
kf_caller_stock(const kf_caller_options_t *o)
{
	struct timeval total = { .tv_sec = (time_t)(o->timeout_ms / 1000 + 1) };
	stock_results_t results;
	enum clnt_stat stat;
	unsigned answered = 0;
	int sock = RPC_ANYSOCK;
	CLIENT *client;
	size_t i;

	client = stock_open(o, &sock);
	if (client == NULL || client->cl_auth == NULL) {
		fprintf(
		    stderr, "standin-caller: cannot create an RPC client\n");
		return 1;
	}
	stat =
	    clnt_call(client, 0, xdr_nothing, NULL, xdr_nothing, NULL, total);
	printf("event=stock proc=0 result=\"%s\"\n", clnt_sperrno(stat));
	for (i = 0; i < STOCK_CALLS; i++) {
		stat = stock_call(client, o, i, &results);
		printf("event=stock proc=%u result=\"%s\" upstream=%s\n",
		    o->procedures[i % o->procedure_count].number,
		    clnt_sperrno(stat),
		    results.upstream != NULL ? results.upstream : "none");
		answered += stat == RPC_SUCCESS ? 1 : 0;
		xdr_free((xdrproc_t)xdr_stock_results, (char *)&results);
	}
	printf("event=summary stock=1 requests=%d answered=%u\n", STOCK_CALLS,
	    answered);
	auth_destroy(client->cl_auth);
	clnt_destroy(client);
	return answered == STOCK_CALLS ? 0 : 1;
}
