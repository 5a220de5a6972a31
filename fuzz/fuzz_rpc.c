/*
 * Guards against reads past the end of a datagram from a caller, an upstream
 * or the fabric, and against a call that differs after it is parsed and written
 * back.
 */
#include <stdlib.h>
#include <string.h>

#include "kf/call_info.h"
#include "kf/proxy.h"
#include "kf/rpc.h"

static void
check_call(const uint8_t *data, size_t size)
{
	kf_rpc_call_t call, again;
	kf_call_info_t info;
	kf_rpc_auth_sys_t sys;
	uint8_t *buf;
	size_t len;

	if (kf_rpc_call_parse(data, size, &call) != KF_OK)
		return;
	(void)kf_rpc_auth_sys_parse(&call.cred, &sys);
	(void)kf_call_info_read(&call.verf, &info);
	buf = malloc(size + 8);
	if (buf == NULL)
		return;
	len = kf_rpc_call_write(&call, buf, size + 8);
	if (len != size || kf_rpc_call_parse(buf, len, &again) != KF_OK ||
	    again.xid != call.xid || again.args_len != call.args_len)
		abort();
	free(buf);
}

static void
check_reply(const uint8_t *data, size_t size)
{
	kf_rpc_reply_t reply;
	kf_load_report_t report;

	if (kf_rpc_reply_parse(data, size, &reply) != KF_OK)
		return;
	if (reply.reply_stat == KF_RPC_MSG_ACCEPTED)
		(void)kf_load_report_read(&reply.verf, &report);
	if (reply.results + reply.results_len != data + size)
		abort();
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	kf_addr_t src, dst;
	size_t offset;

	check_call(data, size);
	check_reply(data, size);
	if (kf_proxy_parse(data, size, &src, &dst, &offset) == KF_OK &&
	    offset > size)
		abort();
	return 0;
}
