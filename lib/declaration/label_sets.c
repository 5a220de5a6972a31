#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "label_sets.h"

/*
 * Chains stay short for up to about 10,000 sets.  A document of 1 MB cannot
 * contain that many.
 */
enum { BUCKETS = 1024 };

typedef struct label_set {
	struct label_set *next;
	uint32_t count;
	kf_label_t labels[];
} label_set_t;

struct kf_label_sets {
	label_set_t *buckets[BUCKETS];
};

kf_label_sets_t *
kf_label_sets_new(void)
{
	return calloc(1, sizeof(kf_label_sets_t));
}

void
kf_label_sets_delete(kf_label_sets_t *sets)
{
	label_set_t *set;
	size_t i;

	if (sets == NULL)
		return;
	for (i = 0; i < BUCKETS; i++) {
		while ((set = sets->buckets[i]) != NULL) {
			sets->buckets[i] = set->next;
			free(set);
		}
	}
	free(sets);
}

static label_set_t *
label_set_new(const kf_label_t *labels, uint32_t count)
{
	label_set_t *set;

	set = malloc(sizeof(*set) + count * sizeof(*labels));
	if (set == NULL)
		return NULL;
	set->count = count;
	memcpy(set->labels, labels, count * sizeof(*labels));
	return set;
}

const kf_label_t *
kf_label_sets_intern(
    kf_label_sets_t *sets, const kf_label_t *labels, uint32_t count)
{
	size_t size = count * sizeof(*labels);
	label_set_t **bucket =
	    &sets->buckets[XXH3_64bits(labels, size) % BUCKETS];
	label_set_t *set;

	for (set = *bucket; set != NULL; set = set->next) {
		if (set->count == count &&
		    memcmp(set->labels, labels, size) == 0)
			return set->labels;
	}
	set = label_set_new(labels, count);
	if (set == NULL)
		return NULL;
	set->next = *bucket;
	*bucket = set;
	return set->labels;
}
