#ifndef FLEET_H
#define FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/control_client.h"

/*
 * NAME
 *	fleet - status of several balancers, queried over RPC
 *
 * DESCRIPTION
 *	The balancers are queried one after the other.  If one cannot be
 *	reached or does not answer in time, a message goes to standard error,
 *	its status stays empty and reached stays false.
 */

typedef struct fleet_server {
	kf_addr_t addr;
	char addr_text[KF_ADDR_TEXT_BYTES];
	bool reached;
	kf_rpc_status status;
	int64_t clock_offset_ms; /* server clock minus local clock */
} fleet_server_t;

typedef struct fleet {
	fleet_server_t *servers;
	size_t count;
} fleet_t;

fleet_t *fleet_new(void);
void fleet_delete(fleet_t *fleet);

/*
 * Adds a server by its RPC address.  Returns KF_ERR_INVALID if text is not an
 * address, and KF_ERR_CONFLICT if the address was added before.
 */
kf_status_t fleet_add(fleet_t *fleet, const char *text);

/*
 * Queries the status of every server and returns the number of servers that
 * did not answer.
 */
size_t fleet_query(fleet_t *fleet, int64_t timeout_ms);

#endif
