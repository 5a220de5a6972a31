/*
 * Backends, and clients with their flows.
 */
#include <sys/socket.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "world.h"

enum {
	HEADER_BYTES = 32,
	PREFIX_BYTES = 8,
	FLAG_SYN = 1,
	FLAG_ACK = 4,
	FLAG_FIN = 64,
	FLAG_RST = 128,
	BACKEND_PORT = 8080,
	CLIENT_HOST = 200,
	FIRST_PORT = 2000,
	FIRST_COPY_MS = 200,
	SECOND_COPY_MS = 600,
	OPEN_MS = 1400,
	RETRY_MS = 200,
	MAX_RETRY_MS = 1600,
	DEADLINE_MS = 4000,
	RESET_WINDOW = 76800,
	MAX_REQUESTS = 400000,
	MAX_SOURCES = 16,
	FIN_MS = 1000,
};

typedef struct packet {
	uint32_t seq;
	uint32_t ack;
	uint8_t flags;
	uint32_t src;
	uint32_t dst;
	uint16_t dport;
	uint16_t sport;
	uint32_t echo;
	uint32_t sum;
	size_t len;
	const uint8_t *data;
} packet_t;

/* A flow at a backend. */
typedef struct backend_flow {
	bool open;
	uint32_t client_seq; /* of its SYN */
	uint32_t seq;	     /* next of the backend */
	uint32_t expected;   /* next of the client */
	uint32_t echo;
	uint32_t src;
	uint32_t dst;
	uint16_t dport;
	uint16_t sport;
	uint32_t request; /* id in progress or answered last */
	bool queued;
	int64_t done_ms; /* 0: not at work */
	bool answered;
	char answer[160];
	size_t answer_len;
	uint32_t answer_seq;
} backend_flow_t;

typedef enum phase {
	PHASE_FREE = 0,
	PHASE_OPENING,
	PHASE_WAITING, /* for the answer */
	PHASE_PAUSE,   /* between two requests of a long flow */
	PHASE_CLOSING,
} phase_t;

/* A flow at a client; its index is the client's port. */
typedef struct client_flow {
	phase_t phase;
	int route;
	char zone[NAME_BYTES];
	int pause_ms; /* 0: one request */
	int request;  /* index */
	uint32_t seq;
	uint32_t ack;
	uint32_t echo;
	uint32_t copies;
	int64_t started_ms;
	int64_t next_ms;
	int retry_ms;
	char data[160];
	size_t data_len;
} client_flow_t;

typedef struct source {
	int route;
	char zone[NAME_BYTES];
	double per_s;
	double due_ms;
} source_t;

backend_t backends[MAX_BACKENDS];
int backend_count;
route_t routes[MAX_ROUTES];
int route_count;
request_t *requests;
int request_count;
unsigned damaged_at_backends, damaged_at_clients;

static client_flow_t *flows; /* by port */
static int next_port = FIRST_PORT;
static source_t sources[MAX_SOURCES];
static int source_count;
static int client_fd = -1;
static int client_udp_port;

static void
put16(uint8_t *p, uint16_t v)
{
	p[0] = (uint8_t)(v >> 8);
	p[1] = (uint8_t)v;
}

static void
put32(uint8_t *p, uint32_t v)
{
	put16(p, (uint16_t)(v >> 16));
	put16(p + 2, (uint16_t)v);
}

static uint16_t
get16(const uint8_t *p)
{
	return (uint16_t)(p[0] << 8 | p[1]);
}

static uint32_t
get32(const uint8_t *p)
{
	return (uint32_t)get16(p) << 16 | get16(p + 2);
}

static uint32_t
hash_bytes(uint32_t hash, const uint8_t *bytes, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++)
		hash = (hash ^ bytes[i]) * 16777619U;
	return hash;
}

/* The keyed sum: of all fields but echo, pad and sum, and of the data. */
static uint32_t
packet_sum(const uint8_t *bytes, size_t len)
{
	uint32_t hash = 0x5eed1234U;

	hash = hash_bytes(hash, bytes, 9);
	hash = hash_bytes(hash, bytes + 10, 12);
	hash = hash_bytes(hash, bytes + 26, 2);
	hash = hash_bytes(hash, bytes + HEADER_BYTES, len - HEADER_BYTES);
	return hash == 0 ? 1 : hash;
}

static size_t
packet_write(const packet_t *p, uint8_t out[PACKET_BYTES])
{
	memset(out, 0, HEADER_BYTES);
	put32(out, p->seq);
	put32(out + 4, p->ack);
	out[8] = p->flags;
	put32(out + 10, p->src);
	put32(out + 14, p->dst);
	put16(out + 18, p->dport);
	put16(out + 20, p->sport);
	put32(out + 22, p->echo);
	put16(out + 26, (uint16_t)p->len);
	if (p->len > 0)
		memcpy(out + HEADER_BYTES, p->data, p->len);
	put32(out + 28, packet_sum(out, HEADER_BYTES + p->len));
	return HEADER_BYTES + p->len;
}

static bool
packet_read(const uint8_t *in, size_t len, packet_t *p)
{
	if (len < HEADER_BYTES || get16(in + 26) != len - HEADER_BYTES)
		return false;
	*p = (packet_t){
		.seq = get32(in),
		.ack = get32(in + 4),
		.flags = in[8],
		.src = get32(in + 10),
		.dst = get32(in + 14),
		.dport = get16(in + 18),
		.sport = get16(in + 20),
		.echo = get32(in + 22),
		.sum = get32(in + 28),
		.len = len - HEADER_BYTES,
		.data = in + HEADER_BYTES,
	};
	return true;
}

static bool
has_sum(const uint8_t *in, size_t len, const packet_t *p)
{
	return p->sum == packet_sum(in, len);
}

static void
send_to(int fd, uint32_t ip, int port, const uint8_t *bytes, size_t len)
{
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = htonl(ip),
	};

	(void)!sendto(
	    fd, bytes, len, MSG_DONTWAIT, (struct sockaddr *)&to, sizeof(to));
}

/* Backends */

static void
backend_send(const backend_t *b, const backend_flow_t *f, uint8_t flags,
    uint32_t seq, const char *data, size_t len)
{
	uint8_t out[PACKET_BYTES];
	packet_t p = {
		.seq = seq,
		.ack = f->expected,
		.flags = flags,
		.src = f->dst,
		.dst = f->src,
		.dport = f->sport,
		.sport = f->dport,
		.echo = f->echo,
		.len = len,
		.data = (const uint8_t *)data,
	};

	send_to(b->udp_fd, f->src, client_udp_port, out, packet_write(&p, out));
}

static void
backend_reset(const backend_t *b, const packet_t *p)
{
	backend_flow_t f = {
		.src = p->src,
		.dst = p->dst,
		.dport = p->dport,
		.sport = p->sport,
		.echo = p->echo,
		.expected = p->seq,
	};

	backend_send(b, &f, FLAG_RST, p->ack, NULL, 0);
}

static request_t *
find_request(uint32_t id)
{
	return id == 0 || (int)id > request_count ? NULL : &requests[id - 1];
}

static bool
has_cold_start(const backend_t *b)
{
	return b->cold_until_ms > now_ms();
}

/* The entry in the store, without Seq. */
static void
entry_text(const backend_t *b, const char *seq, char *out, size_t size)
{
	int64_t cold = has_cold_start(b) ? b->cold_until_ms - now_ms() : 0;

	snprintf(out, size,
	    "{\"Service\":\"%s\",\"Address\":\"%s:%d\",\"Zone\":\"%s\","
	    "\"Version\":\"v1\",\"Slots\":%d,\"State\":\"ready\","
	    "\"ColdLeftMs\":%lld,%s\"born\":%lld}",
	    b->service, ip_text(b->host), BACKEND_PORT, b->zone, b->slots,
	    (long long)cold, seq, (long long)b->born_ms);
}

/* Removes "Seq":N, from an entry. */
static void
without_seq(const char *entry, char *out, size_t size)
{
	const char *seq = strstr(entry, "\"Seq\":");
	const char *rest = seq == NULL ? NULL : strchr(seq, ',');

	if (rest == NULL)
		snprintf(out, size, "%s", entry);
	else
		snprintf(
		    out, size, "%.*s%s", (int)(seq - entry), entry, rest + 1);
}

static const char *
entry_key(const backend_t *b)
{
	static char key[NAME_BYTES + 16];

	snprintf(key, sizeof(key), "servers/%s", b->id);
	return key;
}

/* Writes the entry if more than its Seq changes. */
static void
publish(backend_t *b)
{
	char seq[32], entry[512], wanted[512], present[512];
	const char *stored = store_get(entry_key(b));

	b->next_beat_ms = now_ms() + bounds.heartbeat_ms;
	b->seq++;
	entry_text(b, "", wanted, sizeof(wanted));
	if (stored != NULL) {
		without_seq(stored, present, sizeof(present));
		if (strcmp(present, wanted) == 0)
			return;
	}
	snprintf(seq, sizeof(seq), "\"Seq\":%lld,", (long long)b->seq);
	entry_text(b, seq, entry, sizeof(entry));
	store_put(entry_key(b), entry);
}

static void
start_work(backend_t *b, backend_flow_t *f)
{
	request_t *r = find_request(f->request);

	b->queued -= f->queued;
	f->queued = false;
	f->done_ms = now_ms() + b->work_ms;
	b->busy++;
	record(
	    "run id=%u backend=%s service=%s", f->request, b->id, b->service);
	if (r == NULL)
		return;
	r->runs++;
	r->ran_at = (int)(b - backends);
	if (r->arrived_ms == 0)
		r->arrived_ms = now_ms();
}

static void
finish_work(backend_t *b, backend_flow_t *f)
{
	b->busy--;
	f->done_ms = 0;
	f->answered = true;
	f->answer_len = (size_t)snprintf(f->answer, sizeof(f->answer),
	    "HTTP/1.1 200 OK\r\nX-Response-Signature: %s\r\n"
	    "X-Request-Id: %u\r\nContent-Length: 2\r\n\r\nok",
	    b->id, f->request);
	f->answer_seq = f->seq;
	f->seq += (uint32_t)f->answer_len;
	backend_send(b, f, FLAG_ACK, f->answer_seq, f->answer, f->answer_len);
}

static void
backend_tick(backend_t *b)
{
	int port;

	if (now_ms() >= b->next_beat_ms)
		publish(b);
	for (port = FIRST_PORT;
	     port < next_port && (b->busy > 0 || b->queued > 0); port++) {
		backend_flow_t *f = b->flows[port];

		if (f == NULL)
			continue;
		if (f->done_ms != 0 && now_ms() >= f->done_ms)
			finish_work(b, f);
		if (f->queued && b->busy < b->slots)
			start_work(b, f);
	}
}

static void
on_backend_syn(backend_t *b, const packet_t *p)
{
	backend_flow_t *f = b->flows[p->sport];

	if (f == NULL || f->client_seq != p->seq) {
		if (f == NULL)
			f = calloc(1, sizeof(*f));
		if (f == NULL)
			cannot_run("out of memory");
		*f = (backend_flow_t){
			.client_seq = p->seq,
			.expected = p->seq + 1,
			.seq = random_u32(),
			.src = p->src,
			.dst = p->dst,
			.dport = p->dport,
			.sport = p->sport,
		};
		b->flows[p->sport] = f;
	}
	f->echo = p->echo;
	if (!f->open)
		backend_send(b, f, FLAG_SYN | FLAG_ACK, f->seq, NULL, 0);
}

static void
on_backend_data(backend_t *b, backend_flow_t *f, const packet_t *p)
{
	const char *id;
	char text[PACKET_BYTES];

	if (p->seq != f->expected) { /* a copy */
		if (f->answered)
			backend_send(b, f, FLAG_ACK, f->answer_seq, f->answer,
			    f->answer_len);
		return;
	}
	snprintf(
	    text, sizeof(text), "%.*s", (int)p->len, (const char *)p->data);
	id = strstr(text, "X-Request-Id: ");
	f->expected += (uint32_t)p->len;
	f->request = id == NULL ? 0 : (uint32_t)strtoul(id + 14, NULL, 10);
	f->answered = false;
	if (b->busy < b->slots)
		start_work(b, f);
	else {
		f->queued = true;
		b->queued++;
	}
}

/* Discards a flow. */
static void
drop_flow(backend_t *b, int port)
{
	backend_flow_t *f = b->flows[port];

	if (f == NULL)
		return;
	b->busy -= f->done_ms != 0;
	b->queued -= f->queued;
	free(f);
	b->flows[port] = NULL;
}

/* Counts, for the flow's request, whose backend got the packet. */
static void
count_packet(const backend_t *b, const packet_t *p)
{
	const client_flow_t *c = &flows[p->sport];
	request_t *r;

	if (c->phase == PHASE_FREE || c->phase == PHASE_OPENING)
		return;
	r = &requests[c->request];
	if (r->flow_backend < 0)
		return;
	if (r->flow_backend == (int)(b - backends)) {
		r->other_packets = 0;
		return;
	}
	if (r->other_packets++ == 0)
		r->other_from_ms = now_ms();
	if (r->other_packets >= 3 &&
	    now_ms() - r->other_from_ms > r->other_longest_ms)
		r->other_longest_ms = now_ms() - r->other_from_ms;
}

static void
on_backend_packet(backend_t *b, const packet_t *p)
{
	backend_flow_t *f = b->flows[p->sport];

	if (p->flags == FLAG_SYN) {
		on_backend_syn(b, p);
		return;
	}
	count_packet(b, p);
	if (p->flags & FLAG_RST) {
		drop_flow(b, p->sport);
		return;
	}
	if (f == NULL || (!f->open && p->ack != f->seq + 1)) {
		record("backend_reset backend=%s port=%u", b->id, p->sport);
		backend_reset(b, p);
		return;
	}
	f->echo = p->echo;
	if (!f->open) {
		f->open = true;
		f->seq++;
		if (flows[p->sport].phase != PHASE_FREE)
			requests[flows[p->sport].request].flow_backend =
			    (int)(b - backends);
	}
	if (p->len > 0)
		on_backend_data(b, f, p);
	if (p->flags & FLAG_FIN) {
		f->expected++;
		backend_send(b, f, FLAG_FIN | FLAG_ACK, f->seq, NULL, 0);
		drop_flow(b, p->sport);
	}
}

static void
on_backend_datagram(void *ctx, int fd)
{
	uint8_t in[PREFIX_BYTES + PACKET_BYTES + 1];
	backend_t *b = ctx;
	packet_t p;
	ssize_t n;

	while ((n = recv(fd, in, sizeof(in), MSG_DONTWAIT)) >= 0) {
		uint64_t number;

		if (n < PREFIX_BYTES + HEADER_BYTES) {
			damaged_at_backends++;
			continue;
		}
		number = (uint64_t)get32(in) << 32 | get32(in + 4);
		if (!packet_read(
			in + PREFIX_BYTES, (size_t)n - PREFIX_BYTES, &p) ||
		    !has_sum(in + PREFIX_BYTES, (size_t)n - PREFIX_BYTES, &p)) {
			damaged_at_backends++;
			continue;
		}
		if (number == 0 || number == b->number)
			on_backend_packet(b, &p);
	}
}

static void
on_health_data(void *ctx, int fd)
{
	static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
				     "Connection: close\r\n\r\n";
	char in[512];

	(void)ctx;
	if (recv(fd, in, sizeof(in), MSG_DONTWAIT) > 0)
		(void)!send(fd, answer, sizeof(answer) - 1, MSG_NOSIGNAL);
	unwatch(fd);
	close(fd);
}

static void
on_health(void *ctx, int fd)
{
	int connection = accept(fd, NULL, NULL);

	if (connection >= 0)
		watch(connection, on_health_data, ctx);
}

int
backend_add(const char *id, const char *service, const char *zone, int slots,
    int work_ms)
{
	backend_t *b = &backends[backend_count];
	const char *dash = strchr(id, '-');

	if (backend_count == MAX_BACKENDS)
		cannot_run("too many backends");
	*b = (backend_t){
		.host = 11 + backend_count,
		.slots = slots,
		.work_ms = work_ms,
		.udp_fd = -1,
		.tcp_fd = -1,
	};
	b->flows = calloc(PORTS, sizeof(backend_flow_t *));
	snprintf(b->id, sizeof(b->id), "%s", id);
	snprintf(b->service, sizeof(b->service), "%s", service);
	snprintf(b->zone, sizeof(b->zone), "%s", zone);
	b->number = strtoull(dash == NULL ? id : dash + 1, NULL, 16);
	if (b->flows == NULL)
		cannot_run("out of memory");
	return backend_count++;
}

void
backend_start(int i, int64_t cold_ms)
{
	backend_t *b = &backends[i];

	b->udp_fd = udp_open(b->host, BACKEND_PORT);
	b->tcp_fd = tcp_listen(b->host, BACKEND_PORT);
	watch(b->udp_fd, on_backend_datagram, b);
	watch(b->tcp_fd, on_health, b);
	b->runs = true;
	b->born_ms = wall_ms();
	b->seq = 0;
	b->busy = 0;
	b->cold_from_ms = now_ms();
	b->cold_until_ms = cold_ms > 0 ? now_ms() + cold_ms : 0;
	record("backend start id=%s service=%s host=%d cold_ms=%lld", b->id,
	    b->service, b->host, (long long)cold_ms);
	publish(b);
}

void
backend_turn_cold(int i, int64_t cold_ms)
{
	backend_t *b = &backends[i];

	b->cold_from_ms = now_ms();
	b->cold_until_ms = now_ms() + cold_ms;
	publish(b);
}

int
route_add(const char *name, const char *service, int host, int port, bool safe,
    const char *extra)
{
	route_t *r = &routes[route_count];

	if (route_count == MAX_ROUTES)
		cannot_run("too many routes");
	*r = (route_t){ .host = host, .port = port, .safe = safe };
	snprintf(r->name, sizeof(r->name), "%s", name);
	snprintf(r->service, sizeof(r->service), "%s", service);
	snprintf(r->extra, sizeof(r->extra), "%s", extra);
	return route_count++;
}

void
config_put(int version, const char *services_json)
{
	char text[16384];
	size_t len;
	int i;

	len = (size_t)snprintf(
	    text, sizeof(text), "{\"Version\":%d,\"Routes\":[", version);
	for (i = 0; i < route_count; i++)
		if (!routes[i].dropped)
			len += (size_t)snprintf(text + len, sizeof(text) - len,
			    "%s{\"Name\":\"%s\",\"Host\":\"%s\",\"Prefix\":\"/"
			    "%d/\","
			    "\"Type\":\"%s\",\"TimeoutMs\":2000,"
			    "\"LatencyGoalMs\":250,"
			    "\"Priority\":1,%s,\"MaxAttempts\":2}",
			    i > 0 ? "," : "", routes[i].name,
			    ip_text(routes[i].host), routes[i].port,
			    routes[i].safe ? "safe" : "unsafe",
			    routes[i].extra);
	snprintf(text + len, sizeof(text) - len,
	    "],\"Services\":[%s],\"Limits\":{\"MaxHeaderBytes\":16384,"
	    "\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,"
	    "\"IdleTimeoutMs\":15000}}",
	    services_json);
	store_put("op/config", text);
}

/* Clients */

static void
client_send(int port, uint8_t flags, uint32_t seq, const char *data, size_t len)
{
	const client_flow_t *c = &flows[port];
	const route_t *route = &routes[c->route];
	uint8_t out[PACKET_BYTES], key[12];
	packet_t p = {
		.seq = seq,
		.ack = flags == FLAG_SYN ? c->copies : c->ack,
		.flags = flags,
		.src = ip_number(CLIENT_HOST),
		.dst = ip_number(route->host),
		.dport = (uint16_t)route->port,
		.sport = (uint16_t)port,
		.echo = c->echo,
		.len = len,
		.data = (const uint8_t *)data,
	};
	const vm_t *vm;
	size_t size = packet_write(&p, out);

	memcpy(key, out + 10, sizeof(key));
	vm = router_pick(
	    c->zone, hash_bytes(2166136261U, key, sizeof(key)) >> 8);
	if (vm != NULL)
		send_to(
		    client_fd, ip_number(vm->host), client_udp_port, out, size);
}

static int
new_request(int route, const char *zone, int port, bool is_long)
{
	request_t *r;

	if (requests == NULL)
		requests = calloc(MAX_REQUESTS, sizeof(*requests));
	if (requests == NULL || request_count == MAX_REQUESTS)
		cannot_run("too many requests");
	r = &requests[request_count];
	*r = (request_t){
		.id = (uint32_t)request_count + 1,
		.route = route,
		.sent_ms = now_ms(),
		.ran_at = -1,
		.flow_backend = -1,
		.reset_by = -1,
	};
	snprintf(r->zone, sizeof(r->zone), "%s", zone);
	record("send id=%u route=%s zone=%s port=%d new_flow=%d", r->id,
	    routes[route].name, zone, port, !is_long);
	return request_count++;
}

static void
open_flow(int route, const char *zone, int pause_ms)
{
	int port = next_port++;
	client_flow_t *c;

	if (port >= PORTS)
		cannot_run("no port is left");
	c = &flows[port];
	*c = (client_flow_t){
		.phase = PHASE_OPENING,
		.route = route,
		.pause_ms = pause_ms,
		.seq = random_u32(),
		.started_ms = now_ms(),
		.next_ms = now_ms() + FIRST_COPY_MS,
	};
	snprintf(c->zone, sizeof(c->zone), "%s", zone);
	c->request = new_request(route, zone, port, false);
	client_send(port, FLAG_SYN, c->seq, NULL, 0);
}

static void
end_request(client_flow_t *c)
{
	requests[c->request].ended_ms = now_ms();
}

static void
send_request(int port)
{
	client_flow_t *c = &flows[port];

	c->phase = PHASE_WAITING;
	c->started_ms = now_ms();
	c->retry_ms = RETRY_MS;
	c->next_ms = now_ms() + RETRY_MS;
	c->data_len = (size_t)snprintf(c->data, sizeof(c->data),
	    "%s /%s HTTP/1.1\r\nX-Request-Id: %u\r\n\r\n",
	    routes[c->route].safe ? "GET" : "POST", routes[c->route].name,
	    requests[c->request].id);
	client_send(port, FLAG_ACK, c->seq, c->data, c->data_len);
}

static void
on_opening_timer(int port)
{
	client_flow_t *c = &flows[port];
	int64_t age_ms = now_ms() - c->started_ms;

	if (age_ms >= OPEN_MS) {
		record("not_opened id=%u", requests[c->request].id);
		end_request(c);
		c->phase = PHASE_FREE;
		return;
	}
	c->copies++;
	c->next_ms =
	    c->started_ms + (c->copies == 1 ? SECOND_COPY_MS : OPEN_MS);
	client_send(port, FLAG_SYN, c->seq, NULL, 0);
}

static void
on_client_timer(int port)
{
	client_flow_t *c = &flows[port];
	int request;

	switch (c->phase) {
	case PHASE_OPENING:
		on_opening_timer(port);
		break;
	case PHASE_WAITING:
		if (now_ms() - c->started_ms >= DEADLINE_MS) {
			record("deadline id=%u", requests[c->request].id);
			end_request(c);
			c->phase = PHASE_FREE;
			break;
		}
		c->retry_ms *= 2;
		if (c->retry_ms > MAX_RETRY_MS)
			c->retry_ms = MAX_RETRY_MS;
		c->next_ms = now_ms() + c->retry_ms;
		client_send(port, FLAG_ACK, c->seq, c->data, c->data_len);
		break;
	case PHASE_PAUSE:
		request = c->request;
		c->request = new_request(c->route, c->zone, port, true);
		requests[c->request].flow_backend =
		    requests[request].flow_backend;
		send_request(port);
		break;
	default:
		c->phase = PHASE_FREE;
		break;
	}
}

static void
on_client_answer(int port, const packet_t *p)
{
	client_flow_t *c = &flows[port];
	request_t *r = &requests[c->request];
	char text[PACKET_BYTES];
	const char *id;

	snprintf(
	    text, sizeof(text), "%.*s", (int)p->len, (const char *)p->data);
	id = strstr(text, "X-Request-Id: ");
	c->echo = p->echo;
	if (p->seq != c->ack) { /* a copy */
		client_send(port, FLAG_ACK, c->seq, NULL, 0);
		return;
	}
	if (id == NULL || strtoul(id + 14, NULL, 10) != r->id) {
		record("foreign_answer id=%u", r->id);
		damaged_at_clients++;
		return;
	}
	c->ack = p->seq + (uint32_t)p->len;
	c->seq += (uint32_t)c->data_len;
	r->answered_ms = now_ms();
	end_request(c);
	record("answered id=%u status=200 ms=%lld", r->id,
	    (long long)(r->answered_ms - r->sent_ms));
	if (c->pause_ms > 0) {
		client_send(port, FLAG_ACK, c->seq, NULL, 0);
		c->phase = PHASE_PAUSE;
		c->next_ms = now_ms() + c->pause_ms;
		return;
	}
	client_send(port, FLAG_FIN | FLAG_ACK, c->seq, NULL, 0);
	c->phase = PHASE_CLOSING;
	c->next_ms = now_ms() + FIN_MS;
}

/* The backend with this address, or -1. */
static int
backend_at(uint32_t ip)
{
	int i;

	for (i = 0; i < backend_count; i++)
		if (ip_number(backends[i].host) == ip)
			return i;
	return -1;
}

static void
on_client_reset(int port, const packet_t *p, bool by_backend, uint32_t from)
{
	client_flow_t *c = &flows[port];
	request_t *r = &requests[c->request];
	int32_t distance = (int32_t)(p->seq - c->ack);

	if (c->phase == PHASE_CLOSING)
		return;
	if (c->phase != PHASE_OPENING && !by_backend &&
	    (distance > RESET_WINDOW || distance < -RESET_WINDOW))
		return;
	if (c->phase == PHASE_OPENING && !by_backend)
		r->refused_ms = now_ms();
	else if (!by_backend)
		r->sys_reset_ms = now_ms();
	else {
		r->reset_ms = now_ms();
		r->reset_by = backend_at(from);
	}
	record("reset id=%u by=%s flow_open=%d", r->id,
	    !by_backend		  ? "system"
		: r->reset_by < 0 ? "unknown"
				  : backends[r->reset_by].id,
	    c->phase != PHASE_OPENING);
	end_request(c);
	c->phase = PHASE_FREE;
}

static void
on_client_packet(const uint8_t *in, size_t len, uint32_t from)
{
	client_flow_t *c;
	packet_t p;
	bool sound;

	if (!packet_read(in, len, &p)) {
		damaged_at_clients++;
		return;
	}
	sound = has_sum(in, len, &p);
	c = &flows[p.dport];
	if (!sound && !(p.flags == FLAG_RST && p.sum == 0 && p.len == 0)) {
		damaged_at_clients++;
		return;
	}
	if (c->phase == PHASE_FREE || p.src != ip_number(routes[c->route].host))
		return;
	if (p.flags & FLAG_RST) {
		on_client_reset(p.dport, &p, sound, from);
	} else if (p.flags == (FLAG_SYN | FLAG_ACK)) {
		if (c->phase != PHASE_OPENING || p.ack != c->seq + 1)
			return;
		c->seq++;
		c->ack = p.seq + 1;
		c->echo = p.echo;
		send_request(p.dport);
	} else if (p.len > 0 && c->phase != PHASE_OPENING) {
		if (c->phase == PHASE_WAITING)
			on_client_answer(p.dport, &p);
	} else if ((p.flags & FLAG_FIN) && c->phase == PHASE_CLOSING)
		c->phase = PHASE_FREE;
}

static void
on_client_datagram(void *ctx, int fd)
{
	uint8_t in[PACKET_BYTES + 1];
	struct sockaddr_in from = { 0 };
	socklen_t from_len = sizeof(from);
	ssize_t n;

	(void)ctx;
	while ((n = recvfrom(fd, in, sizeof(in), MSG_DONTWAIT,
		    (struct sockaddr *)&from, &from_len)) >= 0) {
		on_client_packet(in, (size_t)n, ntohl(from.sin_addr.s_addr));
		from_len = sizeof(from);
	}
}

void
clients_set(int route, const char *zone, double per_s)
{
	int i;

	for (i = 0; i < source_count; i++)
		if (sources[i].route == route &&
		    strcmp(sources[i].zone, zone) == 0)
			break;
	if (i == source_count) {
		if (source_count == MAX_SOURCES)
			cannot_run("too many sources of requests");
		source_count++;
		sources[i].route = route;
		snprintf(sources[i].zone, sizeof(sources[i].zone), "%s", zone);
	}
	sources[i].per_s = per_s;
	sources[i].due_ms = (double)now_ms();
}

void
clients_open_long(int route, const char *zone, int count, int pause_ms)
{
	int i;

	for (i = 0; i < count; i++)
		open_flow(route, zone, pause_ms);
}

/* Stops new requests and waits for those in progress. */
void
clients_stop(void)
{
	int i;

	for (i = 0; i < source_count; i++)
		sources[i].per_s = 0;
	for (i = FIRST_PORT; i < next_port; i++) {
		flows[i].pause_ms = 0;
		if (flows[i].phase == PHASE_PAUSE)
			flows[i].phase = PHASE_CLOSING;
	}
	run_for(DEADLINE_MS + OPEN_MS);
}

static void
sources_tick(void)
{
	int i;

	for (i = 0; i < source_count; i++) {
		source_t *s = &sources[i];

		while (s->per_s > 0 && s->due_ms <= (double)now_ms()) {
			open_flow(s->route, s->zone, 0);
			s->due_ms += 1000 / s->per_s;
		}
	}
}

void
flows_tick(void)
{
	int i;

	for (i = 0; i < backend_count; i++)
		if (backends[i].runs)
			backend_tick(&backends[i]);
	for (i = FIRST_PORT; i < next_port; i++)
		if (flows[i].phase != PHASE_FREE &&
		    now_ms() >= flows[i].next_ms)
			on_client_timer(i);
	sources_tick();
}

void
flows_open(int port)
{
	flows = calloc(PORTS, sizeof(*flows));
	if (flows == NULL)
		cannot_run("out of memory");
	client_udp_port = port;
	client_fd = udp_open(CLIENT_HOST, port);
	watch(client_fd, on_client_datagram, NULL);
}
