#ifndef KF_DUPS_H
#define KF_DUPS_H

#include "kf/reader.h"

/*
 * NAME
 *	kf_dups - finds equal keys among many by sorting
 */

typedef struct kf_dups kf_dups_t;

/* Reports each key that occurs twice. */
kf_dups_t *kf_dups_new(const char *what, size_t capacity);
/* Reports only different names with one identifier. */
kf_dups_t *kf_dups_new_id(const char *what, size_t capacity);

/* The name is kept by reference; an empty name is left out. */
void kf_dups_add(kf_dups_t *dups, uint32_t id, const char *name, int line);
void kf_dups_add_addr(kf_dups_t *dups, kf_addr_t addr, int line);

/* Reports through reader and frees dups. */
void kf_dups_report(kf_dups_t *dups, kf_reader_t *reader);

#endif
