#ifndef KF_RPC_H
#define KF_RPC_H

#include <stddef.h>
#include <stdint.h>

#include "kf/status.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_rpc - ONC RPC message headers (RFC 5531)
 *
 * DESCRIPTION
 *	Parses and writes the call and reply headers of a datagram.  The
 *	arguments and results that follow the header are opaque.
 */

enum {
	KF_RPC_CALL = 0,
	KF_RPC_REPLY = 1,
	KF_RPC_VERSION = 2,
	KF_RPC_AUTH_MAX_BYTES = 400,
	KF_RPC_HEADER_MAX_BYTES = 2 * (KF_RPC_AUTH_MAX_BYTES + 8) + 24,
};

enum {
	KF_RPC_AUTH_NONE = 0,
	KF_RPC_AUTH_SYS = 1,
	KF_RPC_AUTH_SHORT = 2,
};

enum {
	KF_RPC_MSG_ACCEPTED = 0,
	KF_RPC_MSG_DENIED = 1,
};

enum {
	KF_RPC_SUCCESS = 0,
	KF_RPC_PROG_UNAVAIL = 1,
	KF_RPC_SYSTEM_ERR = 5,
};

enum {
	KF_RPC_AUTH_BADCRED = 1,
	KF_RPC_AUTH_REJECTEDCRED = 2,
	KF_RPC_AUTH_BADVERF = 3,
	KF_RPC_AUTH_REJECTEDVERF = 4,
	KF_RPC_AUTH_TOOWEAK = 5,
	KF_RPC_AUTH_FAILED = 7,
};

/* Credential or verifier; body points into the parsed datagram. */
typedef struct kf_rpc_auth {
	uint32_t flavor;
	uint32_t len;
	const uint8_t *body;
} kf_rpc_auth_t;

typedef struct kf_rpc_call {
	uint32_t xid;
	uint32_t prog;
	uint32_t vers;
	uint32_t proc;
	kf_rpc_auth_t cred;
	kf_rpc_auth_t verf;
	const uint8_t *args;
	size_t args_len;
} kf_rpc_call_t;

typedef struct kf_rpc_reply {
	uint32_t xid;
	uint32_t reply_stat;	/* KF_RPC_MSG_ACCEPTED or _DENIED */
	uint32_t accept_stat;	/* accepted replies */
	uint32_t reject_stat;	/* denied: 0 RPC_MISMATCH, 1 AUTH_ERROR */
	uint32_t auth_stat;	/* denied with AUTH_ERROR */
	kf_rpc_auth_t verf;	/* accepted replies */
	const uint8_t *results; /* what follows the header */
	size_t results_len;
} kf_rpc_reply_t;

/* User and group of an AUTH_SYS credential; its other fields are skipped. */
typedef struct kf_rpc_auth_sys {
	uint32_t uid;
	uint32_t gid;
} kf_rpc_auth_sys_t;

kf_status_t kf_rpc_call_parse(
    const uint8_t *buf, size_t len, kf_rpc_call_t *call);
kf_status_t kf_rpc_reply_parse(
    const uint8_t *buf, size_t len, kf_rpc_reply_t *reply);

/* Reads uid and gid of an AUTH_SYS credential. */
kf_status_t kf_rpc_auth_sys_parse(
    const kf_rpc_auth_t *cred, kf_rpc_auth_sys_t *sys);

/*
 * The writers return the number of bytes written, or 0 if cap is too small.
 */
size_t kf_rpc_call_write(const kf_rpc_call_t *call, uint8_t *buf, size_t cap);
size_t kf_rpc_reply_write(
    const kf_rpc_reply_t *reply, uint8_t *buf, size_t cap);

/* Writes an AUTH_SYS body with an empty machine name and no extra groups. */
size_t kf_rpc_auth_sys_write(
    const kf_rpc_auth_sys_t *sys, uint32_t stamp, uint8_t *buf, size_t cap);

/* Read and write big-endian integers, as in XDR. */
uint32_t kf_get_u32(const uint8_t *p);
uint64_t kf_get_u64(const uint8_t *p);
void kf_put_u16(uint8_t *p, uint16_t v);
void kf_put_u32(uint8_t *p, uint32_t v);
void kf_put_u64(uint8_t *p, uint64_t v);

#ifdef __cplusplus
}
#endif

#endif
