#include <stdlib.h>
#include <string.h>

#include "dups.h"

typedef struct entry {
	uint64_t key;
	const char *name; /* NULL: the key is an address */
	int line;
} entry_t;

struct kf_dups {
	const char *key_kind;
	bool only_collisions;
	size_t count;
	size_t capacity;
	entry_t entries[];
};

kf_dups_t *
kf_dups_new(const char *key_kind, size_t capacity)
{
	kf_dups_t *dups;

	dups = calloc(1, sizeof(*dups) + capacity * sizeof(entry_t));
	if (dups == NULL)
		return NULL;
	dups->key_kind = key_kind;
	dups->capacity = capacity;
	return dups;
}

kf_dups_t *
kf_dups_new_collisions(const char *key_kind, size_t capacity)
{
	kf_dups_t *dups;

	dups = kf_dups_new(key_kind, capacity);
	if (dups != NULL)
		dups->only_collisions = true;
	return dups;
}

static void
dups_add(kf_dups_t *dups, uint64_t key, const char *name, int line)
{
	if (dups == NULL || dups->count == dups->capacity)
		return;
	dups->entries[dups->count++] = (entry_t){
		.key = key,
		.name = name,
		.line = line,
	};
}

void
kf_dups_add(kf_dups_t *dups, uint32_t id, const char *name, int line)
{
	if (*name != '\0')
		dups_add(dups, id, name, line);
}

void
kf_dups_add_addr(kf_dups_t *dups, kf_addr_t addr, int line)
{
	if (addr.port != 0)
		dups_add(dups, (uint64_t)addr.ip << 16 | addr.port, NULL, line);
}

static int
entry_compare(const void *left, const void *right)
{
	const entry_t *a = left, *b = right;

	if (a->key != b->key)
		return a->key < b->key ? -1 : 1;
	return (a->line > b->line) - (a->line < b->line);
}

static void
entry_report(const kf_dups_t *dups, const entry_t *first, const entry_t *entry,
    kf_reader_t *reader)
{
	char buf[KF_ADDR_TEXT_BYTES];
	kf_addr_t addr = {
		.ip = (uint32_t)(entry->key >> 16),
		.port = (uint16_t)entry->key,
	};

	if (entry->name == NULL)
		kf_reader_error(reader, entry->line,
		    "%s %s is already used at line %d", dups->key_kind,
		    kf_addr_format(addr, buf), first->line);
	else if (strcmp(first->name, entry->name) != 0)
		kf_reader_error(reader, entry->line,
		    "%s '%s' has the same identifier as '%s' at line %d; "
		    "rename one of them",
		    dups->key_kind, entry->name, first->name, first->line);
	else if (!dups->only_collisions)
		kf_reader_error(reader, entry->line,
		    "%s '%s' is already used at line %d", dups->key_kind,
		    entry->name, first->line);
}

void
kf_dups_report(kf_dups_t *dups, kf_reader_t *reader)
{
	size_t i, first = 0;

	if (dups == NULL) {
		kf_reader_error(reader, 0, "out of memory");
		return;
	}
	qsort(dups->entries, dups->count, sizeof(entry_t), entry_compare);
	for (i = 1; i < dups->count; i++) {
		if (dups->entries[i].key == dups->entries[first].key)
			entry_report(dups, &dups->entries[first],
			    &dups->entries[i], reader);
		else
			first = i;
	}
	free(dups);
}
