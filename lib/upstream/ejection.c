#include <string.h>

#include "ejection.h"

enum { PERCENT = 100 };

void
kf_ejection_init(
    kf_ejection_t *ejection, const kf_upstream_config_t *config, int64_t now_us)
{
	memset(ejection, 0, sizeof(*ejection));
	ejection->next_period_us = config->eject_min_us;
	ejection->readmitted_us = now_us;
}

static void
window_add(kf_ejection_t *ejection, const kf_upstream_config_t *config,
    uint32_t failed)
{
	uint64_t mask = ((uint64_t)1 << config->window_requests) - 1;

	ejection->window = (uint32_t)((ejection->window << 1 | failed) & mask);
	if (ejection->window_count < config->window_requests)
		ejection->window_count++;
}

static bool
must_be_ejected(
    const kf_ejection_t *ejection, const kf_upstream_config_t *config)
{
	uint32_t failed = (uint32_t)__builtin_popcount(ejection->window);

	if (ejection->on_trial && ejection->failures_in_row > 0)
		return true;
	if (ejection->failures_in_row + ejection->probe_failures >=
	    config->eject_failures)
		return true;
	return ejection->window_count == config->window_requests &&
	    failed * PERCENT >
	    config->window_requests * config->window_failure_percent;
}

void
kf_ejection_on_success(
    kf_ejection_t *ejection, const kf_upstream_config_t *config)
{
	window_add(ejection, config, 0);
	ejection->failures_in_row = 0;
	ejection->probe_failures = 0;
	ejection->on_trial = false;
	if (!must_be_ejected(ejection, config))
		ejection->last_resort = false;
}

void
kf_ejection_on_failure(
    kf_ejection_t *ejection, const kf_upstream_config_t *config)
{
	window_add(ejection, config, 1);
	ejection->failures_in_row++;
}

/*
 * An answered probe does not clear failures of requests: an upstream that
 * answers probes but no requests is not healthy.
 */
void
kf_ejection_on_probe(kf_ejection_t *ejection, bool answered)
{
	if (answered)
		ejection->probe_failures = 0;
	else
		ejection->probe_failures++;
}

void
kf_ejection_clear_outcomes(kf_ejection_t *ejection)
{
	ejection->failures_in_row = 0;
	ejection->probe_failures = 0;
	ejection->window = 0;
	ejection->window_count = 0;
	ejection->last_resort = false;
}

void
kf_ejection_start_period(
    kf_ejection_t *ejection, const kf_upstream_config_t *config, int64_t now_us)
{
	ejection->ejection_ends_us = now_us + ejection->next_period_us;
	ejection->next_period_us *= 2;
	if (ejection->next_period_us > config->eject_max_us)
		ejection->next_period_us = config->eject_max_us;
}

bool
kf_ejection_update(kf_ejection_t *ejection, const kf_upstream_config_t *config,
    int64_t now_us, bool may_eject)
{
	if (ejection->ejected)
		return false;
	if (!must_be_ejected(ejection, config)) {
		if (now_us - ejection->readmitted_us >= config->good_period_us)
			ejection->next_period_us = config->eject_min_us;
		return false;
	}
	ejection->last_resort = !may_eject;
	if (!may_eject)
		return false;
	ejection->ejected = true;
	kf_ejection_clear_outcomes(ejection);
	kf_ejection_start_period(ejection, config, now_us);
	return true;
}

void
kf_ejection_readmit(kf_ejection_t *ejection, int64_t now_us)
{
	ejection->ejected = false;
	ejection->on_trial = true;
	ejection->readmitted_us = now_us;
	kf_ejection_clear_outcomes(ejection);
}
