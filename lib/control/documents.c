#include <stdio.h>

#include "kf/document.h"

#include "control_internal.h"

/* First parse error of a document, for the status message. */
typedef struct first_error {
	bool set;
	char text[256];
} first_error_t;

static void
on_error(void *ctx, const char *file, int line, const char *text)
{
	first_error_t *first = ctx;

	if (first->set)
		return;
	first->set = true;
	snprintf(
	    first->text, sizeof(first->text), "%s:%d: %s", file, line, text);
}

static kf_status_t
documents_parse(
    void *ctx, kf_doc_kind_t kind, const char *text, size_t len, void **doc)
{
	const char *name = kf_doc_kind_name(kind);
	first_error_t first = { 0 };
	kf_declaration_t *decl;

	(void)ctx;
	*doc = NULL;
	switch (kind) {
	case KF_DOC_DECLARATION:
		decl = kf_declaration_parse(name, text, len, on_error, &first);
		if (decl != NULL && (*doc = kf_declref_new(decl)) == NULL)
			kf_declaration_delete(decl);
		break;
	case KF_DOC_KEYS:
		*doc = kf_keys_parse(name, text, len, on_error, &first);
		break;
	case KF_DOC_VMS:
		*doc = kf_vm_list_parse(name, text, len, on_error, &first);
		break;
	default:
		break;
	}
	if (*doc == NULL)
		return kf_status_set(KF_ERR_INVALID, "%s",
		    first.set ? first.text : "out of memory");
	return KF_OK;
}

static void
documents_free(void *ctx, kf_doc_kind_t kind, void *doc)
{
	(void)ctx;
	switch (kind) {
	case KF_DOC_DECLARATION:
		kf_declref_release(doc);
		break;
	case KF_DOC_KEYS:
		kf_keyring_delete(doc);
		break;
	case KF_DOC_VMS:
		kf_vm_list_delete(doc);
		break;
	default:
		break;
	}
}

static uint32_t
documents_revision(void *ctx, kf_doc_kind_t kind, const void *doc)
{
	(void)ctx;
	if (kind != KF_DOC_DECLARATION)
		return 0;
	return kf_declref_get(doc)->revision;
}

kf_doc_ops_t
documents_ops(kf_control_t *c)
{
	return (kf_doc_ops_t){
		.ctx = c,
		.parse = documents_parse,
		.free = documents_free,
		.revision_of = documents_revision,
	};
}

kf_keyring_t *
documents_keys(const kf_control_t *c)
{
	return kf_confdist_doc(c->confdist, KF_DOC_KEYS).parsed;
}

/* Counts and records whether a document was accepted or refused. */
void
documents_record_result(kf_control_t *c, kf_doc_kind_t kind,
    kf_doc_result_t result, uint64_t version)
{
	kf_doc_t doc = kf_confdist_doc(c->confdist, kind);
	kf_control_record_t record = {
		.text = kf_doc_kind_name(kind),
		.state = kf_doc_result_name(result),
		.revision = doc.version.revision,
		.version = version,
	};

	if (result == KF_DOC_UNCHANGED)
		return;
	if (result == KF_DOC_ACCEPTED) {
		record.event = KF_CONTROL_DOC_ACCEPTED;
		kf_counters_add(&c->counters, KF_COUNT_CONFIG_ACCEPTED, 1);
	} else {
		record.event = KF_CONTROL_DOC_REFUSED;
		record.reason =
		    result == KF_DOC_INVALID ? kf_status_message() : NULL;
		kf_counters_add(&c->counters, KF_COUNT_CONFIG_REFUSED, 1);
	}
	c->config.ops.record(c->config.ops.ctx, &record);
}
