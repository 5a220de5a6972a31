#ifndef KF_ARRAY_H
#define KF_ARRAY_H

#include <stddef.h>

/*
 * NAME
 *	kf_array - growing array of elements of one size
 */

typedef struct kf_array {
	void *items;
	size_t count;
	size_t capacity;
} kf_array_t;

/* Appends a zeroed element, or returns NULL. */
void *kf_array_add(kf_array_t *array, size_t size);

#endif
