#ifndef KF_DOCUMENT_H
#define KF_DOCUMENT_H

#include "kf/declaration.h"
#include "kf/keyring.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_document - the platform's list of VMs and its key document
 */

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
