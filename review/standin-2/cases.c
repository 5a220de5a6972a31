/*
 * The steps and checks of the cases.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

enum {
	ROUTE_HOST = 240,
	ROUTE_PORT = 443,
	WINDOW_MS = 1000,
};

/* Prints a line and records it. */
#define SAY(...)                     \
	do {                         \
		printf(__VA_ARGS__); \
		putchar('\n');       \
		record(__VA_ARGS__); \
	} while (0)

static int
compare_times(const void *a, const void *b)
{
	const request_t *x = *(request_t *const *)a;
	const request_t *y = *(request_t *const *)b;

	return (x->arrived_ms > y->arrived_ms) -
	    (x->arrived_ms < y->arrived_ms);
}

/*
 * The most requests of new flows that a backend got in one second of its cold
 * start, sent and arrived inside that second.
 */
static int
cold_peak(int backend)
{
	const backend_t *b = &backends[backend];
	request_t **list =
	    calloc((size_t)request_count + 1, sizeof(request_t *));
	int i, j, count = 0, peak = 0;

	if (list == NULL)
		cannot_run("out of memory");
	for (i = 0; i < request_count; i++)
		if (requests[i].ran_at == backend &&
		    requests[i].arrived_ms >= b->cold_from_ms &&
		    requests[i].arrived_ms < b->cold_until_ms)
			list[count++] = &requests[i];
	qsort(list, (size_t)count, sizeof(request_t *), compare_times);
	for (i = 0; i < count; i++) {
		int64_t to_ms = list[i]->arrived_ms;
		int in_window = 0;

		for (j = i; j >= 0 && list[j]->arrived_ms > to_ms - WINDOW_MS;
		     j--)
			in_window += list[j]->sent_ms > to_ms - WINDOW_MS;
		if (in_window > peak)
			peak = in_window;
	}
	free((void *)list);
	return peak;
}

static int
answered(void)
{
	int i, count = 0;

	for (i = 0; i < request_count; i++)
		count += requests[i].answered_ms != 0;
	return count;
}

static const char named_services[] =
    "{\"Name\":\"orders\",\"HealthPath\":\"/health\"},"
    "{\"Name\":\"certs\",\"HealthPath\":\"/health\"}";

/* Bounds of batinah-giftcard-grown. */
static const bounds_t demand_bounds = {
	.grace_s = 6,
	.drain_ms = 5000,
	.apply_ms = 5000,
	.evacuate_ms = 5000,
	.cold_excess = 1.5,
	.cold_slack = 5,
	.reorder_ms = 2000,
	.recovery_s = 15,
	.heartbeat_ms = 1200,
};

typedef struct case_entry {
	const char *name;
	int (*run)(bool trouble);
} case_entry_t;

/* Adds the VMs of a small deployment: two in each of three zones. */
static void
add_vms(void)
{
	static const char *const zones[] = { "z-a", "z-b", "z-c" };
	int i;

	for (i = 0; i < 6; i++)
		vm_add(zones[i / 2]);
}

/*
 * A VM starts while an evacuated zone is taken back, whose backends have turned
 * cold.
 */
static int
case_failback(bool trouble)
{
	const double cold_per_s = 2;
	int i, route, peak = 0, limit;

	bounds = demand_bounds;
	limit = (int)(cold_per_s * bounds.cold_excess + bounds.cold_slack);
	add_vms();
	backend_add("i-a1499fdc01", "ledger", "z-a", 2, 15);
	backend_add("i-a1499fdc02", "ledger", "z-a", 2, 15);
	backend_add("i-a1499fdc03", "ledger", "z-b", 2, 15);
	backend_add("i-a1499fdc04", "ledger", "z-b", 2, 15);
	backend_add("i-a1499fdc05", "ledger", "z-c", 2, 15);
	backend_add("i-a1499fdc06", "ledger", "z-c", 2, 15);
	for (i = 0; i < backend_count; i++)
		backend_start(i, 0);
	route = route_add("watch", "ledger", ROUTE_HOST, ROUTE_PORT, true,
	    "\"Service\":\"ledger\"");
	config_put(3,
	    "{\"Name\":\"ledger\",\"HealthPath\":\"/health\",\"MaxConns\":2000,"
	    "\"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":2.0,"
	    "\"ColdPerS\":2.0}");
	vms_start_all();
	clients_set(route, "z-a", 60);
	clients_set(route, "z-b", 20);
	clients_set(route, "z-c", 20);
	run_for(10000);
	store_put("op/evacuate/z-a", "{}");
	run_for(8000);
	/* The VM is away for 400 ms, so that it misses one check at most. */
	if (trouble)
		vm_kill(0, SIGKILL);
	run_for(100);
	for (i = 0; i < 2; i++)
		backend_turn_cold(i, 2000);
	run_for(200);
	store_remove("op/evacuate/z-a");
	run_for(100);
	if (trouble)
		vm_start(0);
	run_for(6000);
	clients_stop();
	for (i = 0; i < 2; i++) {
		int at = cold_peak(i);

		SAY("backend %s: at most %d requests in a second of its cold "
		    "start, limit %d",
		    backends[i].id, at, limit);
		peak = at > peak ? at : peak;
	}
	SAY("requests %d, answered %d", request_count, answered());
	return peak > limit;
}

/*
 * A backend is added whose id gives the same 32-bit token as that of one that
 * has flows open.  The token is the exclusive or of both halves of the id.
 */
static int
case_token(bool trouble)
{
	int i, route, added, broken = 0, open = 0, long_ms = 0;
	const int victim = 1;

	add_vms();
	backend_add("i-c4499fdc11", "orders", "z-a", 3, 20);
	backend_add("i-b2499fdc77", "orders", "z-b", 3, 20);
	backend_add("i-d0499fdc33", "orders", "z-c", 3, 20);
	backend_add("i-d1499fdc35", "orders", "z-c", 3, 20);
	added = backend_add(
	    trouble ? "i-b1499fdc74" : "i-b1499fdc75", "orders", "z-a", 3, 20);
	for (i = 0; i < added; i++)
		backend_start(i, 0);
	route = route_add("lookup", "orders", ROUTE_HOST, ROUTE_PORT, true,
	    "\"Service\":\"orders\"");
	config_put(3, "{\"Name\":\"orders\",\"HealthPath\":\"/health\"}");
	vms_start_all();
	clients_open_long(route, "z-a", 12, 300);
	clients_open_long(route, "z-b", 12, 300);
	clients_open_long(route, "z-c", 12, 300);
	run_for(6000);
	backend_start(added, 0);
	run_for(8000);
	clients_stop();
	for (i = 0; i < request_count; i++) {
		const request_t *r = &requests[i];

		if (r->flow_backend != victim)
			continue;
		open++;
		broken += r->reset_ms != 0 && r->reset_by != r->flow_backend;
		broken += r->sys_reset_ms != 0;
		if (r->other_longest_ms > long_ms)
			long_ms = (int)r->other_longest_ms;
	}
	SAY("backend %s: requests on its open flows %d, resets that it did not "
	    "send %d, longest time with 3 packets or more at others %d ms",
	    backends[victim].id, open, broken, long_ms);
	SAY("requests %d, answered %d", request_count, answered());
	return broken > 0 || long_ms >= bounds.reorder_ms;
}

/*
 * Another writer writes an entry with missing fields, which names another
 * service, under the id of a backend.
 */
static int
case_foreign(bool trouble)
{
	char entry[512];
	int i, lookup, misrouted = 0;

	add_vms();
	backend_add("i-b1499fdc01", "orders", "z-a", 3, 20);
	backend_add("i-b1499fdc02", "orders", "z-b", 3, 20);
	backend_add("i-b1499fdc03", "orders", "z-c", 3, 20);
	backend_add("i-b1499fdc04", "certs", "z-a", 3, 20);
	for (i = 0; i < backend_count; i++)
		backend_start(i, 0);
	lookup = route_add("lookup", "orders", ROUTE_HOST, ROUTE_PORT, true,
	    "\"Service\":\"orders\"");
	route_add("certs", "certs", ROUTE_HOST, ROUTE_PORT + 1, true,
	    "\"Service\":\"certs\"");
	config_put(3, named_services);
	vms_start_all();
	clients_set(lookup, "z-a", 30);
	clients_set(lookup, "z-b", 30);
	clients_set(lookup, "z-c", 30);
	run_for(5000);
	snprintf(entry, sizeof(entry),
	    "{\"Service\":\"orders\",\"Address\":\"%s:8080\","
	    "\"Zone\":\"z-a\",\"Slots\":3,\"State\":\"ready\"}",
	    ip_text(backends[3].host));
	if (trouble)
		store_put("servers/i-b1499fdc04", entry);
	run_for(5000);
	clients_stop();
	for (i = 0; i < request_count; i++)
		misrouted += requests[i].ran_at >= 0 &&
		    strcmp(backends[requests[i].ran_at].service,
			routes[requests[i].route].service) != 0;
	SAY("requests %d, answered %d, run by a service of another route %d",
	    request_count, answered(), misrouted);
	return misrouted > 0;
}

/* The share of the requests sent in a span that were answered, in percent. */
static int
served_percent(int64_t from_ms, int64_t to_ms)
{
	int i, sent = 0, served = 0;

	for (i = 0; i < request_count; i++)
		if (requests[i].sent_ms >= from_ms &&
		    requests[i].sent_ms < to_ms) {
			sent++;
			served += requests[i].answered_ms != 0;
		}
	SAY("sent from %.1f s to %.1f s: %d, served %d", (double)from_ms / 1000,
	    (double)to_ms / 1000, sent, served);
	return sent == 0 ? 0 : served * 100 / sent;
}

/* Writes a Split over the first count services, and all services' list. */
static void
write_split(int count, char *split, size_t split_size, char *services,
    size_t services_size)
{
	size_t used = 0, listed = 0;
	int i;

	used += (size_t)snprintf(split, split_size, "\"Split\":[");
	for (i = 1; i <= 9; i++) {
		listed +=
		    (size_t)snprintf(services + listed, services_size - listed,
			"%s{\"Name\":\"orders-%d\",\"HealthPath\":\"/health\"}",
			i > 1 ? "," : "", i);
		if (i <= count)
			used +=
			    (size_t)snprintf(split + used, split_size - used,
				"%s{\"Service\":\"orders-%d\",\"Weight\":10}",
				i > 1 ? "," : "", i);
	}
	snprintf(split + used, split_size - used, "]");
}

/*
 * A version splits a route over nine services, drops a route and adds one.
 * Then a further version is acknowledged, and all processes are killed.
 */
static int
case_split(bool trouble)
{
	char split[1024], services[1024], id[32], service[32];
	int i, lookup, old, added, late_old = 0, refused_added = 0;
	int before, after;
	int64_t acked_ms, fault_ms, back_ms;

	add_vms();
	for (i = 1; i <= 9; i++) {
		snprintf(id, sizeof(id), "i-c1499fdc%02d", i);
		snprintf(service, sizeof(service), "orders-%d", i);
		backend_start(
		    backend_add(id, service, i % 2 == 0 ? "z-a" : "z-b", 3, 20),
		    0);
	}
	write_split(
	    trouble ? 9 : 8, split, sizeof(split), services, sizeof(services));
	lookup = route_add("lookup", "orders-1", ROUTE_HOST, ROUTE_PORT, true,
	    "\"Service\":\"orders-1\"");
	old = route_add("old", "orders-2", ROUTE_HOST, ROUTE_PORT + 1, true,
	    "\"Service\":\"orders-2\"");
	added = route_add("added", "orders-3", ROUTE_HOST, ROUTE_PORT + 2, true,
	    "\"Service\":\"orders-3\"");
	routes[added].dropped = true;
	config_put(3, services);
	vms_start_all();
	clients_set(lookup, "z-a", 20);
	clients_set(lookup, "z-c", 20);
	clients_set(old, "z-b", 10);
	run_for(4000);
	clients_set(added, "z-c", 10);
	snprintf(
	    routes[lookup].extra, sizeof(routes[lookup].extra), "%s", split);
	routes[old].dropped = true;
	routes[added].dropped = false;
	config_put(7, services);
	acked_ms = now_ms();
	run_for(8000);
	clients_set(old, "z-b", 0);
	config_put(12, services);
	fault_ms = now_ms();
	if (trouble) {
		for (i = 0; i < vm_count; i++)
			vm_kill(i, SIGKILL);
		run_for(1000);
		for (i = 0; i < vm_count; i++)
			vm_start(i);
	}
	back_ms = now_ms();
	run_for(bounds.recovery_s * 1000 + 10000);
	clients_stop();
	for (i = 0; i < request_count; i++) {
		const request_t *r = &requests[i];

		if (r->sent_ms <= acked_ms + bounds.apply_ms ||
		    r->sent_ms >= fault_ms)
			continue;
		late_old += r->route == old && r->ran_at >= 0;
		refused_added += r->route == added && r->refused_ms != 0;
	}
	SAY("sent later than %d ms after the version was acknowledged: run on "
	    "the dropped route %d, refused on the added route %d",
	    bounds.apply_ms, late_old, refused_added);
	before = served_percent(fault_ms - 4000, fault_ms);
	after = served_percent(back_ms + bounds.recovery_s * 1000,
	    back_ms + bounds.recovery_s * 1000 + 10000);
	return before >= 25 && after < 25;
}

/* An entry of another writer whose id ends in a NUL byte. */
static int
case_key(bool trouble)
{
	char id[32];
	int i, lookup, old, added, late_old = 0, refused_added = 0;
	int64_t acked_ms;

	add_vms();
	for (i = 1; i <= 6; i++) {
		snprintf(id, sizeof(id), "i-e1499fdc%02d", i);
		backend_start(backend_add(id, i <= 4 ? "orders" : "certs",
				  i % 2 == 0 ? "z-a" : "z-b", 3, 20),
		    0);
	}
	lookup = route_add("lookup", "orders", ROUTE_HOST, ROUTE_PORT, true,
	    "\"Service\":\"orders\"");
	old = route_add("old", "orders", ROUTE_HOST, ROUTE_PORT + 1, true,
	    "\"Service\":\"orders\"");
	added = route_add("added", "certs", ROUTE_HOST, ROUTE_PORT + 2, true,
	    "\"Service\":\"certs\"");
	routes[added].dropped = true;
	config_put(3, named_services);
	vms_start_all();
	clients_set(lookup, "z-a", 20);
	clients_set(old, "z-b", 10);
	run_for(4000);
	if (trouble)
		store_put("servers/i-e1499fdc09\\u0000", "{}");
	run_for(6000);
	clients_set(added, "z-c", 10);
	routes[old].dropped = true;
	routes[added].dropped = false;
	config_put(7, named_services);
	acked_ms = now_ms();
	run_for(15000);
	clients_stop();
	for (i = 0; i < request_count; i++) {
		const request_t *r = &requests[i];

		if (r->sent_ms <= acked_ms + bounds.apply_ms)
			continue;
		late_old += r->route == old && r->ran_at >= 0;
		refused_added += r->route == added && r->refused_ms != 0;
	}
	SAY("sent later than %d ms after the version was acknowledged: run on "
	    "the dropped route %d, refused on the added route %d",
	    bounds.apply_ms, late_old, refused_added);
	SAY("requests %d, answered %d", request_count, answered());
	return late_old > 0 || refused_added > 0;
}

static const case_entry_t cases[] = {
	{ "failback", case_failback },
	{ "token", case_token },
	{ "foreign", case_foreign },
	{ "split", case_split },
	{ "key", case_key },
};

int
run_case(const char *name, bool trouble)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		if (strcmp(cases[i].name, name) == 0)
			return cases[i].run(trouble);
	cannot_run("no case '%s'", name);
}
