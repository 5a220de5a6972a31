#ifndef KF_SEARCH_H
#define KF_SEARCH_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_lower_bound - finds the position of a key in a sorted array
 *
 * DESCRIPTION
 *	Returns the index of the first element that is not less than the key, or
 *	count if there is none.  compare gets the key and an element, as for
 *	bsearch(3).
 */
size_t kf_lower_bound(const void *key, const void *base, size_t count,
    size_t size, int (*compare)(const void *key, const void *element));

#ifdef __cplusplus
}
#endif

#endif
