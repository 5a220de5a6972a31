#ifndef KF_STATUS_H
#define KF_STATUS_H

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_status - result codes, and the message of the last failure
 *
 * DESCRIPTION
 *	Functions that can fail return a kf_status_t.  The message of the
 *	last failure on a thread is kept until its next failure.
 */

typedef enum kf_status {
	KF_OK = 0,
	KF_ERR_INVALID,	    /* malformed or contradictory input */
	KF_ERR_NO_MEMORY,   /* allocation failed */
	KF_ERR_TRUNCATED,   /* input ends early or buffer too small */
	KF_ERR_AUTH,	    /* message authentication failed */
	KF_ERR_EXPIRED,	    /* past its expiry */
	KF_ERR_NOT_FOUND,   /* no such object */
	KF_ERR_STALE,	    /* older than the current state */
	KF_ERR_CONFLICT,    /* contradicts another object */
	KF_ERR_FULL,	    /* a bounded table or queue is full */
	KF_ERR_IO,	    /* a system call or a connection failed */
	KF_ERR_TIMEOUT,	    /* no answer in time */
	KF_ERR_UNSUPPORTED, /* valid, but not handled here */
	KF_STATUS_COUNT
} kf_status_t;

/* Records a printf-style message and returns status. */
kf_status_t kf_status_set(kf_status_t status, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Returns the last message of this thread; never NULL. */
const char *kf_status_message(void);

/* Returns the fixed name of a code, e.g. "invalid". */
const char *kf_status_name(kf_status_t status);

#ifdef __cplusplus
}
#endif

#endif
