#include "zone_balancing.h"

typedef struct demand_source {
	const kf_peering_t *peering;
	int64_t now_us;
} demand_source_t;

static size_t
zone_demands(void *ctx, uint64_t service, kf_zone_demand_t *zones, size_t max)
{
	const demand_source_t *source = ctx;

	return kf_peering_zone_demands(
	    source->peering, service, source->now_us, zones, max);
}

static void
log_changes(kf_forwarder_t *forwarder, kf_eventlog_t *log)
{
	kf_directory_t *directory = kf_forwarder_directory(forwarder);
	size_t i;

	for (i = 0; i < kf_directory_pool_count(directory); i++) {
		kf_pool_t *pool = kf_directory_pool_at(directory, i);

		if (!kf_zone_plan_take_change(&pool->zones))
			continue;
		kf_eventlog_write(log, KF_LOG_INFO, "zone_balance",
		    "service=%s share=%.2f wait_home_us=%.0f "
		    "wait_away_us=%.0f",
		    kf_pool_service_name(pool), pool->zones.share,
		    pool->zones.shares.wait_home_us,
		    pool->zones.shares.wait_away_us);
	}
}

static void
log_isolation(kf_forwarder_t *forwarder, kf_eventlog_t *log)
{
	bool isolated;

	if (kf_forwarder_take_isolation(forwarder, &isolated))
		kf_eventlog_write(log, KF_LOG_WARN, "zone_isolated",
		    "isolated=%s", isolated ? "yes" : "no");
}

void
zone_balancing_update(kf_forwarder_t *forwarder, const kf_peering_t *peering,
    const kf_forwarder_settings_t *settings, kf_eventlog_t *log, int64_t now_us)
{
	demand_source_t source = { .peering = peering, .now_us = now_us };
	kf_zone_settings_t zones = {
		.balance = settings->zone_balance == KF_SWITCH_ON,
		.last_resort = settings->last_resort == KF_SWITCH_ON,
		.transfer_us_per_kb = settings->transfer_us_per_kb,
	};

	kf_forwarder_balance_zones(
	    forwarder, &zones, zone_demands, &source, now_us);
	log_changes(forwarder, log);
	log_isolation(forwarder, log);
}

void
zone_balancing_render(FILE *out, kf_forwarder_t *forwarder, uint64_t service)
{
	kf_directory_t *directory = kf_forwarder_directory(forwarder);
	size_t i;

	for (i = 0; i < kf_directory_pool_count(directory); i++) {
		const kf_pool_t *pool = kf_directory_pool_at(directory, i);
		const kf_zone_plan_t *plan = &pool->zones;

		if (service != 0 && pool->service != service)
			continue;
		fprintf(out,
		    "record=zone_balance service=%s share=%.2f "
		    "wait_home_us=%.0f wait_away_us=%.0f service_us=%.0f "
		    "leave_us=%.0f\n",
		    kf_pool_service_name(pool), plan->share,
		    plan->shares.wait_home_us, plan->shares.wait_away_us,
		    plan->costs.service_us, plan->costs.leave_us);
	}
}
