#ifndef KF_REPLY_CACHE_H
#define KF_REPLY_CACHE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Stored replies in the order in which they expire.  A reply is identified by
 * its index; 0 stands for no reply.
 */
typedef struct reply {
	uint8_t *data;
	int64_t stored_us;
	uint32_t len;
	uint32_t flow; /* index of the flow that refers to this reply */
	uint32_t slot; /* entry of the request in that flow */
	uint32_t older;
	uint32_t newer; /* next of the free list if the reply is unused */
} reply_t;

typedef struct reply_cache {
	reply_t *replies; /* [0] is the list head; its newer is the oldest */
	uint32_t capacity;
	uint32_t high_water; /* replies ever allocated, plus the list head */
	uint32_t free_head;  /* first reply of the free list, or 0 */
	uint32_t count;
	size_t bytes;
} reply_cache_t;

/* Bytes charged against the limit for a reply of len bytes. */
size_t reply_cache_cost(size_t len);

/* Stores a copy of a reply; returns its index, or 0 if out of memory. */
uint32_t reply_cache_add(reply_cache_t *cache, int64_t now_us,
    const uint8_t *data, uint32_t len, uint32_t flow, uint32_t slot);
void reply_cache_remove(reply_cache_t *cache, uint32_t index);
const reply_t *reply_cache_get(const reply_cache_t *cache, uint32_t index);
uint32_t reply_cache_oldest(const reply_cache_t *cache);
void reply_cache_clear(reply_cache_t *cache);

#endif
