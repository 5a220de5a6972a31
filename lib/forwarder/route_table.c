#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "kf/route_table.h"
#include "kf/search.h"

uint64_t
kf_name_key(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

static int
address_compare(kf_addr_t a, kf_addr_t b)
{
	if (a.ip != b.ip)
		return a.ip < b.ip ? -1 : 1;
	return (a.port > b.port) - (a.port < b.port);
}

static int
route_compare(const void *a, const void *b)
{
	return address_compare(
	    ((const kf_route_t *)a)->address, ((const kf_route_t *)b)->address);
}

static int
order_compare(const void *a, const void *b)
{
	uint32_t x = ((const kf_route_t *)a)->order;
	uint32_t y = ((const kf_route_t *)b)->order;
	int order = route_compare(a, b);

	return order != 0 ? order : (x > y) - (x < y);
}

const kf_route_t *
kf_route_table_find(const kf_route_table_t *table, kf_addr_t address)
{
	kf_route_t key = { .address = address };

	return table == NULL || table->count == 0
	    ? NULL
	    : bsearch(&key, table->routes, table->count, sizeof(key),
		  route_compare);
}

/*
 * Appends up to max routes that only previous has, marked as removed: those
 * that it has in use, or those that it keeps as removed itself.
 */
static void
keep_removed(kf_route_table_t *table, const kf_route_table_t *current,
    const kf_route_table_t *previous, bool removed_before, size_t max)
{
	size_t i;

	for (i = 0; i < previous->count && max > 0; i++) {
		const kf_route_t *route = &previous->routes[i];

		if (route->removed != removed_before ||
		    kf_route_table_find(current, route->address) != NULL)
			continue;
		table->routes[table->count] = *route;
		table->routes[table->count].shares = NULL;
		table->routes[table->count].share_count = 0;
		table->routes[table->count].removed = true;
		table->count++;
		max--;
	}
}

/* Routes that this version removes are all kept: they have flows. */
static void
keep_all_removed(kf_route_table_t *table, const kf_route_table_t *previous)
{
	const kf_route_table_t current = *table;

	keep_removed(table, &current, previous, false, SIZE_MAX);
	keep_removed(table, &current, previous, true, KF_ROUTE_MAX_REMOVED);
	qsort(
	    table->routes, table->count, sizeof(*table->routes), route_compare);
}

/* Sorts the routes and keeps the first one of each address. */
static void
sort_routes(kf_route_table_t *table)
{
	size_t i, kept = 0;

	for (i = 0; i < table->count; i++)
		table->routes[i].order = (uint32_t)i;
	qsort(
	    table->routes, table->count, sizeof(*table->routes), order_compare);
	for (i = 0; i < table->count; i++) {
		kf_route_t *route = &table->routes[i];

		if (kept > 0 &&
		    route_compare(&table->routes[kept - 1], route) == 0) {
			kf_status_set(KF_ERR_CONFLICT,
			    "routes %s and %s have the same address",
			    table->routes[kept - 1].name, route->name);
			continue;
		}
		table->routes[kept++] = *route;
	}
	table->same_address = table->count - kept;
	table->count = kept;
}

/*
 * Copies the shares of the table's routes.  They lie side by side in the order
 * of the routes, so that the table needs two blocks of memory at any size.
 */
static kf_status_t
copy_shares(kf_route_table_t *table)
{
	size_t i, count = 0;

	for (i = 0; i < table->count; i++)
		count += table->routes[i].share_count;
	table->shares = calloc(count + 1, sizeof(*table->shares));
	if (table->shares == NULL)
		return kf_status_set(KF_ERR_NO_MEMORY, "no memory for shares");
	for (count = 0, i = 0; i < table->count; i++) {
		kf_route_t *route = &table->routes[i];

		if (route->share_count == 0)
			continue;
		memcpy(table->shares + count, route->shares,
		    route->share_count * sizeof(*route->shares));
		route->shares = table->shares + count;
		count += route->share_count;
	}
	return KF_OK;
}

static kf_status_t
copy_routes(
    kf_route_table_t *table, const kf_route_t *routes, size_t count, size_t cap)
{
	table->routes = calloc(cap + 1, sizeof(*table->routes));
	if (table->routes == NULL)
		return kf_status_set(KF_ERR_NO_MEMORY, "no memory for routes");
	if (count > 0)
		memcpy(table->routes, routes, count * sizeof(*routes));
	table->count = count;
	sort_routes(table);
	return copy_shares(table);
}

kf_route_table_t *
kf_route_table_new(uint64_t version, int64_t idle_timeout_us,
    const kf_route_t *routes, size_t count, const kf_route_table_t *previous)
{
	size_t cap = count + (previous == NULL ? 0 : previous->count);
	kf_route_table_t *table;

	table = calloc(1, sizeof(*table));
	if (table == NULL)
		return NULL;
	table->version = version;
	table->idle_timeout_us = idle_timeout_us;
	if (copy_routes(table, routes, count, cap) != KF_OK) {
		kf_route_table_delete(table);
		return NULL;
	}
	if (previous != NULL)
		keep_all_removed(table, previous);
	return table;
}

void
kf_route_table_delete(kf_route_table_t *table)
{
	if (table == NULL)
		return;
	free(table->routes);
	free(table->shares);
	free(table->services);
	free(table);
}

kf_status_t
kf_route_table_set_services(
    kf_route_table_t *table, const kf_service_cold_t *services, size_t count)
{
	table->services = calloc(count + 1, sizeof(*services));
	if (table->services == NULL)
		return kf_status_set(
		    KF_ERR_NO_MEMORY, "no memory for services");
	if (count > 0)
		memcpy(table->services, services, count * sizeof(*services));
	table->service_count = count;
	return KF_OK;
}

double
kf_route_table_cold_per_s(const kf_route_table_t *table, uint64_t service)
{
	size_t i;

	for (i = 0; table != NULL && i < table->service_count; i++)
		if (table->services[i].service == service)
			return table->services[i].cold_per_s;
	return 0;
}

bool
kf_route_table_names_service(const kf_route_table_t *table, uint64_t service)
{
	size_t i;
	uint32_t j;

	for (i = 0; table != NULL && i < table->service_count; i++)
		if (table->services[i].service == service)
			return true;
	for (i = 0; table != NULL && i < table->count; i++)
		for (j = 0; j < table->routes[i].share_count; j++)
			if (table->routes[i].shares[j].service == service)
				return true;
	return false;
}

static int
share_compare(const void *key, const void *element)
{
	uint64_t point = *(const uint64_t *)key;

	return point < ((const kf_route_share_t *)element)->weight_sum ? -1 : 1;
}

uint64_t
kf_route_service(const kf_route_t *route, uint64_t flow_hash)
{
	uint64_t total, point;
	size_t at = 0;

	if (route->share_count == 0)
		return 0;
	total = route->shares[route->share_count - 1].weight_sum;
	if (total == 0)
		return 0;
	if (route->share_count > 1) {
		point = flow_hash % total;
		at = kf_lower_bound(&point, route->shares, route->share_count,
		    sizeof(*route->shares), share_compare);
	}
	return route->shares[at].service;
}
