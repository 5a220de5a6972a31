#ifndef KF_DRAFT_H
#define KF_DRAFT_H

#include "kf/reader.h"
#include "array.h"

/*
 * NAME
 *	kf_draft - declaration under construction
 *
 * DESCRIPTION
 *	Collects the objects of a document until they have been checked.
 *	Data that only the checks need is kept in separate arrays: each
 *	object has a kf_check_info_t with the same index.
 */

enum { KF_NO_SERVICE = 0xffffffff };

typedef struct kf_check_info {
	char service[KF_NAME_BYTES]; /* name of the service it refers to */
	int line;		     /* of the section header */
	bool bad;	     /* an error in its own section was reported */
	bool labels_invalid; /* its labels or match are not valid */
} kf_check_info_t;

typedef struct kf_service_draft {
	kf_service_t service;
	int line;
} kf_service_draft_t;

typedef struct kf_upstream_draft {
	kf_upstream_t upstream;
	kf_label_t labels[KF_MAX_LABELS];
	kf_check_info_t check_info;
	int state;
} kf_upstream_draft_t;

typedef struct kf_selector_draft {
	kf_selector_t selector;
	kf_label_t match[KF_MAX_LABELS];
	kf_check_info_t check_info;
	double ramp_from_percent; /* negative: not given */
	int64_t ramp_start_s;	  /* negative: not given */
} kf_selector_draft_t;

typedef struct kf_draft {
	kf_reader_t reader;
	uint32_t revision;
	bool no_memory;
	kf_array_t services; /* kf_service_t */
	kf_array_t service_info;
	kf_array_t upstreams; /* kf_upstream_t */
	kf_array_t upstream_info;
	kf_array_t selectors; /* kf_selector_t */
	kf_array_t selector_info;
	kf_array_t selector_upstreams; /* uint32_t, indexes into upstreams */
	uint32_t *services_by_id;
	kf_label_sets_t *label_sets;
	/* The object of the section being read. */
	kf_service_draft_t service;
	kf_upstream_draft_t upstream;
	kf_selector_draft_t selector;
} kf_draft_t;

extern const kf_section_t kf_draft_sections[];
extern const size_t kf_draft_section_count;
extern const kf_section_t kf_vm_section;
extern const kf_section_t kf_key_section;

/*
 * Resolves references to services, sorts the selectors by service, finds the
 * upstreams of each selector and reports all errors that involve more than one
 * section.
 */
void kf_draft_check(kf_draft_t *draft);

typedef uint64_t kf_sort_key_fn(const void *objects, uint32_t i);

/*
 * Returns the indexes 0 to count - 1 sorted by the keys of the objects, or NULL
 * when out of memory.
 */
uint32_t *kf_sorted_indexes(
    size_t count, kf_sort_key_fn *key, const void *objects);
kf_sort_key_fn kf_service_id_key;

void kf_draft_clear(kf_draft_t *draft);

#endif
