#ifndef KF_DIFF_H
#define KF_DIFF_H

#include "kf/declaration.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_diff - differences between two declarations
 *
 * DESCRIPTION
 *	Compares objects of the same name and estimates how many flows move.
 *	A flow moves if its upstream has a new address, or is not a live
 *	upstream of the selector that now has the share point of the flow.
 *	The estimate assumes that the flows of a selector are spread over
 *	its live upstreams in proportion to their slots.
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
	const char *key; /* the changed key; "" for added and removed */
	char *old_value;
	char *new_value;
} kf_diff_entry_t;

/* Flows that move from upstreams of one selector to those of another. */
typedef struct kf_diff_move {
	const char *service;
	const char *from;
	const char *to;		    /* may be the same selector as from */
	double percent;		    /* of the service's flows, at once */
	double percent_after_ramps; /* when all ramps have ended */
} kf_diff_move_t;

typedef struct kf_diff_service {
	const char *service;
	double percent;
	double percent_after_ramps;
} kf_diff_service_t;

/* Points to names of both declarations; delete it before them. */
typedef struct kf_diff {
	uint32_t old_revision;
	uint32_t new_revision;
	size_t entry_count;
	kf_diff_entry_t *entries;
	size_t move_count;
	kf_diff_move_t *moves;
	size_t service_count; /* services that both declarations have */
	kf_diff_service_t *services;
} kf_diff_t;

/* Returns NULL when out of memory. */
kf_diff_t *kf_diff_new(const kf_declaration_t *old_decl,
    const kf_declaration_t *new_decl, int64_t wall_ms);
void kf_diff_delete(kf_diff_t *diff);

const char *kf_diff_kind_name(kf_diff_kind_t kind);

#ifdef __cplusplus
}
#endif

#endif
