#ifndef CAPACITY_CORPUS_H
#define CAPACITY_CORPUS_H

#include "kf/declaration.h"
#include "kf/token.h"
#include "kf/view.h"

/*
 * NAME
 *	corpus - generated declarations, VMs and keys
 */

typedef struct corpus {
	uint32_t upstreams;
	uint32_t services;
	uint32_t zones;
	const char *preference; /* zone_preference of the selectors */
} corpus_t;

typedef struct corpus_text {
	char *text;
	size_t len;
	/* Names replaced because their identifier was taken. */
	uint32_t clashes;
} corpus_text_t;

corpus_text_t corpus_write(const corpus_t *corpus);
kf_declaration_t *corpus_parse(const corpus_text_t *text);

/* Writes and parses; ends the program if that fails. */
kf_declref_t *corpus_declref(const corpus_t *corpus);

uint32_t corpus_zone(uint32_t index);
kf_vm_id_t corpus_vm_id(uint32_t index);

/* VMs of equal zones; the caller frees them. */
kf_view_vm_t *corpus_vms(uint32_t count, uint32_t zones);
kf_keyring_t *corpus_keys(void);

/* Ends the program if a pointer is NULL. */
void *corpus_need(void *pointer, const char *what);

#endif
