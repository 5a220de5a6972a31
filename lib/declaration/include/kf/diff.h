#ifndef KF_DIFF_H
#define KF_DIFF_H

#include "kf/declaration.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_diff - what a new declaration changes
 *
 * DESCRIPTION
 *	Objects are compared by name.  A flow moves if its upstream is no
 *	longer a live upstream of the selector that has its share point, or
 *	has another address.  The flows of a selector are taken as spread
 *	over its live upstreams by slots.
 */

typedef enum kf_diff_kind {
	KF_DIFF_ADDED = 0,
	KF_DIFF_REMOVED,
	KF_DIFF_CHANGED,
} kf_diff_kind_t;

typedef struct kf_diff_entry {
	const char *object; /* "service", "upstream" or "selector" */
	const char *name;
	kf_diff_kind_t kind;
	const char *key; /* of a changed object, else "" */
	char *old_value;
	char *new_value;
} kf_diff_entry_t;

/* Flows that leave upstreams of one selector for those of another. */
typedef struct kf_diff_move {
	const char *service;
	const char *from;
	const char *to;		/* equal to from: re-placed inside it */
	double percent;		/* of the service's flows, at once */
	double percent_at_last; /* when every ramp has ended */
} kf_diff_move_t;

typedef struct kf_diff_service {
	const char *service;
	double percent;
	double percent_at_last;
} kf_diff_service_t;

/* Refers to names of both declarations; delete it before them. */
typedef struct kf_diff {
	uint32_t old_revision;
	uint32_t new_revision;
	size_t entry_count;
	kf_diff_entry_t *entries;
	size_t move_count;
	kf_diff_move_t *moves;
	size_t service_count; /* services of both declarations */
	kf_diff_service_t *services;
} kf_diff_t;

/* Returns NULL if memory runs out. */
kf_diff_t *kf_diff_new(const kf_declaration_t *old_decl,
    const kf_declaration_t *new_decl, int64_t wall_ms);
void kf_diff_delete(kf_diff_t *diff);

const char *kf_diff_kind_name(kf_diff_kind_t kind);

#ifdef __cplusplus
}
#endif

#endif
