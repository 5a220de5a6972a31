#ifndef KF_HTTP_SERVER_H
#define KF_HTTP_SERVER_H

#include <stddef.h>

#include "kf/addr.h"
#include "kf/io_loop.h"

/*
 * NAME
 *	http_server - answers GET requests, from io_loop_wait
 */

typedef struct http_response {
	unsigned status;
	const char *type; /* of the body */
	void *body;	  /* freed by the server; may be NULL */
	size_t len;
} http_response_t;

typedef struct http_request http_request_t;

/* Returns the value of a query parameter, "" if it is not given. */
const char *http_request_query(const http_request_t *request, const char *name);

typedef void http_handler_fn(void *ctx, const char *path,
    const http_request_t *request, http_response_t *response);

typedef struct http_server http_server_t;

/* Returns NULL with a message in kf_status if it cannot listen. */
http_server_t *http_server_new(
    io_loop_t *loop, kf_addr_t address, http_handler_fn *handler, void *ctx);
void http_server_delete(http_server_t *server);

#endif
