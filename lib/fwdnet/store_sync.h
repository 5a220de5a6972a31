#ifndef KF_STORE_SYNC_H
#define KF_STORE_SYNC_H

#include "kf/eventlog.h"
#include "kf/peering.h"
#include "kf/replica.h"
#include "kf/sync.h"

#include "applier.h"
#include "kf/http_client.h"

/*
 * NAME
 *	store_sync - keeps the replica up to date
 *
 * DESCRIPTION
 *	Makes the HTTP calls to the store or to another VM that kf_sync
 *	schedules, and applies the responses to the replica.
 */

typedef struct store_sync store_sync_t;

typedef struct store_sync_stats {
	uint64_t calls[KF_SYNC_CALL_COUNT];
	uint64_t failures[KF_SYNC_CALL_COUNT];
} store_sync_stats_t;

typedef struct store_sync_config {
	kf_addr_t store;
	uint16_t peer_port;
	bool ask_peers;	  /* at start-up, before listing the store */
	int64_t bound_us; /* how long data may be used after a contact */
	/* Called when a pull from a VM has failed. */
	void (*pull_failed)(void *ctx, uint32_t ip);
	void *ctx;
} store_sync_config_t;

store_sync_t *store_sync_new(http_client_t *client, applier_t *applier,
    kf_eventlog_t *log, const store_sync_config_t *config);
void store_sync_delete(store_sync_t *sync);

void store_sync_set_store(store_sync_t *sync, kf_addr_t store);
void store_sync_set_bound(store_sync_t *sync, int64_t bound_us);

/* Starts the calls that are due. */
void store_sync_run(
    store_sync_t *sync, const kf_peering_view_t *view, int64_t now_us);

/* Cancels all calls after the process was suspended; they may be dead. */
void store_sync_restart(store_sync_t *sync, int64_t now_us);

/* True once upstreams are known, even outdated ones.  Packets of open flows can
 * be forwarded then; SYNs wait for the configuration. */
bool store_sync_can_forward(const store_sync_t *sync);
/* Returns when the next call may be due. */
int64_t store_sync_due_us(const store_sync_t *sync, int64_t now_us);

bool store_sync_ready(const store_sync_t *sync);
kf_store_position_t store_sync_position(const store_sync_t *sync);
/* Last contact of this VM with the store; INT64_MIN: none. */
int64_t store_sync_contact_us(const store_sync_t *sync);
const store_sync_stats_t *store_sync_stats(const store_sync_t *sync);

/*
 * Encodes the changes after a position for another VM, or a full listing if
 * the replica no longer holds all of them or is of another era.  The result is
 * freed by the caller.
 */
uint8_t *store_sync_changes(
    store_sync_t *sync, kf_store_position_t after, size_t *len);

#endif
