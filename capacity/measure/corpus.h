#ifndef CAPACITY_CORPUS_H
#define CAPACITY_CORPUS_H

#include "kf/declaration.h"
#include "kf/token.h"
#include "kf/view.h"

/*
 * NAME
 *	corpus - generated input: declarations, VMs and keys
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
	/* Number of names changed because their identifiers collided. */
	uint32_t clashes;
} corpus_text_t;

/* The caller frees the text. */
corpus_text_t corpus_write(const corpus_t *corpus);
kf_declaration_t *corpus_parse(const corpus_text_t *text);

/* Writes and parses a declaration; exits if that fails. */
kf_declref_t *corpus_declref(const corpus_t *corpus);

/* Identifiers of the zone and of the VM with this index. */
uint32_t corpus_zone(uint32_t index);
kf_vm_id_t corpus_vm_id(uint32_t index);

/* VMs spread evenly over the zones; the caller frees the array. */
kf_view_vm_t *corpus_vms(uint32_t count, uint32_t zones);
kf_keyring_t *corpus_keys(void);

/* Returns the pointer; prints an error and exits if it is NULL. */
void *corpus_require(void *pointer, const char *what);

#endif
