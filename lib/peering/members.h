#ifndef KF_MEMBERS_H
#define KF_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/peering.h"
#include "peer_clock.h"
#include "peering_msg.h"

/*
 * NAME
 *	members - table of the other VMs, sorted by address
 */

typedef struct member {
	uint32_t ip;
	uint64_t zone;
	int64_t last_heard_us; /* from it or through another VM */
	/* Revision 0: no data, or known only from other VMs. */
	kf_store_position_t position;
	/* Contact of the VM with the store, at the earliest; INT64_MIN: none,
	 * or its time is not known. */
	int64_t contact_us;
	peer_clock_t clock;
	peering_question asks; /* not yet answered */
	/* When a pull from it has failed last; INT64_MIN: never. */
	int64_t pull_failed_us;
	int64_t last_beacon_us; /* sent at the earliest; INT64_MIN: none */
	uint32_t demand_count;
	peering_demand demands[KF_PEERING_MAX_DEMANDS];
} member_t;

/* A VM that has announced its departure. */
typedef struct departure {
	uint32_t ip;
	uint64_t zone;
	int64_t left_us;
} departure_t;

enum { MEMBERS_MAX_DEPARTURES = 64 };

typedef struct members {
	member_t *list; /* sorted by ip */
	size_t count;
	size_t cap;
	/* The newest replaces the oldest. */
	departure_t left[MEMBERS_MAX_DEPARTURES];
} members_t;

void members_free(members_t *members);

/* Returns NULL if the VM is not known. */
member_t *members_find(const members_t *members, uint32_t ip);
/*
 * Adds a VM that is not known yet; returns NULL if the table is full or memory
 * is short.
 */
member_t *members_add(members_t *members, uint32_t ip, uint64_t zone);
/*
 * Removes a VM that left at left_us and records the departure, unless the VM
 * has been heard from since.
 */
void members_mark_left(
    members_t *members, uint32_t ip, uint64_t zone, int64_t left_us);
/* True if the VM has left and last_heard_us is not later than its departure. */
bool members_has_left(
    const members_t *members, uint32_t ip, int64_t last_heard_us);

#endif
