#ifndef KF_ROUTE_TABLE_H
#define KF_ROUTE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/addr.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_route_table - the routes of one configuration version
 *
 * DESCRIPTION
 *	A table does not change once it is built.  Routes that a version drops
 *	stay in the table as removed, so that packets of their open flows are
 *	told apart from packets of routes this VM has not heard of yet.
 */

enum {
	KF_ROUTE_NAME_BYTES = 48,
	KF_ROUTE_MAX_SHARES = 8,
	/* Bounds the memory of routes that no longer exist. */
	KF_ROUTE_MAX_REMOVED = 4096,
};

typedef struct kf_route_share {
	uint64_t service; /* kf_name_key */
	uint32_t weight;
} kf_route_share_t;

typedef struct kf_route {
	kf_addr_t address;
	char name[KF_ROUTE_NAME_BYTES];
	kf_route_share_t shares[KF_ROUTE_MAX_SHARES];
	uint32_t share_count;
	uint32_t priority; /* 0 is the most urgent */
	int64_t latency_goal_us;
	int64_t timeout_us;
	bool idempotent;
	bool removed;
} kf_route_t;

typedef struct kf_route_table {
	uint64_t version;
	int64_t idle_timeout_us; /* an idle flow may be forgotten then */
	kf_route_t *routes;	 /* by address */
	size_t count;
} kf_route_table_t;

/* 64-bit key of a service, zone or upstream name. */
uint64_t kf_name_key(const char *name);

/*
 * Copies count routes; KF_ERR_CONFLICT if two have one address.  Routes that
 * only previous has (it may be NULL) are kept as removed.
 */
kf_route_table_t *kf_route_table_new(uint64_t version, int64_t idle_timeout_us,
    const kf_route_t *routes, size_t count, const kf_route_table_t *previous);
void kf_route_table_delete(kf_route_table_t *table);

/* Returns NULL if no route ever had the address. */
const kf_route_t *kf_route_table_find(
    const kf_route_table_t *table, kf_addr_t address);

/* The service that a flow with this hash goes to; 0 if there is none. */
uint64_t kf_route_service(const kf_route_t *route, uint64_t flow_hash);

#ifdef __cplusplus
}
#endif

#endif
