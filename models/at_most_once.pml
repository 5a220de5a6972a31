/*
 * Model of one non-idempotent request between a caller, the ingress, the owner
 * named in its token, the backup and an upstream (docs/design.md, section 2).
 * It asserts that the request runs at most once, and that it is refused as not
 * run only if it neither ran nor will run.
 *
 * A message between balancers is a flag that stays set once it is sent.  The
 * receiver may act on it never, late or repeatedly, in any order, which covers
 * loss, delay, duplication and reordering.  Retransmissions of the request are
 * modelled in the same way.  A paused process takes no steps.  A dispatch to
 * the upstream is delivered at most once.
 *
 * While the owner holds the lease, it knows that the backup has heard from it
 * too recently to fence it.  The lease may end at any time.
 *
 * Each macro below removes one rule; each such variant must violate an
 * assertion:
 *	NO_FENCE	the backup acknowledges intents of a fenced owner
 *	NO_INTENT	the owner dispatches before INTENT_ACK
 *	SOLO_NO_LEASE	with its backup gone, the owner dispatches without a lease
 *	WEAK_EVIDENCE	a backup that still runs counts as gone
 *	EARLY_REFUSAL	the owner refuses as not run before INTENT_ACK
 *	DONE_RERUNS	the backup runs what the owner refused as not run
 *	FULL_REFUSES	a request without a record is refused as not run
 *	ANY_ACK		an INTENT_ACK of a restarted backup counts
 *	INGRESS_REFUSES	the ingress refuses one copy as not run, for overload
 *			or because its token expired after the first copy
 *	GONE_IS_SILENT	an owner and backup that are only silent count as gone
 */

#ifdef NO_FENCE
#define INTENT_ALLOWED	true
#else
#define INTENT_ALLOWED	!fenced
#endif
#ifdef SOLO_NO_LEASE
#define LEASE_HELD	true
#else
#define LEASE_HELD	lease
#endif
#ifdef WEAK_EVIDENCE
#define BACKUP_GONE	true
#else
#define BACKUP_GONE	backup_dead
#endif
#ifdef DONE_RERUNS
#define MAY_TAKE_OVER	(backup == NONE || backup == REFUSED)
#else
#define MAY_TAKE_OVER	(backup == NONE)
#endif
#ifdef ANY_ACK
#define ACKED		(net_ack || net_ack_restarted)
#else
#define ACKED		net_ack
#endif
#ifdef GONE_IS_SILENT
#define BOTH_GONE	!lease
#else
#define BOTH_GONE	(owner_dead && backup_dead)
#endif

mtype = { NONE, WAIT, READY, SENT, INTENT, ANSWERED, REFUSED, DOUBT, STALE };
mtype = { IDLE, PENDING, ACCEPTED, SHED };

bool sent;		/* by the caller */
bool sent_after_gone;	/* first sent after owner and backup were seen gone */
bool both_gone;		/* the ingress has seen owner and backup gone */
bool lease = true;
bool owner_dead, backup_dead;
bool fenced, solo;
bool net_intent, net_ack, net_ack_restarted, net_nack;
bool net_done_answered, net_done_refused;
mtype owner = NONE;
mtype backup = NONE;
mtype from_owner = IDLE;
mtype from_backup = IDLE;
byte runs;
bool refused;

inline execute()
{
	runs++;
	assert(runs <= 1);
	assert(!refused)
}

inline refuse()
{
	refused = true;
	assert(runs == 0 && from_owner != PENDING && from_backup != PENDING)
}

active proctype Caller()
{
	atomic { sent = true; sent_after_gone = both_gone }
}

active proctype Failures()
{
end:	do
	:: atomic { lease -> lease = false }
	:: atomic { !owner_dead -> owner_dead = true }
	:: atomic { !backup_dead -> backup_dead = true }
	od
}

active proctype Upstream()
{
end:	do
	:: atomic { from_owner == PENDING -> from_owner = ACCEPTED; execute() }
	:: atomic { from_owner == PENDING -> from_owner = SHED }
	:: atomic { from_backup == PENDING -> from_backup = ACCEPTED; execute() }
	:: atomic { from_backup == PENDING -> from_backup = SHED }
	od
}

inline owner_dispatch()
{
	owner = SENT;
	from_owner = PENDING
}

active proctype Owner()
{
end:	do
	/* A copy of the request arrives from the ingress. */
	:: atomic { !owner_dead && sent && owner == NONE ->
		net_intent = true;
#ifdef NO_INTENT
		owner_dispatch()
#else
		owner = WAIT
#endif
	   }
#ifdef FULL_REFUSES
	:: atomic { !owner_dead && sent && owner == NONE -> refuse() }
#endif
	:: atomic { !owner_dead && owner == WAIT && ACKED -> owner = READY }
	:: atomic { !owner_dead && owner == WAIT && solo -> owner = READY }
	:: atomic { !owner_dead && owner == WAIT && net_nack -> owner = DOUBT }
	/* The deadline passes without INTENT_ACK. */
	:: atomic { !owner_dead && owner == WAIT ->
#ifdef EARLY_REFUSAL
		owner = REFUSED;
		refuse()
#else
		owner = DOUBT
#endif
	   }
	:: atomic { !owner_dead && owner == READY -> owner_dispatch() }
	:: atomic { !owner_dead && owner == READY ->
		owner = REFUSED;
		net_done_refused = true;
		refuse()
	   }
	:: atomic { !owner_dead && owner == SENT && from_owner == ACCEPTED ->
		owner = ANSWERED;
		net_done_answered = true
	   }
	/* The upstream shed the request without running it: place it again. */
	:: atomic { !owner_dead && owner == SENT && from_owner == SHED ->
		owner = READY;
		from_owner = IDLE
	   }
	:: atomic { !owner_dead && owner == SENT -> owner = DOUBT }
	/*
	 * The record is evicted, which raises the floor, so that copies of the
	 * request are stale.  A record in progress is kept.
	 */
	:: atomic { !owner_dead &&
	    (owner == ANSWERED || owner == REFUSED || owner == DOUBT) ->
		owner = STALE
	   }
	:: atomic { !owner_dead && !solo && BACKUP_GONE && LEASE_HELD ->
		solo = true
	   }
	od
}

inline backup_dispatch()
{
	backup = SENT;
	from_backup = PENDING
}

active proctype Backup()
{
end:	do
	:: atomic { !backup_dead && net_intent && INTENT_ALLOWED ->
		if
		:: backup == NONE -> backup = INTENT
		:: else
		fi;
		net_ack = true
	   }
	:: atomic { !backup_dead && net_intent && fenced -> net_nack = true }
	:: atomic { !backup_dead && net_done_answered && backup == INTENT ->
		backup = ANSWERED
	   }
	:: atomic { !backup_dead && net_done_refused && backup == INTENT ->
		backup = REFUSED
	   }
	/* The owner was silent for the fencing time, or is dead. */
	:: atomic { !backup_dead && !fenced && (!lease || owner_dead) ->
		fenced = true
	   }
	/* A copy of the request arrives after the backup took over. */
	:: atomic { !backup_dead && fenced && sent && MAY_TAKE_OVER ->
		backup_dispatch()
	   }
	:: atomic { !backup_dead && fenced && sent && backup == NONE ->
		backup = REFUSED;
		refuse()
	   }
	:: atomic { !backup_dead && backup == SENT && from_backup == ACCEPTED ->
		backup = ANSWERED
	   }
	:: atomic { !backup_dead && backup == SENT && from_backup == SHED ->
		from_backup = IDLE;
		backup_dispatch()
	   }
	:: atomic { !backup_dead && backup == SENT -> backup = DOUBT }
	:: atomic { !backup_dead && (backup == INTENT || backup == ANSWERED ||
	    backup == REFUSED || backup == DOUBT) -> backup = STALE
	   }
	od
}

/* A new incarnation at the backup's address; it has no records. */
active proctype RestartedBackup()
{
end:	do
	:: atomic { backup_dead && net_intent && !net_ack_restarted ->
		net_ack_restarted = true
	   }
	od
}

/* Any other VM: has no record and refuses only when both are gone. */
active proctype Ingress()
{
end:	do
	:: atomic { !both_gone && BOTH_GONE -> both_gone = true }
	/*
	 * After the retransmission horizon every request that can still
	 * arrive was first sent after both were seen gone.
	 */
	:: atomic { both_gone && sent && sent_after_gone -> refuse() }
#ifdef INGRESS_REFUSES
	:: atomic { sent -> refuse() }
#endif
	od
}
