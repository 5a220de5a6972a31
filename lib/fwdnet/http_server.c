#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <sys/queue.h>

#include <stdlib.h>
#include <string.h>

#include "kf/status.h"

#include "http_server.h"

enum {
	/* Routers keep a connection open and check twice a second. */
	CONNECTION_TIMEOUT_S = 10,
	MAX_REQUEST_BYTES = 8192,
};

struct http_request {
	struct evkeyvalq query;
};

struct http_server {
	struct evhttp *http;
	http_handler_fn *handler;
	void *ctx;
};

const char *
http_request_query(const http_request_t *request, const char *name)
{
	const char *value = evhttp_find_header(&request->query, name);

	return value == NULL ? "" : value;
}

static void
free_body(const void *data, size_t len, void *body)
{
	(void)data;
	(void)len;
	free(body);
}

static void
respond(struct evhttp_request *request, const http_response_t *from)
{
	struct evbuffer *out = evhttp_request_get_output_buffer(request);

	if (from->body != NULL &&
	    evbuffer_add_reference(
		out, from->body, from->len, free_body, from->body) != 0)
		free(from->body);
	if (from->type != NULL)
		evhttp_add_header(evhttp_request_get_output_headers(request),
		    "Content-Type", from->type);
	evhttp_send_reply(request, (int)from->status, NULL, NULL);
}

static void
on_request(struct evhttp_request *request, void *ctx)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
	const char *path = uri == NULL ? NULL : evhttp_uri_get_path(uri);
	const char *query = uri == NULL ? NULL : evhttp_uri_get_query(uri);
	http_response_t response = { .status = HTTP_NOTFOUND };
	http_server_t *server = ctx;
	http_request_t parsed = { 0 };

	TAILQ_INIT(&parsed.query);
	if (query != NULL)
		evhttp_parse_query_str(query, &parsed.query);
	if (evhttp_request_get_command(request) != EVHTTP_REQ_GET)
		response.status = HTTP_BADMETHOD;
	else if (path != NULL)
		server->handler(server->ctx, path, &parsed, &response);
	respond(request, &response);
	evhttp_clear_headers(&parsed.query);
}

http_server_t *
http_server_new(
    io_loop_t *loop, kf_addr_t address, http_handler_fn *handler, void *ctx)
{
	char text[KF_ADDR_TEXT_BYTES], ip[KF_IP_TEXT_BYTES];
	http_server_t *server;

	server = calloc(1, sizeof(*server));
	if (server == NULL)
		return NULL;
	server->handler = handler;
	server->ctx = ctx;
	server->http = evhttp_new(io_loop_base(loop));
	if (server->http == NULL ||
	    evhttp_bind_socket(server->http, kf_ip_format(address.ip, ip),
		address.port) != 0) {
		kf_status_set(KF_ERR_IO, "cannot listen for HTTP on %s",
		    kf_addr_format(address, text));
		http_server_delete(server);
		return NULL;
	}
	evhttp_set_timeout(server->http, CONNECTION_TIMEOUT_S);
	evhttp_set_max_headers_size(server->http, MAX_REQUEST_BYTES);
	evhttp_set_max_body_size(server->http, MAX_REQUEST_BYTES);
	evhttp_set_gencb(server->http, on_request, server);
	return server;
}

void
http_server_delete(http_server_t *server)
{
	if (server == NULL)
		return;
	if (server->http != NULL)
		evhttp_free(server->http);
	free(server);
}
