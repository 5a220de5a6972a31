#ifndef KF_ADMISSION_QUEUE_H
#define KF_ADMISSION_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	kf_queue - requests in deadline order, with nodes from a fixed pool
 *
 * DESCRIPTION
 *	A linked list searched from its tail.  The requests of one upstream
 *	share their service's deadline setting, so a new one almost always
 *	belongs at the tail.  Requests with equal deadlines keep their order.
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
	uint32_t free;
} kf_queue_pool_t;

typedef struct kf_queue {
	uint32_t head;
	uint32_t tail;
	uint32_t count;
} kf_queue_t;

typedef struct kf_queue_place {
	uint32_t after; /* node to insert after, or KF_QUEUE_NIL */
	uint32_t ahead; /* number of requests served before */
} kf_queue_place_t;

bool kf_queue_pool_init(kf_queue_pool_t *pool, uint32_t count);
void kf_queue_pool_clear(kf_queue_pool_t *pool);

void kf_queue_init(kf_queue_t *queue);
kf_queue_place_t kf_queue_find(
    const kf_queue_pool_t *pool, const kf_queue_t *queue, int64_t deadline_us);
/* The pool must have a free node. */
void kf_queue_insert(kf_queue_pool_t *pool, kf_queue_t *queue,
    kf_queue_place_t place, const kf_queue_node_t *node);
/* Removes a node of the queue and returns a copy of it. */
kf_queue_node_t kf_queue_take(
    kf_queue_pool_t *pool, kf_queue_t *queue, uint32_t index);

#endif
