#ifndef KF_ADMISSION_QUEUE_H
#define KF_ADMISSION_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	kf_queue - queue of requests ordered by deadline
 *
 * DESCRIPTION
 *	A doubly linked list whose nodes come from a pool of fixed size and
 *	are linked by index.  Insertion searches from the tail: the requests
 *	of one upstream have the deadline setting of the same service, so a
 *	new request almost always belongs at the tail.  Requests with equal
 *	deadlines stay in the order of insertion.
 */

#define KF_QUEUE_NIL UINT32_MAX

typedef struct kf_queue_node {
	void *request;
	int64_t deadline_us;
	uint32_t charge_bytes;
	uint32_t prev;
	uint32_t next;
} kf_queue_node_t;

typedef struct kf_queue_pool {
	kf_queue_node_t *nodes;
	uint32_t free; /* head of the list of free nodes */
} kf_queue_pool_t;

typedef struct kf_queue {
	uint32_t head;
	uint32_t tail;
	uint32_t count;
} kf_queue_t;

typedef struct kf_queue_place {
	uint32_t after; /* predecessor; KF_QUEUE_NIL: at the head */
	uint32_t ahead; /* number of requests before this place */
} kf_queue_place_t;

bool kf_queue_pool_init(kf_queue_pool_t *pool, uint32_t count);
void kf_queue_pool_clear(kf_queue_pool_t *pool);

void kf_queue_init(kf_queue_t *queue);
/* Returns the place of a new request with this deadline. */
kf_queue_place_t kf_queue_find_place(
    const kf_queue_pool_t *pool, const kf_queue_t *queue, int64_t deadline_us);
/* The pool must have a free node. */
void kf_queue_insert(kf_queue_pool_t *pool, kf_queue_t *queue,
    kf_queue_place_t place, const kf_queue_node_t *node);
/* Removes the node at index, returns it to the pool and returns a copy. */
kf_queue_node_t kf_queue_remove(
    kf_queue_pool_t *pool, kf_queue_t *queue, uint32_t index);

#endif
