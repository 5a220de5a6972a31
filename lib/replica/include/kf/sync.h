#ifndef KF_SYNC_H
#define KF_SYNC_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_sync - when to read the store and when to ask another VM
 *
 * DESCRIPTION
 *	Reads of the store are limited and cost money, so one VM of each zone
 *	watches it, the one of the lowest rank, and the others take its
 *	changes.  A VM that hears of no contact with the store for some time
 *	reads for itself, those of a low rank first.
 *
 *	A VM that starts takes what a peer has.  Seeds, and VMs that no peer
 *	has answered soon, list the store instead, with a read that may be
 *	stale, and ask for the changes since.  A listing of 400 KB takes 0.3 s
 *	on a link of 10 Mbit/s, a peer's compressed answer 12 ms, so a listing
 *	is given up when a peer has answered meanwhile.
 */

enum {
	/* Each waiting watch is a call; its answer, also an empty one, is the
	 * contact that others rely on. */
	KF_SYNC_WATCH_WAIT_MS = 1000,
	/* Time beyond the wait after which a watch has failed. */
	KF_SYNC_SLACK_MS = 800,
	KF_SYNC_LIST_TIMEOUT_MS = 1500,
	KF_SYNC_PULL_TIMEOUT_MS = 500,
	/* Time for a peer's first answer, 2 to 3 ms away, before a VM that
	 * starts lists the store, and more at random.  VMs that start together
	 * find no peer with data, and 20 ms more without any VM cost 0.015 of
	 * a day's worth on the small deployments. */
	KF_SYNC_START_US = 4000,
	KF_SYNC_START_SPREAD_US = 2000,
	/* Time for the data of a peer that has answered. */
	KF_SYNC_START_PULL_US = 100000,
	/* Time for the first changes before a listing has to do. */
	KF_SYNC_SETTLE_US = 500000,
	/* Changes that come together are read together. */
	KF_SYNC_WATCH_GAP_US = 50000,
	KF_SYNC_RETRY_MIN_US = 100000,
	KF_SYNC_RETRY_MAX_US = 800000,
	/* Age of the contact heard of at which the second of a zone reads for
	 * itself: wait and slack of a watch, and the time until peers hear. */
	KF_SYNC_TAKEOVER_US = 2400000,
	/* Added for each rank, up to the maximum. */
	KF_SYNC_RANK_US = 300000,
	KF_SYNC_RANK_MAX_US = 3000000,
};

typedef enum kf_sync_call {
	KF_SYNC_LIST = 0,
	KF_SYNC_WATCH,
	KF_SYNC_PULL,
	KF_SYNC_CALL_COUNT
} kf_sync_call_t;

const char *kf_sync_call_name(kf_sync_call_t call);

typedef enum kf_sync_outcome {
	KF_SYNC_OK = 0,
	KF_SYNC_FAILED,
	KF_SYNC_HISTORY_GONE, /* the store has dropped these changes */
	KF_SYNC_BEHIND,	      /* the listing was older than what is known */
} kf_sync_outcome_t;

/* What other VMs say. */
typedef struct kf_sync_peers {
	uint32_t rank; /* of this VM in its zone, from 0 */
	/* Latest time at which a VM that holds the same revision had contact
	 * with the store; INT64_MIN: never. */
	int64_t contact_us;
	uint64_t ahead_revision; /* highest revision of another VM */
	uint32_t ahead_ip;	 /* the VM that has it; 0: none */
} kf_sync_peers_t;

typedef struct kf_sync {
	bool ask_peers;		    /* before the first listing */
	int64_t list_not_before_us; /* while peers may answer */
	uint64_t revision;	    /* of the replica */
	bool listed;
	int64_t listed_us;
	bool fresh_list_needed; /* a stale read will not do */
	bool caught_up;		/* changes after the first listing are known */
	int64_t contact_us;	/* own contact with the store; INT64_MIN */
	bool busy_store;
	kf_sync_call_t store_call; /* while busy_store */
	bool busy_peer;
	uint32_t store_failures; /* in a row */
	int64_t store_not_before_us;
	int64_t peer_not_before_us;
} kf_sync_t;

typedef struct kf_sync_order {
	bool store;	     /* a call to the store is due */
	kf_sync_call_t call; /* LIST or WATCH */
	bool stale;	     /* the listing may be seconds old */
	uint32_t wait_ms;    /* of the watch */
	bool pull;	     /* a call to the VM ahead_ip is due */
} kf_sync_order_t;

/* ask_peers: other VMs are likely to have what this one needs; jitter: 0 to 1,
 * spreads the first listings. */
void kf_sync_init(
    kf_sync_t *sync, bool ask_peers, double jitter, int64_t now_us);

/* Decides and marks the calls as under way. */
kf_sync_order_t kf_sync_next(
    kf_sync_t *sync, const kf_sync_peers_t *peers, int64_t now_us);

/* When a call that has to wait may be due; INT64_MAX: none has to. */
int64_t kf_sync_due_us(const kf_sync_t *sync, int64_t now_us);

/* jitter: 0 to 1, spreads the next attempts after a failure. */
void kf_sync_done(kf_sync_t *sync, kf_sync_call_t call,
    kf_sync_outcome_t outcome, uint64_t revision, double jitter,
    int64_t now_us);

/* True if a listing under way is needless by now and has to be cancelled. */
bool kf_sync_drop_listing(kf_sync_t *sync, int64_t now_us);

/* The calls under way have been given up, after a pause of the process. */
void kf_sync_restart(kf_sync_t *sync, int64_t now_us);

/* True once this VM may take traffic. */
bool kf_sync_ready(const kf_sync_t *sync);

#ifdef __cplusplus
}
#endif

#endif
