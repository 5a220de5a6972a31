#ifndef KF_DUPS_H
#define KF_DUPS_H

#include "kf/reader.h"

/*
 * NAME
 *	kf_dups - finds duplicate keys by sorting
 */

typedef struct kf_dups kf_dups_t;

/*
 * Both return NULL when out of memory, which the other functions accept.
 * key_kind names the keys in error messages.
 *
 * kf_dups_new reports every repeated key, kf_dups_new_collisions only different
 * names that have the same identifier.
 */
kf_dups_t *kf_dups_new(const char *key_kind, size_t capacity);
kf_dups_t *kf_dups_new_collisions(const char *key_kind, size_t capacity);

/* Keeps a pointer to name.  Ignores empty names and addresses with port 0. */
void kf_dups_add(kf_dups_t *dups, uint32_t id, const char *name, int line);
void kf_dups_add_addr(kf_dups_t *dups, kf_addr_t addr, int line);

/* Reports the duplicates, or that memory ran out, and frees dups. */
void kf_dups_report(kf_dups_t *dups, kf_reader_t *reader);

#endif
