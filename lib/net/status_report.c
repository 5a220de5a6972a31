#include <apr_pools.h>
#include <apr_strings.h>

#include <stdlib.h>

#include "status_report.h"

static char *
rpc_string(apr_pool_t *pool, const char *value)
{
	return apr_pstrndup(pool, value, KF_RPC_NAME_MAX);
}

static const char *
vm_name(const kf_view_t *view, uint32_t index)
{
	return index == KF_VIEW_NONE ? "-" : view->vms[index].name;
}

/* Returns -1 if at_us equals never_us, which stands for never. */
static int64_t
age_ms(kf_time_t now, int64_t at_us, int64_t never_us)
{
	return at_us == never_us ? -1 : (now.mono_us - at_us) / 1000;
}

/*
 * VM lists and heartbeats carry only zone ids.  The names come from the
 * settings and the declaration; a zone in neither is shown by its id.
 */
static char *
zone_rpc_string(apr_pool_t *pool, const kf_settings_t *settings,
    const kf_view_t *view, uint32_t zone)
{
	uint32_t i;

	if (zone == settings->zone)
		return rpc_string(pool, settings->zone_name);
	for (i = 0; view != NULL && i < view->decl->upstream_count; i++) {
		if (view->decl->upstreams[i].zone == zone)
			return rpc_string(
			    pool, view->decl->upstreams[i].zone_name);
	}
	return apr_psprintf(pool, "%08x", zone);
}

static void
fill_vms(kf_rpc_status *status, apr_pool_t *pool, kf_time_t now,
    const kf_settings_t *settings, const kf_control_t *control)
{
	const kf_membership_t *m = kf_control_membership(control);
	const kf_view_t *view = kf_control_view(control);
	size_t count = kf_membership_count(m), i;
	kf_member_t member;

	status->vms.vms_val =
	    apr_pcalloc(pool, (count + 1) * sizeof(kf_rpc_vm));
	status->vms.vms_len = (u_int)count;
	for (i = 0; i < count; i++) {
		kf_rpc_vm *vm = &status->vms.vms_val[i];

		kf_membership_at(m, i, &member);
		vm->name = rpc_string(pool, member.name);
		vm->id = member.id.vm;
		vm->incarnation = member.id.incarnation;
		vm->zone = zone_rpc_string(pool, settings, view, member.zone);
		vm->addr = member.control.ip;
		vm->port = member.control.port;
		vm->liveness = (u_int)(i == 0 ? KF_VM_ALIVE : member.liveness);
		vm->leaving = member.leaving;
		vm->heard_age_ms =
		    i == 0 ? 0 : age_ms(now, member.heard_us, -1);
	}
}

static void
fill_upstream(kf_rpc_upstream *out, apr_pool_t *pool, kf_time_t now,
    const kf_control_t *control, uint32_t index)
{
	const kf_view_t *view = kf_control_view(control);
	const kf_upstream_t *u = &view->decl->upstreams[index];
	const kf_view_upstream_t *vu = &view->upstreams[index];
	const kf_view_digest_t *digest = kf_control_digest(control, u->id);

	out->name = rpc_string(pool, u->name);
	out->service = rpc_string(pool, view->decl->services[u->service].name);
	out->zone = rpc_string(pool, u->zone_name);
	out->owner = rpc_string(pool, vm_name(view, vu->owner));
	out->backup = rpc_string(pool, vm_name(view, vu->backup));
	out->slots = u->slots;
	out->draining = u->draining;
	out->heard_age_ms = -1;
	if (digest == NULL)
		return;
	out->load = digest->load;
	out->flags = digest->flags;
	out->incarnation = digest->incarnation;
	out->heard_age_ms = age_ms(now, digest->heard_us, 0);
}

static u_int
share_milli_percent(double percent)
{
	return (u_int)(percent * 1000 + 0.5);
}

static void
fill_selector(kf_rpc_selector *out, apr_pool_t *pool, kf_time_t now,
    const kf_declaration_t *decl, const kf_selector_t *s)
{
	out->name = rpc_string(pool, s->name);
	out->service = rpc_string(pool, decl->services[s->service].name);
	out->declared_share = share_milli_percent(s->share_percent);
	out->effective_share =
	    share_milli_percent(kf_selector_share(s, now.wall_ms));
	out->ramp_from_share = share_milli_percent(s->ramp_from_percent);
	out->ramp_start_s = s->ramp_start_s;
	out->ramp_s = s->ramp_s;
	out->upstreams = s->upstream_count;
}

static void
fill_declaration(kf_rpc_status *status, apr_pool_t *pool, kf_time_t now,
    const kf_control_t *control)
{
	const kf_declaration_t *decl = kf_control_view(control)->decl;
	uint32_t i;

	status->revision = decl->revision;
	status->upstreams.upstreams_len = decl->upstream_count;
	status->upstreams.upstreams_val = apr_pcalloc(
	    pool, (decl->upstream_count + 1) * sizeof(kf_rpc_upstream));
	for (i = 0; i < decl->upstream_count; i++)
		fill_upstream(
		    &status->upstreams.upstreams_val[i], pool, now, control, i);
	status->selectors.selectors_len = decl->selector_count;
	status->selectors.selectors_val = apr_pcalloc(
	    pool, (decl->selector_count + 1) * sizeof(kf_rpc_selector));
	for (i = 0; i < decl->selector_count; i++)
		fill_selector(&status->selectors.selectors_val[i], pool, now,
		    decl, &decl->selectors[i]);
}

static void
fill_counters(
    kf_rpc_status *status, apr_pool_t *pool, const kf_counters_t *totals)
{
	u_int i;

	status->counters.counters_len = KF_COUNTER_COUNT;
	status->counters.counters_val =
	    apr_pcalloc(pool, KF_COUNTER_COUNT * sizeof(kf_rpc_counter));
	for (i = 0; i < KF_COUNTER_COUNT; i++) {
		kf_rpc_counter *out = &status->counters.counters_val[i];

		out->name = rpc_string(pool, kf_counter_name((kf_counter_t)i));
		out->value = kf_counters_get(totals, (kf_counter_t)i);
	}
	status->reasons.reasons_len = KF_REASON_COUNT;
	status->reasons.reasons_val =
	    apr_pcalloc(pool, KF_REASON_COUNT * sizeof(kf_rpc_counter));
	for (i = 0; i < KF_REASON_COUNT; i++) {
		kf_rpc_counter *out = &status->reasons.reasons_val[i];

		out->name = rpc_string(pool, kf_reason_name((kf_reason_t)i));
		out->value = totals->by_reason[i];
	}
}

void
status_report_add_totals(status_totals_t *totals, const kf_control_t *control,
    traffic_thread_t **traffic, uint32_t traffic_count)
{
	traffic_snapshot_t snapshot;
	uint32_t i;

	kf_counters_sum(&totals->counters, kf_control_counters(control));
	for (i = 0; i < traffic_count; i++) {
		traffic_thread_add_counters(traffic[i], &totals->counters);
		if (traffic_thread_snapshot(traffic[i], &snapshot) != KF_OK)
			continue;
		totals->requests_in_progress += snapshot.in_progress;
		totals->flows += snapshot.flows.flows;
		totals->flow_bytes +=
		    snapshot.flows.memory_bytes + snapshot.flows.reply_bytes;
		free(snapshot.upstreams);
	}
}

static void
fill_view(kf_rpc_status *status, const kf_view_t *view)
{
	status->vm = view->self.vm;
	status->incarnation = view->self.incarnation;
	status->settled = view->settled;
	status->leaving = view->leaving;
	status->declaration_version = view->declaration_version;
}

void
status_report_fill(kf_rpc_status *status, apr_pool_t *pool,
    const kf_settings_t *settings, kf_time_t now, const kf_control_t *control,
    const status_totals_t *totals)
{
	status->name = rpc_string(pool, settings->name);
	status->keys_version =
	    kf_control_doc(control, KF_DOC_KEYS).version.platform_version;
	status->vms_version =
	    kf_control_doc(control, KF_DOC_VMS).version.platform_version;
	status->platform_age_ms = kf_control_platform_age_ms(control, now);
	status->wall_ms = (u_quad_t)now.wall_ms;
	status->requests_in_progress = totals->requests_in_progress;
	status->flows = totals->flows;
	status->flow_bytes = totals->flow_bytes;
	fill_vms(status, pool, now, settings, control);
	fill_counters(status, pool, &totals->counters);
	if (kf_control_view(control) == NULL)
		return;
	fill_view(status, kf_control_view(control));
	fill_declaration(status, pool, now, control);
}
