#include <apr_pools.h>
#include <apr_strings.h>

#include <stdlib.h>

#include "status_report.h"

static char *
text(apr_pool_t *pool, const char *value)
{
	return apr_pstrndup(pool, value, KF_RPC_NAME_MAX);
}

static const char *
vm_name(const kf_view_t *view, uint32_t index)
{
	return index == KF_VIEW_NONE ? "-" : view->vms[index].name;
}

static void
fill_vms(kf_rpc_status *status, apr_pool_t *pool, const kf_control_t *control)
{
	const kf_membership_t *m = kf_control_membership(control);
	size_t count = kf_membership_count(m), i;
	kf_member_t member;

	status->vms.vms_val =
	    apr_pcalloc(pool, (count + 1) * sizeof(kf_rpc_vm));
	status->vms.vms_len = (u_int)count;
	for (i = 0; i < count; i++) {
		kf_rpc_vm *vm = &status->vms.vms_val[i];

		kf_membership_at(m, i, &member);
		vm->name = text(pool, member.name);
		vm->id = member.id.vm;
		vm->incarnation = member.id.incarnation;
		vm->zone = member.zone;
		vm->addr = member.peer.ip;
		vm->port = member.peer.port;
		vm->liveness = (u_int)(i == 0 ? KF_VM_ALIVE : member.liveness);
		vm->leaving = member.leaving;
	}
}

static void
fill_upstream(kf_rpc_upstream *out, apr_pool_t *pool, const kf_view_t *view,
    uint32_t index, kf_time_t now)
{
	const kf_upstream_t *u = &view->decl->upstreams[index];
	const kf_view_upstream_t *vu = &view->upstreams[index];

	out->name = text(pool, u->name);
	out->service = text(pool, view->decl->services[u->service].name);
	out->zone = text(pool, u->zone_name);
	out->owner = text(pool, vm_name(view, vu->owner));
	out->backup = text(pool, vm_name(view, vu->backup));
	out->slots = u->slots;
	out->load = vu->digest.load;
	out->flags = vu->digest.flags;
	out->draining = u->draining;
	out->incarnation = vu->digest.incarnation;
	out->heard_age_ms = vu->digest.heard_us == 0
	    ? -1
	    : (int)((now.mono_us - vu->digest.heard_us) / 1000);
}

static void
fill_declaration(kf_rpc_status *status, apr_pool_t *pool, const kf_view_t *view,
    kf_time_t now)
{
	const kf_declaration_t *decl = view->decl;
	uint32_t i;

	status->revision = decl->revision;
	status->upstreams.upstreams_len = decl->upstream_count;
	status->upstreams.upstreams_val = apr_pcalloc(
	    pool, (decl->upstream_count + 1) * sizeof(kf_rpc_upstream));
	for (i = 0; i < decl->upstream_count; i++)
		fill_upstream(
		    &status->upstreams.upstreams_val[i], pool, view, i, now);
	status->selectors.selectors_len = decl->selector_count;
	status->selectors.selectors_val = apr_pcalloc(
	    pool, (decl->selector_count + 1) * sizeof(kf_rpc_selector));
	for (i = 0; i < decl->selector_count; i++) {
		const kf_selector_t *s = &decl->selectors[i];
		kf_rpc_selector *out = &status->selectors.selectors_val[i];

		out->name = text(pool, s->name);
		out->service = text(pool, decl->services[s->service].name);
		out->declared_share = (u_int)(s->share_percent * 1000 + 0.5);
		out->effective_share =
		    (u_int)(kf_selector_share(s, now.wall_ms) * 1000 + 0.5);
		out->upstreams = s->upstream_count;
	}
}

static void
fill_counters(kf_rpc_status *status, apr_pool_t *pool, const kf_counters_t *sum)
{
	u_int i;

	status->counters.counters_len = KF_COUNTER_COUNT;
	status->counters.counters_val =
	    apr_pcalloc(pool, KF_COUNTER_COUNT * sizeof(kf_rpc_counter));
	for (i = 0; i < KF_COUNTER_COUNT; i++) {
		kf_rpc_counter *out = &status->counters.counters_val[i];

		out->name = text(pool, kf_counter_name((kf_counter_t)i));
		out->value = kf_counters_get(sum, (kf_counter_t)i);
	}
	status->reasons.reasons_len = KF_REASON_COUNT;
	status->reasons.reasons_val =
	    apr_pcalloc(pool, KF_REASON_COUNT * sizeof(kf_rpc_counter));
	for (i = 0; i < KF_REASON_COUNT; i++) {
		kf_rpc_counter *out = &status->reasons.reasons_val[i];

		out->name = text(pool, kf_reason_name((kf_reason_t)i));
		out->value = sum->by_reason[i];
	}
}

void
status_report_fill(kf_rpc_status *status, apr_pool_t *pool, const char *name,
    kf_time_t now, const kf_control_t *control, traffic_thread_t **traffic,
    uint32_t traffic_count)
{
	const kf_view_t *view = kf_control_view(control);
	kf_counters_t sum = { 0 };
	traffic_snapshot_t snapshot;
	uint32_t i;

	status->name = text(pool, name);
	status->keys_version =
	    kf_control_doc(control, KF_DOC_KEYS).version.platform_version;
	status->vms_version =
	    kf_control_doc(control, KF_DOC_VMS).version.platform_version;
	kf_counters_sum(&sum, kf_control_counters(control));
	for (i = 0; i < traffic_count; i++) {
		kf_counters_sum(&sum, traffic_thread_counters(traffic[i]));
		if (traffic_thread_snapshot(traffic[i], &snapshot) != KF_OK)
			continue;
		status->requests_in_progress += snapshot.in_progress;
		status->flows += snapshot.flows.flows;
		status->flow_bytes +=
		    snapshot.flows.memory_bytes + snapshot.flows.reply_bytes;
		free(snapshot.upstreams);
	}
	fill_vms(status, pool, control);
	fill_counters(status, pool, &sum);
	if (view == NULL)
		return;
	status->vm = view->self.vm;
	status->incarnation = view->self.incarnation;
	status->settled = view->settled;
	status->leaving = view->leaving;
	status->declaration_version = view->declaration_version;
	fill_declaration(status, pool, view, now);
}
