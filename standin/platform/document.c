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

static kf_status_t
read_file(const char *path, char **body, size_t *len)
{
	FILE *file;

	file = fopen(path, "re");
	if (file == NULL)
		return kf_status_set(KF_ERR_NOT_FOUND, "cannot open %s: %s",
		    path, strerror(errno));
	*body = malloc(KF_SIM_DOCUMENT_BYTES + 1);
	if (*body == NULL) {
		fclose(file);
		return kf_status_set(KF_ERR_NO_MEMORY, "no memory");
	}
	*len = fread(*body, 1, KF_SIM_DOCUMENT_BYTES + 1, file);
	if (ferror(file) || *len > KF_SIM_DOCUMENT_BYTES) {
		fclose(file);
		free(*body);
		return kf_status_set(KF_ERR_INVALID,
		    "%s cannot be read or is longer than %d bytes", path,
		    KF_SIM_DOCUMENT_BYTES);
	}
	fclose(file);
	return KF_OK;
}

static bool
document_is_newest(
    const kf_sim_document_t *document, const char *body, size_t len)
{
	const kf_sim_version_t *v;

	if (document->count == 0)
		return false;
	v = &document->versions[document->count - 1];
	return v->len == len && memcmp(v->body, body, len) == 0;
}

kf_status_t
kf_sim_document_load(
    kf_sim_document_t *document, const char *path, int64_t now_us)
{
	kf_status_t status;
	kf_sim_version_t *v;
	char *body = NULL;
	char *shrunk;
	size_t len = 0;

	status = read_file(path, &body, &len);
	if (status != KF_OK)
		return status;
	if (document_is_newest(document, body, len)) {
		free(body);
		return KF_OK;
	}
	shrunk = realloc(body, len + 1);
	if (document->count == KF_SIM_DOCUMENT_VERSIONS) {
		free(document->versions[0].body);
		memmove(document->versions, document->versions + 1,
		    --document->count * sizeof(document->versions[0]));
	}
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
