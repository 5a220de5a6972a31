#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kf/http_client.h"

typedef struct request {
	struct request *next;
	http_client_t *client;
	CURL *easy;
	uint32_t tag;
	http_done_fn *done;
	void *ctx;
	char *body;
	size_t len;
	size_t cap;
	char error[CURL_ERROR_SIZE];
} request_t;

struct http_client {
	CURLM *multi;
	size_t max_body_bytes;
	request_t *requests;
};

http_client_t *
http_client_new(size_t max_body_bytes)
{
	http_client_t *c;

	c = calloc(1, sizeof(*c));
	if (c == NULL)
		return NULL;
	c->max_body_bytes = max_body_bytes;
	c->multi = curl_multi_init();
	if (c->multi == NULL) {
		kf_status_set(KF_ERR_NO_MEMORY, "no memory for HTTP requests");
		free(c);
		return NULL;
	}
	return c;
}

static void
request_delete(request_t *r)
{
	request_t **link;

	for (link = &r->client->requests; *link != r; link = &(*link)->next)
		;
	*link = r->next;
	curl_multi_remove_handle(r->client->multi, r->easy);
	curl_easy_cleanup(r->easy);
	free(r->body);
	free(r);
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
	curl_multi_cleanup(c->multi);
	free(c);
}

static size_t
on_body(char *data, size_t size, size_t count, void *ctx)
{
	request_t *r = ctx;
	size_t len = size * count, cap;
	char *grown;

	if (r->len + len > r->client->max_body_bytes)
		return 0;
	if (r->len + len + 1 > r->cap) {
		cap = (r->len + len + 1) * 2;
		grown = realloc(r->body, cap);
		if (grown == NULL)
			return 0;
		r->body = grown;
		r->cap = cap;
	}
	memcpy(r->body + r->len, data, len);
	r->len += len;
	r->body[r->len] = '\0';
	return len;
}

kf_status_t
http_client_get(http_client_t *c, kf_addr_t host, const char *path,
    uint32_t timeout_ms, uint32_t tag, http_done_fn *done, void *ctx)
{
	char url[HTTP_PATH_BYTES + KF_ADDR_TEXT_BYTES + 8];
	char text[KF_ADDR_TEXT_BYTES];
	request_t *r;

	r = calloc(1, sizeof(*r));
	if (r != NULL)
		r->easy = curl_easy_init();
	if (r == NULL || r->easy == NULL) {
		free(r);
		return kf_status_set(
		    KF_ERR_NO_MEMORY, "no memory for an HTTP request");
	}
	r->client = c;
	r->tag = tag;
	r->done = done;
	r->ctx = ctx;
	snprintf(
	    url, sizeof(url), "http://%s%s", kf_addr_format(host, text), path);
	curl_easy_setopt(r->easy, CURLOPT_URL, url);
	curl_easy_setopt(r->easy, CURLOPT_PRIVATE, r);
	curl_easy_setopt(r->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(r->easy, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(r->easy, CURLOPT_ERRORBUFFER, r->error);
	curl_easy_setopt(r->easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(r->easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(r->easy, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(r->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(r->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(r->easy, CURLOPT_PROTOCOLS_STR, "http");
	r->next = c->requests;
	c->requests = r;
	curl_multi_add_handle(c->multi, r->easy);
	return KF_OK;
}

void
http_client_wait(
    http_client_t *c, struct curl_waitfd *fds, unsigned fd_count, int wait_ms)
{
	curl_multi_poll(c->multi, fds, fd_count, wait_ms, NULL);
}

static void
finish_request(request_t *r, CURLcode code)
{
	http_answer_t answer = {
		.body = r->body == NULL ? "" : r->body,
		.len = r->len,
	};
	curl_off_t took_us = 0;

	curl_easy_getinfo(r->easy, CURLINFO_TOTAL_TIME_T, &took_us);
	answer.took_us = took_us;
	if (code == CURLE_OK)
		curl_easy_getinfo(
		    r->easy, CURLINFO_RESPONSE_CODE, &answer.status);
	else
		answer.error =
		    r->error[0] != '\0' ? r->error : curl_easy_strerror(code);
	r->done(r->ctx, r->tag, &answer);
	request_delete(r);
}

void
http_client_run(http_client_t *c)
{
	int running, left;
	request_t *r;
	CURLMsg *msg;

	curl_multi_perform(c->multi, &running);
	while ((msg = curl_multi_info_read(c->multi, &left)) != NULL) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(
		    msg->easy_handle, CURLINFO_PRIVATE, (char **)&r);
		finish_request(r, msg->data.result);
	}
}
