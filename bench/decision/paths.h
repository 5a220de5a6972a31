#ifndef PATHS_H
#define PATHS_H

#include "rig.h"

/* Time and datagram sizes of one measured code path. */
typedef struct path_cost {
	double ns;	  /* on one core, per request */
	double bytes_in;  /* size of the first datagram */
	double bytes_out; /* sent to callers, peers and upstreams */
} path_cost_t;

typedef path_cost_t path_fn(rig_t *rig, uint32_t count);

typedef struct path {
	const char *name;
	path_fn *run;
	/* Datagrams received per request; 0: step_ns is reported instead. */
	uint32_t packets;
} path_t;

extern const path_t paths[];
extern const size_t path_count;

/* Bytes per flow record; reply_bytes is the stored reply, or 0. */
double flow_record_bytes(uint32_t flows, size_t reply_bytes);

#endif
