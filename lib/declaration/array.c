#include <stdlib.h>
#include <string.h>

#include "array.h"

enum { FIRST_CAPACITY = 16 };

void *
kf_array_add(kf_array_t *array, size_t size)
{
	void *grown, *element;
	size_t wanted;

	if (array->count == array->capacity) {
		wanted =
		    array->capacity == 0 ? FIRST_CAPACITY : array->capacity * 2;
		grown = realloc(array->items, wanted * size);
		if (grown == NULL)
			return NULL;
		array->items = grown;
		array->capacity = wanted;
	}
	element = (char *)array->items + array->count * size;
	array->count++;
	memset(element, 0, size);
	return element;
}
