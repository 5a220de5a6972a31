#ifndef KF_FLOW_H
#define KF_FLOW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/status.h"
#include "kf/token.h"
#include "kf/verdict.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_flow - at-most-once execution at the owner and backup of a flow
 *
 * DESCRIPTION
 *	A flow keeps its KF_FLOW_RING most recent non-idempotent requests and
 *	a floor.  Evicting a request raises the floor above its generation, so
 *	that a late copy of it is KF_FLOW_STALE and is never run.  A request
 *	in progress on this VM is never evicted.
 *
 *	A table serves both roles of a VM.  A flow belongs to the owner that
 *	its token names; a call on behalf of another owner never runs a
 *	request.
 *
 *	After a not-run refusal, the table prevents this VM from running the
 *	request, but not the backup.  An owner must not send such a refusal
 *	before the backup has acknowledged INTENT or is known to be gone: a
 *	backup without a record runs a late copy after it has fenced the
 *	owner.  KF_FLOW_FULL leaves no record, so the request must be dropped
 *	or answered as may have run, not as not run.
 *
 *	The caller of this library must also keep these rules of the protocol,
 *	which models/at_most_once.pml checks.  An ACK counts only from the
 *	backup incarnation that the token names.  Without an ACK an owner
 *	dispatches only if it learned that the backup is gone at a time when
 *	the backup could not yet have fenced it.  A request whose INTENT was
 *	answered by NACK, or not at all, ends as KF_MAY_HAVE_RUN.
 *
 *	A reply pointer is valid until the next call with the same table.
 */

enum { KF_FLOW_RING = 8 };

typedef struct kf_flow_limits {
	uint32_t max_flows;
	size_t max_reply_bytes; /* stored replies with their overhead */
	/*
	 * Must be at least the token lifetime plus KF_RETRANSMIT_HORIZON_S, so
	 * that the token of every request in a dropped record has expired.
	 */
	int64_t idle_expiry_us;
	int64_t reply_expiry_us;
} kf_flow_limits_t;

typedef struct kf_request_id {
	uint64_t flow;
	uint32_t xid;
	uint32_t generation; /* of the token that came with the request */
} kf_request_id_t;

typedef enum kf_flow_state {
	KF_FLOW_NEW = 0, /* registered as in progress; kf_flow_finish ends it */
	KF_FLOW_IN_PROGRESS, /* begun and not ended; drop the copy */
	KF_FLOW_ANSWERED,    /* send the stored reply again */
	KF_FLOW_IN_DOUBT,    /* may have run; never run it */
	KF_FLOW_REFUSED,     /* not run; repeat the refusal */
	KF_FLOW_STALE,	     /* no record, may have run; never run it */
	KF_FLOW_FULL,	     /* not registered; drop the packet */
	KF_FLOW_STATE_COUNT
} kf_flow_state_t;

typedef struct kf_flow_stats {
	uint32_t flows;
	uint32_t replies;
	size_t reply_bytes;
	size_t memory_bytes;	/* flows, buckets and fences; not replies */
	uint64_t evicted;	/* requests evicted from their flow */
	uint64_t replies_lost;	/* dropped by the byte or time limit */
	uint64_t expired_flows; /* dropped when idle */
	uint64_t full;		/* refused because no room was left */
	uint64_t stale;		/* requests below the floor */
} kf_flow_stats_t;

typedef struct kf_flow_table kf_flow_table_t;

/* Returns NULL if the limits are invalid or memory is short. */
kf_flow_table_t *kf_flow_table_new(const kf_flow_limits_t *limits);
void kf_flow_table_delete(kf_flow_table_t *table);
kf_flow_stats_t kf_flow_table_stats(const kf_flow_table_t *table);

const char *kf_flow_state_name(kf_flow_state_t state);

/*
 * Owner: classifies a request and registers a new one as in progress.
 * *reply is set for KF_FLOW_ANSWERED, and for KF_FLOW_REFUSED if a reply was
 * stored with the refusal; else it is NULL.
 */
kf_flow_state_t kf_flow_begin(kf_flow_table_t *table, int64_t now_us,
    const kf_request_id_t *id, const uint8_t **reply, size_t *len);

/* Generation for the next token of a flow, above all known requests. */
uint32_t kf_flow_next_generation(const kf_flow_table_t *table, uint64_t flow);

/*
 * Ends a request that kf_flow_begin or kf_flow_take_over registered.
 * KF_NOT_RUN is recorded as a refusal, so that no copy runs.  Pass no reply
 * with it: the reason is enough to encode the refusal again, and a stored reply
 * would take space from answers.  An answer that comes after KF_MAY_HAVE_RUN
 * replaces it; any other second call is ignored.
 */
void kf_flow_finish(kf_flow_table_t *table, int64_t now_us,
    const kf_request_id_t *id, kf_verdict_t verdict, kf_reason_t reason,
    const uint8_t *reply, size_t len);

/*
 * Owner: drops the record of a request that was registered but neither
 * dispatched nor answered, so that a later copy is treated as new.
 */
void kf_flow_unregister(kf_flow_table_t *table, const kf_request_id_t *id);

/* Reason stored with a request; KF_REASON_NONE if there is no record. */
kf_reason_t kf_flow_reason(
    const kf_flow_table_t *table, const kf_request_id_t *id);

/*
 * Backup: records that the owner may dispatch the request.
 * KF_ERR_CONFLICT: the owner is fenced or does not own the flow; answer with
 * INTENT_NACK.  KF_ERR_FULL: send neither ACK nor NACK.
 */
kf_status_t kf_flow_record_intent(kf_flow_table_t *table, int64_t now_us,
    kf_vm_id_t owner, const kf_request_id_t *id, uint32_t upstream);

/*
 * Backup: records the outcome of a recorded intent.  After KF_NOT_RUN a later
 * copy is refused and not run, because the owner may have told the caller that
 * the request will not run.
 */
void kf_flow_record_done(kf_flow_table_t *table, int64_t now_us,
    kf_vm_id_t owner, const kf_request_id_t *id, kf_verdict_t verdict,
    const uint8_t *reply, size_t len);

/*
 * Refuses every later intent of this owner incarnation and of earlier ones of
 * the same VM.  A fence is never lifted, because a paused owner may resume at
 * any time.  KF_ERR_NO_MEMORY: the owner is not fenced, so kf_flow_take_over
 * lets nothing run.
 */
kf_status_t kf_flow_fence(
    kf_flow_table_t *table, int64_t now_us, kf_vm_id_t owner);
bool kf_flow_fenced(const kf_flow_table_t *table, kf_vm_id_t owner);

/*
 * Backup: classifies a request of a flow whose owner is fenced.  Registers it
 * as in progress on this VM if the owner recorded no intent.  Returns
 * KF_FLOW_STALE if the owner is not fenced.
 */
kf_flow_state_t kf_flow_take_over(kf_flow_table_t *table, int64_t now_us,
    kf_vm_id_t owner, const kf_request_id_t *id, const uint8_t **reply,
    size_t *len);

/* The requests of one flow, without replies, for transfer to another VM. */
typedef struct kf_flow_export {
	kf_vm_id_t owner; /* vm 0: the VM of this table */
	uint64_t flow;
	uint32_t floor;
	uint32_t count;
	struct {
		uint32_t xid;
		uint32_t generation;
		bool refused;
	} requests[KF_FLOW_RING];
} kf_flow_export_t;

typedef void kf_flow_export_fn(void *ctx, const kf_flow_export_t *flow);

/* Calls fn for each flow used at or after since_us, the latest first. */
void kf_flow_export_since(const kf_flow_table_t *table, int64_t since_us,
    kf_flow_export_fn *fn, void *ctx);

/*
 * Imports the record of a flow whose owner has ended.  Requests that were not
 * refused become in doubt, because the export has no replies.  Existing entries
 * are kept.
 */
kf_status_t kf_flow_import(
    kf_flow_table_t *table, int64_t now_us, const kf_flow_export_t *flow);

/* Drops a bounded number of expired replies and idle flows. */
void kf_flow_expire(kf_flow_table_t *table, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
