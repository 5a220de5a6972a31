#ifndef KF_ARRAY_H
#define KF_ARRAY_H

#include <stddef.h>

/*
 * NAME
 *	kf_array - array that grows as elements are appended
 */

typedef struct kf_array {
	void *items;
	size_t count;
	size_t capacity;
} kf_array_t;

/* Appends a zeroed element of size bytes; NULL when out of memory. */
void *kf_array_add(kf_array_t *array, size_t size);

#endif
