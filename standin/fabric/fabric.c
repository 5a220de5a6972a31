#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "kf/proxy.h"

#include "fabric.h"

typedef struct service {
	kf_fabric_t *fabric;
	kf_addr_t addr;
	int fd;
} service_t;

typedef struct balancer {
	kf_addr_t addr;
	bool active; /* receives packets of callers */
	bool cut;    /* packets are dropped in both directions */
	uint64_t sent;
	uint64_t received;
} balancer_t;

/* A packet that waits for its delay to end. */
typedef struct delayed {
	kf_sim_timer_t timer;
	kf_fabric_t *fabric;
	struct delayed *prev;
	struct delayed *next;
	int fd;
	kf_addr_t dst;
	size_t len;
	uint8_t bytes[];
} delayed_t;

typedef struct stats {
	uint64_t from_callers;
	uint64_t to_balancers;
	uint64_t from_balancers;
	uint64_t to_callers;
	uint64_t dropped;
	uint64_t duplicated;
	uint64_t delayed;
	uint64_t cut;
	uint64_t no_balancer;
	uint64_t malformed;
	uint64_t overflowed;
} stats_t;

struct kf_fabric {
	kf_sim_loop_t *loop;
	kf_fabric_options_t options;
	kf_sim_random_t random;
	kf_sim_control_t *control;
	int encap_fd;
	service_t services[KF_FABRIC_MAX_SERVICES];
	size_t service_count;
	balancer_t balancers[KF_FABRIC_MAX_BALANCERS];
	size_t balancer_count;
	delayed_t *delayed; /* list */
	size_t delayed_count;
	size_t delayed_bytes;
	stats_t stats;
	uint8_t buf[KF_PROXY_HEADER_BYTES + KF_SIM_DATAGRAM_BYTES];
};

static void
delayed_delete(delayed_t *d)
{
	kf_fabric_t *fabric = d->fabric;

	kf_sim_timer_cancel(fabric->loop, &d->timer);
	if (d->prev != NULL)
		d->prev->next = d->next;
	else
		fabric->delayed = d->next;
	if (d->next != NULL)
		d->next->prev = d->prev;
	fabric->delayed_count--;
	fabric->delayed_bytes -= d->len;
	free(d);
}

static void
delayed_on_timer(void *ctx)
{
	delayed_t *d = ctx;

	kf_sim_udp_send(d->fd, d->dst, d->bytes, d->len);
	delayed_delete(d);
}

/* Returns NULL if the limits are reached or memory runs out. */
static delayed_t *
delayed_new(kf_fabric_t *fabric, const uint8_t *buf, size_t len)
{
	delayed_t *d;

	if (fabric->delayed_count >= KF_FABRIC_MAX_DELAYED ||
	    fabric->delayed_bytes + len > KF_FABRIC_MAX_DELAYED_BYTES)
		return NULL;
	d = calloc(1, sizeof(*d) + len);
	if (d == NULL)
		return NULL;
	d->timer.fn = delayed_on_timer;
	d->timer.ctx = d;
	d->fabric = fabric;
	d->len = len;
	memcpy(d->bytes, buf, len);
	d->next = fabric->delayed;
	if (d->next != NULL)
		d->next->prev = d;
	fabric->delayed = d;
	fabric->delayed_count++;
	fabric->delayed_bytes += len;
	return d;
}

static void
fabric_send_delayed(
    kf_fabric_t *fabric, int fd, kf_addr_t dst, const uint8_t *buf, size_t len)
{
	uint64_t low = fabric->options.delay_min_ms * 1000;
	uint64_t high = fabric->options.delay_max_ms * 1000;
	int64_t delay_us;
	delayed_t *d;

	delay_us = (int64_t)(low +
	    kf_sim_random_below(&fabric->random, high - low + 1));
	d = delayed_new(fabric, buf, len);
	if (d == NULL) {
		fabric->stats.overflowed++;
		return;
	}
	d->fd = fd;
	d->dst = dst;
	fabric->stats.delayed++;
	if (kf_sim_timer_set(fabric->loop, &d->timer,
		kf_sim_mono_us() + delay_us) != KF_OK) {
		fabric->stats.overflowed++;
		delayed_delete(d);
	}
}

static void
fabric_send_with_faults(
    kf_fabric_t *fabric, int fd, kf_addr_t dst, const uint8_t *buf, size_t len)
{
	int copies = 1;

	if (kf_sim_random_unit(&fabric->random) < fabric->options.drop) {
		fabric->stats.dropped++;
		return;
	}
	if (kf_sim_random_unit(&fabric->random) < fabric->options.duplicate) {
		fabric->stats.duplicated++;
		copies = 2;
	}
	for (; copies > 0; copies--) {
		if (fabric->options.delay_max_ms > 0)
			fabric_send_delayed(fabric, fd, dst, buf, len);
		else
			kf_sim_udp_send(fd, dst, buf, len);
	}
}

/* Returns a random active balancer, or NULL if none is active. */
static balancer_t *
fabric_choose_balancer(kf_fabric_t *fabric)
{
	size_t active = 0;
	size_t i, nth;

	for (i = 0; i < fabric->balancer_count; i++)
		active += fabric->balancers[i].active ? 1 : 0;
	if (active == 0)
		return NULL;
	nth = kf_sim_random_below(&fabric->random, active);
	for (i = 0; i < fabric->balancer_count; i++)
		if (fabric->balancers[i].active && nth-- == 0)
			return &fabric->balancers[i];
	return NULL;
}

static void
fabric_forward_to_balancer(
    kf_fabric_t *fabric, const service_t *service, kf_addr_t caller, size_t len)
{
	balancer_t *balancer;

	fabric->stats.from_callers++;
	balancer = fabric_choose_balancer(fabric);
	if (balancer == NULL) {
		fabric->stats.no_balancer++;
		return;
	}
	if (balancer->cut) {
		fabric->stats.cut++;
		return;
	}
	kf_proxy_write(caller, service->addr, fabric->buf);
	balancer->sent++;
	fabric->stats.to_balancers++;
	fabric_send_with_faults(fabric, fabric->encap_fd, balancer->addr,
	    fabric->buf, KF_PROXY_HEADER_BYTES + len);
}

static void
service_on_readable(void *ctx)
{
	service_t *service = ctx;
	kf_fabric_t *fabric = service->fabric;
	kf_addr_t caller;
	ssize_t n;

	while ((n = kf_sim_udp_recv(service->fd, &caller,
		    fabric->buf + KF_PROXY_HEADER_BYTES,
		    KF_SIM_DATAGRAM_BYTES)) >= 0)
		fabric_forward_to_balancer(fabric, service, caller, (size_t)n);
}

static balancer_t *
fabric_find_balancer(kf_fabric_t *fabric, uint32_t ip)
{
	size_t i;

	for (i = 0; i < fabric->balancer_count; i++)
		if (fabric->balancers[i].addr.ip == ip)
			return &fabric->balancers[i];
	return NULL;
}

static const service_t *
fabric_find_service(const kf_fabric_t *fabric, kf_addr_t addr)
{
	size_t i;

	for (i = 0; i < fabric->service_count; i++)
		if (kf_addr_equal(fabric->services[i].addr, addr))
			return &fabric->services[i];
	return NULL;
}

static void
fabric_forward_to_caller(kf_fabric_t *fabric, kf_addr_t from, size_t len)
{
	const service_t *service;
	balancer_t *balancer;
	kf_addr_t src, dst;
	size_t offset;

	fabric->stats.from_balancers++;
	balancer = fabric_find_balancer(fabric, from.ip);
	if (balancer == NULL ||
	    kf_proxy_parse(fabric->buf, len, &src, &dst, &offset) != KF_OK ||
	    (service = fabric_find_service(fabric, src)) == NULL) {
		fabric->stats.malformed++;
		return;
	}
	balancer->received++;
	if (balancer->cut) {
		fabric->stats.cut++;
		return;
	}
	fabric->stats.to_callers++;
	fabric_send_with_faults(
	    fabric, service->fd, dst, fabric->buf + offset, len - offset);
}

static void
encap_on_readable(void *ctx)
{
	kf_fabric_t *fabric = ctx;
	kf_addr_t from;
	ssize_t n;

	while ((n = kf_sim_udp_recv(fabric->encap_fd, &from, fabric->buf,
		    sizeof(fabric->buf))) >= 0)
		fabric_forward_to_caller(fabric, from, (size_t)n);
}

static kf_status_t
fabric_add_balancer(kf_fabric_t *fabric, kf_addr_t addr)
{
	balancer_t *balancer;
	size_t i;

	for (i = 0; i < fabric->balancer_count; i++) {
		if (!kf_addr_equal(fabric->balancers[i].addr, addr))
			continue;
		fabric->balancers[i].active = true;
		return KF_OK;
	}
	if (fabric->balancer_count == KF_FABRIC_MAX_BALANCERS)
		return kf_status_set(KF_ERR_FULL, "too many balancers");
	balancer = &fabric->balancers[fabric->balancer_count++];
	*balancer = (balancer_t){ .addr = addr, .active = true };
	return KF_OK;
}

static kf_status_t
set_balancer_cut(kf_fabric_t *fabric, const char *text, bool cut, FILE *out)
{
	kf_status_t status;
	unsigned matched = 0;
	uint32_t ip;
	size_t i;

	status = kf_sim_ip_parse(text, &ip);
	if (status != KF_OK)
		return status;
	for (i = 0; i < fabric->balancer_count; i++) {
		if (fabric->balancers[i].addr.ip != ip)
			continue;
		fabric->balancers[i].cut = cut;
		matched++;
	}
	if (matched == 0)
		return kf_status_set(
		    KF_ERR_NOT_FOUND, "no balancer at %s", text);
	fprintf(out, "balancer=%s cut=%d", text, cut ? 1 : 0);
	return KF_OK;
}

static kf_status_t
command_cut(void *ctx, int argc, char **argv, FILE *out)
{
	(void)argc;
	return set_balancer_cut(ctx, argv[1], true, out);
}

static kf_status_t
command_heal(void *ctx, int argc, char **argv, FILE *out)
{
	(void)argc;
	return set_balancer_cut(ctx, argv[1], false, out);
}

static kf_status_t
command_add(void *ctx, int argc, char **argv, FILE *out)
{
	kf_status_t status;
	kf_addr_t addr;

	(void)argc;
	status = kf_sim_addr_parse(argv[1], &addr);
	if (status == KF_OK)
		status = fabric_add_balancer(ctx, addr);
	if (status == KF_OK)
		fprintf(out, "balancer=%s active=1", argv[1]);
	return status;
}

/* Stops packets to a balancer; its replies are still forwarded to callers. */
static kf_status_t
command_remove(void *ctx, int argc, char **argv, FILE *out)
{
	kf_fabric_t *fabric = ctx;
	kf_status_t status;
	kf_addr_t addr;
	size_t i;

	(void)argc;
	status = kf_sim_addr_parse(argv[1], &addr);
	if (status != KF_OK)
		return status;
	for (i = 0; i < fabric->balancer_count; i++) {
		if (!kf_addr_equal(fabric->balancers[i].addr, addr))
			continue;
		fabric->balancers[i].active = false;
		fprintf(out, "balancer=%s active=0", argv[1]);
		return KF_OK;
	}
	return kf_status_set(KF_ERR_NOT_FOUND, "no balancer at %s", argv[1]);
}

static kf_status_t
command_drop(void *ctx, int argc, char **argv, FILE *out)
{
	kf_fabric_t *fabric = ctx;
	kf_status_t status;

	(void)argc;
	status = kf_sim_parse_probability(argv[1], &fabric->options.drop);
	if (status == KF_OK)
		fprintf(out, "drop=%g", fabric->options.drop);
	return status;
}

static kf_status_t
command_duplicate(void *ctx, int argc, char **argv, FILE *out)
{
	kf_fabric_t *fabric = ctx;
	kf_status_t status;

	(void)argc;
	status = kf_sim_parse_probability(argv[1], &fabric->options.duplicate);
	if (status == KF_OK)
		fprintf(out, "duplicate=%g", fabric->options.duplicate);
	return status;
}

static kf_status_t
command_delay(void *ctx, int argc, char **argv, FILE *out)
{
	kf_fabric_t *fabric = ctx;
	kf_status_t status;

	(void)argc;
	status = kf_sim_parse_range(argv[1], KF_FABRIC_MAX_DELAY_MS,
	    &fabric->options.delay_min_ms, &fabric->options.delay_max_ms);
	if (status == KF_OK)
		fprintf(out, "delay_ms=%s", argv[1]);
	return status;
}

static kf_status_t
command_stats(void *ctx, int argc, char **argv, FILE *out)
{
	(void)argc;
	(void)argv;
	kf_fabric_print(ctx, out);
	return KF_OK;
}

static kf_status_t
command_balancers(void *ctx, int argc, char **argv, FILE *out)
{
	const kf_fabric_t *fabric = ctx;
	const balancer_t *b;
	char text[KF_ADDR_TEXT_BYTES];
	size_t i;

	(void)argc;
	(void)argv;
	for (i = 0; i < fabric->balancer_count; i++) {
		b = &fabric->balancers[i];
		fprintf(out, "%s%s=active:%d,cut:%d,sent:%llu,received:%llu",
		    i > 0 ? " " : "", kf_addr_format(b->addr, text),
		    b->active ? 1 : 0, b->cut ? 1 : 0,
		    (unsigned long long)b->sent,
		    (unsigned long long)b->received);
	}
	return KF_OK;
}

static kf_status_t
command_quit(void *ctx, int argc, char **argv, FILE *out)
{
	kf_fabric_t *fabric = ctx;

	(void)argc;
	(void)argv;
	kf_sim_loop_stop(fabric->loop);
	fputs("quit=1", out);
	return KF_OK;
}

static const kf_sim_command_t commands[] = {
	{ "cut", 1, 1, "127.a.b.c", command_cut },
	{ "heal", 1, 1, "127.a.b.c", command_heal },
	{ "add", 1, 1, "127.a.b.c:port", command_add },
	{ "remove", 1, 1, "127.a.b.c:port", command_remove },
	{ "drop", 1, 1, "PROBABILITY", command_drop },
	{ "duplicate", 1, 1, "PROBABILITY", command_duplicate },
	{ "delay-ms", 1, 1, "MIN-MAX", command_delay },
	{ "stats", 0, 0, "", command_stats },
	{ "balancers", 0, 0, "", command_balancers },
	{ "quit", 0, 0, "", command_quit },
	{ NULL, 0, 0, NULL, NULL },
};

static kf_status_t
fabric_open_service(kf_fabric_t *fabric, kf_addr_t addr)
{
	service_t *service = &fabric->services[fabric->service_count];
	kf_status_t status;

	service->fabric = fabric;
	service->addr = addr;
	status = kf_sim_udp_open(addr, &service->fd);
	if (status != KF_OK)
		return status;
	fabric->service_count++;
	return kf_sim_loop_add(
	    fabric->loop, service->fd, service_on_readable, service);
}

static kf_status_t
fabric_open(kf_fabric_t *fabric)
{
	const kf_fabric_options_t *o = &fabric->options;
	kf_status_t status;
	size_t i;

	status = kf_sim_udp_open(o->encap, &fabric->encap_fd);
	if (status == KF_OK)
		status = kf_sim_loop_add(
		    fabric->loop, fabric->encap_fd, encap_on_readable, fabric);
	for (i = 0; status == KF_OK && i < o->service_count; i++)
		status = fabric_open_service(fabric, o->services[i]);
	for (i = 0; status == KF_OK && i < o->balancer_count; i++)
		status = fabric_add_balancer(fabric, o->balancers[i]);
	if (status != KF_OK || o->control.port == 0)
		return status;
	fabric->control =
	    kf_sim_control_new(fabric->loop, o->control, commands, fabric);
	return fabric->control == NULL ? KF_ERR_IO : KF_OK;
}

kf_fabric_t *
kf_fabric_new(kf_sim_loop_t *loop, const kf_fabric_options_t *options)
{
	kf_fabric_t *fabric;

	fabric = calloc(1, sizeof(*fabric));
	if (fabric == NULL) {
		kf_status_set(KF_ERR_NO_MEMORY, "no memory");
		return NULL;
	}
	fabric->loop = loop;
	fabric->options = *options;
	fabric->random.state = options->seed;
	fabric->encap_fd = -1;
	if (fabric_open(fabric) != KF_OK) {
		kf_fabric_delete(fabric);
		return NULL;
	}
	return fabric;
}

static void
close_registered_fd(kf_sim_loop_t *loop, int fd)
{
	if (fd < 0)
		return;
	kf_sim_loop_remove(loop, fd);
	close(fd);
}

void
kf_fabric_delete(kf_fabric_t *fabric)
{
	delayed_t *d, *next;
	size_t i;

	if (fabric == NULL)
		return;
	for (d = fabric->delayed; d != NULL; d = next) {
		next = d->next;
		kf_sim_timer_cancel(fabric->loop, &d->timer);
		free(d);
	}
	kf_sim_control_delete(fabric->control);
	for (i = 0; i < fabric->service_count; i++)
		close_registered_fd(fabric->loop, fabric->services[i].fd);
	close_registered_fd(fabric->loop, fabric->encap_fd);
	free(fabric);
}

void
kf_fabric_print(const kf_fabric_t *fabric, FILE *out)
{
	const stats_t *s = &fabric->stats;
	const struct {
		const char *name;
		uint64_t value;
	} rows[] = {
		{ "from_callers", s->from_callers },
		{ "to_balancers", s->to_balancers },
		{ "from_balancers", s->from_balancers },
		{ "to_callers", s->to_callers },
		{ "dropped", s->dropped },
		{ "duplicated", s->duplicated },
		{ "delayed", s->delayed },
		{ "cut", s->cut },
		{ "no_balancer", s->no_balancer },
		{ "malformed", s->malformed },
		{ "overflowed", s->overflowed },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		fprintf(out, "%s%s=%llu", i > 0 ? " " : "", rows[i].name,
		    (unsigned long long)rows[i].value);
}
