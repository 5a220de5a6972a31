#ifndef KF_DOCUMENT_H
#define KF_DOCUMENT_H

#include "kf/declaration.h"
#include "kf/keyring.h"
#include "kf/reader.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_document - the platform's list of VMs and its key document
 *
 * DESCRIPTION
 *	The version of a document is given by the platform outside of it.
 *	Messages about keys never show a secret.
 */

typedef enum kf_document_kind {
	KF_DOCUMENT_UNKNOWN = 0,
	KF_DOCUMENT_DECLARATION,
	KF_DOCUMENT_VMS,
	KF_DOCUMENT_KEYS,
	KF_DOCUMENT_SETTINGS,  /* of knapweedd */
	KF_DOCUMENT_FORWARDER, /* settings of knapweed-forwarder */
	KF_DOCUMENT_KIND_COUNT
} kf_document_kind_t;

/* Finds the kind by the first section that belongs to one kind only. */
kf_document_kind_t kf_document_detect(const char *text, size_t len);

/* "declaration", "vms", "keys", "settings" or "unknown". */
const char *kf_document_kind_name(kf_document_kind_t kind);
/* KF_DOCUMENT_UNKNOWN if no kind has this name. */
kf_document_kind_t kf_document_kind_parse(const char *name);

/*
 * The sections of a document; NULL for settings, which kf_settings_fields
 * has.
 */
const kf_section_t *kf_document_sections(
    kf_document_kind_t kind, size_t *count);

typedef struct kf_vm_entry {
	uint32_t id;
	char name[KF_NAME_BYTES];
	kf_addr_t addr; /* control address */
	uint32_t zone;
	bool leaving;
} kf_vm_entry_t;

typedef struct kf_vm_list {
	uint32_t count;
	kf_vm_entry_t *vms;
} kf_vm_list_t;

kf_vm_list_t *kf_vm_list_parse(const char *file, const char *text, size_t len,
    kf_error_fn *on_error, void *ctx);
void kf_vm_list_delete(kf_vm_list_t *list);

kf_keyring_t *kf_keys_parse(const char *file, const char *text, size_t len,
    kf_error_fn *on_error, void *ctx);

#ifdef __cplusplus
}
#endif

#endif
