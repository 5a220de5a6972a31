#include "kf/call_info.h"

void
kf_call_info_write(const kf_call_info_t *info, uint8_t buf[KF_CALL_INFO_BYTES])
{
	kf_put_u32(buf, info->deadline_ms);
	kf_put_u32(buf + 4, info->vm);
	kf_put_u64(buf + 8, info->vm_incarnation);
	kf_put_u64(buf + 16, info->flow);
	kf_put_u64(buf + 24, info->upstream_incarnation);
	kf_put_u32(buf + 32, info->reserved);
}

kf_status_t
kf_call_info_read(const kf_rpc_auth_t *verf, kf_call_info_t *info)
{
	const uint8_t *p = verf->body;

	if (verf->flavor != KF_FLAVOR_CALL_INFO)
		return kf_status_set(
		    KF_ERR_UNSUPPORTED, "RPC verifier is not call info");
	if (verf->len != KF_CALL_INFO_BYTES)
		return kf_status_set(KF_ERR_INVALID,
		    "call info has the wrong length of %u bytes",
		    (unsigned)verf->len);
	info->deadline_ms = kf_get_u32(p);
	info->vm = kf_get_u32(p + 4);
	info->vm_incarnation = kf_get_u64(p + 8);
	info->flow = kf_get_u64(p + 16);
	info->upstream_incarnation = kf_get_u64(p + 24);
	info->reserved = kf_get_u32(p + 32);
	return KF_OK;
}

void
kf_load_report_write(
    const kf_load_report_t *report, uint8_t buf[KF_LOAD_REPORT_BYTES])
{
	kf_put_u64(buf, report->incarnation);
	kf_put_u32(buf + 8, report->in_flight);
	kf_put_u32(buf + 12, report->queued);
	kf_put_u32(buf + 16, report->slots);
	kf_put_u32(buf + 20, report->flags);
}

kf_status_t
kf_load_report_read_bytes(
    const uint8_t *buf, size_t len, kf_load_report_t *report)
{
	if (len != KF_LOAD_REPORT_BYTES)
		return kf_status_set(KF_ERR_INVALID,
		    "load report has the wrong length of %u bytes",
		    (unsigned)len);
	report->incarnation = kf_get_u64(buf);
	report->in_flight = kf_get_u32(buf + 8);
	report->queued = kf_get_u32(buf + 12);
	report->slots = kf_get_u32(buf + 16);
	report->flags = kf_get_u32(buf + 20);
	return KF_OK;
}

kf_status_t
kf_load_report_read(const kf_rpc_auth_t *verf, kf_load_report_t *report)
{
	if (verf->flavor != KF_FLAVOR_LOAD_REPORT)
		return kf_status_set(
		    KF_ERR_UNSUPPORTED, "RPC verifier is not a load report");
	return kf_load_report_read_bytes(verf->body, verf->len, report);
}
