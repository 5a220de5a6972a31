#ifndef KF_ZONE_SET_H
#define KF_ZONE_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/status.h"

/*
 * NAME
 *	zone_set - a set of availability zones of any number
 *
 * DESCRIPTION
 *	Zones are given as kf_name_key.  A zeroed set is empty.
 */

typedef struct zone_set {
	uint64_t *zones;
	size_t count;
	size_t cap;
} zone_set_t;

void zone_set_clear(zone_set_t *set);
bool zone_set_has(const zone_set_t *set, uint64_t zone);
kf_status_t zone_set_add(zone_set_t *set, uint64_t zone);
void zone_set_remove(zone_set_t *set, uint64_t zone);

#endif
