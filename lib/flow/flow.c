#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "fence_set.h"
#include "kf/flow.h"
#include "reply_cache.h"

enum {
	NO_SLOT = KF_FLOW_RING,
	/*
	 * A call of kf_flow_expire handles at most this many replies and as
	 * many flows, to keep a tick short.
	 */
	EXPIRE_MAX_STEPS = 256,
	MAX_FLOWS_LIMIT = INT32_MAX,
};

typedef enum entry_state {
	ENTRY_EMPTY = 0,
	ENTRY_IN_PROGRESS, /* begun on this VM and not ended */
	ENTRY_INTENT,	   /* the owner may have dispatched it */
	ENTRY_ANSWERED,
	ENTRY_IN_DOUBT,
	ENTRY_REFUSED,
} entry_state_t;

/* The requests of a flow are stored as one array per field to avoid padding. */
typedef struct flow {
	uint64_t id;
	uint64_t owner_incarnation;
	int64_t last_used_us;
	uint32_t owner_vm;    /* 0: this VM */
	uint32_t floor;	      /* lower generations are never run */
	uint32_t bucket_next; /* next flow in the hash bucket or free list */
	uint32_t older;	      /* links of the idle list, by last_used_us */
	uint32_t newer;
	uint32_t xid[KF_FLOW_RING];
	uint32_t generation[KF_FLOW_RING];
	uint32_t reply[KF_FLOW_RING]; /* index into replies, or 0 */
	uint8_t state[KF_FLOW_RING];  /* entry_state_t */
	uint8_t reason[KF_FLOW_RING];
} flow_t;

struct kf_flow_table {
	kf_flow_limits_t limits;
	flow_t *flows; /* [0] is the head of the idle list */
	uint32_t *buckets;
	uint32_t bucket_mask;
	uint32_t high_water; /* flows ever allocated, plus the list head */
	uint32_t free_head;  /* first flow of the free list, or 0 */
	reply_cache_t replies;
	fence_set_t fences;
	kf_flow_stats_t stats;
};

static const kf_vm_id_t self = { 0 };

static uint32_t
bucket_count(uint32_t flows)
{
	uint32_t count = 1;

	while (count < flows)
		count *= 2;
	return count;
}

static bool
limits_valid(const kf_flow_limits_t *limits)
{
	return limits->max_flows > 0 && limits->max_flows < MAX_FLOWS_LIMIT &&
	    limits->idle_expiry_us > 0 && limits->reply_expiry_us > 0;
}

/*
 * Allocates all flows up front, so that no packet is delayed by growing the
 * table.  The system backs the pages with memory on first use.
 */
kf_flow_table_t *
kf_flow_table_new(const kf_flow_limits_t *limits)
{
	kf_flow_table_t *table;
	uint32_t buckets;

	if (!limits_valid(limits)) {
		kf_status_set(KF_ERR_INVALID, "flow limits are out of range");
		return NULL;
	}
	table = calloc(1, sizeof(*table));
	if (table == NULL)
		return NULL;
	buckets = bucket_count(limits->max_flows);
	table->limits = *limits;
	table->high_water = 1;
	table->bucket_mask = buckets - 1;
	table->buckets = calloc(buckets, sizeof(*table->buckets));
	table->flows =
	    calloc((size_t)limits->max_flows + 1, sizeof(*table->flows));
	if (table->buckets == NULL || table->flows == NULL) {
		kf_flow_table_delete(table);
		kf_status_set(
		    KF_ERR_NO_MEMORY, "out of memory for the flow table");
		return NULL;
	}
	return table;
}

void
kf_flow_table_delete(kf_flow_table_t *table)
{
	if (table == NULL)
		return;
	reply_cache_clear(&table->replies);
	fence_set_clear(&table->fences);
	free(table->buckets);
	free(table->flows);
	free(table);
}

kf_flow_stats_t
kf_flow_table_stats(const kf_flow_table_t *table)
{
	kf_flow_stats_t stats = table->stats;

	stats.replies = table->replies.count;
	stats.reply_bytes = table->replies.bytes;
	stats.memory_bytes = table->high_water * sizeof(flow_t) +
	    ((size_t)table->bucket_mask + 1) * sizeof(*table->buckets) +
	    table->fences.capacity * sizeof(*table->fences.slots);
	return stats;
}

const char *
kf_flow_state_name(kf_flow_state_t state)
{
	static const char *const names[KF_FLOW_STATE_COUNT] = {
		[KF_FLOW_NEW] = "new",
		[KF_FLOW_IN_PROGRESS] = "in_progress",
		[KF_FLOW_ANSWERED] = "answered",
		[KF_FLOW_IN_DOUBT] = "in_doubt",
		[KF_FLOW_REFUSED] = "refused",
		[KF_FLOW_STALE] = "stale",
		[KF_FLOW_FULL] = "full",
	};

	if ((unsigned)state >= KF_FLOW_STATE_COUNT)
		return "invalid";
	return names[state];
}

static uint32_t *
table_bucket(const kf_flow_table_t *table, uint64_t id)
{
	uint64_t hash = XXH64(&id, sizeof(id), 0);

	return &table->buckets[hash & table->bucket_mask];
}

static flow_t *
table_find(const kf_flow_table_t *table, uint64_t id)
{
	uint32_t index = *table_bucket(table, id);

	while (index != 0) {
		flow_t *flow = &table->flows[index];

		if (flow->id == id)
			return flow;
		index = flow->bucket_next;
	}
	return NULL;
}

static uint32_t
table_index(const kf_flow_table_t *table, const flow_t *flow)
{
	return (uint32_t)(flow - table->flows);
}

static void
idle_list_remove(kf_flow_table_t *table, flow_t *flow)
{
	table->flows[flow->older].newer = flow->newer;
	table->flows[flow->newer].older = flow->older;
}

static void
idle_list_append(kf_flow_table_t *table, flow_t *flow, int64_t now_us)
{
	uint32_t index = table_index(table, flow);

	flow->last_used_us = now_us;
	flow->newer = 0;
	flow->older = table->flows[0].older;
	table->flows[flow->older].newer = index;
	table->flows[0].older = index;
}

static void
table_touch(kf_flow_table_t *table, flow_t *flow, int64_t now_us)
{
	idle_list_remove(table, flow);
	idle_list_append(table, flow, now_us);
}

static bool
flow_has_in_progress(const flow_t *flow)
{
	size_t i;

	for (i = 0; i < KF_FLOW_RING; i++) {
		if (flow->state[i] == ENTRY_IN_PROGRESS)
			return true;
	}
	return false;
}

static void
entry_drop_reply(kf_flow_table_t *table, flow_t *flow, size_t slot)
{
	if (flow->reply[slot] == 0)
		return;
	reply_cache_remove(&table->replies, flow->reply[slot]);
	flow->reply[slot] = 0;
}

static void
table_unlink(kf_flow_table_t *table, const flow_t *flow)
{
	uint32_t *link = table_bucket(table, flow->id);
	uint32_t index = table_index(table, flow);

	while (*link != index)
		link = &table->flows[*link].bucket_next;
	*link = flow->bucket_next;
}

static void
table_remove_flow(kf_flow_table_t *table, flow_t *flow)
{
	size_t i;

	for (i = 0; i < KF_FLOW_RING; i++)
		entry_drop_reply(table, flow, i);
	idle_list_remove(table, flow);
	table_unlink(table, flow);
	flow->bucket_next = table->free_head;
	table->free_head = table_index(table, flow);
	table->stats.flows--;
	table->stats.expired_flows++;
}

static bool
table_expire_oldest_flow(kf_flow_table_t *table, int64_t now_us)
{
	flow_t *flow = &table->flows[table->flows[0].newer];

	if (flow == &table->flows[0])
		return false;
	if (now_us - flow->last_used_us < table->limits.idle_expiry_us)
		return false;
	if (flow_has_in_progress(flow))
		table_touch(table, flow, now_us);
	else
		table_remove_flow(table, flow);
	return true;
}

/* The request keeps its entry but is in doubt once its reply is dropped. */
static void
table_evict_oldest_reply(kf_flow_table_t *table)
{
	uint32_t index = reply_cache_oldest(&table->replies);
	const reply_t *reply = reply_cache_get(&table->replies, index);
	flow_t *flow = &table->flows[reply->flow];

	if (flow->state[reply->slot] == ENTRY_ANSWERED)
		flow->state[reply->slot] = ENTRY_IN_DOUBT;
	entry_drop_reply(table, flow, reply->slot);
	table->stats.replies_lost++;
}

static bool
table_expire_reply(kf_flow_table_t *table, int64_t now_us)
{
	uint32_t index = reply_cache_oldest(&table->replies);

	if (index == 0)
		return false;
	if (now_us - reply_cache_get(&table->replies, index)->stored_us <
	    table->limits.reply_expiry_us)
		return false;
	table_evict_oldest_reply(table);
	return true;
}

void
kf_flow_expire(kf_flow_table_t *table, int64_t now_us)
{
	int steps;

	for (steps = 0; steps < EXPIRE_MAX_STEPS; steps++) {
		if (!table_expire_reply(table, now_us))
			break;
	}
	for (steps = 0; steps < EXPIRE_MAX_STEPS; steps++) {
		if (!table_expire_oldest_flow(table, now_us))
			break;
	}
}

static flow_t *
table_alloc_flow(kf_flow_table_t *table)
{
	flow_t *flow;

	if (table->free_head != 0) {
		flow = &table->flows[table->free_head];
		table->free_head = flow->bucket_next;
		return flow;
	}
	if (table->high_water > table->limits.max_flows)
		return NULL;
	return &table->flows[table->high_water++];
}

/*
 * Returns NULL if the table is full and no flow has been idle for long enough
 * to be dropped: copies of their requests may still arrive.
 */
static flow_t *
table_add(kf_flow_table_t *table, int64_t now_us, kf_vm_id_t owner, uint64_t id)
{
	uint32_t *bucket = table_bucket(table, id);
	flow_t *flow;

	if (table->stats.flows == table->limits.max_flows)
		kf_flow_expire(table, now_us);
	flow = table_alloc_flow(table);
	if (flow == NULL)
		return NULL;
	*flow = (flow_t){ 0 };
	flow->id = id;
	flow->owner_vm = owner.vm;
	flow->owner_incarnation = owner.incarnation;
	flow->bucket_next = *bucket;
	*bucket = table_index(table, flow);
	idle_list_append(table, flow, now_us);
	table->stats.flows++;
	return flow;
}

static bool
flow_owned_by(const flow_t *flow, kf_vm_id_t owner)
{
	return flow->owner_vm == owner.vm &&
	    flow->owner_incarnation == owner.incarnation;
}

static size_t
flow_find_slot(const flow_t *flow, uint32_t xid)
{
	size_t i;

	for (i = 0; i < KF_FLOW_RING; i++) {
		if (flow->state[i] != ENTRY_EMPTY && flow->xid[i] == xid)
			return i;
	}
	return NO_SLOT;
}

/*
 * Chooses the entry for a new request: an empty one, else the one with the
 * lowest generation that is not in progress here, since evicting it raises the
 * floor the least.  Returns NO_SLOT if all are in progress.
 */
static size_t
flow_choose_slot(const flow_t *flow)
{
	size_t best = NO_SLOT;
	size_t i;

	for (i = 0; i < KF_FLOW_RING; i++) {
		if (flow->state[i] == ENTRY_EMPTY)
			return i;
		if (flow->state[i] == ENTRY_IN_PROGRESS)
			continue;
		if (best == NO_SLOT ||
		    flow->generation[i] < flow->generation[best])
			best = i;
	}
	return best;
}

static void
flow_evict(kf_flow_table_t *table, flow_t *flow, size_t slot)
{
	if (flow->state[slot] == ENTRY_EMPTY)
		return;
	if (flow->floor <= flow->generation[slot])
		flow->floor = flow->generation[slot] + 1;
	entry_drop_reply(table, flow, slot);
	flow->state[slot] = ENTRY_EMPTY;
	table->stats.evicted++;
}

static size_t
flow_register(kf_flow_table_t *table, flow_t *flow, const kf_request_id_t *id,
    entry_state_t state)
{
	size_t slot = flow_choose_slot(flow);

	if (slot == NO_SLOT)
		return NO_SLOT;
	flow_evict(table, flow, slot);
	flow->xid[slot] = id->xid;
	flow->generation[slot] = id->generation;
	flow->state[slot] = (uint8_t)state;
	flow->reason[slot] = KF_REASON_NONE;
	return slot;
}

/*
 * UINT32_MAX always counts as below the floor: its eviction would have to raise
 * the floor to UINT32_MAX + 1.
 */
static bool
flow_below_floor(const flow_t *flow, uint32_t generation)
{
	return generation == UINT32_MAX || generation < flow->floor;
}

static kf_flow_state_t
entry_classify(const kf_flow_table_t *table, const flow_t *flow, size_t slot,
    const uint8_t **reply, size_t *len)
{
	static const kf_flow_state_t states[] = {
		[ENTRY_EMPTY] = KF_FLOW_STALE,
		[ENTRY_IN_PROGRESS] = KF_FLOW_IN_PROGRESS,
		[ENTRY_INTENT] = KF_FLOW_IN_DOUBT,
		[ENTRY_ANSWERED] = KF_FLOW_ANSWERED,
		[ENTRY_IN_DOUBT] = KF_FLOW_IN_DOUBT,
		[ENTRY_REFUSED] = KF_FLOW_REFUSED,
	};

	if (flow->reply[slot] != 0) {
		const reply_t *stored =
		    reply_cache_get(&table->replies, flow->reply[slot]);

		*reply = stored->data;
		*len = stored->len;
	}
	return states[flow->state[slot]];
}

static kf_flow_state_t
table_register(kf_flow_table_t *table, flow_t *flow, const kf_request_id_t *id)
{
	if (flow != NULL && flow_below_floor(flow, id->generation)) {
		table->stats.stale++;
		return KF_FLOW_STALE;
	}
	if (flow == NULL ||
	    flow_register(table, flow, id, ENTRY_IN_PROGRESS) == NO_SLOT) {
		table->stats.full++;
		return KF_FLOW_FULL;
	}
	return KF_FLOW_NEW;
}

static kf_flow_state_t
table_begin(kf_flow_table_t *table, int64_t now_us, kf_vm_id_t owner,
    const kf_request_id_t *id, const uint8_t **reply, size_t *len)
{
	flow_t *flow = table_find(table, id->flow);
	size_t slot;

	*reply = NULL;
	*len = 0;
	if (flow == NULL) {
		flow = table_add(table, now_us, owner, id->flow);
		return table_register(table, flow, id);
	}
	if (!flow_owned_by(flow, owner))
		return KF_FLOW_STALE;
	table_touch(table, flow, now_us);
	slot = flow_find_slot(flow, id->xid);
	if (slot != NO_SLOT)
		return entry_classify(table, flow, slot, reply, len);
	return table_register(table, flow, id);
}

kf_flow_state_t
kf_flow_begin(kf_flow_table_t *table, int64_t now_us, const kf_request_id_t *id,
    const uint8_t **reply, size_t *len)
{
	return table_begin(table, now_us, self, id, reply, len);
}

uint32_t
kf_flow_next_generation(const kf_flow_table_t *table, uint64_t flow_id)
{
	const flow_t *flow = table_find(table, flow_id);
	uint32_t next;
	size_t i;

	if (flow == NULL)
		return 0;
	next = flow->floor;
	for (i = 0; i < KF_FLOW_RING; i++) {
		if (flow->state[i] != ENTRY_EMPTY &&
		    flow->generation[i] >= next)
			next = flow->generation[i] + 1;
	}
	return next;
}

static bool
entry_store_reply(kf_flow_table_t *table, int64_t now_us, flow_t *flow,
    size_t slot, const uint8_t *reply, size_t len)
{
	size_t cost = reply_cache_cost(len);

	if (len == 0 || len > UINT32_MAX ||
	    cost > table->limits.max_reply_bytes)
		return false;
	while (table->replies.bytes + cost > table->limits.max_reply_bytes)
		table_evict_oldest_reply(table);
	flow->reply[slot] = reply_cache_add(&table->replies, now_us, reply,
	    (uint32_t)len, table_index(table, flow), (uint32_t)slot);
	return flow->reply[slot] != 0;
}

static void
entry_finish(kf_flow_table_t *table, int64_t now_us, flow_t *flow, size_t slot,
    kf_verdict_t verdict, const uint8_t *reply, size_t len)
{
	entry_drop_reply(table, flow, slot);
	flow->state[slot] = ENTRY_IN_DOUBT;
	if (verdict == KF_MAY_HAVE_RUN)
		return;
	if (entry_store_reply(table, now_us, flow, slot, reply, len))
		flow->state[slot] = ENTRY_ANSWERED;
	if (verdict == KF_NOT_RUN)
		flow->state[slot] = ENTRY_REFUSED;
}

void
kf_flow_finish(kf_flow_table_t *table, int64_t now_us,
    const kf_request_id_t *id, kf_verdict_t verdict, kf_reason_t reason,
    const uint8_t *reply, size_t len)
{
	flow_t *flow = table_find(table, id->flow);
	size_t slot;

	if (flow == NULL)
		return;
	slot = flow_find_slot(flow, id->xid);
	if (slot == NO_SLOT || flow->generation[slot] != id->generation)
		return;
	if (flow->state[slot] != ENTRY_IN_PROGRESS &&
	    !(flow->state[slot] == ENTRY_IN_DOUBT && verdict == KF_ANSWERED))
		return;
	table_touch(table, flow, now_us);
	entry_finish(table, now_us, flow, slot, verdict, reply, len);
	flow->reason[slot] = (uint8_t)reason;
}

void
kf_flow_unregister(kf_flow_table_t *table, const kf_request_id_t *id)
{
	flow_t *flow = table_find(table, id->flow);
	size_t slot;

	if (flow == NULL)
		return;
	slot = flow_find_slot(flow, id->xid);
	if (slot == NO_SLOT || flow->generation[slot] != id->generation ||
	    flow->state[slot] != ENTRY_IN_PROGRESS)
		return;
	flow->state[slot] = ENTRY_EMPTY;
}

kf_reason_t
kf_flow_reason(const kf_flow_table_t *table, const kf_request_id_t *id)
{
	const flow_t *flow = table_find(table, id->flow);
	size_t slot;

	if (flow == NULL)
		return KF_REASON_NONE;
	slot = flow_find_slot(flow, id->xid);
	if (slot == NO_SLOT)
		return KF_REASON_NONE;
	return (kf_reason_t)flow->reason[slot];
}

/*
 * A request below the floor needs no entry because it can no longer run here.
 * An entry with the same xid but another generation is evicted: the owner
 * accepts a reused xid only after it has evicted the earlier request itself.
 */
static kf_status_t
flow_record_intent(
    kf_flow_table_t *table, flow_t *flow, const kf_request_id_t *id)
{
	size_t slot = flow_find_slot(flow, id->xid);

	if (slot != NO_SLOT && flow->generation[slot] == id->generation)
		return KF_OK;
	if (flow_below_floor(flow, id->generation))
		return KF_OK;
	if (slot != NO_SLOT)
		flow_evict(table, flow, slot);
	if (flow_register(table, flow, id, ENTRY_INTENT) == NO_SLOT)
		return kf_status_set(
		    KF_ERR_FULL, "all requests of the flow are in progress");
	return KF_OK;
}

kf_status_t
kf_flow_record_intent(kf_flow_table_t *table, int64_t now_us, kf_vm_id_t owner,
    const kf_request_id_t *id, uint32_t upstream)
{
	flow_t *flow;

	(void)upstream;
	if (owner.vm == 0 || owner.incarnation == 0)
		return kf_status_set(
		    KF_ERR_INVALID, "intent has owner vm or incarnation 0");
	if (fence_set_has(&table->fences, owner))
		return kf_status_set(
		    KF_ERR_CONFLICT, "owner vm %u is fenced", owner.vm);
	flow = table_find(table, id->flow);
	if (flow == NULL)
		flow = table_add(table, now_us, owner, id->flow);
	if (flow == NULL) {
		table->stats.full++;
		return kf_status_set(KF_ERR_FULL, "flow table is full");
	}
	if (!flow_owned_by(flow, owner))
		return kf_status_set(
		    KF_ERR_CONFLICT, "flow is not owned by vm %u", owner.vm);
	table_touch(table, flow, now_us);
	return flow_record_intent(table, flow, id);
}

/*
 * The owner's outcome applies only to an entry that is still an intent.  An
 * entry that is in progress or has ended on this VM was registered by a
 * takeover, and the owner never dispatched that request.
 */
void
kf_flow_record_done(kf_flow_table_t *table, int64_t now_us, kf_vm_id_t owner,
    const kf_request_id_t *id, kf_verdict_t verdict, const uint8_t *reply,
    size_t len)
{
	flow_t *flow = table_find(table, id->flow);
	size_t slot;

	if (flow == NULL || !flow_owned_by(flow, owner))
		return;
	slot = flow_find_slot(flow, id->xid);
	if (slot == NO_SLOT || flow->state[slot] != ENTRY_INTENT ||
	    flow->generation[slot] != id->generation)
		return;
	table_touch(table, flow, now_us);
	entry_finish(table, now_us, flow, slot, verdict, reply, len);
}

kf_status_t
kf_flow_fence(kf_flow_table_t *table, int64_t now_us, kf_vm_id_t owner)
{
	(void)now_us;
	return fence_set_add(&table->fences, owner);
}

bool
kf_flow_fenced(const kf_flow_table_t *table, kf_vm_id_t owner)
{
	return fence_set_has(&table->fences, owner);
}

kf_flow_state_t
kf_flow_take_over(kf_flow_table_t *table, int64_t now_us, kf_vm_id_t owner,
    const kf_request_id_t *id, const uint8_t **reply, size_t *len)
{
	if (!fence_set_has(&table->fences, owner)) {
		*reply = NULL;
		*len = 0;
		return KF_FLOW_STALE;
	}
	return table_begin(table, now_us, owner, id, reply, len);
}

static void
flow_export(const flow_t *flow, kf_flow_export_t *out)
{
	size_t i;

	*out = (kf_flow_export_t){
		.owner = { flow->owner_vm, flow->owner_incarnation },
		.flow = flow->id,
		.floor = flow->floor,
	};
	for (i = 0; i < KF_FLOW_RING; i++) {
		if (flow->state[i] == ENTRY_EMPTY)
			continue;
		out->requests[out->count].xid = flow->xid[i];
		out->requests[out->count].generation = flow->generation[i];
		out->requests[out->count].refused =
		    flow->state[i] == ENTRY_REFUSED;
		out->count++;
	}
}

void
kf_flow_export_since(const kf_flow_table_t *table, int64_t since_us,
    kf_flow_export_fn *fn, void *ctx)
{
	const flow_t *flow;
	kf_flow_export_t out;
	uint32_t index;

	for (index = table->flows[0].older; index != 0; index = flow->older) {
		flow = &table->flows[index];
		if (flow->last_used_us < since_us)
			return;
		flow_export(flow, &out);
		fn(ctx, &out);
	}
}

kf_status_t
kf_flow_import(
    kf_flow_table_t *table, int64_t now_us, const kf_flow_export_t *in)
{
	kf_status_t status;
	kf_request_id_t id;
	flow_t *flow;
	uint32_t i;

	flow = table_find(table, in->flow);
	if (flow == NULL)
		flow = table_add(table, now_us, in->owner, in->flow);
	if (flow == NULL) {
		table->stats.full++;
		return kf_status_set(KF_ERR_FULL, "flow table is full");
	}
	if (!flow_owned_by(flow, in->owner))
		return kf_status_set(KF_ERR_CONFLICT,
		    "flow is not owned by vm %u", in->owner.vm);
	table_touch(table, flow, now_us);
	for (i = 0; i < in->count; i++) {
		id = (kf_request_id_t){ in->flow, in->requests[i].xid,
			in->requests[i].generation };
		status = flow_record_intent(table, flow, &id);
		if (status != KF_OK)
			return status;
		if (in->requests[i].refused)
			kf_flow_record_done(
			    table, now_us, in->owner, &id, KF_NOT_RUN, NULL, 0);
	}
	if (flow->floor < in->floor)
		flow->floor = in->floor;
	return KF_OK;
}
