/*
 * review-world - stand-ins for the scripts of the review
 *
 * Plays the platform's store, the router, upstreams and clients on loopback
 * addresses, as the users' protocol page describes them, and checks one rule.
 * The VMs are the project's own processes; the script starts them and names
 * files that hold their process ids.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum {
	/* Exit status. */
	RULE_HELD = 0,
	RULE_BROKEN = 1,
	NOT_RUN = 2,

	MAX_VMS = 12,
	MAX_UPSTREAMS = 640,
	MAX_KEYS = MAX_UPSTREAMS + 1,
	MAX_CHANGES = 64, /* of one key */
	MAX_ROUTES = 512,
	MAX_CONNECTIONS = 64,
	MAX_EVENTS = 64,
	FIRST_PORT = 1024,
	PORTS = 65536,
	MAX_SYNS = 4, /* upstreams that hold the same opening flow */

	STORE_PORT = 8169,
	PACKET_PORT = 8172,
	READY_PORT = 8167,
	UPSTREAM_PORT = 10000,
	ROUTE_PORT = 9000,

	PAGE_ITEMS = 500,
	HEADER_BYTES = 32,
	PREFIX_BYTES = 8,
	ID_BYTES = 8,
	MAX_DATAGRAM = 1300,
	FLAG_SYN = 1,
	FLAG_ACK = 4,
	FLAG_FIN = 64,
	FLAG_RST = 128,

	MS = 1000,
	S = 1000000,
	FIRST_COPY_US = 200 * MS,
	SECOND_COPY_US = 600 * MS,
	OPEN_TIMEOUT_US = 1400 * MS,
	DATA_RETRY_US = 200 * MS,
	REQUEST_TIMEOUT_US = 2000 * MS,
	WORK_US = 15 * MS,
	CHECK_INTERVAL_US = 500 * MS,
	CHECK_TIMEOUT_US = 100 * MS,
	START_TIMEOUT_US = 20 * S,
};

typedef struct change {
	uint64_t revision;
	int64_t time_us;
	char *value; /* NULL: removed */
} change_t;

typedef struct item {
	char key[64];
	change_t changes[MAX_CHANGES];
	int count;
} item_t;

typedef struct connection {
	uint64_t after;
	int64_t until_us;
	size_t len;
	int fd; /* -1: unused */
	bool watching;
	char request[2048];
} connection_t;

typedef struct vm {
	char name[16];
	char ip[32];
	int zone;
	char pid_file[256];
	bool in_rotation;
	int misses;
	int64_t next_check_us;
	int64_t in_rotation_since_us;
} vm_t;

typedef struct upstream {
	char key[32];
	char address[40];
	uint64_t id;
	int service;
	int zone;
	int fd;
	int64_t draining_us; /* acknowledgement by the store; 0: ready */
} upstream_t;

/* What an upstream knows of a flow. */
typedef struct held_flow {
	upstream_t *upstream;
	uint32_t sequence;
	int64_t syn_arrived_us;
	uint32_t token;
	uint32_t expected;
	uint64_t request_id;
	bool ran;
	int64_t answer_due_us; /* 0: no answer is due */
} held_flow_t;

typedef enum phase {
	PHASE_NONE = 0,
	PHASE_OPENING,
	PHASE_OPEN,
	PHASE_DONE,
} phase_t;

typedef struct flow {
	phase_t phase;
	uint16_t port;
	int vm;
	int route;
	uint64_t request_id;
	int64_t started_us;
	int64_t retry_us;
	int copies;
	uint32_t sequence;
	uint32_t acknowledged;
	uint32_t token;
	bool probe;
	held_flow_t held[MAX_SYNS];
	int held_count;
} flow_t;

typedef struct route {
	int service;
	/* Acknowledgement of the version that drops it; 0: it is there. */
	int64_t dropped_us;
} route_t;

typedef struct text {
	char *data;
	size_t len;
	size_t cap;
} text_t;

typedef struct scenario {
	const char *name;
	const char *const *zones;
	const char *const *services;
	const int *upstream_counts;
	int64_t length_us; /* after all VMs are in rotation */
	/* Bounds of the deployment; drain_us 0: CONFIG is checked. */
	int64_t drain_us;
	int64_t stability_us;
	void (*step)(int64_t age_us);
	int (*verdict)(void);
	int zone_count;
	int route_count;
	int requests_per_s;
	int drain_every; /* one in this many upstreams of service 0 drains */
	int calm_vm;	 /* the one that is in touch; -1: all */
	int frozen_vm;	 /* -1: none */
} scenario_t;

static const scenario_t *scenario;
static bool trouble;
static char net[12];
static FILE *record;
static int64_t origin_us;
static int epoll_fd;
static int store_fd;
static int client_fd;
static connection_t connections[MAX_CONNECTIONS];
static item_t items[MAX_KEYS]; /* sorted by key */
static int item_count;
static uint64_t revision = 100;
static uint64_t config_version = 10;
static vm_t vms[MAX_VMS];
static int vm_count;
static upstream_t upstreams[MAX_UPSTREAMS];
static int upstream_count;
static route_t routes[MAX_ROUTES];
static flow_t *flows[PORTS];
static uint16_t next_port = FIRST_PORT;
static int active[PORTS]; /* ports of flows that are not done */
static int active_count;
static unsigned random_state = 7;
static int64_t started_us; /* all VMs in rotation; 0: not yet */
static int64_t next_request_us;
static int64_t killed_us;
static unsigned long sent, answered, refused, unanswered, reset_open;
static unsigned long broken, judged;

static int64_t
now_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * S + t.tv_nsec / 1000;
}

static void note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* Writes a line with the time since the start to the record. */
static void
note(const char *fmt, ...)
{
	va_list ap;

	fprintf(record, "%.4f ", (double)(now_us() - origin_us) / S);
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
}

static _Noreturn void
give_up(const char *what)
{
	note("cannot run: %s: %s", what, strerror(errno));
	fprintf(stderr, "review-world: %s: %s\n", what, strerror(errno));
	fclose(record);
	exit(NOT_RUN);
}

static uint32_t
random_u32(void)
{
	return (uint32_t)rand_r(&random_state) << 16 ^
	    (uint32_t)rand_r(&random_state);
}

static struct sockaddr_in
make_address(const char *ip, int port)
{
	struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
	};

	inet_pton(AF_INET, ip, &sin.sin_addr);
	return sin;
}

static void
watch_fd(int fd, uint32_t tag)
{
	struct epoll_event event = { .events = EPOLLIN, .data.u32 = tag };

	if (epoll_ctl(epoll_fd, EPOLL_CTL_ADD, fd, &event) != 0)
		give_up("epoll_ctl");
}

static int
open_socket(int type, const char *ip, int port)
{
	struct sockaddr_in sin = make_address(ip, port);
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0), on = 1;

	if (fd < 0)
		give_up("socket");
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0)
		give_up("bind");
	return fd;
}

/* Tags of descriptors in epoll. */
enum {
	TAG_STORE = 0,
	TAG_CLIENT = 1,
	TAG_CONNECTION = 16,
	TAG_UPSTREAM = TAG_CONNECTION + MAX_CONNECTIONS,
};

/*
 * The store.
 */

static void text_reserve(text_t *t, size_t len);
static void text_add(text_t *t, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
text_add(text_t *t, const char *fmt, ...)
{
	char line[16384];
	va_list ap;
	int len;

	va_start(ap, fmt);
	len = vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	if (len < 0 || (size_t)len >= sizeof(line))
		give_up("text is too long");
	text_reserve(t, (size_t)len);
	memcpy(t->data + t->len, line, (size_t)len + 1);
	t->len += (size_t)len;
}

static void
text_reserve(text_t *t, size_t len)
{
	if (t->len + len + 1 <= t->cap)
		return;
	t->cap = (t->len + len + 1) * 2;
	t->data = realloc(t->data, t->cap);
	if (t->data == NULL)
		give_up("realloc");
}

static void
text_add_base64(text_t *t, const char *value)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t i, len = strlen(value);
	char *out;

	text_reserve(t, (len + 2) / 3 * 4);
	out = t->data + t->len;
	for (i = 0; i < len; i += 3) {
		uint32_t bits = (uint32_t)(uint8_t)value[i] << 16;

		if (i + 1 < len)
			bits |= (uint32_t)(uint8_t)value[i + 1] << 8;
		if (i + 2 < len)
			bits |= (uint8_t)value[i + 2];
		*out++ = digits[bits >> 18];
		*out++ = digits[bits >> 12 & 63];
		*out++ = i + 1 < len ? digits[bits >> 6 & 63] : '=';
		*out++ = i + 2 < len ? digits[bits & 63] : '=';
	}
	*out = '\0';
	t->len = (size_t)(out - t->data);
}

static item_t *
item_find(const char *key)
{
	int i;

	for (i = 0; i < item_count; i++)
		if (strcmp(items[i].key, key) == 0)
			return &items[i];
	return NULL;
}

static void
item_add(const char *key)
{
	int at = item_count;

	while (at > 0 && strcmp(items[at - 1].key, key) > 0)
		at--;
	memmove(&items[at + 1], &items[at],
	    (size_t)(item_count - at) * sizeof(item_t));
	memset(&items[at], 0, sizeof(item_t));
	snprintf(items[at].key, sizeof(items[at].key), "%s", key);
	item_count++;
}

/* Writes an item; the time is that of the acknowledgement. */
static int64_t
store_put(const char *key, const char *value, int64_t time_us)
{
	item_t *item = item_find(key);

	if (item == NULL || item->count == MAX_CHANGES)
		give_up("store_put");
	revision++;
	item->changes[item->count++] = (change_t){
		.revision = revision,
		.time_us = time_us,
		.value = strdup(value),
	};
	return time_us;
}

static const change_t *
item_at(const item_t *item, int64_t time_us)
{
	int i;

	for (i = item->count - 1; i >= 0; i--)
		if (item->changes[i].time_us <= time_us)
			return &item->changes[i];
	return NULL;
}

static uint64_t
revision_at(int64_t time_us)
{
	uint64_t latest = 1;
	int i;

	for (i = 0; i < item_count; i++) {
		const change_t *c = item_at(&items[i], time_us);

		if (c != NULL && c->revision > latest)
			latest = c->revision;
	}
	return latest;
}

static void
add_change(text_t *t, const char *key, const change_t *c, bool first)
{
	text_add(t, "%s{\"Key\":\"%s\",\"Value\":\"", first ? "" : ",", key);
	text_add_base64(t, c->value);
	text_add(t, "\",\"Rev\":%llu,\"Created\":%llu,\"Lease\":0}",
	    (unsigned long long)c->revision, (unsigned long long)c->revision);
}

static void
close_connection(connection_t *c)
{
	close(c->fd);
	*c = (connection_t){ .fd = -1 };
}

static void
respond(connection_t *c, const char *status, const text_t *body)
{
	size_t len = body->len, done = 0;
	char head[256];
	ssize_t n;

	snprintf(head, sizeof(head),
	    "HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\nConnection: close\r\n\r\n",
	    status, len);
	n = send(c->fd, head, strlen(head), MSG_NOSIGNAL);
	while (n > 0 && done < len) {
		n = send(c->fd, body->data + done, len - done, MSG_NOSIGNAL);
		if (n > 0)
			done += (size_t)n;
	}
	close_connection(c);
}

/* Copies the decoded value of a query argument; empty if there is none. */
static void
query_argument(const char *path, const char *name, char *value, size_t size)
{
	char pattern[32];
	const char *p;
	size_t len = 0;
	unsigned code;

	snprintf(pattern, sizeof(pattern), "%s=", name);
	for (p = strchr(path, '?'); p != NULL; p = strchr(p + 1, '&'))
		if (strncmp(p + 1, pattern, strlen(pattern)) == 0)
			break;
	value[0] = '\0';
	if (p == NULL)
		return;
	p += 1 + strlen(pattern);
	for (; *p != '\0' && *p != '&' && *p != ' ' && len + 1 < size; p++) {
		if (*p == '%' && sscanf(p + 1, "%2x", &code) == 1) {
			value[len++] = (char)code;
			p += 2;
		} else
			value[len++] = *p;
	}
	value[len] = '\0';
}

/*
 * Reads that may be stale are answered by replicas, of which each holds a part
 * of the keys.  The one of the first page is up to date, the other is lag_us
 * behind.
 */
static const int64_t lag_us = 3 * S;

static void
serve_range(connection_t *c, const char *path)
{
	char after[64], stale[4];
	text_t body = { 0 };
	int64_t time_us = now_us();
	int i, count = 0;
	bool more = false;

	query_argument(path, "after", after, sizeof(after));
	query_argument(path, "IsStale", stale, sizeof(stale));
	if (strcmp(stale, "1") == 0 && after[0] != '\0')
		time_us -= lag_us;
	text_add(&body, "{\"items\":[");
	for (i = 0; i < item_count && !more; i++) {
		const change_t *change = item_at(&items[i], time_us);

		if (strcmp(items[i].key, after) <= 0 || change == NULL)
			continue;
		more = count == PAGE_ITEMS;
		if (!more)
			add_change(&body, items[i].key, change, count++ == 0);
	}
	text_add(&body, "],\"HasMore\":%s,\"StoreRevision\":%llu}",
	    more ? "true" : "false", (unsigned long long)revision_at(time_us));
	note("store: list after=%s stale=%s items=%d revision=%llu", after,
	    stale, count, (unsigned long long)revision_at(time_us));
	respond(c, "200 OK", &body);
	free(body.data);
}

/* Returns the change with this revision, and its item. */
static const change_t *
change_with_revision(uint64_t wanted, const item_t **item)
{
	int i, k;

	for (i = 0; i < item_count; i++)
		for (k = 0; k < items[i].count; k++)
			if (items[i].changes[k].revision == wanted) {
				*item = &items[i];
				return &items[i].changes[k];
			}
	return NULL;
}

static void
answer_watch(connection_t *c)
{
	const item_t *item = NULL;
	text_t body = { 0 };
	uint64_t r;

	text_add(&body, "{\"events\":[");
	for (r = c->after + 1; r <= revision; r++) {
		const change_t *change = change_with_revision(r, &item);

		if (change != NULL)
			add_change(&body, item->key, change, r == c->after + 1);
	}
	text_add(
	    &body, "],\"StoreRevision\":%llu}", (unsigned long long)revision);
	respond(c, "200 OK", &body);
	free(body.data);
}

static void
serve_watch(connection_t *c, const char *path)
{
	char after[32], wait_ms[32];

	query_argument(path, "after", after, sizeof(after));
	query_argument(path, "WaitMs", wait_ms, sizeof(wait_ms));
	c->after = strtoull(after, NULL, 10);
	c->until_us = now_us() + strtoll(wait_ms, NULL, 10) * MS;
	c->watching = true;
}

static void
run_watches(void)
{
	int i;

	for (i = 0; i < MAX_CONNECTIONS; i++) {
		connection_t *c = &connections[i];

		if (c->fd >= 0 && c->watching &&
		    (c->after < revision || now_us() >= c->until_us))
			answer_watch(c);
	}
}

static void
accept_connection(void)
{
	int fd = accept4(store_fd, NULL, NULL, SOCK_CLOEXEC), i;
	int size = 1 << 20; /* sending must not wait for a slow VM */

	for (i = 0; i < MAX_CONNECTIONS && connections[i].fd >= 0; i++)
		;
	if (fd < 0)
		return;
	if (i == MAX_CONNECTIONS) {
		close(fd);
		return;
	}
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	connections[i] = (connection_t){ .fd = fd };
	watch_fd(fd, (uint32_t)(TAG_CONNECTION + i));
}

static void
read_connection(connection_t *c)
{
	ssize_t n;

	if (c->fd < 0)
		return;
	n = recv(c->fd, c->request + c->len, sizeof(c->request) - 1 - c->len,
	    MSG_DONTWAIT);
	if (n <= 0) {
		close_connection(c);
		return;
	}
	c->len += (size_t)n;
	c->request[c->len] = '\0';
	if (strstr(c->request, "\r\n\r\n") == NULL)
		return;
	if (strncmp(c->request, "GET /knapweedfield/kv-range?", 28) == 0)
		serve_range(c, c->request + 4);
	else if (strncmp(c->request, "GET /knapweedfield/kv-watch?", 28) == 0)
		serve_watch(c, c->request + 4);
	else
		respond(c, "404 Not Found", &(text_t){ 0 });
}

/*
 * What the operator and the upstreams write.
 */

static int64_t
publish_upstream(const upstream_t *u, bool draining, int64_t time_us)
{
	char value[512];

	snprintf(value, sizeof(value),
	    "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\","
	    "\"Version\":\"v1\",\"Slots\":2,\"State\":\"%s\","
	    "\"ColdLeftMs\":0,\"Seq\":%d}",
	    scenario->services[u->service], u->address,
	    scenario->zones[u->zone], draining ? "draining" : "ready",
	    draining ? 9 : 4);
	return store_put(u->key, value, time_us);
}

/* Publishes a version of the configuration with all routes not dropped. */
static int64_t
publish_config(int64_t time_us)
{
	text_t value = { 0 };
	int64_t acknowledged_us;
	bool first = true;
	int i;

	text_add(&value, "{\"Version\":%llu,\"Routes\":[",
	    (unsigned long long)(config_version += 3));
	for (i = 0; i < scenario->route_count; i++) {
		if (routes[i].dropped_us != 0)
			continue;
		text_add(&value,
		    "%s{\"Name\":\"r-%d\",\"Host\":\"%s.200\","
		    "\"Prefix\":\"/%d/\",\"Type\":\"safe\","
		    "\"TimeoutMs\":2000,\"LatencyGoalMs\":250,"
		    "\"Priority\":1,\"Service\":\"%s\",\"MaxAttempts\":2}",
		    first ? "" : ",", i, net, ROUTE_PORT + i,
		    scenario->services[routes[i].service]);
		first = false;
	}
	text_add(&value, "],\"Services\":[");
	for (i = 0; i < 2; i++)
		text_add(&value,
		    "%s{\"Name\":\"%s\",\"HealthPath\":\"/health\","
		    "\"MaxConns\":2000,\"Protocol\":\"h1\",\"Tls\":false}",
		    i == 0 ? "" : ",", scenario->services[i]);
	text_add(&value, "],\"Limits\":{\"IdleTimeoutMs\":15000}}");
	acknowledged_us = store_put("op/config", value.data, time_us);
	free(value.data);
	return acknowledged_us;
}

/*
 * Packets.
 */

typedef struct packet {
	uint32_t sequence;
	uint32_t acknowledged;
	uint8_t flags;
	uint32_t source_ip;
	uint32_t destination_ip;
	uint16_t destination_port;
	uint16_t source_port;
	uint32_t token;
	uint16_t len;
	uint32_t checksum;
	uint64_t request_id;
} packet_t;

static void
put_bytes(uint8_t *p, uint64_t value, int bytes)
{
	int i;

	for (i = 0; i < bytes; i++)
		p[i] = (uint8_t)(value >> (8 * (bytes - 1 - i)));
}

static uint64_t
get_bytes(const uint8_t *p, int bytes)
{
	uint64_t value = 0;
	int i;

	for (i = 0; i < bytes; i++)
		value = value << 8 | p[i];
	return value;
}

static size_t
packet_write(const packet_t *p, uint8_t *buf)
{
	memset(buf, 0, HEADER_BYTES);
	put_bytes(buf, p->sequence, 4);
	put_bytes(buf + 4, p->acknowledged, 4);
	buf[8] = p->flags;
	put_bytes(buf + 10, p->source_ip, 4);
	put_bytes(buf + 14, p->destination_ip, 4);
	put_bytes(buf + 18, p->destination_port, 2);
	put_bytes(buf + 20, p->source_port, 2);
	put_bytes(buf + 22, p->token, 4);
	put_bytes(buf + 26, p->len, 2);
	put_bytes(buf + 28, p->checksum, 4);
	if (p->len > 0)
		put_bytes(buf + HEADER_BYTES, p->request_id, ID_BYTES);
	return HEADER_BYTES + p->len;
}

static bool
packet_read(const uint8_t *buf, size_t len, packet_t *p)
{
	if (len < HEADER_BYTES)
		return false;
	*p = (packet_t){
		.sequence = (uint32_t)get_bytes(buf, 4),
		.acknowledged = (uint32_t)get_bytes(buf + 4, 4),
		.flags = buf[8],
		.source_ip = (uint32_t)get_bytes(buf + 10, 4),
		.destination_ip = (uint32_t)get_bytes(buf + 14, 4),
		.destination_port = (uint16_t)get_bytes(buf + 18, 2),
		.source_port = (uint16_t)get_bytes(buf + 20, 2),
		.token = (uint32_t)get_bytes(buf + 22, 4),
		.len = (uint16_t)get_bytes(buf + 26, 2),
		.checksum = (uint32_t)get_bytes(buf + 28, 4),
	};
	if (len != (size_t)HEADER_BYTES + p->len)
		return false;
	if (p->len >= ID_BYTES)
		p->request_id = get_bytes(buf + HEADER_BYTES, ID_BYTES);
	return true;
}

static void
send_datagram(int fd, const char *ip, int port, const uint8_t *data, size_t len)
{
	struct sockaddr_in sin = make_address(ip, port);

	sendto(
	    fd, data, len, MSG_DONTWAIT, (struct sockaddr *)&sin, sizeof(sin));
}

/*
 * Upstreams.
 */

/* Sends a packet to the client of a packet received, with its ends swapped. */
static void
upstream_send(
    const upstream_t *u, const packet_t *received, const packet_t *fields)
{
	packet_t p = *fields;
	uint8_t buf[MAX_DATAGRAM];
	char client[16];

	p.source_ip = received->destination_ip;
	p.source_port = received->destination_port;
	p.destination_ip = received->source_ip;
	p.destination_port = received->source_port;
	p.checksum = 1;
	snprintf(client, sizeof(client), "%s.50", net);
	send_datagram(u->fd, client, PACKET_PORT, buf, packet_write(&p, buf));
}

static held_flow_t *
find_held(flow_t *flow, const upstream_t *u)
{
	int i;

	for (i = 0; i < flow->held_count; i++)
		if (flow->held[i].upstream == u)
			return &flow->held[i];
	return NULL;
}

static void
upstream_syn(upstream_t *u, flow_t *flow, const packet_t *p)
{
	held_flow_t *h = find_held(flow, u);

	if (h == NULL && flow->held_count == MAX_SYNS)
		return;
	if (h == NULL) {
		h = &flow->held[flow->held_count++];
		*h = (held_flow_t){
			.upstream = u,
			.sequence = random_u32(),
			.syn_arrived_us = now_us(),
		};
	}
	h->token = p->token;
	h->expected = p->sequence + 1;
	upstream_send(u, p,
	    &(packet_t){
		.flags = FLAG_SYN | FLAG_ACK,
		.sequence = h->sequence,
		.acknowledged = h->expected,
		.token = p->token,
	    });
}

static void check_run(const flow_t *flow, const held_flow_t *h);

static void
upstream_request(flow_t *flow, held_flow_t *h, const packet_t *p)
{
	const upstream_t *u = h->upstream;

	if (h->ran)
		return;
	h->ran = true;
	h->request_id = p->request_id;
	h->expected = p->sequence + p->len;
	h->answer_due_us = now_us() + WORK_US;
	note("run: request=%llu upstream=%s service=%s%s",
	    (unsigned long long)p->request_id, u->key,
	    scenario->services[u->service],
	    u->draining_us != 0 ? " draining" : "");
	check_run(flow, h);
}

static void
upstream_packet(upstream_t *u, const packet_t *p)
{
	flow_t *flow = flows[p->source_port];
	held_flow_t *h = flow == NULL ? NULL : find_held(flow, u);

	if (flow != NULL && p->flags == FLAG_SYN) {
		upstream_syn(u, flow, p);
		return;
	}
	if (p->flags & FLAG_RST)
		return;
	if (h == NULL) {
		upstream_send(u, p,
		    &(packet_t){
			.flags = FLAG_RST,
			.sequence = p->acknowledged,
			.token = p->token,
		    });
		return;
	}
	if (p->len >= ID_BYTES)
		upstream_request(flow, h, p);
	else if (p->flags & FLAG_FIN)
		upstream_send(u, p,
		    &(packet_t){
			.flags = FLAG_ACK | FLAG_FIN,
			.sequence = p->acknowledged,
			.acknowledged = p->sequence + 1,
			.token = p->token,
		    });
}

static void
read_upstream(upstream_t *u)
{
	uint8_t buf[MAX_DATAGRAM];
	packet_t p;
	ssize_t n;

	while ((n = recv(u->fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0) {
		uint64_t id;

		if (n < PREFIX_BYTES + HEADER_BYTES)
			continue;
		id = get_bytes(buf, PREFIX_BYTES);
		if ((id == 0 || id == u->id) &&
		    packet_read(
			buf + PREFIX_BYTES, (size_t)n - PREFIX_BYTES, &p))
			upstream_packet(u, &p);
	}
}

static void
send_answer(flow_t *flow, held_flow_t *h)
{
	packet_t received = {
		.source_port = flow->port,
		.destination_port = (uint16_t)(ROUTE_PORT + flow->route),
	};
	char ip[32];

	snprintf(ip, sizeof(ip), "%s.50", net);
	received.source_ip = ntohl(inet_addr(ip));
	snprintf(ip, sizeof(ip), "%s.200", net);
	received.destination_ip = ntohl(inet_addr(ip));
	upstream_send(h->upstream, &received,
	    &(packet_t){
		.flags = FLAG_ACK,
		.sequence = h->sequence + 1,
		.acknowledged = h->expected,
		.token = h->token,
		.len = ID_BYTES,
		.request_id = h->request_id,
	    });
}

/*
 * Clients.
 */

static void
client_send(const flow_t *flow, uint8_t flags, uint16_t len)
{
	char ip[32];
	packet_t p = {
		.flags = flags,
		.sequence = flow->sequence,
		.acknowledged = flags == FLAG_SYN ? (uint32_t)flow->copies
						  : flow->acknowledged,
		.source_port = flow->port,
		.destination_port = (uint16_t)(ROUTE_PORT + flow->route),
		.token = flags == FLAG_SYN ? 0 : flow->token,
		.len = len,
		.checksum = 1,
		.request_id = flow->request_id,
	};
	uint8_t buf[MAX_DATAGRAM];

	snprintf(ip, sizeof(ip), "%s.50", net);
	p.source_ip = ntohl(inet_addr(ip));
	snprintf(ip, sizeof(ip), "%s.200", net);
	p.destination_ip = ntohl(inet_addr(ip));
	send_datagram(client_fd, vms[flow->vm].ip, PACKET_PORT, buf,
	    packet_write(&p, buf));
}

/* The router: a VM in rotation, of the client's zone if there is one. */
static int
route_packet(uint32_t hash, int zone)
{
	int found[MAX_VMS] = { 0 }, count = 0, i;

	for (i = 0; i < vm_count; i++)
		if (vms[i].in_rotation && vms[i].zone == zone)
			found[count++] = i;
	for (i = 0; i < vm_count && count == 0; i++)
		if (vms[i].in_rotation)
			found[count++] = i;
	return count == 0 ? -1 : found[hash % (uint32_t)count];
}

/* Starts a request through the VM, or through one that the router selects. */
static void
begin_request(int route, int vm, bool probe)
{
	flow_t *flow;

	if (next_port == PORTS - 1)
		give_up("no port left");
	if (vm < 0)
		vm = route_packet(random_u32(),
		    (int)(random_u32() % (uint32_t)scenario->zone_count));
	if (vm < 0)
		return;
	flow = calloc(1, sizeof(*flow));
	if (flow == NULL)
		give_up("calloc");
	*flow = (flow_t){
		.phase = PHASE_OPENING,
		.port = next_port,
		.vm = vm,
		.route = route,
		.request_id = next_port,
		.started_us = now_us(),
		.sequence = random_u32(),
		.probe = probe,
	};
	flow->retry_us = flow->started_us + FIRST_COPY_US;
	flows[next_port] = flow;
	active[active_count++] = next_port++;
	sent++;
	note("sent: request=%llu route=r-%d vm=%s%s",
	    (unsigned long long)flow->request_id, route, vms[vm].name,
	    probe ? " probe" : "");
	client_send(flow, FLAG_SYN, 0);
}

static void
end_request(flow_t *flow, const char *outcome, unsigned long *counter)
{
	note("%s: request=%llu after_ms=%.1f", outcome,
	    (unsigned long long)flow->request_id,
	    (double)(now_us() - flow->started_us) / MS);
	(*counter)++;
	flow->phase = PHASE_DONE;
}

static void
client_opened(flow_t *flow, const packet_t *p)
{
	if (p->acknowledged != flow->sequence + 1)
		return;
	flow->phase = PHASE_OPEN;
	flow->sequence++;
	flow->acknowledged = p->sequence + 1;
	flow->token = p->token;
	flow->retry_us = now_us() + DATA_RETRY_US;
	client_send(flow, FLAG_ACK, ID_BYTES);
}

static void
client_answered(flow_t *flow, const packet_t *p)
{
	if (p->sequence != flow->acknowledged)
		return;
	flow->acknowledged += p->len;
	flow->sequence += ID_BYTES;
	client_send(flow, FLAG_ACK | FLAG_FIN, 0);
	end_request(flow,
	    p->request_id == flow->request_id ? "answered" : "foreign answer",
	    &answered);
}

static void
client_packet(const packet_t *p)
{
	flow_t *flow = flows[p->destination_port];

	if (flow == NULL || flow->phase == PHASE_DONE)
		return;
	if (p->flags & FLAG_RST) {
		if (flow->phase == PHASE_OPENING)
			end_request(flow, "refused", &refused);
		else
			end_request(flow, "reset while open", &reset_open);
		return;
	}
	if (flow->phase == PHASE_OPENING && p->flags == (FLAG_SYN | FLAG_ACK))
		client_opened(flow, p);
	else if (flow->phase == PHASE_OPEN && p->len >= ID_BYTES)
		client_answered(flow, p);
}

static void
read_client(void)
{
	uint8_t buf[MAX_DATAGRAM];
	packet_t p;
	ssize_t n;

	while ((n = recv(client_fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
		if (packet_read(buf, (size_t)n, &p))
			client_packet(&p);
}

static void
run_client_timer(flow_t *flow, int64_t now)
{
	int64_t age_us = now - flow->started_us;

	if (flow->phase == PHASE_OPENING && age_us >= OPEN_TIMEOUT_US)
		end_request(flow, "not opened", &unanswered);
	else if (age_us >= REQUEST_TIMEOUT_US)
		end_request(flow, "no answer", &unanswered);
	else if (flow->phase == PHASE_OPENING) {
		flow->copies++;
		client_send(flow, FLAG_SYN, 0);
		flow->retry_us = flow->started_us +
		    (flow->copies == 1 ? SECOND_COPY_US : OPEN_TIMEOUT_US);
	} else {
		client_send(flow, FLAG_ACK, ID_BYTES);
		flow->retry_us = now + 2 * DATA_RETRY_US;
	}
}

/* Runs the timers of clients and upstreams. */
static void
run_flows(void)
{
	int64_t now = now_us();
	int i, k, kept = 0;

	for (i = 0; i < active_count; i++) {
		flow_t *flow = flows[active[i]];

		if (flow->phase != PHASE_DONE && now >= flow->retry_us)
			run_client_timer(flow, now);
		for (k = 0; k < flow->held_count; k++) {
			held_flow_t *h = &flow->held[k];

			if (h->answer_due_us == 0 || now < h->answer_due_us)
				continue;
			h->answer_due_us =
			    flow->phase == PHASE_OPEN ? now + DATA_RETRY_US : 0;
			if (flow->phase == PHASE_OPEN)
				send_answer(flow, h);
		}
		if (flow->phase != PHASE_DONE)
			active[kept++] = active[i];
	}
	active_count = kept;
}

/*
 * The platform: readiness checks, and signals to the VMs.
 */

static bool
is_ready(const vm_t *vm)
{
	static const char request[] =
	    "GET /knapweedfield/readiness HTTP/1.1\r\nHost: vm\r\n"
	    "Connection: close\r\n\r\n";
	struct timeval timeout = { .tv_usec = CHECK_TIMEOUT_US };
	struct sockaddr_in sin = make_address(vm->ip, READY_PORT);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char answer[64];
	ssize_t n = -1;

	if (fd < 0)
		give_up("socket");
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0 &&
	    send(fd, request, strlen(request), MSG_NOSIGNAL) > 0)
		n = recv(fd, answer, sizeof(answer) - 1, 0);
	close(fd);
	if (n <= 0)
		return false;
	answer[n] = '\0';
	return strncmp(answer, "HTTP/1.1 200", 12) == 0;
}

static void
check_vm(vm_t *vm)
{
	vm->next_check_us = now_us() + CHECK_INTERVAL_US;
	if (is_ready(vm)) {
		vm->misses = 0;
		if (vm->in_rotation)
			return;
		vm->in_rotation = true;
		vm->in_rotation_since_us = now_us();
		note("router: %s in rotation", vm->name);
	} else if (vm->in_rotation && ++vm->misses == 2) {
		vm->in_rotation = false;
		note("router: %s out of rotation", vm->name);
	}
}

static void
run_checks(void)
{
	int i;

	for (i = 0; i < vm_count; i++)
		if (now_us() >= vms[i].next_check_us) {
			check_vm(&vms[i]);
			return; /* at most one a turn, as it may block */
		}
}

static void
signal_vm(const vm_t *vm, int signal_number, const char *what)
{
	FILE *file = fopen(vm->pid_file, "r");
	int pid = 0;

	if (file == NULL || fscanf(file, "%d", &pid) != 1 || pid <= 1 ||
	    kill(pid, signal_number) != 0)
		give_up("signal to a VM");
	fclose(file);
	note("platform: %s %s", vm->name, what);
}

/*
 * Scenario "paged": all VMs are killed at once while upstreams are draining.
 * A listing of the store that may be stale has two pages.
 */

static bool drained;

/* The upstreams that drain are spread evenly over the service. */
static void
drain_upstreams(void)
{
	int64_t now = now_us();
	int i, done = 0;

	for (i = 0; i < scenario->upstream_counts[0];
	     i += scenario->drain_every) {
		upstream_t *u = &upstreams[i];

		u->draining_us = publish_upstream(u, true, now);
		note("store: %s is draining, revision=%llu", u->key,
		    (unsigned long long)revision);
		done++;
	}
	note("store: %d upstreams of %s drain", done, scenario->services[0]);
	drained = true;
}

static void
paged_step(int64_t age_us)
{
	int i;

	if (!drained && age_us >= 7 * S)
		drain_upstreams();
	if (trouble && killed_us == 0 && age_us >= 7 * S + 300 * MS) {
		killed_us = now_us();
		for (i = 0; i < vm_count; i++)
			signal_vm(&vms[i], SIGKILL, "killed");
	}
}

static int
drain_verdict(void)
{
	note("judged: %lu requests that reached upstreams that drain, later "
	     "than DrainMs after the acknowledgement, through VMs in touch",
	    broken);
	return broken > 0 ? RULE_BROKEN : RULE_HELD;
}

/* DRAIN, judged by the opening packet that the upstream took. */
static void
check_drain(const flow_t *flow, const held_flow_t *h)
{
	const upstream_t *u = h->upstream;
	const vm_t *vm = &vms[flow->vm];

	if (scenario->drain_us == 0 || u->draining_us == 0)
		return;
	judged++;
	/* A VM was started before it came into rotation. */
	if (h->syn_arrived_us - u->draining_us <= scenario->drain_us ||
	    h->syn_arrived_us - vm->in_rotation_since_us <=
		scenario->stability_us)
		return;
	broken++;
	note("DRAIN broken: request=%llu upstream=%s drains_for_ms=%lld "
	     "vm=%s in_rotation_for_ms=%lld",
	    (unsigned long long)flow->request_id, u->key,
	    (long long)(h->syn_arrived_us - u->draining_us) / MS, vm->name,
	    (long long)(h->syn_arrived_us - vm->in_rotation_since_us) / MS);
}

/*
 * Scenarios "survivor" and "thaw": most VMs are lost, and right after that
 * upstreams begin to drain.  In "survivor" the configuration changes shortly
 * before; in "thaw" one of the VMs left is frozen meanwhile.
 */

enum {
	CHANGE_AT_US = 6900 * MS,
	KILL_AT_US = 7 * S,
	DRAIN_AT_US = KILL_AT_US + 20 * MS,
	/* kowhai-refill has freezes of 4 s. */
	FREEZE_AT_US = 5 * S,
	THAW_AT_US = FREEZE_AT_US + 3500 * MS,
};

/* Scenario "source" checks CONFIG. */
enum {
	/* Routes before this one are not dropped. */
	FIRST_DROPPED = 2,
	APPLY_US = 3000 * MS,
	PROBE_UNTIL_US = 3900 * MS,
	PROBE_INTERVAL_US = 5 * MS,
};

static void
drop_route(int route)
{
	routes[route].dropped_us = now_us();
	publish_config(routes[route].dropped_us);
	note("store: version %llu drops route r-%d, revision=%llu",
	    (unsigned long long)config_version, route,
	    (unsigned long long)revision);
}

/* Sends flows with routes that were dropped to the VM in touch. */
static void
probe_dropped_routes(void)
{
	static int64_t next_us;
	int64_t now = now_us();
	int i;

	if (now < next_us)
		return;
	next_us = now + PROBE_INTERVAL_US;
	for (i = 0; i < scenario->route_count; i++) {
		int64_t age_us = now - routes[i].dropped_us;

		if (routes[i].dropped_us != 0 && age_us > APPLY_US &&
		    age_us < PROBE_UNTIL_US)
			begin_request(i, scenario->calm_vm, true);
	}
}

static void
lose_vms(int64_t age_us)
{
	static bool frozen, thawed;
	int i;

	if (scenario->frozen_vm >= 0 && !frozen && age_us >= FREEZE_AT_US) {
		signal_vm(&vms[scenario->frozen_vm], SIGSTOP, "frozen");
		frozen = true;
	}
	if (frozen && !thawed && age_us >= THAW_AT_US) {
		signal_vm(&vms[scenario->frozen_vm], SIGCONT, "wakes");
		thawed = true;
	}
	if (killed_us != 0 || age_us < KILL_AT_US)
		return;
	killed_us = now_us();
	for (i = 0; i < vm_count; i++)
		if (i != scenario->calm_vm && i != scenario->frozen_vm)
			signal_vm(&vms[i], SIGKILL, "killed");
}

static void
loss_step(int64_t age_us)
{
	static bool changed;

	if (!changed && scenario->frozen_vm < 0 && age_us >= CHANGE_AT_US) {
		drop_route(FIRST_DROPPED);
		changed = true;
	}
	if (!drained && age_us >= DRAIN_AT_US)
		drain_upstreams();
	if (trouble)
		lose_vms(age_us);
}

static int
config_verdict(void)
{
	note("judged: %lu requests with routes dropped for longer than ApplyMs "
	     "were run, through the VM in touch",
	    broken);
	return broken > 0 ? RULE_BROKEN : RULE_HELD;
}

/* CONFIG, judged by the opening packet that the upstream took. */
static void
check_config(const flow_t *flow)
{
	int64_t dropped_us = routes[flow->route].dropped_us;

	if (dropped_us == 0 || flow->started_us - dropped_us <= APPLY_US ||
	    flow->vm != scenario->calm_vm)
		return;
	broken++;
	note("CONFIG broken: request=%llu route=r-%d vm=%s "
	     "sent_after_acknowledgement_ms=%.1f",
	    (unsigned long long)flow->request_id, flow->route,
	    vms[flow->vm].name, (double)(flow->started_us - dropped_us) / MS);
}

/*
 * Scenario "source": the VM that watches the store for its zone freezes right
 * after a change of the configuration.  Each trial freezes it a little later
 * after the store's acknowledgement.
 */

enum {
	TRIALS = 20,
	TRIAL_US = 5 * S,
	FIRST_TRIAL_US = 6 * S,
	/* Time between the two changes of a trial. */
	SECOND_CHANGE_US = 100 * MS,
	FIRST_FREEZE_DELAY_US = 300,
	FREEZE_DELAY_STEP_US = 180,
	FREEZE_US = 3500 * MS,
	WATCHING_VM = 0,
	/* 110 routes without traffic, and big_config with 350 more. */
	SOURCE_ROUTES = 120,
};

typedef struct trial {
	int number;
	int changes;
	int64_t changed_us;
	int64_t frozen_us; /* 0: not yet */
} trial_t;

static void
freeze_after_change(trial_t *t)
{
	int64_t due_us = t->changed_us + FIRST_FREEZE_DELAY_US +
	    (int64_t)t->number * FREEZE_DELAY_STEP_US;

	run_watches();
	while (now_us() < due_us)
		;
	signal_vm(&vms[WATCHING_VM], SIGSTOP, "frozen");
	t->frozen_us = now_us();
	note("platform: %.1f ms after the acknowledgement",
	    (double)(t->frozen_us - t->changed_us) / MS);
}

static void
source_step(int64_t age_us)
{
	static trial_t t;
	int64_t at_us = FIRST_TRIAL_US + (int64_t)t.number * TRIAL_US;
	int route = FIRST_DROPPED + 2 * t.number;

	probe_dropped_routes();
	if (t.number == TRIALS)
		return;
	if (t.changes == 0 && age_us >= at_us) {
		drop_route(route);
		t.changes = 1;
	} else if (t.changes == 1 && age_us >= at_us + SECOND_CHANGE_US) {
		drop_route(route + 1);
		t.changed_us = routes[route + 1].dropped_us;
		t.changes = 2;
		if (trouble)
			freeze_after_change(&t);
	} else if (t.changes == 2 && now_us() >= t.changed_us + FREEZE_US) {
		if (trouble)
			signal_vm(&vms[WATCHING_VM], SIGCONT, "wakes");
		t = (trial_t){ .number = t.number + 1 };
	}
}

/* Checks the rule of the scenario when an upstream begins a request. */
static void
check_run(const flow_t *flow, const held_flow_t *h)
{
	if (scenario->drain_us > 0)
		check_drain(flow, h);
	else
		check_config(flow);
}

static const char *const kowhai_zones[] = { "akl-a", "akl-b", "akl-c" };
static const char *const kowhai_services[] = { "orders", "certs" };
static const int large_counts[] = { 480, 120 };
static const int small_counts[] = { 14, 4 };

static const scenario_t scenarios[] = {
	{
	    .name = "paged",
	    .zones = kowhai_zones,
	    .zone_count = 3,
	    .services = kowhai_services,
	    .upstream_counts = large_counts,
	    .requests_per_s = 200,
	    .route_count = 2,
	    .length_us = 24 * S,
	    .calm_vm = -1,
	    .frozen_vm = -1,
	    .drain_us = 6 * S,
	    .stability_us = 6 * S,
	    .drain_every = 6,
	    .step = paged_step,
	    .verdict = drain_verdict,
	},
	{
	    /* The VM left is the last one of a zone with four VMs: it has the
	     * highest address. */
	    .name = "survivor",
	    .zones = kowhai_zones,
	    .zone_count = 3,
	    .services = kowhai_services,
	    .upstream_counts = small_counts,
	    .requests_per_s = 300,
	    .route_count = FIRST_DROPPED + 1,
	    .length_us = 15 * S,
	    .calm_vm = 3,
	    .frozen_vm = -1,
	    .drain_us = 3 * S,
	    .stability_us = 4 * S,
	    .drain_every = 7,
	    .step = loss_step,
	    .verdict = drain_verdict,
	},
	{
	    /* The VMs left are the second one of a zone with three VMs, and
	     * the third, which is frozen. */
	    .name = "thaw",
	    .zones = kowhai_zones,
	    .zone_count = 3,
	    .services = kowhai_services,
	    .upstream_counts = small_counts,
	    .requests_per_s = 300,
	    .route_count = FIRST_DROPPED,
	    .length_us = 15 * S,
	    .calm_vm = 1,
	    .frozen_vm = 2,
	    .drain_us = 3 * S,
	    .stability_us = 4 * S,
	    .drain_every = 7,
	    .step = loss_step,
	    .verdict = drain_verdict,
	},
	{
	    /* The VM checked is the last one of a zone with four VMs. */
	    .name = "source",
	    .zones = kowhai_zones,
	    .zone_count = 3,
	    .services = kowhai_services,
	    .upstream_counts = small_counts,
	    .requests_per_s = 100,
	    .route_count = SOURCE_ROUTES,
	    .length_us = FIRST_TRIAL_US + TRIALS * TRIAL_US,
	    .calm_vm = 3,
	    .frozen_vm = -1,
	    .step = source_step,
	    .verdict = config_verdict,
	},
	{ 0 },
};

static void
add_upstream(int service, int number)
{
	upstream_t *u = &upstreams[upstream_count];
	char ip[24];

	u->service = service;
	u->zone = number % scenario->zone_count;
	u->id = random_u32();
	snprintf(u->key, sizeof(u->key), "servers/i-%08llx",
	    (unsigned long long)u->id);
	snprintf(ip, sizeof(ip), "%s.%d", net, 60 + u->zone);
	snprintf(u->address, sizeof(u->address), "%s:%d", ip,
	    UPSTREAM_PORT + upstream_count);
	u->fd = open_socket(SOCK_DGRAM, ip, UPSTREAM_PORT + upstream_count);
	watch_fd(u->fd, (uint32_t)(TAG_UPSTREAM + upstream_count));
	item_add(u->key);
	upstream_count++;
}

/* Opens all sockets and writes what has stood in the store for a minute. */
static void
open_world(void)
{
	int64_t before_us = now_us() - 60 * (int64_t)S;
	char ip[32];
	int i, k;

	for (i = 0; i < MAX_CONNECTIONS; i++)
		connections[i].fd = -1;
	epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	snprintf(ip, sizeof(ip), "%s.100", net);
	store_fd = open_socket(SOCK_STREAM, ip, STORE_PORT);
	if (listen(store_fd, MAX_CONNECTIONS) != 0)
		give_up("listen");
	watch_fd(store_fd, TAG_STORE);
	snprintf(ip, sizeof(ip), "%s.50", net);
	client_fd = open_socket(SOCK_DGRAM, ip, PACKET_PORT);
	watch_fd(client_fd, TAG_CLIENT);
	item_add("op/config");
	for (i = 0; i < 2; i++)
		for (k = 0; k < scenario->upstream_counts[i]; k++)
			add_upstream(i, k);
	for (i = 0; i < upstream_count; i++)
		publish_upstream(&upstreams[i], false, before_us);
	for (i = 0; i < scenario->route_count; i++)
		routes[i].service = i % 2;
	publish_config(before_us);
}

static void
handle_event(uint32_t tag)
{
	if (tag == TAG_STORE)
		accept_connection();
	else if (tag == TAG_CLIENT)
		read_client();
	else if (tag < TAG_UPSTREAM)
		read_connection(&connections[tag - TAG_CONNECTION]);
	else
		read_upstream(&upstreams[tag - TAG_UPSTREAM]);
}

static bool
all_in_rotation(void)
{
	int i;

	for (i = 0; i < vm_count; i++)
		if (!vms[i].in_rotation)
			return false;
	return true;
}

/* Makes requests, three of four on the first route. */
static void
run_requests(void)
{
	int64_t now = now_us();

	if (now < next_request_us)
		return;
	next_request_us = now + S / scenario->requests_per_s;
	begin_request(random_u32() % 4 == 0 ? 1 : 0, -1, false);
}

static void
run_turn(void)
{
	struct epoll_event events[MAX_EVENTS];
	int i, n = epoll_wait(epoll_fd, events, MAX_EVENTS, 1);

	for (i = 0; i < n; i++)
		handle_event(events[i].data.u32);
	run_watches();
	run_flows();
	run_checks();
	if (started_us == 0)
		return;
	run_requests();
	scenario->step(now_us() - started_us);
}

static int
run_world(void)
{
	origin_us = now_us();
	open_world();
	while (started_us == 0) {
		run_turn();
		if (all_in_rotation())
			started_us = now_us();
		else if (now_us() - origin_us > START_TIMEOUT_US)
			give_up("VMs are not ready");
	}
	note("router: all %d VMs in rotation", vm_count);
	while (now_us() - started_us < scenario->length_us)
		run_turn();
	note("total: sent=%lu answered=%lu refused=%lu unanswered=%lu "
	     "reset_open=%lu judged=%lu broken=%lu",
	    sent, answered, refused, unanswered, reset_open, judged, broken);
	if (answered == 0)
		give_up("no request was answered");
	return scenario->verdict();
}

/* An argument NAME,IP,ZONE,PIDFILE. */
static bool
add_vm(const char *arg)
{
	vm_t *vm = &vms[vm_count];

	if (vm_count == MAX_VMS ||
	    sscanf(arg, "%15[^,],%15[^,],%d,%255s", vm->name, vm->ip, &vm->zone,
		vm->pid_file) != 4)
		return false;
	vm_count++;
	return true;
}

/* review-world SCENARIO TROUBLE NET RECORD VM ... */
int
main(int argc, char **argv)
{
	int i, status;

	if (argc < 6)
		return NOT_RUN;
	for (i = 0; scenarios[i].name != NULL; i++)
		if (strcmp(scenarios[i].name, argv[1]) == 0)
			scenario = &scenarios[i];
	trouble = strcmp(argv[2], "0") != 0;
	snprintf(net, sizeof(net), "%s", argv[3]);
	record = fopen(argv[4], "w");
	if (scenario == NULL || record == NULL)
		return NOT_RUN;
	for (i = 5; i < argc; i++)
		if (!add_vm(argv[i]))
			return NOT_RUN;
	status = run_world();
	fclose(record);
	return status;
}
