#include <apr_queue.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>

#include <curl/curl.h>
#include <sys/eventfd.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "kf/control_client.h"

#include "fetch.h"

enum {
	DOCUMENT_MAX_BYTES = 1048576,
	PEER_QUEUE_LENGTH = 64,
	PEER_TIMEOUT_MS = 1000,
	PLATFORM_CONNECT_TIMEOUT_MS = 1000,
	/* Time for the answer itself, in addition to wait_ms. */
	PLATFORM_REPLY_MARGIN_MS = 2000,
	POLL_MS = 1000,
};

typedef struct peer_job {
	kf_doc_source_t source;
	kf_addr_t peer;
	kf_doc_kind_t kind;
	bool stop;
} peer_job_t;

typedef struct transfer {
	struct transfer *next;
	fetch_t *fetch;
	CURL *easy;
	char url[512];
	long timeout_ms;
	fetch_result_t *result;
	bool too_long;
} transfer_t;

struct fetch {
	uint32_t local_ip;
	char url[256];
	apr_pool_t *pool;
	apr_thread_mutex_t *mutex; /* protects results, pending and stopping */
	apr_thread_t *http_thread;
	apr_thread_t *peer_thread;
	apr_queue_t *peer_jobs;
	CURLM *multi;
	int wake_fd;
	bool stopping;
	transfer_t *pending; /* not yet taken by the HTTP thread */
	transfer_t *running; /* used by the HTTP thread only */
	fetch_result_t *results;
	fetch_result_t *last_result;
};

void
fetch_result_delete(fetch_result_t *result)
{
	free(result->text);
	free(result);
}

/* Queues a result for the control thread and wakes it. */
static void
fetch_deliver(fetch_t *f, fetch_result_t *result)
{
	uint64_t one = 1;

	apr_thread_mutex_lock(f->mutex);
	result->next = NULL;
	if (f->last_result != NULL)
		f->last_result->next = result;
	else
		f->results = result;
	f->last_result = result;
	apr_thread_mutex_unlock(f->mutex);
	if (write(f->wake_fd, &one, sizeof(one)) < 0)
		return; /* the eventfd is at its maximum and thus readable */
}

fetch_result_t *
fetch_take(fetch_t *f)
{
	fetch_result_t *result;
	uint64_t count;

	apr_thread_mutex_lock(f->mutex);
	result = f->results;
	if (result != NULL) {
		f->results = result->next;
		if (f->results == NULL)
			f->last_result = NULL;
	} else if (read(f->wake_fd, &count, sizeof(count)) < 0)
		count = 0;
	apr_thread_mutex_unlock(f->mutex);
	return result;
}

int
fetch_wake_fd(const fetch_t *f)
{
	return f->wake_fd;
}

static size_t
on_body(char *data, size_t size, size_t count, void *ctx)
{
	transfer_t *tr = ctx;
	fetch_result_t *result = tr->result;
	size_t len = size * count;
	char *text;

	if (result->len + len > DOCUMENT_MAX_BYTES) {
		tr->too_long = true;
		return 0;
	}
	text = realloc(result->text, result->len + len + 1);
	if (text == NULL)
		return 0;
	memcpy(text + result->len, data, len);
	result->text = text;
	result->len += len;
	text[result->len] = '\0';
	return len;
}

static size_t
on_header(char *data, size_t size, size_t count, void *ctx)
{
	static const char name[] = "X-Version:";
	transfer_t *tr = ctx;
	size_t len = size * count;
	char value[32];

	if (len >= sizeof(name) + sizeof(value) - 2 || len < sizeof(name) - 1 ||
	    strncasecmp(data, name, sizeof(name) - 1) != 0)
		return len;
	memcpy(value, data + sizeof(name) - 1, len - (sizeof(name) - 1));
	value[len - (sizeof(name) - 1)] = '\0';
	tr->result->version = strtoull(value, NULL, 10);
	return len;
}

static void
transfer_start(fetch_t *f, transfer_t *tr)
{
	tr->easy = curl_easy_init();
	if (tr->easy == NULL) {
		fetch_deliver(f, tr->result);
		free(tr);
		return;
	}
	curl_easy_setopt(tr->easy, CURLOPT_URL, tr->url);
	curl_easy_setopt(tr->easy, CURLOPT_PRIVATE, tr);
	curl_easy_setopt(tr->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(tr->easy, CURLOPT_WRITEDATA, tr);
	curl_easy_setopt(tr->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(tr->easy, CURLOPT_HEADERDATA, tr);
	curl_easy_setopt(tr->easy, CURLOPT_TIMEOUT_MS, tr->timeout_ms);
	curl_easy_setopt(tr->easy, CURLOPT_CONNECTTIMEOUT_MS,
	    (long)PLATFORM_CONNECT_TIMEOUT_MS);
	/* On a connection that is used again, a late copy of an answer would be
	 * taken as the answer to the next request. */
	curl_easy_setopt(tr->easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(tr->easy, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(tr->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(tr->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(tr->easy, CURLOPT_PROTOCOLS_STR, "http");
	tr->next = f->running;
	f->running = tr;
	curl_multi_add_handle(f->multi, tr->easy);
}

static void
transfer_unlink(fetch_t *f, const transfer_t *tr)
{
	transfer_t **link;

	for (link = &f->running; *link != NULL; link = &(*link)->next) {
		if (*link == tr) {
			*link = tr->next;
			return;
		}
	}
}

static void
transfer_finish(fetch_t *f, CURL *easy, CURLcode code)
{
	fetch_result_t *result;
	transfer_t *tr;
	long http = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&tr);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &http);
	result = tr->result;
	if (code == CURLE_OK && http == 200 && result->version > 0)
		result->outcome = FETCH_DOCUMENT;
	else if (code == CURLE_OK && (http == 304 || http == 404))
		result->outcome = FETCH_UNCHANGED;
	curl_multi_remove_handle(f->multi, easy);
	curl_easy_cleanup(easy);
	transfer_unlink(f, tr);
	free(tr);
	fetch_deliver(f, result);
}

static bool
http_take_pending(fetch_t *f)
{
	transfer_t *tr, *next;
	bool stopping;

	apr_thread_mutex_lock(f->mutex);
	tr = f->pending;
	f->pending = NULL;
	stopping = f->stopping;
	apr_thread_mutex_unlock(f->mutex);
	for (; tr != NULL; tr = next) {
		next = tr->next;
		transfer_start(f, tr);
	}
	return !stopping;
}

static void *APR_THREAD_FUNC
http_main(apr_thread_t *thread, void *ctx)
{
	fetch_t *f = ctx;
	CURLMsg *msg;
	int running, left;

	(void)thread;
	while (http_take_pending(f)) {
		curl_multi_perform(f->multi, &running);
		while ((msg = curl_multi_info_read(f->multi, &left)) != NULL) {
			if (msg->msg == CURLMSG_DONE)
				transfer_finish(
				    f, msg->easy_handle, msg->data.result);
		}
		curl_multi_poll(f->multi, NULL, 0, POLL_MS, NULL);
	}
	while (f->running != NULL)
		transfer_finish(f, f->running->easy, CURLE_ABORTED_BY_CALLBACK);
	return NULL;
}

static fetch_result_t *
result_new(kf_doc_kind_t kind, kf_doc_source_t source)
{
	fetch_result_t *result;

	result = calloc(1, sizeof(*result));
	if (result == NULL)
		return NULL;
	result->outcome = FETCH_FAILED;
	result->kind = kind;
	result->source = source;
	return result;
}

/* Calls a peer and queues the result. */
static void
peer_job_run(fetch_t *f, const peer_job_t *job)
{
	fetch_result_t *result = result_new(job->kind, job->source);
	kf_rpc_doc doc;

	if (result == NULL)
		return;
	if (job->peer.port != 0 &&
	    kf_control_client_fetch(f->local_ip, job->peer, PEER_TIMEOUT_MS,
		(uint32_t)job->kind, &doc) == KF_OK) {
		result->text = malloc(doc.text.text_len + 1);
		if (doc.found && result->text != NULL) {
			result->outcome = FETCH_DOCUMENT;
			result->version = doc.platform_version;
			result->len = doc.text.text_len;
			memcpy(result->text, doc.text.text_val, result->len);
			result->text[result->len] = '\0';
		}
		xdr_free((xdrproc_t)xdr_kf_rpc_doc, (char *)&doc);
	}
	fetch_deliver(f, result);
}

static void *APR_THREAD_FUNC
peer_main(apr_thread_t *thread, void *ctx)
{
	fetch_t *f = ctx;
	peer_job_t *job;
	void *item;
	bool stop = false;

	(void)thread;
	while (!stop && apr_queue_pop(f->peer_jobs, &item) == APR_SUCCESS) {
		job = item;
		stop = job->stop;
		if (!stop)
			peer_job_run(f, job);
		free(job);
	}
	return NULL;
}

static kf_status_t
fetch_init(fetch_t *f)
{
	f->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	f->multi = curl_multi_init();
	if (f->wake_fd < 0 || f->multi == NULL ||
	    apr_pool_create(&f->pool, NULL) != APR_SUCCESS ||
	    apr_thread_mutex_create(
		&f->mutex, APR_THREAD_MUTEX_DEFAULT, f->pool) != APR_SUCCESS ||
	    apr_queue_create(&f->peer_jobs, PEER_QUEUE_LENGTH, f->pool) !=
		APR_SUCCESS ||
	    apr_thread_create(&f->http_thread, NULL, http_main, f, f->pool) !=
		APR_SUCCESS ||
	    apr_thread_create(&f->peer_thread, NULL, peer_main, f, f->pool) !=
		APR_SUCCESS)
		return kf_status_set(
		    KF_ERR_NO_MEMORY, "cannot start the fetch threads");
	return KF_OK;
}

fetch_t *
fetch_new(const char *platform_url, uint32_t local_ip)
{
	fetch_t *f;

	f = calloc(1, sizeof(*f));
	if (f == NULL)
		return NULL;
	f->local_ip = local_ip;
	snprintf(f->url, sizeof(f->url), "%s", platform_url);
	if (fetch_init(f) != KF_OK) {
		free(f);
		return NULL;
	}
	return f;
}

void
fetch_delete(fetch_t *f)
{
	fetch_result_t *result;
	apr_status_t status;
	peer_job_t *stop;

	if (f == NULL)
		return;
	apr_thread_mutex_lock(f->mutex);
	f->stopping = true;
	apr_thread_mutex_unlock(f->mutex);
	curl_multi_wakeup(f->multi);
	stop = calloc(1, sizeof(*stop));
	if (stop != NULL) {
		stop->stop = true;
		apr_queue_push(f->peer_jobs, stop);
		apr_thread_join(&status, f->peer_thread);
	}
	apr_thread_join(&status, f->http_thread);
	while ((result = fetch_take(f)) != NULL)
		fetch_result_delete(result);
	curl_multi_cleanup(f->multi);
	close(f->wake_fd);
	apr_pool_destroy(f->pool);
	free(f);
}

void
fetch_platform(
    fetch_t *f, kf_doc_kind_t kind, uint64_t after_version, uint32_t wait_ms)
{
	kf_doc_source_t platform = { 0 };
	transfer_t *tr;

	tr = calloc(1, sizeof(*tr));
	if (tr == NULL)
		return;
	tr->result = result_new(kind, platform);
	if (tr->result == NULL) {
		free(tr);
		return;
	}
	tr->fetch = f;
	tr->timeout_ms = (long)wait_ms + PLATFORM_REPLY_MARGIN_MS;
	snprintf(tr->url, sizeof(tr->url), "%s/v1/doc/%s?after=%llu&wait_ms=%u",
	    f->url, kf_doc_kind_name(kind), (unsigned long long)after_version,
	    wait_ms);
	apr_thread_mutex_lock(f->mutex);
	tr->next = f->pending;
	f->pending = tr;
	apr_thread_mutex_unlock(f->mutex);
	curl_multi_wakeup(f->multi);
}

void
fetch_peer(
    fetch_t *f, kf_doc_source_t source, kf_addr_t peer, kf_doc_kind_t kind)
{
	peer_job_t *job;

	job = calloc(1, sizeof(*job));
	if (job == NULL)
		return;
	job->source = source;
	job->peer = peer;
	job->kind = kind;
	/* If the queue is full, the caller retries after its timeout. */
	if (apr_queue_trypush(f->peer_jobs, job) != APR_SUCCESS)
		free(job);
}
