#ifndef KF_SYNC_H
#define KF_SYNC_H

#include <stdbool.h>
#include <stdint.h>

#include "kf/position.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_sync - decides when to read the store and when to pull from
 *	another VM
 *
 * DESCRIPTION
 *	Reads of the store are limited and cost money.  Therefore only one VM
 *	of each zone watches the store, the one of rank 0, and the others
 *	pull its changes.  When a VM knows of no recent contact with the
 *	store, it reads the store itself; VMs with a low rank do so first.
 *
 *	What a VM knows may be used for bound_us after a contact, the time
 *	within which changes have to be in force.  Whatever its rank, a VM
 *	reads the store early enough before that for a read, its timeout and
 *	a retry.  After that the ranks only spread further reads.
 *
 *	A starting VM pulls the replica of a peer.  Seeds, and VMs that no
 *	peer answers in time, list the store instead, with a read that may be
 *	stale, and then watch for the changes since.  A listing of 400 KB
 *	takes 0.3 s on a link of 10 Mbit/s, a compressed answer of a peer 12
 *	ms; so a listing is cancelled if a peer has answered meanwhile.
 *
 *	An answer may be late, or wait while the process is frozen, so the
 *	time at which it is processed says nothing of its age.  An answer
 *	holds as of the time at which the call was made, and that of a watch
 *	without changes as of the end of its wait.
 *
 *	The module does no I/O: kf_sync_start_due_calls says which calls to
 *	make, and kf_sync_call_done takes their outcomes.
 */

enum {
	/*
	 * How long the store holds a watch open without changes.  Every watch
	 * counts as a read, so a short wait costs more; its answer, even an
	 * empty one, is the contact with the store that other VMs rely on.
	 */
	KF_SYNC_WATCH_WAIT_MS = 1000,
	/* A watch fails if it is not answered this long after its wait. */
	KF_SYNC_WATCH_MARGIN_MS = 800,
	KF_SYNC_LIST_TIMEOUT_MS = 1500,
	KF_SYNC_PULL_TIMEOUT_MS = 500,
	/*
	 * A read that is to be in force within the bound fails after this part
	 * of it.  The second retry and those after it have the margin of a
	 * watch, for a store that is slow.
	 */
	KF_SYNC_READ_TIMEOUT_DIVISOR = 10,
	/* Time for the pause before the retry, and for the loop of the VM. */
	KF_SYNC_READ_RESERVE_US = 250000,
	/*
	 * Time that a starting VM allows for the first beacon of a peer, which
	 * takes 2 to 3 ms, before it lists the store, plus a random part.  It
	 * is short because VMs that start together find no peer with data: 20
	 * ms more without any VM in service lowered the users' benchmark score
	 * of a day, which is at most 1, by 0.015 on the small deployments.
	 */
	KF_SYNC_START_LIST_DELAY_US = 4000,
	KF_SYNC_START_LIST_JITTER_US = 2000,
	/* Further delay of the first listing while a pull is in progress. */
	KF_SYNC_START_PULL_DELAY_US = 100000,
	/*
	 * Time after the first listing or pull at which the VM takes traffic
	 * even if no changes since have been confirmed.
	 */
	KF_SYNC_CATCH_UP_TIMEOUT_US = 500000,
	/*
	 * Pause between watches, so that changes close together are read at
	 * once.
	 */
	KF_SYNC_WATCH_GAP_US = 50000,
	/* Usual age of the contact when a watch begins: the pause between
	 * watches, and the time that the answer before took. */
	KF_SYNC_WATCH_AGE_US = KF_SYNC_WATCH_GAP_US + 50000,
	KF_SYNC_RETRY_MIN_US = 100000,
	KF_SYNC_RETRY_MAX_US = 800000,
	/*
	 * Added to the longest pause for each rank, up to a limit, so that a
	 * store that is down is not read by hundreds of VMs each second.
	 */
	KF_SYNC_RETRY_PER_RANK_US = 100000,
	KF_SYNC_RETRY_RANK_MAX_US = 2500000,
	/*
	 * Age of the last known contact with the store at which another VM of
	 * the zone reads the store, if the bound allows: wait and margin of a
	 * watch, and the time until the answer is known to peers.
	 */
	KF_SYNC_TAKEOVER_US = 2400000,
	/*
	 * Added for each rank, so that a zone of hundreds of VMs does not read
	 * a store that is down with all of them.
	 */
	KF_SYNC_TAKEOVER_PER_RANK_US = 300000,
	/* Most that is added at a VM that hears no other VM of its zone, which
	 * may be the only one that reaches the store. */
	KF_SYNC_TAKEOVER_RANK_MAX_US = 3000000,
	/* A VM is alone if no beacon has arrived for this time; each VM gets
	 * about two in 450 ms. */
	KF_SYNC_ALONE_US = 2000000,
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
	KF_SYNC_UNCHANGED, /* a watch has ended without changes */
	KF_SYNC_FAILED,
	/* The store no longer has these changes, or was restored. */
	KF_SYNC_HISTORY_GONE,
	KF_SYNC_BEHIND, /* the listing is older than the replica */
} kf_sync_outcome_t;

/* State of the other VMs, from their beacons. */
typedef struct kf_sync_peers {
	uint32_t rank; /* of this VM in its zone, from 0 */
	/* Latest time at which a VM whose changes this VM has all had contact
	 * with the store; INT64_MIN: never. */
	int64_t contact_us;
	int64_t heard_us; /* latest beacon of the zone; INT64_MIN: none */
	kf_store_position_t ahead; /* highest position of another VM */
	uint32_t ahead_ip;	   /* a VM that has it; 0: none */
} kf_sync_peers_t;

typedef struct kf_sync {
	int64_t bound_us;	      /* see DESCRIPTION */
	uint32_t rank;		      /* as of the last call to the store */
	bool ask_peers;		      /* pull first, list only after a delay */
	int64_t list_not_before_us;   /* applies if ask_peers */
	kf_store_position_t position; /* of the replica */
	bool listed; /* the replica has data, from a listing or a pull */
	int64_t listed_us;
	bool fresh_list_needed; /* after the store dropped changes */
	bool caught_up;		/* has the changes after the first listing */
	/*
	 * Own last contact with the store: a time up to which the replica holds
	 * all that the store had acknowledged.  INT64_MIN: never.
	 */
	int64_t contact_us;
	bool store_call_active;
	/* Valid while store_call_active. */
	kf_sync_call_t store_call;
	int64_t store_call_us; /* when it was made */
	uint32_t store_wait_ms;
	bool peer_call_active;
	uint32_t store_failures; /* in a row */
	int64_t store_not_before_us;
	int64_t peer_not_before_us;
} kf_sync_t;

typedef struct kf_sync_actions {
	bool store;	     /* make a call to the store */
	kf_sync_call_t call; /* LIST or WATCH */
	bool stale;	     /* a listing may be seconds old */
	uint32_t wait_ms;    /* of the watch */
	uint32_t timeout_ms; /* of the call */
	bool pull;	     /* pull from the VM ahead_ip */
} kf_sync_actions_t;

/*
 * bound_us: how long after a contact with the store its data may be used.
 * ask_peers: other VMs are likely to have data; the first listing is delayed to
 * allow for their answers.  jitter, 0 to 1, spreads the first listings of VMs.
 */
void kf_sync_init(kf_sync_t *sync, int64_t bound_us, bool ask_peers,
    double jitter, int64_t now_us);

void kf_sync_set_bound(kf_sync_t *sync, int64_t bound_us);

/* Returns the calls that are due and marks them as in progress. */
kf_sync_actions_t kf_sync_start_due_calls(
    kf_sync_t *sync, const kf_sync_peers_t *peers, int64_t now_us);

/* Time at which a delayed call becomes due; INT64_MAX: no call is delayed. */
int64_t kf_sync_next_call_us(const kf_sync_t *sync, int64_t now_us);

/*
 * Processes the end of a call.  position is that of the replica.  jitter, 0 to
 * 1, spreads the next attempts after a failure.
 */
void kf_sync_call_done(kf_sync_t *sync, kf_sync_call_t call,
    kf_sync_outcome_t outcome, kf_store_position_t position, double jitter,
    int64_t now_us);

/*
 * True if the caller has to cancel the listing in progress, because data have
 * been pulled meanwhile.
 */
bool kf_sync_cancel_listing(kf_sync_t *sync, int64_t now_us);

/*
 * Forgets the calls in progress, which the caller has aborted after the process
 * was suspended.
 */
void kf_sync_restart(kf_sync_t *sync, int64_t now_us);

/* True once this VM may take traffic. */
bool kf_sync_ready(const kf_sync_t *sync);

#ifdef __cplusplus
}
#endif

#endif
