#ifndef KF_CALLER_H
#define KF_CALLER_H

#include "kf/rpc.h"
#include "kf/standin.h"

/*
 * NAME
 *	kf_caller - load generator that sends RPC calls on many flows
 *
 * DESCRIPTION
 *	Each flow has at most one request outstanding.  As a stock RPC client
 *	does, it sends AUTH_SYS credentials until a reply carries an
 *	AUTH_SHORT verifier, and from then on the token of that verifier.
 */

enum {
	KF_CALLER_MAX_FLOWS = 1 << 20,
	KF_CALLER_MAX_SOCKETS = 16384,
	KF_CALLER_MAX_PROCEDURES = 16,
	KF_CALLER_MAX_DURATION_S = 24 * 3600,
	/* Limits the retries of a request that is refused repeatedly. */
	KF_CALLER_MAX_ATTEMPTS = 16,
};

typedef struct kf_caller_procedure {
	uint32_t number;
	uint64_t weight;
	bool non_idempotent;
} kf_caller_procedure_t;

typedef struct kf_caller_options {
	kf_addr_t service;
	kf_addr_t bind; /* port unused */
	uint32_t prog;
	uint32_t vers;
	uint32_t tag;
	uint32_t caller;
	size_t flows;
	size_t sockets; /* 0: one per flow, at most 512 */
	double rate;	/* requests a second, all flows; 0: closed loop */
	uint64_t think_ms;
	uint64_t duration_s;
	uint64_t timeout_ms;
	uint64_t retransmit_ms;
	uint64_t flow_requests; /* 0: a flow lasts for the whole run */
	size_t payload_bytes;
	bool retry_refused;
	bool progress;
	bool stock;
	uint64_t seed;
	const char *results;
	kf_caller_procedure_t procedures[KF_CALLER_MAX_PROCEDURES];
	size_t procedure_count;
} kf_caller_options_t;

typedef struct kf_caller_counts {
	uint64_t requests;
	uint64_t answered;
	uint64_t refused;
	uint64_t unknown;
	uint64_t wrong;
	kf_sim_histogram_t latency;
} kf_caller_counts_t;

typedef struct kf_caller kf_caller_t;
typedef struct kf_flow kf_flow_t;

typedef struct kf_caller_socket {
	kf_caller_t *caller;
	int fd;
} kf_caller_socket_t;

struct kf_caller {
	kf_caller_options_t options;
	kf_sim_loop_t *loop;
	kf_sim_random_t random;
	FILE *results;
	kf_caller_socket_t *sockets;
	size_t socket_count;
	kf_flow_t *flows;
	kf_flow_t **idle;
	size_t idle_count;
	bool stopping;
	uint64_t weight_sum;
	uint32_t sequence;
	kf_sim_timer_t arrival_timer;
	kf_sim_timer_t end_timer;
	kf_sim_timer_t progress_timer;
	kf_caller_counts_t total;
	kf_caller_counts_t procedures[KF_CALLER_MAX_PROCEDURES];
	uint64_t retransmits;
	uint64_t retried;
	uint64_t tokens;
	uint64_t established;
	uint64_t establish_failed;
	uint64_t broken_flows;
	uint64_t flows_opened;
	uint64_t late_replies;
	uint64_t malformed;
	uint64_t no_idle_flow;
	uint64_t unfinished;
	uint8_t buf[KF_SIM_DATAGRAM_BYTES];
	uint8_t args[KF_SIM_DATAGRAM_BYTES];
};

kf_caller_t *kf_caller_new(
    kf_sim_loop_t *loop, const kf_caller_options_t *options);
void kf_caller_delete(kf_caller_t *caller);
void kf_caller_finish(kf_caller_t *caller);
void kf_caller_print(const kf_caller_t *caller, FILE *out);

/* Called by a flow when it has nothing outstanding. */
void kf_caller_flow_idle(kf_caller_t *caller, kf_flow_t *flow);

/* Makes a few calls with libtirpc's client; returns the exit status. */
int kf_caller_stock(const kf_caller_options_t *options);

#endif
