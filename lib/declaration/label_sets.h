#ifndef KF_LABEL_SETS_H
#define KF_LABEL_SETS_H

#include "kf/declaration.h"

/*
 * NAME
 *	kf_label_sets - one copy of each set of labels of a declaration
 *
 * DESCRIPTION
 *	Upstreams and selectors share few sets of labels: one for each
 *	generation and rack, say.
 */

kf_label_sets_t *kf_label_sets_new(void);
void kf_label_sets_delete(kf_label_sets_t *sets);

/*
 * Returns the copy of labels that lives as long as sets, or NULL when out of
 * memory.  Bytes behind the text of a label must be 0.
 */
const kf_label_t *kf_label_sets_add(
    kf_label_sets_t *sets, const kf_label_t *labels, uint32_t count);

#endif
