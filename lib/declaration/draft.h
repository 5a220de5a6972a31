#ifndef KF_DRAFT_H
#define KF_DRAFT_H

#include "kf/reader.h"
#include "array.h"

/*
 * NAME
 *	kf_draft - a declaration while it is read and checked
 *
 * DESCRIPTION
 *	Each object has a reference at the same index of a second array,
 *	with what only the checks need.
 */

enum { KF_NO_SERVICE = 0xffffffff };

typedef struct kf_ref {
	char service[KF_NAME_BYTES];
	int line;
	bool bad;	 /* an error of the object itself was reported */
	bool labels_bad; /* its labels or match could not be read */
} kf_ref_t;

typedef struct kf_service_draft {
	kf_service_t service;
	int line;
} kf_service_draft_t;

typedef struct kf_upstream_draft {
	kf_upstream_t upstream;
	kf_label_t labels[KF_MAX_LABELS];
	kf_ref_t ref;
	int state;
} kf_upstream_draft_t;

typedef struct kf_selector_draft {
	kf_selector_t selector;
	kf_label_t match[KF_MAX_LABELS];
	kf_ref_t ref;
	double ramp_from_percent; /* negative: not given */
	int64_t ramp_start_s;	  /* negative: not given */
} kf_selector_draft_t;

typedef struct kf_draft {
	kf_reader_t reader;
	uint32_t revision;
	bool no_memory;
	kf_array_t services; /* kf_service_t */
	kf_array_t service_refs;
	kf_array_t upstreams; /* kf_upstream_t */
	kf_array_t upstream_refs;
	kf_array_t selectors; /* kf_selector_t */
	kf_array_t selector_refs;
	kf_array_t matches; /* uint32_t, indexes into upstreams */
	uint32_t *services_by_id;
	kf_label_sets_t *label_sets;
	/* The section being read. */
	kf_service_draft_t service;
	kf_upstream_draft_t upstream;
	kf_selector_draft_t selector;
} kf_draft_t;

extern const kf_section_t kf_draft_sections[];
extern const size_t kf_draft_section_count;
extern const kf_section_t kf_vm_section;
extern const kf_section_t kf_key_section;

/*
 * Resolves references, groups selectors by service, finds the upstreams of
 * each selector and reports every contradiction.
 */
void kf_draft_check(kf_draft_t *draft);

typedef uint64_t kf_order_key_fn(const void *objects, uint32_t i);

/* Returns the indexes 0 to count - 1 in the order of their keys. */
uint32_t *kf_order(size_t count, kf_order_key_fn *key, const void *objects);
kf_order_key_fn kf_service_id_key;

void kf_draft_clear(kf_draft_t *draft);

#endif
