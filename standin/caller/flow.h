#ifndef KF_SIM_FLOW_H
#define KF_SIM_FLOW_H

#include "caller.h"

/*
 * NAME
 *	kf_flow - one flow: its token and its outstanding request
 */

typedef enum kf_flow_state {
	KF_FLOW_IDLE = 0,
	KF_FLOW_CALL,	   /* a request is outstanding */
	KF_FLOW_ESTABLISH, /* a call of procedure 0 is outstanding */
	KF_FLOW_PAUSE,	   /* before the next request or attempt */
} kf_flow_state_t;

struct kf_flow {
	kf_caller_t *caller;
	uint32_t index;
	kf_flow_state_t state;
	kf_sim_timer_t timer;
	uint32_t calls; /* call counter, part of the xid */
	uint32_t xid;
	int64_t deadline_us;
	bool broken;
	bool thinking; /* between two requests of a closed loop */
	uint64_t requests;
	uint32_t token_flavor;
	uint32_t token_len; /* 0: no token, AUTH_SYS is sent */
	uint8_t token[KF_RPC_AUTH_MAX_BYTES];

	/* The current request; valid while has_request is set. */
	bool has_request;
	bool may_have_run;
	size_t procedure;
	uint64_t number;
	uint64_t digest;
	int64_t start_us;
	int attempts;
};

void kf_flow_init(kf_flow_t *flow, kf_caller_t *caller, uint32_t index);
void kf_flow_begin(kf_flow_t *flow, size_t procedure, uint64_t number);
void kf_flow_reply(kf_flow_t *flow, const kf_rpc_reply_t *reply);
/* Waits until until_us, then retries the request or makes the flow idle. */
void kf_flow_pause(kf_flow_t *flow, int64_t until_us);
/* Ends the think time at once, when the run stops. */
void kf_flow_end_think_time(kf_flow_t *flow);
/*
 * Ends the request at the end of the run: as unknown if the request may
 * have run, as refused otherwise.
 */
void kf_flow_abandon(kf_flow_t *flow);

#endif
