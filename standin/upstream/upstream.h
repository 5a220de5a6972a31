#ifndef KF_SIM_UPSTREAM_H
#define KF_SIM_UPSTREAM_H

#include "kf/standin.h"
#include "ledger.h"

/*
 * NAME
 *	kf_sim_upstream - one ONC RPC server with slots and an accept queue
 *
 * DESCRIPTION
 *	Executes calls of any program by waiting for the service time and
 *	echoing the request number.  An aware server understands the call
 *	info verifier and reports its load; a stock server echoes the
 *	verifier and knows neither deadlines nor refusals.
 */

enum {
	KF_SIM_MAX_SLOTS = 64,
	KF_SIM_MAX_QUEUE = 4096,
	KF_SIM_MAX_SOURCES = 256,
};

typedef enum kf_sim_lie {
	KF_SIM_LIE_OFF = 0,
	KF_SIM_LIE_GOOD, /* reports an idle upstream */
	KF_SIM_LIE_BAD,	 /* reports a full upstream */
} kf_sim_lie_t;

/* Faults of the next calls, in the order in which a call meets them. */
typedef enum kf_sim_fault {
	KF_SIM_FAULT_REFUSE = 0, /* AUTH_FAILED, not run */
	KF_SIM_FAULT_FAIL,	 /* runs, then SYSTEM_ERR */
	KF_SIM_FAULT_CORRUPT,	 /* runs, then another request's number */
	KF_SIM_FAULT_COUNT
} kf_sim_fault_t;

typedef struct kf_sim_upstream_options {
	char name[KF_SIM_NAME_BYTES];
	kf_addr_t addr;
	uint32_t tag;
	uint32_t slots;
	uint32_t queue;
	uint64_t service_time_us; /* mean */
	uint64_t cold_s;
	size_t reply_bytes;
	bool stock;
	bool tokens; /* acts as a service behind a balancer */
	uint64_t seed;
} kf_sim_upstream_options_t;

typedef struct kf_sim_upstream kf_sim_upstream_t;

kf_sim_upstream_t *kf_sim_upstream_new(kf_sim_loop_t *loop, kf_ledger_t *ledger,
    const kf_sim_upstream_options_t *options);
void kf_sim_upstream_delete(kf_sim_upstream_t *upstream);

const char *kf_sim_upstream_name(const kf_sim_upstream_t *upstream);
void kf_sim_upstream_drain(kf_sim_upstream_t *upstream, bool draining);
/* A frozen upstream loses what it receives and answers nothing. */
void kf_sim_upstream_freeze(kf_sim_upstream_t *upstream, bool frozen);
void kf_sim_upstream_slow(kf_sim_upstream_t *upstream, double factor);
void kf_sim_upstream_lie(kf_sim_upstream_t *upstream, kf_sim_lie_t lie);
/* Takes a new incarnation and loses queued and running requests. */
void kf_sim_upstream_restart(kf_sim_upstream_t *upstream);
/*
 * Ignores datagrams from a source port for good; port 0 means every source
 * heard so far.
 */
kf_status_t kf_sim_upstream_silence(kf_sim_upstream_t *upstream, uint16_t port);
/* Makes every token issued so far invalid. */
void kf_sim_upstream_revoke(kf_sim_upstream_t *upstream);
void kf_sim_upstream_fault(
    kf_sim_upstream_t *upstream, kf_sim_fault_t fault, uint32_t count);
void kf_sim_upstream_print(const kf_sim_upstream_t *upstream, FILE *out);

#endif
