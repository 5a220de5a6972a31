#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <microhttpd.h>

#include <stdlib.h>
#include <string.h>

#include "kf/udp.h"

#include "http_server.h"

enum {
	/* Routers keep a connection open and check twice a second. */
	CONNECTION_TIMEOUT_S = 10,
	CONNECTION_LIMIT = 128,
	CONNECTION_MEMORY_BYTES = 8192,
};

struct http_request {
	struct MHD_Connection *connection;
};

struct http_server {
	struct MHD_Daemon *daemon;
	http_handler_fn *handler;
	void *ctx;
};

const char *
http_request_query(const http_request_t *request, const char *name)
{
	const char *value = MHD_lookup_connection_value(
	    request->connection, MHD_GET_ARGUMENT_KIND, name);

	return value == NULL ? "" : value;
}

static enum MHD_Result
respond(struct MHD_Connection *connection, const http_response_t *from)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	response = MHD_create_response_from_buffer(from->len,
	    from->body == NULL ? "" : from->body,
	    from->body == NULL ? MHD_RESPMEM_PERSISTENT
			       : MHD_RESPMEM_MUST_FREE);
	if (response == NULL) {
		free(from->body);
		return MHD_NO;
	}
	if (from->type != NULL)
		MHD_add_response_header(
		    response, MHD_HTTP_HEADER_CONTENT_TYPE, from->type);
	result = MHD_queue_response(connection, from->status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	http_response_t response = { .status = MHD_HTTP_NOT_FOUND };
	http_request_t request = { .connection = connection };
	http_server_t *server = ctx;

	(void)version;
	(void)data;
	(void)len;
	(void)state;
	if (strcmp(method, MHD_HTTP_METHOD_GET) != 0)
		response.status = MHD_HTTP_METHOD_NOT_ALLOWED;
	else
		server->handler(server->ctx, url, &request, &response);
	return respond(connection, &response);
}

http_server_t *
http_server_new(kf_addr_t address, http_handler_fn *handler, void *ctx)
{
	struct sockaddr_in sin = kf_sockaddr(address);
	char text[KF_ADDR_TEXT_BYTES];
	http_server_t *server;

	server = calloc(1, sizeof(*server));
	if (server == NULL)
		return NULL;
	server->handler = handler;
	server->ctx = ctx;
	server->daemon = MHD_start_daemon(MHD_USE_EPOLL, address.port, NULL,
	    NULL, on_request, server, MHD_OPTION_SOCK_ADDR, &sin,
	    MHD_OPTION_LISTENING_ADDRESS_REUSE, (unsigned)1,
	    MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTION_LIMIT,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
	    MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)CONNECTION_TIMEOUT_S,
	    MHD_OPTION_END);
	if (server->daemon == NULL) {
		kf_status_set(KF_ERR_IO, "cannot listen for HTTP on %s",
		    kf_addr_format(address, text));
		free(server);
		return NULL;
	}
	return server;
}

void
http_server_delete(http_server_t *server)
{
	if (server == NULL)
		return;
	MHD_stop_daemon(server->daemon);
	free(server);
}

int
http_server_fd(const http_server_t *server)
{
	return MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD)
	    ->epoll_fd;
}

void
http_server_run(http_server_t *server)
{
	MHD_run(server->daemon);
}
