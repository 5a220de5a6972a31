#ifndef KF_APPLIER_H
#define KF_APPLIER_H

#include "kf/eventlog.h"
#include "kf/replica.h"
#include "kf/upstream_entries.h"

#include "line_limit.h"
#include "packet_thread.h"

/*
 * NAME
 *	applier - applies changed items of the replica to the forwarder
 *
 * DESCRIPTION
 *	Decodes each changed item and updates the upstreams, the routes or the
 *	evacuated zones of the forwarder.  An upstream whose entry cannot be
 *	decoded is removed.  If a configuration cannot be decoded at all, the
 *	previous one stays in use; a part of it that cannot be read is left out.
 *	A zone is evacuated also if the item's value cannot
 *	be decoded, because sending nothing there breaks nothing.
 *
 *	After the store was restored from a backup, what is known holds where
 *	the backup shows less: an item from_backup does not bring back an
 *	upstream that drains or has left, a lost upstream has lapsed, and a lost
 *	evacuation stays in force until kf_replica_release_lost.
 */

typedef struct applier {
	packet_thread_t *packets;
	kf_eventlog_t *log;
	const kf_route_table_t *routes; /* in use; owned by the forwarder */
	int64_t contact_us;		/* latest contact with the store */
	int64_t outage_end_us; /* of the last store outage; INT64_MIN: none */
	int64_t first_contact_us; /* INT64_MIN: none yet */
	uint64_t refused; /* items that could not be decoded or applied */
	line_limit_t refused_lines;
	kf_upstream_entries_t entries;
	line_limit_t conflict_lines;
	bool loaded;	     /* the first batch of items has been applied */
	uint32_t part_lines; /* logged of the configuration being decoded */
} applier_t;

void applier_init(
    applier_t *applier, packet_thread_t *packets, kf_eventlog_t *log);

/* Frees what the applier holds. */
void applier_clear(applier_t *applier);

/*
 * Begin and end a batch of changes.  Changes of upstreams take effect together
 * at the end of the batch, so that their index is built only once.
 */
void applier_begin_batch(applier_t *applier);
void applier_end_batch(applier_t *applier);

/* Applies a changed item; a kf_replica callback, ctx is the applier_t. */
void applier_apply(void *ctx, const kf_item_t *item, int64_t now_us);

/* Uses other entries in place of those that have lapsed; to be called each
 * second or so. */
void applier_end_lapses(applier_t *applier, int64_t now_us);

/* Counts and logs an item that cannot be used; kf_status_message has the
 * reason. */
void applier_refuse(applier_t *applier, const char *key, uint64_t revision);

/* Returns the version of the configuration in use, 0 if there is none. */
uint64_t applier_config_version(const applier_t *applier);

/* Returns the number of its parts that are left out, as they cannot be read. */
size_t applier_config_parts_refused(const applier_t *applier);

/* Passes to the forwarder that its data are complete as of confirmed_us. */
void applier_set_confirmed(applier_t *applier, int64_t confirmed_us);

/* Records that this VM or another one reached the store at contact_us. */
void applier_record_contact(applier_t *applier, int64_t contact_us);

#endif
