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
 *	kf_document - kinds of INI documents; VM list and key document
 *
 * DESCRIPTION
 *	The text of a VM list or a key document has no version; the platform
 *	sends it along with the text.  Error messages about keys never
 *	contain a secret.
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

/*
 * Returns the kind of the first known section.  Settings that have the key
 * "packet_address" are those of the forwarder.
 */
kf_document_kind_t kf_document_detect(const char *text, size_t len);

/* "declaration", "vms", "keys", "settings", "forwarder" or "unknown". */
const char *kf_document_kind_name(kf_document_kind_t kind);
/* Returns KF_DOCUMENT_UNKNOWN if no kind has this name. */
kf_document_kind_t kf_document_kind_parse(const char *name);

/*
 * Returns the sections of a kind of document, or NULL for settings: see
 * kf_settings_fields for those.
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
