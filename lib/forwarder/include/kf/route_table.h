#ifndef KF_ROUTE_TABLE_H
#define KF_ROUTE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/addr.h"
#include "kf/status.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_route_table - routes of one configuration version
 *
 * DESCRIPTION
 *	A table is immutable.  Routes that a new version no longer has are kept
 *	and marked as removed.  This tells packets of their open flows, which
 *	are refused, from packets of routes that this VM does not know yet.
 */

enum {
	KF_ROUTE_NAME_BYTES = 48,
	/* Limits the memory of routes that an earlier version removed; flows of
	 * those beyond it are treated like flows of a route not known yet. */
	KF_ROUTE_MAX_REMOVED = 4096,
};

/* One of the services among which a route divides its flows. */
typedef struct kf_route_share {
	uint64_t service;    /* kf_name_key */
	uint64_t weight_sum; /* of this share and those before it */
} kf_route_share_t;

typedef struct kf_route {
	kf_addr_t address;
	char name[KF_ROUTE_NAME_BYTES];
	const kf_route_share_t *shares; /* any number */
	uint32_t share_count;		/* 0: new flows are refused */
	uint32_t priority;		/* 0 is the most urgent */
	int64_t latency_goal_us;
	int64_t timeout_us;
	bool idempotent;
	bool removed;
	uint32_t order; /* in the configuration; set by the table */
} kf_route_t;

/* What the configuration says of a service's upstreams after their start. */
typedef struct kf_service_cold {
	uint64_t service;      /* kf_name_key */
	double cold_per_s;     /* requests a second that a cold one serves */
	int64_t cold_start_us; /* length of the cold start */
} kf_service_cold_t;

typedef struct kf_route_table {
	uint64_t version;
	int64_t idle_timeout_us; /* after which a flow may be removed */
	kf_route_t *routes;	 /* sorted by address */
	size_t count;
	kf_route_share_t *shares; /* those of all routes */
	kf_service_cold_t *services;
	size_t service_count;
	size_t same_address;  /* routes left out for an earlier one's address */
	size_t parts_refused; /* of the configuration, which are left out */
} kf_route_table_t;

/* Returns the 64-bit key (a hash) of a service, zone or upstream name. */
uint64_t kf_name_key(const char *name);

/*
 * Builds a table from a copy of count routes and of their shares.  Of routes
 * with the same address the first one is kept.  Routes that only previous has
 * are kept as removed, without shares; previous may be NULL.  Returns NULL if
 * memory is short.
 */
kf_route_table_t *kf_route_table_new(uint64_t version, int64_t idle_timeout_us,
    const kf_route_t *routes, size_t count, const kf_route_table_t *previous);
void kf_route_table_delete(kf_route_table_t *table);

/* Adds the services of the configuration to a table that has none, before the
 * table is in use. */
kf_status_t kf_route_table_set_services(
    kf_route_table_t *table, const kf_service_cold_t *services, size_t count);

/* Returns the requests a second that a cold upstream of a service serves; 0 if
 * the configuration does not say. */
double kf_route_table_cold_per_s(
    const kf_route_table_t *table, uint64_t service);

/* Returns true if the configuration names the service. */
bool kf_route_table_names_service(
    const kf_route_table_t *table, uint64_t service);

/* Returns the route of an address, also a removed one, or NULL.  table may be
 * NULL. */
const kf_route_t *kf_route_table_find(
    const kf_route_table_t *table, kf_addr_t address);

/* Selects the service of a flow by its hash and the weights of the shares;
 * returns 0 if all weights are 0, or the route has no shares. */
uint64_t kf_route_service(const kf_route_t *route, uint64_t flow_hash);

#ifdef __cplusplus
}
#endif

#endif
