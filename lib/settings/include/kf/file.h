#ifndef KF_FILE_H
#define KF_FILE_H

#include <stddef.h>

#include "kf/status.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_file_read - reads a whole file into memory
 *
 * DESCRIPTION
 *	Returns KF_ERR_IO if the file cannot be read and KF_ERR_FULL if it
 *	is longer than max_bytes.  The caller frees *text, which ends with
 *	a NUL byte that is not counted in *len.
 */
kf_status_t kf_file_read(
    const char *path, size_t max_bytes, char **text, size_t *len);

#ifdef __cplusplus
}
#endif

#endif
