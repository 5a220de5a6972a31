#include <string.h>

#include <xxhash.h>

#include "kf/declaration.h"

uint32_t
kf_name_id(const char *name)
{
	uint32_t id;

	id = (uint32_t)XXH64(name, strlen(name), 0);
	return id != 0 ? id : 1;
}

static const char *const class_names[KF_CLASS_COUNT] = {
	[KF_CLASS_URGENT] = "urgent",
	[KF_CLASS_NORMAL] = "normal",
	[KF_CLASS_BULK] = "bulk",
};

const char *
kf_class_name(kf_class_t cls)
{
	return (unsigned)cls < KF_CLASS_COUNT ? class_names[cls] : "unknown";
}
