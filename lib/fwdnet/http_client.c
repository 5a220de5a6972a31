#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <sys/socket.h>

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kf/clock.h"
#include "kf/http_client.h"
#include "kf/status.h"

enum { ERROR_BYTES = 96 };

typedef struct request {
	struct request *next;
	http_client_t *client;
	struct evhttp_connection *connection;
	struct event *timer;
	struct evhttp_request *response; /* owned, once it is complete */
	uint32_t tag;
	uint32_t timeout_ms;
	http_done_fn *done;
	void *ctx;
	int64_t started_us;
	int64_t ended_us;
	bool ended;
	bool too_long;
	char error[ERROR_BYTES];
} request_t;

struct http_client {
	io_loop_t *loop;
	size_t max_body_bytes;
	request_t *requests;
};

static const char *const error_texts[] = {
	[EVREQ_HTTP_TIMEOUT] = "connection timed out",
	[EVREQ_HTTP_EOF] = "connection closed before the answer was complete",
	[EVREQ_HTTP_INVALID_HEADER] = "answer is not HTTP",
	[EVREQ_HTTP_BUFFER_ERROR] = "connection failed",
	[EVREQ_HTTP_REQUEST_CANCEL] = "request cancelled",
	[EVREQ_HTTP_DATA_TOO_LONG] = "answer is too long",
};

http_client_t *
http_client_new(io_loop_t *loop, size_t max_body_bytes)
{
	http_client_t *c;

	c = calloc(1, sizeof(*c));
	if (c == NULL) {
		kf_status_set(KF_ERR_NO_MEMORY, "no memory for HTTP requests");
		return NULL;
	}
	c->loop = loop;
	c->max_body_bytes = max_body_bytes;
	return c;
}

static void
request_free(request_t *r)
{
	if (r->connection != NULL)
		evhttp_connection_free(r->connection);
	if (r->response != NULL)
		evhttp_request_free(r->response);
	if (r->timer != NULL)
		event_free(r->timer);
	free(r);
}

static void
request_delete(request_t *r)
{
	request_t **link;

	for (link = &r->client->requests; *link != r; link = &(*link)->next)
		;
	*link = r->next;
	request_free(r);
}

void
http_client_abort(http_client_t *c)
{
	while (c->requests != NULL)
		request_delete(c->requests);
}

void
http_client_cancel(http_client_t *c, uint32_t tag)
{
	request_t *r, *next;

	for (r = c->requests; r != NULL; r = next) {
		next = r->next;
		if (r->tag == tag)
			request_delete(r);
	}
}

void
http_client_delete(http_client_t *c)
{
	if (c == NULL)
		return;
	http_client_abort(c);
	free(c);
}

static void
request_end(request_t *r)
{
	r->ended = true;
	r->ended_us = kf_clock_now().mono_us;
	io_loop_stop(r->client->loop);
}

static void
on_timeout(evutil_socket_t fd, short events, void *ctx)
{
	request_t *r = ctx;

	(void)fd;
	(void)events;
	if (r->ended)
		return;
	/* The connection is freed with its request, without a call of
	 * on_response. */
	evhttp_connection_free(r->connection);
	r->connection = NULL;
	snprintf(
	    r->error, sizeof(r->error), "timed out after %u ms", r->timeout_ms);
	request_end(r);
}

static void
on_error(enum evhttp_request_error error, void *ctx)
{
	request_t *r = ctx;

	snprintf(r->error, sizeof(r->error), "%s", error_texts[error]);
	r->too_long = error == EVREQ_HTTP_DATA_TOO_LONG;
}

static void
on_response(struct evhttp_request *response, void *ctx)
{
	request_t *r = ctx;

	if (response != NULL &&
	    evhttp_request_get_response_code(response) > 0 &&
	    r->error[0] == '\0') {
		evhttp_request_own(response);
		r->response = response;
	} else if (r->error[0] == '\0')
		snprintf(r->error, sizeof(r->error), "cannot connect: %s",
		    strerror(EVUTIL_SOCKET_ERROR()));
	request_end(r);
}

static bool
request_start(request_t *r, kf_addr_t host, const char *path)
{
	struct timeval timeout = {
		.tv_sec = r->timeout_ms / 1000,
		.tv_usec = r->timeout_ms % 1000 * 1000,
	};
	struct event_base *base = io_loop_base(r->client->loop);
	char ip[KF_IP_TEXT_BYTES], host_header[KF_ADDR_TEXT_BYTES];
	struct evhttp_request *request;
	struct evkeyvalq *headers;

	r->connection = evhttp_connection_base_new(
	    base, NULL, kf_ip_format(host.ip, ip), host.port);
	r->timer = evtimer_new(base, on_timeout, r);
	if (r->connection == NULL || r->timer == NULL)
		return false;
	/* Without a family, libevent looks for network interfaces. */
	evhttp_connection_set_family(r->connection, AF_INET);
	evhttp_connection_set_max_body_size(
	    r->connection, (ssize_t)r->client->max_body_bytes);
	request = evhttp_request_new(on_response, r);
	if (request == NULL)
		return false;
	evhttp_request_set_error_cb(request, on_error);
	headers = evhttp_request_get_output_headers(request);
	evhttp_add_header(headers, "Host", kf_addr_format(host, host_header));
	evhttp_add_header(headers, "Connection", "close");
	/* On failure the request is freed by evhttp_make_request. */
	return evhttp_make_request(
		   r->connection, request, EVHTTP_REQ_GET, path) == 0 &&
	    evtimer_add(r->timer, &timeout) == 0;
}

kf_status_t
http_client_get(http_client_t *c, kf_addr_t host, const char *path,
    uint32_t timeout_ms, uint32_t tag, http_done_fn *done, void *ctx)
{
	request_t *r;

	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return kf_status_set(
		    KF_ERR_NO_MEMORY, "no memory for an HTTP request");
	r->client = c;
	r->tag = tag;
	r->timeout_ms = timeout_ms;
	r->done = done;
	r->ctx = ctx;
	r->started_us = kf_clock_now().mono_us;
	if (!request_start(r, host, path)) {
		request_free(r);
		return kf_status_set(
		    KF_ERR_NO_MEMORY, "cannot start an HTTP request");
	}
	r->next = c->requests;
	c->requests = r;
	return KF_OK;
}

const char *
http_answer_header(const http_answer_t *answer, const char *name)
{
	return answer->headers == NULL
	    ? NULL
	    : evhttp_find_header(answer->headers, name);
}

static void
deliver(request_t *r)
{
	http_answer_t answer = {
		.body = "",
		.took_us = r->ended_us - r->started_us,
	};
	struct evbuffer *body;

	if (r->response == NULL) {
		answer.error = r->error;
		answer.too_long = r->too_long;
	} else {
		body = evhttp_request_get_input_buffer(r->response);
		answer.status = evhttp_request_get_response_code(r->response);
		answer.len = evbuffer_get_length(body);
		if (answer.len > 0)
			answer.body = (const char *)evbuffer_pullup(body, -1);
		answer.headers = evhttp_request_get_input_headers(r->response);
	}
	r->done(r->ctx, r->tag, &answer);
}

static request_t *
take_ended(http_client_t *c)
{
	request_t **link, *r;

	for (link = &c->requests; *link != NULL; link = &(*link)->next) {
		r = *link;
		if (!r->ended)
			continue;
		*link = r->next;
		return r;
	}
	return NULL;
}

void
http_client_run(http_client_t *c)
{
	request_t *r;

	/* A callback may start, cancel or abort requests. */
	while ((r = take_ended(c)) != NULL) {
		deliver(r);
		request_free(r);
	}
}
