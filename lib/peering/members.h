#ifndef KF_MEMBERS_H
#define KF_MEMBERS_H

#include <stddef.h>
#include <stdint.h>

#include "kf/peering.h"
#include "peering_msg.h"

/*
 * NAME
 *	members - what a VM knows of the others, by address
 */

typedef struct member {
	uint32_t ip;
	uint64_t zone;
	int64_t heard_us;
	uint64_t revision;  /* 0: only heard of */
	int64_t contact_us; /* INT64_MIN: none */
	peering_question asks;
	int64_t direct_us; /* own beacon; INT64_MIN: none */
	uint32_t load_count;
	peering_load loads[KF_PEERING_MAX_LOADS];
} member_t;

typedef struct members {
	member_t *list; /* by ip */
	size_t count;
	size_t cap;
} members_t;

void members_free(members_t *members);

/* NULL if it is not known. */
member_t *members_find(const members_t *members, uint32_t ip);
/* Of a VM that is not known; NULL if there is no room. */
member_t *members_add(members_t *members, uint32_t ip, uint64_t zone);
void members_remove(members_t *members, uint32_t ip);

#endif
