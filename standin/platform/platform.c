#include <sys/socket.h>
#include <sys/stat.h>

#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#include "platform.h"

/* Longest delays until a due response is sent and a changed file is read. */
enum { TICK_INTERVAL_US = 5000, RELOAD_INTERVAL_US = 100000 };

static const char *const kinds[KF_PLATFORM_KINDS] = { "declaration", "keys",
	"vms" };

enum { KIND_VMS = 2 };

typedef struct file {
	char path[KF_PLATFORM_PATH_BYTES];
	struct timespec mtime;
	off_t size;
} file_t;

/* A request for a document, which may wait for a newer version. */
typedef struct watch {
	struct watch *next;
	struct watch *prev;
	struct MHD_Connection *connection;
	int kind;
	uint64_t after;
	int64_t respond_from_us; /* arrival plus response delay */
	int64_t until_us;	 /* end of the wait */
	bool suspended;
	bool is_waiting;
} watch_t;

typedef struct stats {
	uint64_t reads;
	uint64_t watches;
	uint64_t sent;
	uint64_t unchanged;
	uint64_t refused;
	uint64_t published;
	uint64_t load_errors;
} stats_t;

struct kf_platform {
	kf_sim_loop_t *loop;
	kf_platform_options_t options;
	kf_sim_control_t *control;
	struct MHD_Daemon *http;
	int http_fd;
	kf_sim_timer_t tick;
	int64_t next_reload_us;
	kf_sim_document_t documents[KF_PLATFORM_KINDS];
	file_t files[KF_PLATFORM_KINDS];
	watch_t *watches; /* list of the waiting requests */
	size_t waiting;
	size_t stale_versions; /* how far served versions lag behind */
	int64_t response_delay_us;
	int64_t lag_vms_us; /* age at which a VM list becomes visible */
	stats_t stats;
};

int
kf_platform_kind(const char *name, size_t len)
{
	int i;

	for (i = 0; i < KF_PLATFORM_KINDS; i++)
		if (strlen(kinds[i]) == len && memcmp(kinds[i], name, len) == 0)
			return i;
	return -1;
}

static const kf_sim_version_t *
platform_visible_version(const kf_platform_t *platform, int kind)
{
	int64_t until = kf_sim_mono_us();

	if (kind == KIND_VMS)
		until -= platform->lag_vms_us;
	return kf_sim_document_find(
	    &platform->documents[kind], until, platform->stale_versions);
}

static enum MHD_Result
respond(struct MHD_Connection *connection, unsigned status, const char *body,
    size_t len, uint64_t version)
{
	struct MHD_Response *response;
	enum MHD_Result result;
	char text[24];

	response = MHD_create_response_from_buffer(
	    len, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);
	if (response == NULL)
		return MHD_NO;
	if (version != 0) {
		snprintf(
		    text, sizeof(text), "%llu", (unsigned long long)version);
		MHD_add_response_header(response, "X-Version", text);
	}
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result
respond_error(
    kf_platform_t *platform, struct MHD_Connection *connection, unsigned status)
{
	platform->stats.refused++;
	return respond(connection, status, "", 0, 0);
}

static bool
query_number(struct MHD_Connection *connection, const char *name, uint64_t max,
    uint64_t *value)
{
	const char *text;

	*value = 0;
	text = MHD_lookup_connection_value(
	    connection, MHD_GET_ARGUMENT_KIND, name);
	return text == NULL || kf_sim_parse_u64(text, max, value) == KF_OK;
}

static void
watch_add_waiting(kf_platform_t *platform, watch_t *watch)
{
	watch->next = platform->watches;
	watch->prev = NULL;
	if (watch->next != NULL)
		watch->next->prev = watch;
	platform->watches = watch;
	platform->waiting++;
	watch->is_waiting = true;
}

static void
watch_remove_waiting(kf_platform_t *platform, watch_t *watch)
{
	if (!watch->is_waiting)
		return;
	if (watch->prev != NULL)
		watch->prev->next = watch->next;
	else
		platform->watches = watch->next;
	if (watch->next != NULL)
		watch->next->prev = watch->prev;
	platform->waiting--;
	watch->is_waiting = false;
}

static bool
watch_ready(const kf_platform_t *platform, const watch_t *watch, int64_t now)
{
	const kf_sim_version_t *v;

	if (now < watch->respond_from_us)
		return false;
	if (now >= watch->until_us)
		return true;
	v = platform_visible_version(platform, watch->kind);
	return v != NULL && v->version > watch->after;
}

static enum MHD_Result
watch_respond(kf_platform_t *platform, watch_t *watch)
{
	const kf_sim_version_t *v;

	v = platform_visible_version(platform, watch->kind);
	if (v != NULL && v->version > watch->after) {
		platform->stats.sent++;
		return respond(watch->connection, MHD_HTTP_OK, v->body, v->len,
		    v->version);
	}
	if (v == NULL && watch->after == 0)
		return respond_error(
		    platform, watch->connection, MHD_HTTP_NOT_FOUND);
	platform->stats.unchanged++;
	return respond(watch->connection, MHD_HTTP_NOT_MODIFIED, "", 0,
	    v != NULL ? v->version : 0);
}

static watch_t *
watch_new(kf_platform_t *platform, struct MHD_Connection *connection, int kind,
    uint64_t after, uint64_t wait_ms)
{
	int64_t now = kf_sim_mono_us();
	watch_t *watch;

	watch = calloc(1, sizeof(*watch));
	if (watch == NULL)
		return NULL;
	watch->connection = connection;
	watch->kind = kind;
	watch->after = after;
	watch->respond_from_us = now + platform->response_delay_us;
	watch->until_us = now + (int64_t)wait_ms * 1000;
	return watch;
}

static enum MHD_Result
platform_start_request(kf_platform_t *platform,
    struct MHD_Connection *connection, const char *url, watch_t **watch)
{
	static const char prefix[] = "/v1/doc/";
	uint64_t after, wait_ms;
	int kind;

	if (strncmp(url, prefix, sizeof(prefix) - 1) != 0)
		return respond_error(platform, connection, MHD_HTTP_NOT_FOUND);
	url += sizeof(prefix) - 1;
	kind = kf_platform_kind(url, strlen(url));
	if (kind < 0)
		return respond_error(platform, connection, MHD_HTTP_NOT_FOUND);
	if (!query_number(connection, "after", UINT64_MAX / 16, &after) ||
	    !query_number(
		connection, "wait_ms", KF_PLATFORM_MAX_WAIT_MS, &wait_ms))
		return respond_error(
		    platform, connection, MHD_HTTP_BAD_REQUEST);
	platform->stats.reads++;
	platform->stats.watches += wait_ms > 0 ? 1 : 0;
	*watch = watch_new(platform, connection, kind, after, wait_ms);
	if (*watch == NULL)
		return MHD_NO;
	if (watch_ready(platform, *watch, kf_sim_mono_us()))
		return watch_respond(platform, *watch);
	watch_add_waiting(platform, *watch);
	(*watch)->suspended = true;
	MHD_suspend_connection(connection);
	return MHD_YES;
}

static enum MHD_Result
platform_on_request(void *ctx, struct MHD_Connection *connection,
    const char *url, const char *method, const char *version,
    const char *upload, size_t *upload_len, void **state)
{
	kf_platform_t *platform = ctx;
	watch_t **watch = (watch_t **)state;

	(void)version;
	(void)upload;
	(void)upload_len;
	if (strcmp(method, MHD_HTTP_METHOD_GET) != 0)
		return respond_error(
		    platform, connection, MHD_HTTP_METHOD_NOT_ALLOWED);
	if (*watch != NULL)
		return watch_respond(platform, *watch);
	return platform_start_request(platform, connection, url, watch);
}

static void
platform_on_completed(void *ctx, struct MHD_Connection *connection,
    void **state, enum MHD_RequestTerminationCode code)
{
	(void)connection;
	(void)code;
	if (*state != NULL)
		watch_remove_waiting(ctx, *state);
	free(*state);
	*state = NULL;
}

static void
platform_on_http(void *ctx)
{
	kf_platform_t *platform = ctx;

	MHD_run(platform->http);
}

/* Resumes waiting requests that are ready, or all of them. */
static void
platform_resume_all(kf_platform_t *platform, bool include_unready)
{
	int64_t now = kf_sim_mono_us();
	watch_t *watch, *next;

	for (watch = platform->watches; watch != NULL; watch = next) {
		next = watch->next;
		if (!include_unready && !watch_ready(platform, watch, now))
			continue;
		watch_remove_waiting(platform, watch);
		watch->suspended = false;
		MHD_resume_connection(watch->connection);
	}
}

static void
platform_load_file(kf_platform_t *platform, int kind, const char *path)
{
	kf_sim_document_t *document = &platform->documents[kind];
	uint64_t before = document->next_version;

	if (kf_sim_document_load(document, path, kf_sim_mono_us()) != KF_OK) {
		platform->stats.load_errors++;
		printf("event=load_failed kind=%s message=\"%s\"\n",
		    kinds[kind], kf_status_message());
	} else if (document->next_version != before) {
		platform->stats.published++;
		printf("event=published kind=%s version=%llu\n", kinds[kind],
		    (unsigned long long)before);
	}
}

/* Loads files whose modification time or size has changed. */
static void
platform_reload(kf_platform_t *platform)
{
	struct stat st;
	file_t *file;
	int i;

	for (i = 0; i < KF_PLATFORM_KINDS; i++) {
		file = &platform->files[i];
		if (file->path[0] == '\0' || stat(file->path, &st) != 0)
			continue;
		if (st.st_size == file->size &&
		    st.st_mtim.tv_sec == file->mtime.tv_sec &&
		    st.st_mtim.tv_nsec == file->mtime.tv_nsec)
			continue;
		file->size = st.st_size;
		file->mtime = st.st_mtim;
		platform_load_file(platform, i, file->path);
	}
}

static void
platform_on_tick(void *ctx)
{
	kf_platform_t *platform = ctx;
	int64_t now = kf_sim_mono_us();

	if (now >= platform->next_reload_us) {
		platform->next_reload_us = now + RELOAD_INTERVAL_US;
		platform_reload(platform);
	}
	if (platform->http != NULL) {
		platform_resume_all(platform, false);
		MHD_run(platform->http);
	}
	kf_sim_timer_set(
	    platform->loop, &platform->tick, now + TICK_INTERVAL_US);
}

static kf_status_t
platform_start_http(kf_platform_t *platform)
{
	const kf_addr_t listen = platform->options.listen;
	struct sockaddr_in sin = { .sin_family = AF_INET };
	const union MHD_DaemonInfo *info;

	if (platform->http != NULL)
		return KF_OK;
	sin.sin_addr.s_addr = htonl(listen.ip);
	sin.sin_port = htons(listen.port);
	platform->http = MHD_start_daemon(
	    MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, listen.port, NULL, NULL,
	    platform_on_request, platform, MHD_OPTION_SOCK_ADDR,
	    (struct sockaddr *)&sin, MHD_OPTION_NOTIFY_COMPLETED,
	    platform_on_completed, platform, MHD_OPTION_CONNECTION_LIMIT,
	    (unsigned)KF_PLATFORM_MAX_CONNECTIONS, MHD_OPTION_END);
	if (platform->http == NULL)
		return kf_status_set(
		    KF_ERR_IO, "cannot listen for HTTP: %s", strerror(errno));
	info = MHD_get_daemon_info(platform->http, MHD_DAEMON_INFO_EPOLL_FD);
	platform->http_fd = info->epoll_fd;
	return kf_sim_loop_add(
	    platform->loop, platform->http_fd, platform_on_http, platform);
}

/* Closes the listening port and all connections, as a crash would. */
static void
platform_stop_http(kf_platform_t *platform)
{
	if (platform->http == NULL)
		return;
	kf_sim_loop_remove(platform->loop, platform->http_fd);
	platform_resume_all(platform, true);
	MHD_stop_daemon(platform->http);
	platform->http = NULL;
}

static kf_status_t
command_down(void *ctx, int argc, char **argv, FILE *out)
{
	(void)argc;
	(void)argv;
	platform_stop_http(ctx);
	fputs("up=0", out);
	return KF_OK;
}

static kf_status_t
command_up(void *ctx, int argc, char **argv, FILE *out)
{
	kf_status_t status;

	(void)argc;
	(void)argv;
	status = platform_start_http(ctx);
	if (status == KF_OK)
		fputs("up=1", out);
	return status;
}

static kf_status_t
command_stale(void *ctx, int argc, char **argv, FILE *out)
{
	kf_platform_t *platform = ctx;
	kf_status_t status;
	uint64_t value;

	(void)argc;
	status =
	    kf_sim_parse_u64(argv[1], KF_SIM_DOCUMENT_VERSIONS - 1, &value);
	if (status != KF_OK)
		return status;
	platform->stale_versions = (size_t)value;
	fprintf(out, "stale=%zu", platform->stale_versions);
	return KF_OK;
}

static kf_status_t
set_delay(const char *name, const char *text, int64_t *us, FILE *out)
{
	kf_status_t status;
	uint64_t ms;

	status = kf_sim_parse_u64(text, KF_PLATFORM_MAX_WAIT_MS, &ms);
	if (status != KF_OK)
		return status;
	*us = (int64_t)ms * 1000;
	fprintf(out, "%s_ms=%llu", name, (unsigned long long)ms);
	return KF_OK;
}

static kf_status_t
command_slow(void *ctx, int argc, char **argv, FILE *out)
{
	kf_platform_t *platform = ctx;

	(void)argc;
	return set_delay("slow", argv[1], &platform->response_delay_us, out);
}

static kf_status_t
command_lag_vms(void *ctx, int argc, char **argv, FILE *out)
{
	kf_platform_t *platform = ctx;

	(void)argc;
	return set_delay("lag_vms", argv[1], &platform->lag_vms_us, out);
}

static kf_status_t
command_publish(void *ctx, int argc, char **argv, FILE *out)
{
	kf_platform_t *platform = ctx;
	kf_sim_document_t *document;
	kf_status_t status;
	uint64_t before;
	int kind;

	(void)argc;
	kind = kf_platform_kind(argv[1], strlen(argv[1]));
	if (kind < 0)
		return kf_status_set(
		    KF_ERR_NOT_FOUND, "no kind of document '%s'", argv[1]);
	document = &platform->documents[kind];
	before = document->next_version;
	status = kf_sim_document_load(document, argv[2], kf_sim_mono_us());
	if (status != KF_OK)
		return status;
	platform->stats.published += document->next_version - before;
	fprintf(out, "kind=%s version=%llu", argv[1],
	    (unsigned long long)document->next_version - 1);
	return KF_OK;
}

static kf_status_t
command_stats(void *ctx, int argc, char **argv, FILE *out)
{
	(void)argc;
	(void)argv;
	kf_platform_print(ctx, out);
	return KF_OK;
}

static kf_status_t
command_quit(void *ctx, int argc, char **argv, FILE *out)
{
	kf_platform_t *platform = ctx;

	(void)argc;
	(void)argv;
	kf_sim_loop_stop(platform->loop);
	fputs("quit=1", out);
	return KF_OK;
}

static const kf_sim_command_t commands[] = {
	{ "publish", 2, 2, "KIND FILE", command_publish },
	{ "down", 0, 0, "", command_down },
	{ "up", 0, 0, "", command_up },
	{ "stale", 1, 1, "VERSIONS", command_stale },
	{ "slow", 1, 1, "MS", command_slow },
	{ "lag-vms", 1, 1, "MS", command_lag_vms },
	{ "stats", 0, 0, "", command_stats },
	{ "quit", 0, 0, "", command_quit },
	{ NULL, 0, 0, NULL, NULL },
};

static kf_status_t
platform_set_file(kf_platform_t *platform, int kind)
{
	const kf_platform_options_t *o = &platform->options;
	file_t *file = &platform->files[kind];
	int n = 0;

	file->size = -1;
	if (o->files[kind] != NULL)
		n = snprintf(
		    file->path, sizeof(file->path), "%s", o->files[kind]);
	else if (o->dir != NULL)
		n = snprintf(file->path, sizeof(file->path), "%s/%s.ini",
		    o->dir, kinds[kind]);
	if (n < 0 || (size_t)n >= sizeof(file->path))
		return kf_status_set(
		    KF_ERR_INVALID, "path of a document file is too long");
	return KF_OK;
}

static kf_status_t
platform_open(kf_platform_t *platform)
{
	const kf_platform_options_t *o = &platform->options;
	kf_status_t status = KF_OK;
	int i;

	for (i = 0; i < KF_PLATFORM_KINDS && status == KF_OK; i++) {
		kf_sim_document_init(
		    &platform->documents[i], kinds[i], o->first_version);
		status = platform_set_file(platform, i);
	}
	if (status == KF_OK)
		status = platform_start_http(platform);
	if (status != KF_OK)
		return status;
	platform_on_tick(platform);
	if (o->control.port == 0)
		return KF_OK;
	platform->control =
	    kf_sim_control_new(platform->loop, o->control, commands, platform);
	return platform->control == NULL ? KF_ERR_IO : KF_OK;
}

kf_platform_t *
kf_platform_new(kf_sim_loop_t *loop, const kf_platform_options_t *options)
{
	kf_platform_t *platform;

	platform = calloc(1, sizeof(*platform));
	if (platform == NULL) {
		kf_status_set(KF_ERR_NO_MEMORY, "no memory");
		return NULL;
	}
	platform->loop = loop;
	platform->options = *options;
	platform->tick.fn = platform_on_tick;
	platform->tick.ctx = platform;
	if (platform_open(platform) != KF_OK) {
		kf_platform_delete(platform);
		return NULL;
	}
	return platform;
}

void
kf_platform_delete(kf_platform_t *platform)
{
	int i;

	if (platform == NULL)
		return;
	kf_sim_timer_cancel(platform->loop, &platform->tick);
	kf_sim_control_delete(platform->control);
	platform_stop_http(platform);
	for (i = 0; i < KF_PLATFORM_KINDS; i++)
		kf_sim_document_clear(&platform->documents[i]);
	free(platform);
}

void
kf_platform_print(const kf_platform_t *platform, FILE *out)
{
	const stats_t *s = &platform->stats;

	fprintf(out,
	    "up=%d reads=%llu watches=%llu waiting=%zu sent=%llu "
	    "unchanged=%llu refused=%llu published=%llu load_errors=%llu",
	    platform->http != NULL ? 1 : 0, (unsigned long long)s->reads,
	    (unsigned long long)s->watches, platform->waiting,
	    (unsigned long long)s->sent, (unsigned long long)s->unchanged,
	    (unsigned long long)s->refused, (unsigned long long)s->published,
	    (unsigned long long)s->load_errors);
}
