#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "document.h"

void
kf_sim_document_init(
    kf_sim_document_t *document, const char *kind, uint64_t first_version)
{
	memset(document, 0, sizeof(*document));
	document->kind = kind;
	document->next_version = first_version;
}

void
kf_sim_document_clear(kf_sim_document_t *document)
{
	size_t i;

	for (i = 0; i < document->count; i++)
		free(document->versions[i].body);
	document->count = 0;
}

/* Returns the allocated content, or NULL with a status message. */
static char *
read_file(const char *path, size_t *len)
{
	FILE *file;
	char *body;
	bool ok;

	file = fopen(path, "re");
	if (file == NULL) {
		kf_status_set(KF_ERR_NOT_FOUND, "cannot open %s: %s", path,
		    strerror(errno));
		return NULL;
	}
	body = malloc(KF_SIM_DOCUMENT_BYTES + 1);
	if (body == NULL) {
		kf_status_set(KF_ERR_NO_MEMORY, "no memory");
		fclose(file);
		return NULL;
	}
	*len = fread(body, 1, KF_SIM_DOCUMENT_BYTES + 1, file);
	ok = !ferror(file) && *len <= KF_SIM_DOCUMENT_BYTES;
	fclose(file);
	if (ok)
		return body;
	kf_status_set(KF_ERR_INVALID,
	    "%s cannot be read or is longer than %d bytes", path,
	    KF_SIM_DOCUMENT_BYTES);
	free(body);
	return NULL;
}

static bool
document_is_newest(
    const kf_sim_document_t *document, const char *body, size_t len)
{
	const kf_sim_version_t *v;

	if (document->count == 0)
		return false;
	v = &document->versions[document->count - 1];
	return v->body != NULL && v->len == len &&
	    memcmp(v->body, body, len) == 0;
}

static void
document_drop_oldest(kf_sim_document_t *document)
{
	free(document->versions[0].body);
	memmove(document->versions, document->versions + 1,
	    --document->count * sizeof(document->versions[0]));
}

kf_status_t
kf_sim_document_load(
    kf_sim_document_t *document, const char *path, int64_t now_us)
{
	kf_sim_version_t *v;
	char *body, *shrunk;
	size_t len = 0;

	body = read_file(path, &len);
	if (body == NULL)
		return KF_ERR_IO;
	if (document_is_newest(document, body, len)) {
		free(body);
		return KF_OK;
	}
	shrunk = realloc(body, len + 1);
	if (document->count == KF_SIM_DOCUMENT_VERSIONS)
		document_drop_oldest(document);
	v = &document->versions[document->count++];
	v->version = document->next_version++;
	v->published_us = now_us;
	v->body = shrunk != NULL ? shrunk : body;
	v->len = len;
	return KF_OK;
}

const kf_sim_version_t *
kf_sim_document_find(
    const kf_sim_document_t *document, int64_t until_us, size_t skip)
{
	size_t i = document->count;

	while (i > 0 && document->versions[i - 1].published_us > until_us)
		i--;
	if (i == 0)
		return NULL;
	return &document->versions[i - 1 - (skip < i ? skip : i - 1)];
}
