#include "cold_update.h"

static uint32_t
zone_rank(void *ctx, uint64_t upstream_id)
{
	return kf_peering_zone_rank(ctx, upstream_id);
}

void
cold_update(kf_forwarder_t *forwarder, const kf_forwarder_settings_t *settings,
    kf_peering_t *peering, uint32_t zone_count, bool leaving, int64_t now_us)
{
	kf_cold_report_t report = {
		.bounds = {
			.excess = settings->cold_excess,
			.slack = settings->cold_slack,
		},
		.alone = !leaving && kf_peering_is_alone(peering),
		.heard_us = leaving ? INT64_MIN
				    : kf_peering_zone_sent_us(peering),
		.vm_count = zone_count,
	};

	kf_forwarder_set_cold_view(
	    forwarder, &report, zone_rank, peering, now_us);
}
