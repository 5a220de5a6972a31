#include <stddef.h>
#include <string.h>

#include "kf/rpc.h"

/* A bounded reader; failed is set, and stays set, if a read would pass end. */
typedef struct reader {
	const uint8_t *p;
	const uint8_t *end;
	int failed;
} reader_t;

/* The same for writes. */
typedef struct writer {
	uint8_t *p;
	uint8_t *end;
	int failed;
} writer_t;

uint32_t
kf_get_u32(const uint8_t *p)
{
	return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 |
	    (uint32_t)p[2] << 8 | p[3];
}

uint64_t
kf_get_u64(const uint8_t *p)
{
	return (uint64_t)kf_get_u32(p) << 32 | kf_get_u32(p + 4);
}

void
kf_put_u16(uint8_t *p, uint16_t v)
{
	p[0] = (uint8_t)(v >> 8);
	p[1] = (uint8_t)v;
}

void
kf_put_u32(uint8_t *p, uint32_t v)
{
	p[0] = (uint8_t)(v >> 24);
	p[1] = (uint8_t)(v >> 16);
	p[2] = (uint8_t)(v >> 8);
	p[3] = (uint8_t)v;
}

void
kf_put_u64(uint8_t *p, uint64_t v)
{
	kf_put_u32(p, (uint32_t)(v >> 32));
	kf_put_u32(p + 4, (uint32_t)v);
}

static uint32_t
reader_u32(reader_t *r)
{
	uint32_t v;

	if (r->failed || r->end - r->p < 4) {
		r->failed = 1;
		return 0;
	}
	v = kf_get_u32(r->p);
	r->p += 4;
	return v;
}

static kf_rpc_auth_t
reader_auth(reader_t *r)
{
	kf_rpc_auth_t auth = { 0 };
	size_t padded;

	auth.flavor = reader_u32(r);
	auth.len = reader_u32(r);
	padded = ((size_t)auth.len + 3) & ~(size_t)3;
	if (r->failed || auth.len > KF_RPC_AUTH_MAX_BYTES ||
	    (size_t)(r->end - r->p) < padded) {
		r->failed = 1;
		return auth;
	}
	auth.body = r->p;
	r->p += padded;
	return auth;
}

static void
writer_u32(writer_t *w, uint32_t v)
{
	if (w->failed || w->end - w->p < 4) {
		w->failed = 1;
		return;
	}
	kf_put_u32(w->p, v);
	w->p += 4;
}

static void
writer_bytes(writer_t *w, const uint8_t *bytes, size_t len)
{
	if (w->failed || (size_t)(w->end - w->p) < len) {
		w->failed = 1;
		return;
	}
	if (len > 0)
		memcpy(w->p, bytes, len);
	w->p += len;
}

static void
writer_auth(writer_t *w, const kf_rpc_auth_t *auth)
{
	static const uint8_t zeros[3];

	writer_u32(w, auth->flavor);
	writer_u32(w, auth->len);
	writer_bytes(w, auth->body, auth->len);
	writer_bytes(w, zeros, (4 - auth->len % 4) % 4);
}

kf_status_t
kf_rpc_call_parse(const uint8_t *buf, size_t len, kf_rpc_call_t *call)
{
	reader_t r = { .p = buf, .end = buf + len };
	uint32_t type, rpcvers;

	call->xid = reader_u32(&r);
	type = reader_u32(&r);
	rpcvers = reader_u32(&r);
	call->prog = reader_u32(&r);
	call->vers = reader_u32(&r);
	call->proc = reader_u32(&r);
	call->cred = reader_auth(&r);
	call->verf = reader_auth(&r);
	if (r.failed)
		return kf_status_set(
		    KF_ERR_TRUNCATED, "RPC call header ends early");
	if (type != KF_RPC_CALL || rpcvers != KF_RPC_VERSION)
		return kf_status_set(
		    KF_ERR_INVALID, "not an RPC version 2 call");
	call->args = r.p;
	call->args_len = (size_t)(r.end - r.p);
	return KF_OK;
}

kf_status_t
kf_rpc_reply_parse(const uint8_t *buf, size_t len, kf_rpc_reply_t *reply)
{
	reader_t r = { .p = buf, .end = buf + len };
	uint32_t type;

	memset(reply, 0, sizeof(*reply));
	reply->xid = reader_u32(&r);
	type = reader_u32(&r);
	reply->reply_stat = reader_u32(&r);
	if (!r.failed && type != KF_RPC_REPLY)
		return kf_status_set(KF_ERR_INVALID, "not an RPC reply");
	if (reply->reply_stat == KF_RPC_MSG_ACCEPTED) {
		reply->verf = reader_auth(&r);
		reply->accept_stat = reader_u32(&r);
	} else if (reply->reply_stat == KF_RPC_MSG_DENIED) {
		reply->reject_stat = reader_u32(&r);
		if (reply->reject_stat == 1)
			reply->auth_stat = reader_u32(&r);
	} else
		return kf_status_set(
		    KF_ERR_INVALID, "unknown RPC reply status");
	if (r.failed)
		return kf_status_set(
		    KF_ERR_TRUNCATED, "RPC reply header ends early");
	reply->results = r.p;
	reply->results_len = (size_t)(r.end - r.p);
	return KF_OK;
}

kf_status_t
kf_rpc_auth_sys_parse(const kf_rpc_auth_t *cred, kf_rpc_auth_sys_t *sys)
{
	reader_t r = { .p = cred->body, .end = cred->body + cred->len };
	uint32_t name_len;
	size_t padded;

	if (cred->flavor != KF_RPC_AUTH_SYS)
		return kf_status_set(
		    KF_ERR_UNSUPPORTED, "credential is not AUTH_SYS");
	reader_u32(&r);
	name_len = reader_u32(&r);
	padded = ((size_t)name_len + 3) & ~(size_t)3;
	if (r.failed || (size_t)(r.end - r.p) < padded)
		return kf_status_set(
		    KF_ERR_TRUNCATED, "AUTH_SYS credential ends early");
	r.p += padded;
	sys->uid = reader_u32(&r);
	sys->gid = reader_u32(&r);
	if (r.failed)
		return kf_status_set(
		    KF_ERR_TRUNCATED, "AUTH_SYS credential ends early");
	return KF_OK;
}

size_t
kf_rpc_call_write(const kf_rpc_call_t *call, uint8_t *buf, size_t cap)
{
	writer_t w = { .p = buf, .end = buf + cap };

	writer_u32(&w, call->xid);
	writer_u32(&w, KF_RPC_CALL);
	writer_u32(&w, KF_RPC_VERSION);
	writer_u32(&w, call->prog);
	writer_u32(&w, call->vers);
	writer_u32(&w, call->proc);
	writer_auth(&w, &call->cred);
	writer_auth(&w, &call->verf);
	writer_bytes(&w, call->args, call->args_len);
	return w.failed ? 0 : (size_t)(w.p - buf);
}

size_t
kf_rpc_reply_write(const kf_rpc_reply_t *reply, uint8_t *buf, size_t cap)
{
	writer_t w = { .p = buf, .end = buf + cap };

	writer_u32(&w, reply->xid);
	writer_u32(&w, KF_RPC_REPLY);
	writer_u32(&w, reply->reply_stat);
	if (reply->reply_stat == KF_RPC_MSG_ACCEPTED) {
		writer_auth(&w, &reply->verf);
		writer_u32(&w, reply->accept_stat);
	} else {
		writer_u32(&w, reply->reject_stat);
		if (reply->reject_stat == 1)
			writer_u32(&w, reply->auth_stat);
	}
	writer_bytes(&w, reply->results, reply->results_len);
	return w.failed ? 0 : (size_t)(w.p - buf);
}

size_t
kf_rpc_auth_sys_write(
    const kf_rpc_auth_sys_t *sys, uint32_t stamp, uint8_t *buf, size_t cap)
{
	writer_t w = { .p = buf, .end = buf + cap };

	writer_u32(&w, stamp);
	writer_u32(&w, 0);
	writer_u32(&w, sys->uid);
	writer_u32(&w, sys->gid);
	writer_u32(&w, 0);
	return w.failed ? 0 : (size_t)(w.p - buf);
}
