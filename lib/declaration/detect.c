#include <stdbool.h>
#include <string.h>

#include "kf/document.h"
#include "draft.h"

static const char *const kind_names[KF_DOCUMENT_KIND_COUNT] = {
	[KF_DOCUMENT_UNKNOWN] = "unknown",
	[KF_DOCUMENT_DECLARATION] = "declaration",
	[KF_DOCUMENT_VMS] = "vms",
	[KF_DOCUMENT_KEYS] = "keys",
	[KF_DOCUMENT_SETTINGS] = "settings",
	[KF_DOCUMENT_FORWARDER] = "forwarder",
};

static const struct {
	const char *section;
	bool named;
	kf_document_kind_t kind;
} sections[] = {
	{ "declaration", false, KF_DOCUMENT_DECLARATION },
	{ "service", true, KF_DOCUMENT_DECLARATION },
	{ "upstream", true, KF_DOCUMENT_DECLARATION },
	{ "selector", true, KF_DOCUMENT_DECLARATION },
	{ "vm", true, KF_DOCUMENT_VMS },
	{ "key", true, KF_DOCUMENT_KEYS },
	{ "vm", false, KF_DOCUMENT_SETTINGS },
	{ "platform", false, KF_DOCUMENT_SETTINGS },
	{ "limits", false, KF_DOCUMENT_SETTINGS },
	{ "log", false, KF_DOCUMENT_SETTINGS },
	{ "upstream", false, KF_DOCUMENT_SETTINGS },
};

static void
detect_on_section(void *ctx, const char *section, const char *name, int line)
{
	kf_document_kind_t *kind = ctx;
	size_t i;

	(void)line;
	for (i = 0; i < sizeof(sections) / sizeof(sections[0]); i++) {
		if (*kind == KF_DOCUMENT_UNKNOWN &&
		    strcmp(sections[i].section, section) == 0 &&
		    sections[i].named == (*name != '\0'))
			*kind = sections[i].kind;
	}
}

/*
 * The settings of both daemons have the same sections.  Only those of the
 * forwarder have this key.
 */
static void
detect_on_pair(void *ctx, const char *key, const char *value, int line)
{
	kf_document_kind_t *kind = ctx;

	(void)value;
	(void)line;
	if (*kind == KF_DOCUMENT_SETTINGS && strcmp(key, "packet_address") == 0)
		*kind = KF_DOCUMENT_FORWARDER;
}

static void
ignore_malformed(void *ctx, const char *text, int line)
{
	(void)ctx;
	(void)text;
	(void)line;
}

kf_document_kind_t
kf_document_detect(const char *text, size_t len)
{
	static const kf_ini_handler_t handler = {
		.section = detect_on_section,
		.pair = detect_on_pair,
		.malformed = ignore_malformed,
	};
	kf_document_kind_t kind = KF_DOCUMENT_UNKNOWN;

	kf_ini_parse(text, len, &handler, &kind);
	return kind;
}

const char *
kf_document_kind_name(kf_document_kind_t kind)
{
	if ((unsigned)kind >= KF_DOCUMENT_KIND_COUNT)
		kind = KF_DOCUMENT_UNKNOWN;
	return kind_names[kind];
}

kf_document_kind_t
kf_document_kind_parse(const char *name)
{
	kf_document_kind_t kind;

	for (kind = KF_DOCUMENT_DECLARATION; kind < KF_DOCUMENT_KIND_COUNT;
	     kind++) {
		if (strcmp(kind_names[kind], name) == 0)
			return kind;
	}
	return KF_DOCUMENT_UNKNOWN;
}

const kf_section_t *
kf_document_sections(kf_document_kind_t kind, size_t *count)
{
	switch (kind) {
	case KF_DOCUMENT_DECLARATION:
		*count = kf_draft_section_count;
		return kf_draft_sections;
	case KF_DOCUMENT_VMS:
		*count = 1;
		return &kf_vm_section;
	case KF_DOCUMENT_KEYS:
		*count = 1;
		return &kf_key_section;
	default:
		*count = 0;
		return NULL;
	}
}
