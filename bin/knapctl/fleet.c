#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "fleet.h"

fleet_t *
fleet_new(void)
{
	fleet_t *fleet;

	fleet = calloc(1, sizeof(*fleet));
	if (fleet == NULL)
		err(1, NULL);
	return fleet;
}

void
fleet_delete(fleet_t *fleet)
{
	size_t i;

	for (i = 0; i < fleet->count; i++)
		xdr_free((xdrproc_t)xdr_kf_rpc_status,
		    (char *)&fleet->servers[i].status);
	free(fleet->servers);
	free(fleet);
}

kf_status_t
fleet_add(fleet_t *fleet, const char *text)
{
	fleet_server_t *server;
	kf_addr_t addr;
	size_t i;

	if (kf_addr_parse(text, &addr) != KF_OK)
		return KF_ERR_INVALID;
	for (i = 0; i < fleet->count; i++) {
		if (kf_addr_equal(fleet->servers[i].addr, addr))
			return kf_status_set(KF_ERR_CONFLICT,
			    "server '%s' is given twice", text);
	}
	fleet->servers = reallocarray(
	    fleet->servers, fleet->count + 1, sizeof(*fleet->servers));
	if (fleet->servers == NULL)
		err(1, NULL);
	server = &fleet->servers[fleet->count++];
	*server = (fleet_server_t){ .addr = addr };
	kf_addr_format(addr, server->addr_text);
	return KF_OK;
}

static int64_t
wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
query_server(fleet_server_t *server, int64_t timeout_ms)
{
	int64_t request_sent_ms = wall_ms();

	if (kf_control_client_status(
		server->addr, timeout_ms, &server->status) != KF_OK) {
		fprintf(
		    stderr, "%s: %s\n", server->addr_text, kf_status_message());
		xdr_free((xdrproc_t)xdr_kf_rpc_status, (char *)&server->status);
		server->status = (kf_rpc_status){ 0 };
		return;
	}
	server->reached = true;
	/* Assumes that the server read its clock halfway through the call. */
	server->clock_offset_ms =
	    (int64_t)server->status.wall_ms - (request_sent_ms + wall_ms()) / 2;
}

size_t
fleet_query(fleet_t *fleet, int64_t timeout_ms)
{
	size_t i, failed = 0;

	for (i = 0; i < fleet->count; i++) {
		query_server(&fleet->servers[i], timeout_ms);
		if (!fleet->servers[i].reached)
			failed++;
	}
	return failed;
}
