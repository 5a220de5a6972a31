#include <inttypes.h>
#include <string.h>

#include "flow.h"

enum { REFUSED_RETRY_DELAY_MS = 50, FIRST_UID = 1000, UID_COUNT = 100 };

typedef enum outcome {
	OUTCOME_ANSWERED,
	OUTCOME_WRONG,
	OUTCOME_REFUSED,
	OUTCOME_UNKNOWN,
} outcome_t;

static void flow_on_timer(void *ctx);

void
kf_flow_init(kf_flow_t *flow, kf_caller_t *caller, uint32_t index)
{
	memset(flow, 0, sizeof(*flow));
	flow->caller = caller;
	flow->index = index;
	flow->calls = (uint32_t)kf_sim_random_below(&caller->random, 1024);
	flow->timer.fn = flow_on_timer;
	flow->timer.ctx = flow;
}

static const kf_caller_procedure_t *
flow_procedure(const kf_flow_t *flow)
{
	return &flow->caller->options.procedures[flow->procedure];
}

/*
 * Flows may share a socket, so the xid identifies the flow of a reply: modulo
 * the number of flows it is the flow's index.
 */
static void
flow_next_xid(kf_flow_t *flow)
{
	uint32_t flows = (uint32_t)flow->caller->options.flows;

	flow->calls = (flow->calls + 1) % (UINT32_MAX / flows);
	flow->xid = flow->calls * flows + flow->index;
}

static void
flow_set_timer(kf_flow_t *flow)
{
	const kf_caller_options_t *o = &flow->caller->options;
	int64_t at;

	at = kf_sim_mono_us() + (int64_t)o->retransmit_ms * 1000;
	if (o->retransmit_ms == 0 || at > flow->deadline_us)
		at = flow->deadline_us;
	kf_sim_timer_set(flow->caller->loop, &flow->timer, at);
}

static void
flow_send(kf_flow_t *flow)
{
	kf_caller_t *caller = flow->caller;
	kf_rpc_auth_sys_t sys = { .uid = FIRST_UID + flow->index % UID_COUNT,
		.gid = FIRST_UID };
	kf_rpc_call_t call = { .xid = flow->xid,
		.prog = caller->options.prog,
		.vers = caller->options.vers };
	uint8_t sys_body[32];
	size_t len;

	if (flow->token_len > 0) {
		call.cred.flavor = flow->token_flavor;
		call.cred.len = flow->token_len;
		call.cred.body = flow->token;
	} else {
		call.cred.flavor = KF_RPC_AUTH_SYS;
		call.cred.len = (uint32_t)kf_rpc_auth_sys_write(
		    &sys, 0, sys_body, sizeof(sys_body));
		call.cred.body = sys_body;
	}
	if (flow->state == KF_FLOW_CALL) {
		call.proc = flow_procedure(flow)->number;
		call.args = caller->args;
		call.args_len = kf_sim_args_write(flow->number,
		    caller->options.payload_bytes, caller->args,
		    sizeof(caller->args));
		flow->digest = kf_sim_args_digest(caller->args, call.args_len);
	}
	len = kf_rpc_call_write(&call, caller->buf, sizeof(caller->buf));
	kf_sim_udp_send(caller->sockets[flow->index % caller->socket_count].fd,
	    caller->options.service, caller->buf, len);
}

static void
flow_start_call(kf_flow_t *flow, kf_flow_state_t state)
{
	flow->state = state;
	flow_next_xid(flow);
	flow_send(flow);
	flow_set_timer(flow);
}

void
kf_flow_begin(kf_flow_t *flow, size_t procedure, uint64_t number)
{
	const kf_caller_options_t *o = &flow->caller->options;

	if (o->flow_requests > 0 && flow->requests == o->flow_requests) {
		flow->requests = 0;
		flow->token_len = 0;
		flow->broken = false;
	}
	if (flow->requests++ == 0)
		flow->caller->flows_opened++;
	flow->has_request = true;
	flow->may_have_run = false;
	flow->procedure = procedure;
	flow->number = number;
	flow->attempts = 1;
	flow->start_us = kf_sim_mono_us();
	flow->deadline_us = flow->start_us + (int64_t)o->timeout_ms * 1000;
	flow->caller->total.requests++;
	flow->caller->procedures[procedure].requests++;
	flow_start_call(flow, KF_FLOW_CALL);
}

static void
flow_mark_broken(kf_flow_t *flow)
{
	if (flow->broken)
		return;
	flow->broken = true;
	flow->caller->broken_flows++;
}

static void
count_outcome(kf_caller_counts_t *counts, outcome_t outcome, int64_t us)
{
	switch (outcome) {
	case OUTCOME_ANSWERED:
		counts->answered++;
		kf_sim_histogram_add(&counts->latency, us);
		break;
	case OUTCOME_WRONG:
		counts->wrong++;
		break;
	case OUTCOME_REFUSED:
		counts->refused++;
		break;
	case OUTCOME_UNKNOWN:
		counts->unknown++;
		break;
	}
}

static void
flow_end_request(kf_flow_t *flow, outcome_t outcome)
{
	static const char *const verdicts[] = { "answered", "answered",
		"not_run", "unknown" };
	kf_caller_t *caller = flow->caller;
	int64_t us = kf_sim_mono_us() - flow->start_us;

	/* An earlier attempt may have run; only the last one was refused. */
	if (outcome == OUTCOME_REFUSED && flow->may_have_run)
		outcome = OUTCOME_UNKNOWN;
	if (outcome == OUTCOME_UNKNOWN)
		flow_mark_broken(flow);
	if (outcome == OUTCOME_WRONG)
		printf("event=wrong_answer request=%" PRIu64 " xid=%u\n",
		    flow->number, flow->xid);
	count_outcome(&caller->total, outcome, us);
	count_outcome(&caller->procedures[flow->procedure], outcome, us);
	if (caller->results != NULL)
		fprintf(caller->results,
		    "request=%" PRIu64 " proc=%u verdict=%s\n", flow->number,
		    flow_procedure(flow)->number, verdicts[outcome]);
	flow->has_request = false;
}

static void
flow_become_idle(kf_flow_t *flow)
{
	kf_sim_timer_cancel(flow->caller->loop, &flow->timer);
	flow->state = KF_FLOW_IDLE;
	kf_caller_flow_idle(flow->caller, flow);
}

static void
flow_finish(kf_flow_t *flow, outcome_t outcome)
{
	flow_end_request(flow, outcome);
	flow_become_idle(flow);
}

static bool
flow_may_retry(kf_flow_t *flow)
{
	return kf_sim_mono_us() < flow->deadline_us &&
	    flow->attempts < KF_CALLER_MAX_ATTEMPTS;
}

static void
flow_retry(kf_flow_t *flow, kf_flow_state_t state)
{
	if (!flow_may_retry(flow)) {
		flow_finish(flow, OUTCOME_REFUSED);
		return;
	}
	flow->attempts++;
	flow->caller->retried++;
	flow_start_call(flow, state);
}

static void
flow_store_token(kf_flow_t *flow, const kf_rpc_auth_t *verf)
{
	uint32_t len;

	if (verf->flavor != KF_RPC_AUTH_SHORT || verf->len < 8)
		return;
	len = kf_get_u32(verf->body + 4);
	if (len == 0 || len > verf->len - 8 || len > sizeof(flow->token)) {
		flow->caller->malformed++;
		return;
	}
	flow->token_flavor = kf_get_u32(verf->body);
	flow->token_len = len;
	memcpy(flow->token, verf->body + 8, len);
	flow->caller->tokens++;
}

static bool
flow_results_match(kf_flow_t *flow, const kf_rpc_reply_t *reply)
{
	kf_sim_result_t result;

	return kf_sim_result_read(
		   reply->results, reply->results_len, &result) == KF_OK &&
	    result.number == flow->number && result.digest == flow->digest;
}

static void
flow_on_success(kf_flow_t *flow, const kf_rpc_reply_t *reply)
{
	flow_store_token(flow, &reply->verf);
	if (flow->state == KF_FLOW_CALL) {
		flow_finish(flow,
		    flow_results_match(flow, reply) ? OUTCOME_ANSWERED
						    : OUTCOME_WRONG);
		return;
	}
	flow->caller->established++;
	if (flow->has_request)
		flow_start_call(flow, KF_FLOW_CALL);
	else
		flow_become_idle(flow);
}

/* The request may have run; it is repeated only if it is idempotent. */
static void
flow_on_system_err(kf_flow_t *flow)
{
	flow->token_len = 0;
	if (flow->state == KF_FLOW_ESTABLISH) {
		flow->caller->establish_failed++;
		if (flow->has_request)
			flow_finish(flow, OUTCOME_REFUSED);
		else
			flow_become_idle(flow);
		return;
	}
	flow->may_have_run = true;
	if (!flow_procedure(flow)->non_idempotent && flow_may_retry(flow)) {
		flow_retry(flow, KF_FLOW_ESTABLISH);
		return;
	}
	flow_end_request(flow, OUTCOME_UNKNOWN);
	flow->deadline_us =
	    kf_sim_mono_us() + (int64_t)flow->caller->options.timeout_ms * 1000;
	flow_start_call(flow, KF_FLOW_ESTABLISH);
}

static void
flow_on_refused(kf_flow_t *flow)
{
	if (!flow->has_request) {
		flow->caller->establish_failed++;
		flow_become_idle(flow);
		return;
	}
	if (flow->caller->options.retry_refused && flow_may_retry(flow))
		kf_flow_pause(
		    flow, kf_sim_mono_us() + REFUSED_RETRY_DELAY_MS * 1000);
	else
		flow_finish(flow, OUTCOME_REFUSED);
}

static void
flow_on_denied(kf_flow_t *flow, const kf_rpc_reply_t *reply)
{
	if (reply->reject_stat != 1 || !flow->has_request) {
		flow_on_refused(flow);
		return;
	}
	switch (reply->auth_stat) {
	case KF_RPC_AUTH_REJECTEDCRED:
		flow->token_len = 0;
		flow_retry(flow, flow->state);
		return;
	case KF_RPC_AUTH_TOOWEAK:
		flow_retry(flow, KF_FLOW_ESTABLISH);
		return;
	default:
		flow_on_refused(flow);
		return;
	}
}

void
kf_flow_reply(kf_flow_t *flow, const kf_rpc_reply_t *reply)
{
	if (reply->xid != flow->xid ||
	    (flow->state != KF_FLOW_CALL && flow->state != KF_FLOW_ESTABLISH)) {
		flow->caller->late_replies++;
		return;
	}
	if (reply->reply_stat == KF_RPC_MSG_DENIED)
		flow_on_denied(flow, reply);
	else if (reply->accept_stat == KF_RPC_SUCCESS)
		flow_on_success(flow, reply);
	else if (reply->accept_stat == KF_RPC_SYSTEM_ERR)
		flow_on_system_err(flow);
	else
		flow_on_refused(flow);
}

static void
flow_on_timeout(kf_flow_t *flow)
{
	if (flow->state == KF_FLOW_CALL) {
		flow_finish(flow, OUTCOME_UNKNOWN);
		return;
	}
	flow->caller->establish_failed++;
	if (!flow->has_request) {
		flow_become_idle(flow);
		return;
	}
	flow_mark_broken(flow);
	flow_finish(flow, OUTCOME_REFUSED);
}

static void
flow_on_timer(void *ctx)
{
	kf_flow_t *flow = ctx;

	if (flow->state == KF_FLOW_PAUSE) {
		if (flow->has_request)
			flow_retry(flow, KF_FLOW_CALL);
		else
			flow_become_idle(flow);
	} else if (kf_sim_mono_us() >= flow->deadline_us) {
		flow_on_timeout(flow);
	} else {
		flow->caller->retransmits++;
		flow_send(flow);
		flow_set_timer(flow);
	}
}

void
kf_flow_pause(kf_flow_t *flow, int64_t until_us)
{
	flow->state = KF_FLOW_PAUSE;
	kf_sim_timer_set(flow->caller->loop, &flow->timer, until_us);
}

void
kf_flow_end_think_time(kf_flow_t *flow)
{
	if (flow->state == KF_FLOW_PAUSE && !flow->has_request)
		flow_become_idle(flow);
}

void
kf_flow_abandon(kf_flow_t *flow)
{
	kf_sim_timer_cancel(flow->caller->loop, &flow->timer);
	if (!flow->has_request)
		return;
	flow->caller->unfinished++;
	flow_end_request(flow,
	    flow->state == KF_FLOW_CALL ? OUTCOME_UNKNOWN : OUTCOME_REFUSED);
}
