#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "draft.h"
#include "label_sets.h"

typedef struct sort_entry {
	uint64_t key;
	uint32_t index;
} sort_entry_t;

static uint64_t
upstream_id_key(const void *objects, uint32_t i)
{
	return ((const kf_upstream_t *)objects)[i].id;
}

uint64_t
kf_service_id_key(const void *objects, uint32_t i)
{
	return ((const kf_service_t *)objects)[i].id;
}

static uint64_t
service_addr_key(const void *objects, uint32_t i)
{
	kf_addr_t addr = ((const kf_service_t *)objects)[i].addr;

	return (uint64_t)addr.ip << 16 | addr.port;
}

static int
sort_entry_compare(const void *left, const void *right)
{
	const sort_entry_t *a = left, *b = right;

	if (a->key != b->key)
		return a->key < b->key ? -1 : 1;
	return (a->index > b->index) - (a->index < b->index);
}

uint32_t *
kf_sorted_indexes(size_t count, kf_sort_key_fn *key, const void *objects)
{
	sort_entry_t *entries = calloc(count + 1, sizeof(*entries));
	uint32_t *indexes = calloc(count + 1, sizeof(*indexes));
	uint32_t i;

	if (entries != NULL && indexes != NULL) {
		for (i = 0; i < count; i++) {
			entries[i].key = key(objects, i);
			entries[i].index = i;
		}
		qsort(entries, count, sizeof(*entries), sort_entry_compare);
		for (i = 0; i < count; i++)
			indexes[i] = entries[i].index;
	} else {
		free(indexes);
		indexes = NULL;
	}
	free(entries);
	return indexes;
}

static bool
declaration_index(kf_declaration_t *decl)
{
	uint32_t i, used = 0;

	for (i = 0; i < decl->selector_count; i++) {
		decl->selectors[i].upstreams = decl->selector_upstreams + used;
		used += decl->selectors[i].upstream_count;
	}
	decl->upstreams_by_id = kf_sorted_indexes(
	    decl->upstream_count, upstream_id_key, decl->upstreams);
	decl->services_by_addr = kf_sorted_indexes(
	    decl->service_count, service_addr_key, decl->services);
	return decl->upstreams_by_id != NULL && decl->services_by_addr != NULL;
}

/* Returns the elements of an array, shrunk to fit; the caller frees them. */
static void *
array_detach(kf_array_t *array, size_t size)
{
	void *items = array->items, *trimmed;

	array->items = NULL;
	if (array->count == 0)
		return items;
	trimmed = realloc(items, array->count * size);
	if (trimmed == NULL)
		return items;
	return trimmed;
}

/* Moves the objects of a draft without errors into a new declaration. */
static kf_declaration_t *
declaration_from_draft(kf_draft_t *draft)
{
	kf_declaration_t *decl;

	decl = calloc(1, sizeof(*decl));
	if (decl == NULL)
		return NULL;
	decl->revision = draft->revision;
	decl->service_count = (uint32_t)draft->services.count;
	decl->upstream_count = (uint32_t)draft->upstreams.count;
	decl->selector_count = (uint32_t)draft->selectors.count;
	decl->services = array_detach(&draft->services, sizeof(kf_service_t));
	decl->upstreams =
	    array_detach(&draft->upstreams, sizeof(kf_upstream_t));
	decl->selectors =
	    array_detach(&draft->selectors, sizeof(kf_selector_t));
	decl->selector_upstreams =
	    array_detach(&draft->selector_upstreams, sizeof(uint32_t));
	decl->services_by_id = draft->services_by_id;
	draft->services_by_id = NULL;
	decl->label_sets = draft->label_sets;
	draft->label_sets = NULL;
	if (declaration_index(decl))
		return decl;
	kf_declaration_delete(decl);
	return NULL;
}

kf_declaration_t *
kf_declaration_parse_sized(const char *file, const char *text, size_t len,
    size_t max_bytes, kf_error_fn *on_error, void *ctx)
{
	kf_draft_t draft = {
		.reader = {
			.file = file,
			.on_error = on_error,
			.ctx = ctx,
			.sections = kf_draft_sections,
			.section_count = kf_draft_section_count,
		},
	};
	kf_declaration_t *decl = NULL;

	draft.reader.target = &draft;
	draft.label_sets = kf_label_sets_new();
	kf_reader_run(&draft.reader, text, len, max_bytes);
	if (len <= max_bytes && !draft.no_memory)
		kf_draft_check(&draft);
	if (draft.reader.error_count == 0 && draft.services.count == 0)
		kf_reader_error(&draft.reader, 0, "no service is declared");
	if (draft.reader.error_count == 0 && !draft.no_memory)
		decl = declaration_from_draft(&draft);
	if (decl != NULL)
		decl->digest = XXH64(text, len, 0);
	else if (draft.reader.error_count == 0)
		kf_reader_error(&draft.reader, 0, "out of memory");
	kf_draft_clear(&draft);
	return decl;
}

kf_declaration_t *
kf_declaration_parse(const char *file, const char *text, size_t len,
    kf_error_fn *on_error, void *ctx)
{
	return kf_declaration_parse_sized(
	    file, text, len, KF_DOCUMENT_MAX_BYTES, on_error, ctx);
}
