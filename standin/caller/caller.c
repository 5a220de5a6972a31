#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "caller.h"
#include "flow.h"

/* Stays below the usual limit of 1024 descriptors per process. */
enum { DEFAULT_SOCKETS = 512 };

static size_t
caller_choose_procedure(kf_caller_t *caller)
{
	uint64_t point;
	size_t i;

	point = kf_sim_random_below(&caller->random, caller->weight_sum);
	for (i = 0; i + 1 < caller->options.procedure_count; i++) {
		if (point < caller->options.procedures[i].weight)
			break;
		point -= caller->options.procedures[i].weight;
	}
	return i;
}

static void
caller_begin(kf_caller_t *caller, kf_flow_t *flow)
{
	const kf_caller_options_t *o = &caller->options;
	size_t procedure = caller_choose_procedure(caller);

	kf_flow_begin(flow, procedure,
	    kf_sim_number(o->tag, o->procedures[procedure].non_idempotent,
		o->caller, ++caller->sequence));
}

static void
caller_stop_if_idle(kf_caller_t *caller)
{
	if (caller->stopping && caller->idle_count == caller->options.flows)
		kf_sim_loop_stop(caller->loop);
}

void
kf_caller_flow_idle(kf_caller_t *caller, kf_flow_t *flow)
{
	const kf_caller_options_t *o = &caller->options;

	if (caller->stopping || o->rate > 0) {
		caller->idle[caller->idle_count++] = flow;
		caller_stop_if_idle(caller);
		return;
	}
	if (flow->thinking) {
		flow->thinking = false;
		caller_begin(caller, flow);
		return;
	}
	flow->thinking = true;
	kf_flow_pause(flow, kf_sim_mono_us() + (int64_t)o->think_ms * 1000);
}

static void
caller_on_arrival(void *ctx)
{
	kf_caller_t *caller = ctx;
	kf_flow_t *flow;
	size_t i;

	if (caller->stopping)
		return;
	kf_sim_timer_set(caller->loop, &caller->arrival_timer,
	    caller->arrival_timer.at_us +
		kf_sim_random_exp(&caller->random, 1e6 / caller->options.rate));
	if (caller->idle_count == 0) {
		caller->no_idle_flow++;
		return;
	}
	i = kf_sim_random_below(&caller->random, caller->idle_count);
	flow = caller->idle[i];
	caller->idle[i] = caller->idle[--caller->idle_count];
	caller_begin(caller, flow);
}

static void
caller_on_end(void *ctx)
{
	kf_caller_t *caller = ctx;

	size_t i;

	caller->stopping = true;
	for (i = 0; i < caller->options.flows; i++)
		kf_flow_end_think_time(&caller->flows[i]);
	caller_stop_if_idle(caller);
}

static void
caller_on_progress(void *ctx)
{
	kf_caller_t *caller = ctx;

	printf("event=progress requests=%llu answered=%llu refused=%llu "
	       "unknown_outcome=%llu\n",
	    (unsigned long long)caller->total.requests,
	    (unsigned long long)caller->total.answered,
	    (unsigned long long)caller->total.refused,
	    (unsigned long long)caller->total.unknown);
	kf_sim_timer_set(
	    caller->loop, &caller->progress_timer, kf_sim_mono_us() + 1000000);
}

static void
caller_receive(kf_caller_t *caller, kf_addr_t src, size_t len)
{
	kf_rpc_reply_t reply;

	if (!kf_addr_equal(src, caller->options.service) ||
	    kf_rpc_reply_parse(caller->buf, len, &reply) != KF_OK) {
		caller->malformed++;
		return;
	}
	kf_flow_reply(
	    &caller->flows[reply.xid % caller->options.flows], &reply);
}

static void
socket_on_readable(void *ctx)
{
	kf_caller_socket_t *s = ctx;
	kf_caller_t *caller = s->caller;
	kf_addr_t src;
	ssize_t n;

	while ((n = kf_sim_udp_recv(
		    s->fd, &src, caller->buf, sizeof(caller->buf))) >= 0)
		caller_receive(caller, src, (size_t)n);
}

static kf_status_t
caller_open_sockets(kf_caller_t *caller)
{
	const kf_caller_options_t *o = &caller->options;
	kf_caller_socket_t *s;
	kf_status_t status;
	size_t count = o->sockets;

	if (count == 0)
		count = o->flows < DEFAULT_SOCKETS ? o->flows : DEFAULT_SOCKETS;
	caller->sockets = calloc(count, sizeof(*caller->sockets));
	if (caller->sockets == NULL)
		return kf_status_set(KF_ERR_NO_MEMORY, "no memory");
	while (caller->socket_count < count) {
		s = &caller->sockets[caller->socket_count];
		s->caller = caller;
		status = kf_sim_udp_open(o->bind, &s->fd);
		if (status != KF_OK)
			return status;
		caller->socket_count++;
		status =
		    kf_sim_loop_add(caller->loop, s->fd, socket_on_readable, s);
		if (status != KF_OK)
			return status;
	}
	return KF_OK;
}

static kf_status_t
caller_open_results(kf_caller_t *caller)
{
	const char *path = caller->options.results;

	if (path == NULL)
		return KF_OK;
	caller->results = fopen(path, "we");
	if (caller->results == NULL)
		return kf_status_set(
		    KF_ERR_IO, "cannot open %s: %s", path, strerror(errno));
	return KF_OK;
}

static kf_status_t
caller_open_flows(kf_caller_t *caller)
{
	size_t count = caller->options.flows;
	size_t i;

	caller->flows = calloc(count, sizeof(*caller->flows));
	caller->idle = calloc(count, sizeof(kf_flow_t *));
	if (caller->flows == NULL || caller->idle == NULL)
		return kf_status_set(KF_ERR_NO_MEMORY, "no memory");
	for (i = 0; i < count; i++)
		kf_flow_init(&caller->flows[i], caller, (uint32_t)i);
	for (i = 0; i < caller->options.procedure_count; i++)
		caller->weight_sum += caller->options.procedures[i].weight;
	return KF_OK;
}

static void
timer_init(kf_sim_timer_t *timer, kf_sim_fn *fn, void *ctx)
{
	timer->fn = fn;
	timer->ctx = ctx;
}

static void
caller_start(kf_caller_t *caller)
{
	const kf_caller_options_t *o = &caller->options;
	int64_t now = kf_sim_mono_us();
	size_t i;

	timer_init(&caller->arrival_timer, caller_on_arrival, caller);
	timer_init(&caller->end_timer, caller_on_end, caller);
	timer_init(&caller->progress_timer, caller_on_progress, caller);
	kf_sim_timer_set(caller->loop, &caller->end_timer,
	    now + (int64_t)o->duration_s * 1000000);
	if (o->progress)
		kf_sim_timer_set(
		    caller->loop, &caller->progress_timer, now + 1000000);
	for (i = 0; i < o->flows; i++)
		kf_caller_flow_idle(caller, &caller->flows[i]);
	if (o->rate > 0)
		kf_sim_timer_set(caller->loop, &caller->arrival_timer, now);
}

kf_caller_t *
kf_caller_new(kf_sim_loop_t *loop, const kf_caller_options_t *options)
{
	kf_caller_t *caller;

	caller = calloc(1, sizeof(*caller));
	if (caller == NULL) {
		kf_status_set(KF_ERR_NO_MEMORY, "no memory");
		return NULL;
	}
	caller->loop = loop;
	caller->options = *options;
	caller->random.state = options->seed;
	if (caller_open_results(caller) != KF_OK ||
	    caller_open_sockets(caller) != KF_OK ||
	    caller_open_flows(caller) != KF_OK) {
		kf_caller_delete(caller);
		return NULL;
	}
	caller_start(caller);
	return caller;
}

void
kf_caller_finish(kf_caller_t *caller)
{
	size_t i;

	for (i = 0; i < caller->options.flows; i++)
		kf_flow_abandon(&caller->flows[i]);
	if (caller->results != NULL)
		fflush(caller->results);
}

void
kf_caller_delete(kf_caller_t *caller)
{
	size_t i;

	if (caller == NULL)
		return;
	for (i = 0; i < caller->socket_count; i++) {
		kf_sim_loop_remove(caller->loop, caller->sockets[i].fd);
		close(caller->sockets[i].fd);
	}
	if (caller->results != NULL)
		fclose(caller->results);
	free(caller->sockets);
	free(caller->flows);
	free(caller->idle);
	free(caller);
}

static void
counts_print(const kf_caller_counts_t *c, FILE *out)
{
	fprintf(out,
	    "requests=%llu answered=%llu refused=%llu unknown_outcome=%llu "
	    "wrong_answer=%llu latency_p50_us=%lld latency_p99_us=%lld "
	    "latency_max_us=%lld",
	    (unsigned long long)c->requests, (unsigned long long)c->answered,
	    (unsigned long long)c->refused, (unsigned long long)c->unknown,
	    (unsigned long long)c->wrong,
	    (long long)kf_sim_histogram_quantile(&c->latency, 0.5),
	    (long long)kf_sim_histogram_quantile(&c->latency, 0.99),
	    (long long)c->latency.max);
}

static void
caller_print_counters(const kf_caller_t *caller, FILE *out)
{
	const struct {
		const char *name;
		uint64_t value;
	} rows[] = {
		{ "broken_flows", caller->broken_flows },
		{ "retransmits", caller->retransmits },
		{ "retried", caller->retried },
		{ "flows", caller->flows_opened },
		{ "tokens", caller->tokens },
		{ "established", caller->established },
		{ "establish_failed", caller->establish_failed },
		{ "late_replies", caller->late_replies },
		{ "malformed", caller->malformed },
		{ "no_idle_flow", caller->no_idle_flow },
		{ "unfinished", caller->unfinished },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		fprintf(out, " %s=%llu", rows[i].name,
		    (unsigned long long)rows[i].value);
}

void
kf_caller_print(const kf_caller_t *caller, FILE *out)
{
	const kf_caller_procedure_t *p;
	size_t i;

	for (i = 0; i < caller->options.procedure_count; i++) {
		p = &caller->options.procedures[i];
		fprintf(out, "event=procedure proc=%u non_idempotent=%d ",
		    p->number, p->non_idempotent ? 1 : 0);
		counts_print(&caller->procedures[i], out);
		fprintf(out, "\n");
	}
	fprintf(out, "event=summary ");
	counts_print(&caller->total, out);
	caller_print_counters(caller, out);
	fprintf(out, "\n");
}
