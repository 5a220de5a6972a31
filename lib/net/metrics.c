#include <apr_pools.h>
#include <apr_thread_mutex.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <microhttpd.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kf/udp.h"

#include "metrics.h"

enum {
	/* Closes idle connections, which count towards CONNECTION_LIMIT. */
	CONNECTION_TIMEOUT_S = 10,
	CONNECTION_LIMIT = 16,
	GAUGE_BYTES = 2048,
};

static const char content_type[] = "text/plain; version=0.0.4; charset=utf-8";

struct metrics {
	struct MHD_Daemon *http;
	apr_pool_t *pool;
	apr_thread_mutex_t *mutex; /* protects values */
	metrics_values_t values;
};

typedef struct gauge {
	const char *name;
	const char *help;
	double (*get)(const metrics_values_t *values);
} gauge_t;

static double
get_flows(const metrics_values_t *values)
{
	return values->totals.flows;
}

static double
get_flow_bytes(const metrics_values_t *values)
{
	return (double)values->totals.flow_bytes;
}

static double
get_requests_in_progress(const metrics_values_t *values)
{
	return values->totals.requests_in_progress;
}

static double
get_revision(const metrics_values_t *values)
{
	return values->revision;
}

/* Returns -1 before the first answer of the platform. */
static double
get_platform_age_s(const metrics_values_t *values)
{
	return values->platform_age_ms == KF_CONTACT_NEVER_MS
	    ? -1
	    : values->platform_age_ms / 1000.0;
}

static const gauge_t gauges[] = {
	{ "flows", "at-most-once flow records", get_flows },
	{ "flow_bytes", "memory of flow records and stored replies",
	    get_flow_bytes },
	{ "requests_in_progress", "requests queued or at an upstream",
	    get_requests_in_progress },
	{ "revision", "revision of the declaration in force, 0 if none",
	    get_revision },
	{ "platform_age_seconds",
	    "age of the last answer of the platform, -1 if none",
	    get_platform_age_s },
};

static size_t
gauges_render(const metrics_values_t *values, char *buf, size_t cap)
{
	size_t i, len = 0;
	int n;

	for (i = 0; i < sizeof(gauges) / sizeof(gauges[0]); i++) {
		const gauge_t *g = &gauges[i];

		n = snprintf(buf + len, cap - len,
		    "# HELP knapweed_%s %s\n"
		    "# TYPE knapweed_%s gauge\n"
		    "knapweed_%s %.15g\n",
		    g->name, g->help, g->name, g->name, g->get(values));
		if (n < 0 || (size_t)n >= cap - len)
			return len;
		len += (size_t)n;
	}
	return len;
}

/* Returns the response body, freed by the caller, or NULL if out of memory. */
static char *
metrics_render(const metrics_values_t *values, size_t *len)
{
	size_t counter_bytes;
	char *text;

	counter_bytes = kf_counters_render(&values->totals.counters, NULL, 0);
	text = malloc(counter_bytes + 1 + GAUGE_BYTES);
	if (text == NULL)
		return NULL;
	kf_counters_render(&values->totals.counters, text, counter_bytes + 1);
	*len = counter_bytes +
	    gauges_render(values, text + counter_bytes, GAUGE_BYTES);
	return text;
}

static enum MHD_Result
respond(struct MHD_Connection *connection, unsigned status, char *text,
    size_t len, const char *type)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	response =
	    MHD_create_response_from_buffer(len, text, MHD_RESPMEM_MUST_COPY);
	if (response == NULL)
		return MHD_NO;
	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	if (status == MHD_HTTP_METHOD_NOT_ALLOWED)
		MHD_add_response_header(
		    response, MHD_HTTP_HEADER_ALLOW, MHD_HTTP_METHOD_GET);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result
respond_error(struct MHD_Connection *connection, unsigned status)
{
	char text[64];
	int len;

	len = snprintf(text, sizeof(text), "%u %s\n", status,
	    MHD_get_reason_phrase_for(status));
	return respond(connection, status, text, (size_t)len, "text/plain");
}

static enum MHD_Result
respond_metrics(metrics_t *metrics, struct MHD_Connection *connection)
{
	metrics_values_t values;
	enum MHD_Result result;
	size_t len = 0;
	char *text;

	apr_thread_mutex_lock(metrics->mutex);
	values = metrics->values;
	apr_thread_mutex_unlock(metrics->mutex);
	text = metrics_render(&values, &len);
	if (text == NULL)
		return respond_error(
		    connection, MHD_HTTP_INTERNAL_SERVER_ERROR);
	result = respond(connection, MHD_HTTP_OK, text, len, content_type);
	free(text);
	return result;
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	(void)version;
	(void)data;
	(void)len;
	(void)state;
	if (strcmp(url, "/metrics") != 0)
		return respond_error(connection, MHD_HTTP_NOT_FOUND);
	if (strcmp(method, MHD_HTTP_METHOD_GET) != 0)
		return respond_error(connection, MHD_HTTP_METHOD_NOT_ALLOWED);
	return respond_metrics(ctx, connection);
}

static kf_status_t
metrics_listen(metrics_t *metrics, kf_addr_t addr)
{
	struct sockaddr_in sin = kf_sockaddr(addr);
	char text[KF_ADDR_TEXT_BYTES];

	metrics->http =
	    MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
		addr.port, NULL, NULL, on_request, metrics,
		MHD_OPTION_SOCK_ADDR, &sin, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned)CONNECTION_LIMIT, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned)CONNECTION_TIMEOUT_S, MHD_OPTION_END);
	return metrics->http == NULL
	    ? kf_status_set(KF_ERR_IO, "cannot serve metrics on %s",
		  kf_addr_format(addr, text))
	    : KF_OK;
}

metrics_t *
metrics_new(kf_addr_t addr)
{
	metrics_t *metrics;

	metrics = calloc(1, sizeof(*metrics));
	if (metrics == NULL)
		return NULL;
	if (apr_pool_create(&metrics->pool, NULL) != APR_SUCCESS) {
		free(metrics);
		return NULL;
	}
	metrics->values.platform_age_ms = KF_CONTACT_NEVER_MS;
	if (apr_thread_mutex_create(&metrics->mutex, APR_THREAD_MUTEX_DEFAULT,
		metrics->pool) != APR_SUCCESS ||
	    metrics_listen(metrics, addr) != KF_OK) {
		metrics_delete(metrics);
		return NULL;
	}
	return metrics;
}

void
metrics_delete(metrics_t *metrics)
{
	if (metrics == NULL)
		return;
	if (metrics->http != NULL)
		MHD_stop_daemon(metrics->http);
	apr_pool_destroy(metrics->pool);
	free(metrics);
}

void
metrics_set(metrics_t *metrics, const metrics_values_t *values)
{
	apr_thread_mutex_lock(metrics->mutex);
	metrics->values = *values;
	apr_thread_mutex_unlock(metrics->mutex);
}
