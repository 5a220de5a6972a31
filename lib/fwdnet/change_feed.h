#ifndef KF_CHANGE_FEED_H
#define KF_CHANGE_FEED_H

#include "kf/replica.h"

/*
 * NAME
 *	change_feed - changes of the replica, encoded for other VMs
 */

/*
 * Cache of the last full listing sent to another VM, so that it is not
 * compressed again for each of several VMs that start together.
 */
typedef struct change_feed {
	uint8_t *listing;
	size_t len;
	kf_store_position_t position;
} change_feed_t;

void change_feed_free(change_feed_t *feed);

/*
 * Encodes the changes after a position, or a full listing if the replica no
 * longer holds all of them or is of another era.  The result is freed by the
 * caller.
 */
uint8_t *change_feed_encode(change_feed_t *feed, const kf_replica_t *replica,
    kf_store_position_t after, size_t *len);

#endif
