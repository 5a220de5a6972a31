#ifndef KF_POSITION_H
#define KF_POSITION_H

#include <stdint.h>

/*
 * NAME
 *	kf_store_position - place in the history of the store
 *
 * DESCRIPTION
 *	The era counts how often the store was restored from a backup; 0 is a
 *	store that does not tell.  Revisions of different eras cannot be
 *	compared, because a restored store uses them again.
 */

typedef struct kf_store_position {
	uint64_t era;
	uint64_t revision; /* 0: no data */
} kf_store_position_t;

/* Returns a negative number, 0 or a positive number, as memcmp does. */
static inline int
kf_store_position_compare(kf_store_position_t a, kf_store_position_t b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	return (a.revision > b.revision) - (a.revision < b.revision);
}

#endif
