#ifndef KF_PROXY_LINK_H
#define KF_PROXY_LINK_H

#include <stdint.h>
#include <stdio.h>

#include "kf/addr.h"

/*
 * NAME
 *	links - connections that a proxy passes on, and their faults
 *
 * DESCRIPTION
 *	Each connection has two threads, one for each direction.  A fault of
 *	the proxy holds for all connections, new ones included; silence and
 *	reset meet the connections that are open, and new ones work.
 */

typedef enum direction {
	DIRECTION_UP = 0, /* from the client to the server */
	DIRECTION_DOWN,
	DIRECTION_COUNT
} direction_t;

typedef struct links links_t;

links_t *links_new(kf_addr_t server);
/* Ends all connections and waits for their threads. */
void links_delete(links_t *links);

/* Takes over an accepted descriptor. */
void links_accept(links_t *links, int client_fd);

/* Ends every fault that holds for all connections. */
void links_heal(links_t *links);
void links_delay(links_t *links, int64_t delay_us);
/* Bytes of this direction are held until links_heal. */
void links_cut(links_t *links, direction_t direction);
void links_silence(links_t *links);
void links_reset(links_t *links);

void links_print(links_t *links, FILE *out);

#endif
