#include <stdio.h>
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

const char *
kf_zone_preference_name(kf_zone_preference_t preference)
{
	return preference == KF_ZONE_ANY ? "any" : "local";
}

const char *
kf_labels_format(
    const kf_label_t *labels, uint32_t count, char buf[KF_LABELS_TEXT_BYTES])
{
	size_t used = 0;
	uint32_t i;

	buf[0] = '\0';
	for (i = 0; i < count; i++)
		used += (size_t)snprintf(buf + used,
		    KF_LABELS_TEXT_BYTES - used, "%s%s=%s", i > 0 ? " " : "",
		    labels[i].key, labels[i].value);
	return buf;
}
