#ifndef KF_APPLIER_H
#define KF_APPLIER_H

#include "kf/eventlog.h"
#include "kf/replica.h"

#include "packet_thread.h"

/*
 * NAME
 *	applier - puts items of the replica in force
 *
 * DESCRIPTION
 *	Decodes an item that has changed and hands it to the forwarder.  An
 *	entry that cannot be decoded names no upstream; a configuration that
 *	cannot be decoded leaves the one in force.
 */

typedef struct applier {
	packet_thread_t *packets;
	kf_eventlog_t *log;
	const kf_route_table_t *routes; /* in force; the forwarder owns them */
	int64_t contact_us;		/* latest contact with the store */
	int64_t outage_us; /* end of its last outage; INT64_MIN: none */
	uint64_t refused;  /* items that could not be decoded */
} applier_t;

/* Upstreams that change between these calls are put in force together. */
void applier_hold(applier_t *applier);
void applier_release(applier_t *applier);

/* A kf_replica callback; ctx is the applier_t. */
void applier_changed(void *ctx, const kf_item_t *item, int64_t now_us);

/* Version of the configuration in force; 0: none. */
uint64_t applier_config_version(const applier_t *applier);

/* The store has been reached, by this VM or by one that told it. */
void applier_contact(applier_t *applier, int64_t contact_us);

#endif
