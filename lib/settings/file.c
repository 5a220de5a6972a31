#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kf/file.h"

static kf_status_t
stream_read(
    FILE *stream, const char *path, size_t max_bytes, char **text, size_t *len)
{
	char *buf;

	buf = malloc(max_bytes + 1);
	if (buf == NULL)
		return kf_status_set(KF_ERR_NO_MEMORY, "out of memory");
	*len = fread(buf, 1, max_bytes + 1, stream);
	if (ferror(stream)) {
		free(buf);
		return kf_status_set(KF_ERR_IO, "%s: cannot be read", path);
	}
	if (*len > max_bytes) {
		free(buf);
		return kf_status_set(KF_ERR_FULL,
		    "%s: file is longer than %zu bytes", path, max_bytes);
	}
	buf[*len] = '\0';
	*text = buf;
	return KF_OK;
}

kf_status_t
kf_file_read(const char *path, size_t max_bytes, char **text, size_t *len)
{
	FILE *stream;
	kf_status_t status;

	stream = fopen(path, "r");
	if (stream == NULL)
		return kf_status_set(
		    KF_ERR_IO, "%s: %s", path, strerror(errno));
	status = stream_read(stream, path, max_bytes, text, len);
	fclose(stream);
	return status;
}
