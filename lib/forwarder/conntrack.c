#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "kf/conntrack.h"

enum { INITIAL_CAP = 256 };

struct kf_conntrack {
	kf_flow_t *flows; /* index 0 is not used */
	uint32_t cap;
	uint32_t used;
	uint32_t free; /* first of the unused records, linked by next */
	uint32_t *buckets;
	uint32_t bucket_count; /* a power of two */
	uint32_t first[KF_FLOW_IDLE + 1];
	uint32_t last[KF_FLOW_IDLE + 1];
	uint32_t count[KF_FLOW_IDLE + 1];
};

uint64_t
kf_flow_hash(kf_addr_t client, kf_addr_t address)
{
	uint32_t key[3] = {
		client.ip,
		address.ip,
		(uint32_t)client.port << 16 | address.port,
	};

	return XXH3_64bits(key, sizeof(key));
}

kf_conntrack_t *
kf_conntrack_new(void)
{
	kf_conntrack_t *t;

	t = calloc(1, sizeof(*t));
	if (t == NULL)
		return NULL;
	t->cap = INITIAL_CAP;
	t->used = 1;
	t->bucket_count = INITIAL_CAP;
	t->flows = calloc(t->cap, sizeof(*t->flows));
	t->buckets = calloc(t->bucket_count, sizeof(*t->buckets));
	if (t->flows == NULL || t->buckets == NULL) {
		kf_conntrack_delete(t);
		return NULL;
	}
	return t;
}

void
kf_conntrack_delete(kf_conntrack_t *t)
{
	if (t == NULL)
		return;
	free(t->flows);
	free(t->buckets);
	free(t);
}

static uint32_t *
bucket_of(const kf_conntrack_t *t, uint64_t hash)
{
	return &t->buckets[hash & (t->bucket_count - 1)];
}

kf_flow_t *
kf_conntrack_find(const kf_conntrack_t *t, kf_addr_t client, kf_addr_t address)
{
	uint32_t i = *bucket_of(t, kf_flow_hash(client, address));

	for (; i != KF_FLOW_NONE; i = t->flows[i].next_in_bucket) {
		if (kf_addr_equal(t->flows[i].client, client) &&
		    kf_addr_equal(t->flows[i].address, address))
			return &t->flows[i];
	}
	return NULL;
}

static uint32_t
index_of(const kf_conntrack_t *t, const kf_flow_t *flow)
{
	return (uint32_t)(flow - t->flows);
}

static void
list_append(kf_conntrack_t *t, kf_flow_t *flow)
{
	uint32_t i = index_of(t, flow);

	flow->next = KF_FLOW_NONE;
	flow->previous = t->last[flow->state];
	if (flow->previous != KF_FLOW_NONE)
		t->flows[flow->previous].next = i;
	else
		t->first[flow->state] = i;
	t->last[flow->state] = i;
	t->count[flow->state]++;
}

static void
list_unlink(kf_conntrack_t *t, const kf_flow_t *flow)
{
	if (flow->previous != KF_FLOW_NONE)
		t->flows[flow->previous].next = flow->next;
	else
		t->first[flow->state] = flow->next;
	if (flow->next != KF_FLOW_NONE)
		t->flows[flow->next].previous = flow->previous;
	else
		t->last[flow->state] = flow->previous;
	t->count[flow->state]--;
}

static bool
conntrack_grow(kf_conntrack_t *t)
{
	uint32_t cap = t->cap * 2, i, *buckets;
	kf_flow_t *flows;

	if (cap > KF_CONNTRACK_MAX)
		return false;
	flows = realloc(t->flows, cap * sizeof(*flows));
	if (flows == NULL)
		return false;
	t->flows = flows;
	buckets = calloc(cap, sizeof(*buckets));
	if (buckets == NULL)
		return false;
	free(t->buckets);
	t->buckets = buckets;
	t->bucket_count = cap;
	t->cap = cap;
	for (i = 1; i < t->used; i++) {
		uint32_t *bucket = bucket_of(t, flows[i].hash);

		if (flows[i].state == KF_FLOW_FREE)
			continue;
		flows[i].next_in_bucket = *bucket;
		*bucket = i;
	}
	return true;
}

kf_flow_t *
kf_conntrack_add(kf_conntrack_t *t, kf_addr_t client, kf_addr_t address)
{
	uint32_t i, *bucket;
	kf_flow_t *flow;

	if (t->free == KF_FLOW_NONE && t->used == t->cap &&
	    !conntrack_grow(t) && t->first[KF_FLOW_IDLE] != KF_FLOW_NONE)
		kf_conntrack_remove(t, &t->flows[t->first[KF_FLOW_IDLE]]);
	if (t->free != KF_FLOW_NONE) {
		i = t->free;
		t->free = t->flows[i].next;
	} else if (t->used < t->cap)
		i = t->used++;
	else
		return NULL;
	flow = &t->flows[i];
	memset(flow, 0, sizeof(*flow));
	flow->client = client;
	flow->address = address;
	flow->hash = kf_flow_hash(client, address);
	flow->state = KF_FLOW_OPENING;
	bucket = bucket_of(t, flow->hash);
	flow->next_in_bucket = *bucket;
	*bucket = i;
	list_append(t, flow);
	return flow;
}

kf_flow_t *
kf_conntrack_add_open(
    kf_conntrack_t *t, kf_addr_t client, kf_addr_t address, uint32_t token)
{
	kf_flow_t *flow = kf_conntrack_add(t, client, address);

	if (flow == NULL)
		return NULL;
	flow->token = token;
	kf_conntrack_touch(t, flow);
	return flow;
}

static void
move_to_state(kf_conntrack_t *t, kf_flow_t *flow, kf_flow_state_t state)
{
	list_unlink(t, flow);
	flow->state = state;
	list_append(t, flow);
}

void
kf_conntrack_touch(kf_conntrack_t *t, kf_flow_t *flow)
{
	move_to_state(t, flow, KF_FLOW_OPEN);
}

void
kf_conntrack_set_idle(kf_conntrack_t *t, kf_flow_t *flow)
{
	move_to_state(t, flow, KF_FLOW_IDLE);
}

void
kf_conntrack_remove(kf_conntrack_t *t, kf_flow_t *flow)
{
	uint32_t i = index_of(t, flow);
	uint32_t *link = bucket_of(t, flow->hash);

	while (*link != i)
		link = &t->flows[*link].next_in_bucket;
	*link = flow->next_in_bucket;
	list_unlink(t, flow);
	flow->state = KF_FLOW_FREE;
	flow->next = t->free;
	t->free = i;
}

kf_flow_t *
kf_conntrack_first(const kf_conntrack_t *t, kf_flow_state_t state)
{
	return t->first[state] == KF_FLOW_NONE ? NULL
					       : &t->flows[t->first[state]];
}

kf_flow_t *
kf_conntrack_next(const kf_conntrack_t *t, const kf_flow_t *flow)
{
	return flow->next == KF_FLOW_NONE ? NULL : &t->flows[flow->next];
}

size_t
kf_conntrack_count(const kf_conntrack_t *t, kf_flow_state_t state)
{
	return t->count[state];
}
