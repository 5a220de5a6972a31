#include <stdlib.h>

#include "zone_set.h"

enum { FIRST_CAP = 8 };

void
zone_set_clear(zone_set_t *s)
{
	free(s->zones);
	*s = (zone_set_t){ 0 };
}

/* Returns the index of a zone, or the number of zones. */
static size_t
index_of(const zone_set_t *s, uint64_t zone)
{
	size_t i;

	for (i = 0; i < s->count && s->zones[i] != zone; i++)
		;
	return i;
}

bool
zone_set_has(const zone_set_t *s, uint64_t zone)
{
	return index_of(s, zone) < s->count;
}

kf_status_t
zone_set_add(zone_set_t *s, uint64_t zone)
{
	uint64_t *grown;
	size_t cap;

	if (zone_set_has(s, zone))
		return KF_OK;
	if (s->count == s->cap) {
		cap = s->cap == 0 ? FIRST_CAP : s->cap * 2;
		grown = realloc(s->zones, cap * sizeof(*grown));
		if (grown == NULL)
			return kf_status_set(KF_ERR_NO_MEMORY,
			    "no memory for an evacuated zone");
		s->zones = grown;
		s->cap = cap;
	}
	s->zones[s->count++] = zone;
	return KF_OK;
}

void
zone_set_remove(zone_set_t *s, uint64_t zone)
{
	size_t at = index_of(s, zone);

	if (at < s->count)
		s->zones[at] = s->zones[--s->count];
}
