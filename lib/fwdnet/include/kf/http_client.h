#ifndef KF_HTTP_CLIENT_H
#define KF_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/addr.h"
#include "kf/io_loop.h"

/*
 * NAME
 *	http_client - asynchronous HTTP GET requests
 *
 * DESCRIPTION
 *	Runs on one thread, without blocking but in io_loop_wait.
 *	Each request has a connection of its own.  HTTP/1.1 does not say which
 *	request an answer belongs to, so that a late second copy of one would
 *	be taken as the answer to the next request of the connection.
 */

enum { HTTP_PATH_BYTES = 768 };

typedef struct http_answer {
	long status; /* HTTP status; 0: no response */
	const char *body;
	size_t len;
	const char *error; /* why there is no response, else NULL */
	bool too_long;	   /* it is longer than the client takes */
	int64_t took_us;
	const void *headers; /* see http_answer_header */
} http_answer_t;

/* Returns the value of a header of an answer, or NULL if it has none. */
const char *http_answer_header(const http_answer_t *answer, const char *name);

/* The answer is valid only during the call. */
typedef void http_done_fn(void *ctx, uint32_t tag, const http_answer_t *answer);

typedef struct http_client http_client_t;

http_client_t *http_client_new(io_loop_t *loop, size_t max_body_bytes);
void http_client_delete(http_client_t *client);

/* Starts a request; done is called with tag from http_client_run. */
kf_status_t http_client_get(http_client_t *client, kf_addr_t host,
    const char *path, uint32_t timeout_ms, uint32_t tag, http_done_fn *done,
    void *ctx);

/* Calls done for the requests that have ended. */
void http_client_run(http_client_t *client);

/* Cancels the requests with a tag; done is not called. */
void http_client_cancel(http_client_t *client, uint32_t tag);

/* Cancels all requests; done is not called. */
void http_client_abort(http_client_t *client);

#endif
