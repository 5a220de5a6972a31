#include <stdlib.h>
#include <string.h>

#include "reply_cache.h"

enum {
	REPLY_CACHE_MIN_CAPACITY = 64,
	MALLOC_OVERHEAD_BYTES = 16,
};

size_t
reply_cache_cost(size_t len)
{
	return len + sizeof(reply_t) + MALLOC_OVERHEAD_BYTES;
}

static int
reply_cache_grow(reply_cache_t *cache)
{
	uint32_t capacity;
	reply_t *replies;

	capacity = cache->capacity * 2;
	if (capacity == 0)
		capacity = REPLY_CACHE_MIN_CAPACITY;
	replies = realloc(cache->replies, capacity * sizeof(*replies));
	if (replies == NULL)
		return -1;
	if (cache->capacity == 0) {
		replies[0] = (reply_t){ 0 };
		cache->high_water = 1;
	}
	cache->replies = replies;
	cache->capacity = capacity;
	return 0;
}

static uint32_t
reply_cache_alloc_index(reply_cache_t *cache)
{
	uint32_t index;

	if (cache->free_head != 0) {
		index = cache->free_head;
		cache->free_head = cache->replies[index].newer;
		return index;
	}
	if (cache->high_water == cache->capacity &&
	    reply_cache_grow(cache) != 0)
		return 0;
	return cache->high_water++;
}

static void
reply_cache_free_index(reply_cache_t *cache, uint32_t index)
{
	cache->replies[index].data = NULL;
	cache->replies[index].newer = cache->free_head;
	cache->free_head = index;
}

uint32_t
reply_cache_add(reply_cache_t *cache, int64_t now_us, const uint8_t *data,
    uint32_t len, uint32_t flow, uint32_t slot)
{
	reply_t *reply;
	uint32_t index;

	index = reply_cache_alloc_index(cache);
	if (index == 0)
		return 0;
	reply = &cache->replies[index];
	reply->data = malloc(len);
	if (reply->data == NULL) {
		reply_cache_free_index(cache, index);
		return 0;
	}
	memcpy(reply->data, data, len);
	reply->stored_us = now_us;
	reply->len = len;
	reply->flow = flow;
	reply->slot = slot;
	reply->newer = 0;
	reply->older = cache->replies[0].older;
	cache->replies[reply->older].newer = index;
	cache->replies[0].older = index;
	cache->count++;
	cache->bytes += reply_cache_cost(len);
	return index;
}

void
reply_cache_remove(reply_cache_t *cache, uint32_t index)
{
	reply_t *reply = &cache->replies[index];

	cache->replies[reply->older].newer = reply->newer;
	cache->replies[reply->newer].older = reply->older;
	cache->count--;
	cache->bytes -= reply_cache_cost(reply->len);
	free(reply->data);
	reply_cache_free_index(cache, index);
}

const reply_t *
reply_cache_get(const reply_cache_t *cache, uint32_t index)
{
	return &cache->replies[index];
}

uint32_t
reply_cache_oldest(const reply_cache_t *cache)
{
	if (cache->count == 0)
		return 0;
	return cache->replies[0].newer;
}

void
reply_cache_clear(reply_cache_t *cache)
{
	while (cache->count > 0)
		reply_cache_remove(cache, reply_cache_oldest(cache));
	free(cache->replies);
	*cache = (reply_cache_t){ 0 };
}
