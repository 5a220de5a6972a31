#ifndef KF_SIM_UPSTREAM_H
#define KF_SIM_UPSTREAM_H

#include "kf/standin.h"
#include "ledger.h"

/*
 * NAME
 *	kf_sim_upstream - ONC RPC server with slots and a queue
 *
 * DESCRIPTION
 *	Accepts calls of any program.  A call occupies a slot for a random
 *	service time and is answered with its request number; calls that
 *	find no free slot wait in the queue.  By default the server reads the
 *	call info verifier, denies calls whose deadline has passed or that
 *	do not fit into the queue, and reports its load.  A stock server
 *	stands for unmodified ONC RPC software: it echoes the verifier,
 *	ignores deadlines and silently drops calls when the queue is full.
 */

enum {
	KF_SIM_MAX_SLOTS = 64,
	KF_SIM_MAX_QUEUE = 4096,
	KF_SIM_MAX_SOURCES = 256,
};

/* Replaces the load in load reports. */
typedef enum kf_sim_false_report {
	KF_SIM_FALSE_REPORT_OFF = 0,
	KF_SIM_FALSE_REPORT_IDLE, /* reports an idle upstream */
	KF_SIM_FALSE_REPORT_FULL, /* reports a full upstream */
} kf_sim_false_report_t;

/* Faults of the next calls, in the order in which they apply to a call. */
typedef enum kf_sim_fault {
	KF_SIM_FAULT_REFUSE = 0, /* denied with AUTH_FAILED, not run */
	KF_SIM_FAULT_FAIL,	 /* runs, replies SYSTEM_ERR */
	KF_SIM_FAULT_CORRUPT, /* runs, replies the number of another request */
	KF_SIM_FAULT_COUNT
} kf_sim_fault_t;

typedef struct kf_sim_upstream_options {
	char name[KF_SIM_NAME_BYTES];
	kf_addr_t addr;
	uint32_t tag; /* number of the service; 0: unknown */
	uint32_t slots;
	uint32_t queue;		  /* maximum length */
	uint64_t service_time_us; /* mean */
	uint64_t cold_s;	  /* time after a start with slower service */
	size_t reply_bytes;	  /* filler of each reply */
	bool stock;
	bool tokens; /* issues and requires tokens, as a balancer does */
	uint64_t seed;
} kf_sim_upstream_options_t;

typedef struct kf_sim_upstream kf_sim_upstream_t;

/* Returns NULL with a status message on failure. */
kf_sim_upstream_t *kf_sim_upstream_new(kf_sim_loop_t *loop, kf_ledger_t *ledger,
    const kf_sim_upstream_options_t *options);
void kf_sim_upstream_delete(kf_sim_upstream_t *upstream);

const char *kf_sim_upstream_name(const kf_sim_upstream_t *upstream);
void kf_sim_upstream_set_draining(kf_sim_upstream_t *upstream, bool draining);
/*
 * A frozen upstream drops all datagrams that it receives and the replies to
 * requests that were already running.
 */
void kf_sim_upstream_set_frozen(kf_sim_upstream_t *upstream, bool frozen);
/* Multiplies the mean service time; 1 is normal. */
void kf_sim_upstream_set_service_time_factor(
    kf_sim_upstream_t *upstream, double factor);
void kf_sim_upstream_set_false_report(
    kf_sim_upstream_t *upstream, kf_sim_false_report_t false_report);
/* Discards queued and running requests and starts a new incarnation. */
void kf_sim_upstream_restart(kf_sim_upstream_t *upstream);
/*
 * Ignores all further datagrams from a source port; port 0 stands for the
 * address and port of every sender seen so far.
 */
kf_status_t kf_sim_upstream_ignore_port(
    kf_sim_upstream_t *upstream, uint16_t port);
/* Invalidates every token issued so far. */
void kf_sim_upstream_revoke_tokens(kf_sim_upstream_t *upstream);
/* Applies the fault to the next count calls. */
void kf_sim_upstream_set_fault_count(
    kf_sim_upstream_t *upstream, kf_sim_fault_t fault, uint32_t count);
/* Prints the counters as key=value pairs without the end of the line. */
void kf_sim_upstream_print(const kf_sim_upstream_t *upstream, FILE *out);

#endif
