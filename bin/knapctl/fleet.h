#ifndef FLEET_H
#define FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/control_client.h"

/*
 * NAME
 *	fleet - balancers asked for their status
 *
 * DESCRIPTION
 *	Each balancer is asked on its own; one that does not answer in time
 *	leaves its status empty and a message on standard error.
 */

typedef struct fleet_server {
	kf_addr_t addr;
	char addr_text[KF_ADDR_TEXT_BYTES];
	bool reached;
	kf_rpc_status status;
	int64_t clock_offset_ms; /* its clock minus the local one */
} fleet_server_t;

typedef struct fleet {
	fleet_server_t *servers;
	size_t count;
} fleet_t;

fleet_t *fleet_new(void);
void fleet_delete(fleet_t *fleet);

/* KF_ERR_INVALID if text is no address, KF_ERR_CONFLICT if it is known. */
kf_status_t fleet_add(fleet_t *fleet, const char *text);

/* Asks every server and returns how many did not answer. */
size_t fleet_ask(fleet_t *fleet, int64_t timeout_ms);

#endif
