/*
 * The platform's store: items with revisions, listings and watches over HTTP.
 */
#include <sys/socket.h>

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "world.h"

enum {
	MAX_CONNECTIONS = 64,
	REQUEST_BYTES = 2048,
	MAX_CHANGES = 65536,
	PAGE_ITEMS = 500,
};

typedef struct change {
	char *key;
	char *value; /* NULL: the item was removed */
	uint64_t revision;
	uint64_t created;
} change_t;

typedef struct connection {
	bool in_use;
	int fd;
	char request[REQUEST_BYTES];
	size_t len;
	bool complete;
	int64_t until_ms; /* of a watch */
} connection_t;

static struct {
	change_t *changes;
	size_t count;
	uint64_t revision;
	uint64_t era;
	connection_t connections[MAX_CONNECTIONS];
} store = { .revision = 1000, .era = 1 };

typedef struct text {
	char *bytes;
	size_t len;
	size_t cap;
} text_t;

static void
text_add(text_t *t, const char *bytes, size_t len)
{
	if (t->len + len + 1 > t->cap) {
		t->cap = (t->len + len + 1) * 2;
		t->bytes = realloc(t->bytes, t->cap);
		if (t->bytes == NULL)
			cannot_run("out of memory");
	}
	memcpy(t->bytes + t->len, bytes, len);
	t->len += len;
	t->bytes[t->len] = '\0';
}

static void
text_add_string(text_t *t, const char *s)
{
	text_add(t, s, strlen(s));
}

static void
text_add_number(text_t *t, const char *name, uint64_t number)
{
	char buf[96];

	snprintf(
	    buf, sizeof(buf), "\"%s\":%llu", name, (unsigned long long)number);
	text_add_string(t, buf);
}

static void
text_add_base64(text_t *t, const char *value)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	const unsigned char *in = (const unsigned char *)value;
	size_t i, left = strlen(value);

	for (; left > 0; in += 3, left = left > 3 ? left - 3 : 0) {
		uint32_t bits = (uint32_t)in[0] << 16;
		char out[4];

		if (left > 1)
			bits |= (uint32_t)in[1] << 8;
		if (left > 2)
			bits |= in[2];
		for (i = 0; i < 4; i++)
			out[i] = digits[bits >> (18 - 6 * i) & 63];
		if (left < 3)
			out[3] = '=';
		if (left < 2)
			out[2] = '=';
		text_add(t, out, 4);
	}
}

static char *
copy_string(const char *s)
{
	char *copy = strdup(s);

	if (copy == NULL)
		cannot_run("out of memory");
	return copy;
}

static const change_t *
latest(const char *key)
{
	size_t i;

	for (i = store.count; i > 0; i--)
		if (strcmp(store.changes[i - 1].key, key) == 0)
			return &store.changes[i - 1];
	return NULL;
}

static void
add_change(const char *key, const char *value)
{
	const change_t *before = latest(key);
	uint64_t revision = ++store.revision;

	if (store.changes == NULL)
		store.changes = calloc(MAX_CHANGES, sizeof(*store.changes));
	if (store.changes == NULL || store.count == MAX_CHANGES)
		cannot_run("too many changes of the store");
	store.changes[store.count++] = (change_t){
		.key = copy_string(key),
		.value = value == NULL ? NULL : copy_string(value),
		.revision = revision,
		.created = before != NULL && before->value != NULL
		    ? before->created
		    : revision,
	};
	record("store key=%s rev=%llu value=%s", key,
	    (unsigned long long)revision, value == NULL ? "(removed)" : value);
}

const char *
store_get(const char *key)
{
	const change_t *c = latest(key);

	return c == NULL ? NULL : c->value;
}

void
store_put(const char *key, const char *value)
{
	add_change(key, value);
}

void
store_remove(const char *key)
{
	if (store_get(key) != NULL)
		add_change(key, NULL);
}

static void
add_item(text_t *t, const change_t *c)
{
	text_add_string(t, "{\"Key\":\"");
	text_add_string(t, c->key);
	text_add_string(t, "\",");
	text_add_number(t, "Rev", c->revision);
	if (c->value == NULL) {
		text_add_string(t, ",\"Removed\":true}");
		return;
	}
	text_add_string(t, ",\"Value\":\"");
	text_add_base64(t, c->value);
	text_add_string(t, "\",");
	text_add_number(t, "Created", c->created);
	text_add_string(t, ",\"Lease\":0}");
}

static void
connection_end(connection_t *c)
{
	unwatch(c->fd);
	close(c->fd);
	*c = (connection_t){ 0 };
}

static void
respond(connection_t *c, const char *status, const text_t *body)
{
	char head[256];
	size_t len = body == NULL ? 0 : body->len;
	text_t all = { 0 };
	size_t done = 0;

	snprintf(head, sizeof(head),
	    "HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
	    "Store-Era: %llu\r\nContent-Length: %zu\r\n"
	    "Connection: close\r\n\r\n",
	    status, (unsigned long long)store.era, len);
	text_add_string(&all, head);
	if (len > 0)
		text_add(&all, body->bytes, len);
	while (done < all.len) {
		ssize_t n =
		    send(c->fd, all.bytes + done, all.len - done, MSG_NOSIGNAL);

		if (n > 0)
			done += (size_t)n;
		else if (n < 0 && errno != EINTR)
			break;
	}
	free(all.bytes);
	connection_end(c);
}

/* Copies the decoded value of a query field; "" if it is absent. */
static void
query_field(const char *query, const char *name, char *out, size_t size)
{
	size_t len = strlen(name), used = 0;
	const char *at = query;

	out[0] = '\0';
	while (at != NULL && !(strncmp(at, name, len) == 0 && at[len] == '=')) {
		at = strchr(at, '&');
		at = at == NULL ? NULL : at + 1;
	}
	if (at == NULL)
		return;
	for (at += len + 1; *at != '\0' && *at != '&' && used + 1 < size; at++)
		if (*at == '%' && at[1] != '\0' && at[2] != '\0') {
			char hex[3] = { at[1], at[2], '\0' };

			out[used++] = (char)strtol(hex, NULL, 16);
			at += 2;
		} else
			out[used++] = (char)(*at == '+' ? ' ' : *at);
	out[used] = '\0';
}

static int
compare_keys(const void *a, const void *b)
{
	return strcmp(
	    (*(change_t *const *)a)->key, (*(change_t *const *)b)->key);
}

static void
serve_range(connection_t *c, const char *query)
{
	const change_t **found = calloc(store.count + 1, sizeof(change_t *));
	char prefix[256], after[256];
	text_t body = { 0 };
	size_t i, count = 0;

	if (found == NULL)
		cannot_run("out of memory");
	query_field(query, "Prefix", prefix, sizeof(prefix));
	query_field(query, "after", after, sizeof(after));
	for (i = 0; i < store.count; i++) {
		const change_t *item = &store.changes[i];

		if (item->value != NULL && latest(item->key) == item &&
		    strncmp(item->key, prefix, strlen(prefix)) == 0 &&
		    strcmp(item->key, after) > 0)
			found[count++] = item;
	}
	qsort(found, count, sizeof(change_t *), compare_keys);
	text_add_string(&body, "{\"items\":[");
	for (i = 0; i < count && i < PAGE_ITEMS; i++) {
		if (i > 0)
			text_add_string(&body, ",");
		add_item(&body, found[i]);
	}
	text_add_string(&body, "],\"HasMore\":");
	text_add_string(&body, count > PAGE_ITEMS ? "true," : "false,");
	text_add_number(&body, "StoreRevision", store.revision);
	text_add_string(&body, "}");
	respond(c, "200 OK", &body);
	free(body.bytes);
	free((void *)found);
}

/* Answers a watch if it has events or its wait is over. */
static void
serve_watch(connection_t *c, const char *query)
{
	char prefix[256], after_text[32], wait_text[32];
	text_t body = { 0 };
	uint64_t after;
	size_t i, count = 0;

	query_field(query, "Prefix", prefix, sizeof(prefix));
	query_field(query, "after", after_text, sizeof(after_text));
	query_field(query, "WaitMs", wait_text, sizeof(wait_text));
	after = strtoull(after_text, NULL, 10);
	if (after > store.revision) {
		respond(c, "410 Gone", NULL);
		return;
	}
	text_add_string(&body, "{\"events\":[");
	for (i = 0; i < store.count; i++) {
		const change_t *change = &store.changes[i];

		if (change->revision <= after ||
		    strncmp(change->key, prefix, strlen(prefix)) != 0)
			continue;
		if (count++ > 0)
			text_add_string(&body, ",");
		add_item(&body, change);
	}
	if (c->until_ms == 0)
		c->until_ms = now_ms() + strtoll(wait_text, NULL, 10);
	if (count > 0 || now_ms() >= c->until_ms) {
		text_add_string(&body, "],");
		text_add_number(&body, "StoreRevision", store.revision);
		text_add_string(&body, "}");
		respond(c, "200 OK", &body);
	}
	free(body.bytes);
}

static void
serve(connection_t *c)
{
	char line[REQUEST_BYTES], *path, *query, *end;

	memcpy(line, c->request, sizeof(line));
	path = strchr(line, ' ');
	end = path == NULL ? NULL : strchr(path + 1, ' ');
	if (end == NULL) {
		respond(c, "400 Bad Request", NULL);
		return;
	}
	*end = '\0';
	path++;
	query = strchr(path, '?');
	if (query != NULL)
		*query++ = '\0';
	if (query != NULL && strcmp(path, "/knapweedfield/kv-range") == 0)
		serve_range(c, query);
	else if (query != NULL && strcmp(path, "/knapweedfield/kv-watch") == 0)
		serve_watch(c, query);
	else
		respond(c, "404 Not Found", NULL);
}

static void
on_request(void *ctx, int fd)
{
	connection_t *c = ctx;
	ssize_t n;

	if (c->complete) { /* the client has closed, or sends more */
		char rest[64];

		if (recv(fd, rest, sizeof(rest), MSG_DONTWAIT) <= 0)
			connection_end(c);
		return;
	}
	n = recv(fd, c->request + c->len, sizeof(c->request) - 1 - c->len,
	    MSG_DONTWAIT);
	if (n <= 0) {
		connection_end(c);
		return;
	}
	c->len += (size_t)n;
	c->request[c->len] = '\0';
	if (strstr(c->request, "\r\n\r\n") == NULL)
		return;
	c->complete = true;
	serve(c);
}

static void
on_connection(void *ctx, int listen_fd)
{
	int i, fd = accept(listen_fd, NULL, NULL);

	(void)ctx;
	if (fd < 0)
		return;
	for (i = 0; i < MAX_CONNECTIONS; i++)
		if (!store.connections[i].in_use)
			break;
	if (i == MAX_CONNECTIONS) {
		close(fd);
		return;
	}
	store.connections[i] = (connection_t){ .in_use = true, .fd = fd };
	watch(fd, on_request, &store.connections[i]);
}

void
store_open(int host, int port)
{
	watch(tcp_listen(host, port), on_connection, NULL);
}

/* Answers the watches that have events or whose wait is over. */
void
store_tick(void)
{
	int i;

	for (i = 0; i < MAX_CONNECTIONS; i++)
		if (store.connections[i].in_use &&
		    store.connections[i].complete)
			serve(&store.connections[i]);
}
