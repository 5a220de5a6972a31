#ifndef PATHS_H
#define PATHS_H

#include "rig.h"

/* Time and sizes of one step of the decision path. */
typedef struct path_cost {
	double ns;	  /* of one core, per caller's request */
	double bytes_in;  /* of the datagram that starts it */
	double bytes_out; /* sent to callers, peers and upstreams */
} path_cost_t;

typedef path_cost_t path_fn(rig_t *rig, uint32_t count);

typedef struct path {
	const char *name;
	path_fn *run;
	/* Datagrams that the cores take in for a request; 0: not a path. */
	uint32_t packets;
} path_t;

extern const path_t paths[];
extern const size_t path_count;

/* Bytes of a flow's record at its owner, without and with a reply. */
double flow_record_bytes(uint32_t flows, size_t reply_bytes);

#endif
