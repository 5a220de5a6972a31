#ifndef KF_REPLY_CACHE_H
#define KF_REPLY_CACHE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Stored replies in the order in which they expire.  A reply is named by an
 * index; 0 names none.
 */
typedef struct reply {
	uint8_t *data;
	int64_t stored_us;
	uint32_t len;
	uint32_t flow; /* index of the record that names this reply */
	uint32_t slot;
	uint32_t older;
	uint32_t newer; /* next unused reply when unused */
} reply_t;

typedef struct reply_cache {
	reply_t *replies; /* [0] is the list head: newer is the oldest reply */
	uint32_t capacity;
	uint32_t used; /* replies ever used, with the head */
	uint32_t unused;
	uint32_t count;
	size_t bytes;
} reply_cache_t;

/* Bytes that count against the limit for a reply of len bytes. */
size_t reply_cache_cost(size_t len);

/* Copies a reply in; returns 0 if memory is short. */
uint32_t reply_cache_add(reply_cache_t *cache, int64_t now_us,
    const uint8_t *data, uint32_t len, uint32_t flow, uint32_t slot);
void reply_cache_remove(reply_cache_t *cache, uint32_t index);
const reply_t *reply_cache_get(const reply_cache_t *cache, uint32_t index);
uint32_t reply_cache_oldest(const reply_cache_t *cache);
void reply_cache_clear(reply_cache_t *cache);

#endif
