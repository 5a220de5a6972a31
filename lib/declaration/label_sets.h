#ifndef KF_LABEL_SETS_H
#define KF_LABEL_SETS_H

#include "kf/declaration.h"

/*
 * NAME
 *	kf_label_sets - interned label sets of a declaration
 *
 * DESCRIPTION
 *	Stores one copy of each distinct set of labels.  There are far fewer
 *	of them than upstreams and selectors, for example one for each
 *	generation and rack.
 */

kf_label_sets_t *kf_label_sets_new(void);
void kf_label_sets_delete(kf_label_sets_t *sets);

/*
 * Returns the stored copy of labels, which is valid until sets is deleted, or
 * NULL when out of memory.  The comparison is bytewise, so the unused bytes of
 * keys and values must be 0.
 */
const kf_label_t *kf_label_sets_intern(
    kf_label_sets_t *sets, const kf_label_t *labels, uint32_t count);

#endif
