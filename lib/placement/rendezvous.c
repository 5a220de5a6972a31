#include <xxhash.h>

#include "kf/placement.h"

uint64_t
kf_rendezvous_score(uint32_t vm, uint64_t incarnation, uint32_t object)
{
	struct {
		uint64_t incarnation;
		uint32_t vm;
		uint32_t object;
	} key = { incarnation, vm, object };

	return XXH3_64bits(&key, sizeof(key));
}
