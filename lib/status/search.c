#include "kf/search.h"

size_t
kf_lower_bound(const void *key, const void *base, size_t count, size_t size,
    int (*compare)(const void *key, const void *element))
{
	size_t low = 0, high = count, middle;

	while (low < high) {
		middle = low + (high - low) / 2;
		if (compare(key, (const char *)base + middle * size) > 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}
