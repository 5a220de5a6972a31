#include <stdlib.h>

#include "queue.h"

bool
kf_queue_pool_init(kf_queue_pool_t *pool, uint32_t count)
{
	uint32_t i;

	pool->nodes = calloc(count, sizeof(*pool->nodes));
	if (pool->nodes == NULL)
		return false;
	for (i = 0; i + 1 < count; i++)
		pool->nodes[i].next = i + 1;
	pool->nodes[count - 1].next = KF_QUEUE_NIL;
	pool->free = 0;
	return true;
}

void
kf_queue_pool_clear(kf_queue_pool_t *pool)
{
	free(pool->nodes);
	pool->nodes = NULL;
}

void
kf_queue_init(kf_queue_t *queue)
{
	queue->head = KF_QUEUE_NIL;
	queue->tail = KF_QUEUE_NIL;
	queue->count = 0;
}

kf_queue_place_t
kf_queue_find_place(
    const kf_queue_pool_t *pool, const kf_queue_t *queue, int64_t deadline_us)
{
	kf_queue_place_t place = { queue->tail, queue->count };

	while (place.after != KF_QUEUE_NIL &&
	    pool->nodes[place.after].deadline_us > deadline_us) {
		place.after = pool->nodes[place.after].prev;
		place.ahead--;
	}
	return place;
}

void
kf_queue_insert(kf_queue_pool_t *pool, kf_queue_t *queue,
    kf_queue_place_t place, const kf_queue_node_t *node)
{
	uint32_t index = pool->free;
	kf_queue_node_t *inserted_node = &pool->nodes[index];

	pool->free = inserted_node->next;
	*inserted_node = *node;
	inserted_node->prev = place.after;
	if (place.after == KF_QUEUE_NIL) {
		inserted_node->next = queue->head;
		queue->head = index;
	} else {
		inserted_node->next = pool->nodes[place.after].next;
		pool->nodes[place.after].next = index;
	}
	if (inserted_node->next == KF_QUEUE_NIL)
		queue->tail = index;
	else
		pool->nodes[inserted_node->next].prev = index;
	queue->count++;
}

kf_queue_node_t
kf_queue_remove(kf_queue_pool_t *pool, kf_queue_t *queue, uint32_t index)
{
	kf_queue_node_t node = pool->nodes[index];

	if (node.prev == KF_QUEUE_NIL)
		queue->head = node.next;
	else
		pool->nodes[node.prev].next = node.next;
	if (node.next == KF_QUEUE_NIL)
		queue->tail = node.prev;
	else
		pool->nodes[node.next].prev = node.prev;
	queue->count--;
	pool->nodes[index].next = pool->free;
	pool->free = index;
	return node;
}
