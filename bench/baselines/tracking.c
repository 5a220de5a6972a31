#include "record_model.h"

enum { RECORD_BYTES = 8 + 4 };

typedef struct tracking_model {
	record_model_t base;
	kf_model_view_t views[KF_MODEL_VMS_MAX];
	kf_model_view_t next;
	bool announced;
	/* Time at which a balancer has sent its queued control traffic. */
	int64_t busy_until_us[KF_MODEL_VMS_MAX];
	uint64_t control_bytes;
} tracking_model_t;

static void *
tracking_create(const kf_model_config_t *config)
{
	return record_model_create(config, sizeof(tracking_model_t));
}

static void
tracking_announce(void *model, int64_t now_us, const kf_model_view_t *next)
{
	tracking_model_t *m = model;

	(void)now_us;
	m->next = *next;
	m->announced = true;
}

static void
tracking_adopt(
    void *model, int64_t now_us, uint32_t vm, const kf_model_view_t *view)
{
	tracking_model_t *m = model;

	(void)now_us;
	m->views[vm] = *view;
}

static void
tracking_kill(void *model, uint32_t vm)
{
	(void)model;
	(void)vm;
}

/* Records the flow and sends the record to the others at bytes_per_s. */
static void
track(tracking_model_t *m, int64_t now_us, uint32_t vm, uint32_t flow,
    uint32_t upstream)
{
	uint32_t bytes = RECORD_BYTES * (m->base.config.vms - 1), i;
	int64_t *busy = &m->busy_until_us[vm];

	if (*busy < now_us)
		*busy = now_us;
	*busy += (int64_t)(bytes * 1e6 / m->base.config.bytes_per_s);
	m->control_bytes += bytes;
	for (i = 0; i < m->base.config.vms; i++) {
		record_t *record = &m->base.records[i][flow];

		if (i == vm)
			*record = (record_t){ upstream, now_us };
		else if (record->upstream == NO_RECORD)
			*record = (record_t){ upstream,
				*busy + m->base.config.link_us };
	}
}

static bool
in_force(const kf_model_view_t *view, uint32_t upstream)
{
	uint32_t i;

	for (i = 0; i < view->count; i++) {
		if (view->ids[i] == upstream)
			return view->weights[i] > 0;
	}
	return false;
}

static kf_model_route_t
tracking_route(void *model, int64_t now_us, uint32_t vm, uint32_t flow)
{
	tracking_model_t *m = model;
	const record_t *record = &m->base.records[vm][flow];
	kf_model_route_t route = { 0 };

	if (record->upstream != NO_RECORD && record->valid_from_us <= now_us &&
	    in_force(&m->views[vm], record->upstream)) {
		route.upstream = record->upstream;
		return route;
	}
	route.upstream =
	    kf_model_choose(&m->views[vm], m->base.config.seed, flow);
	if (m->announced && record->upstream == NO_RECORD &&
	    kf_model_choose(&m->next, m->base.config.seed, flow) !=
		route.upstream)
		track(m, now_us, vm, flow, route.upstream);
	return route;
}

static kf_model_cost_t
tracking_cost(void *model)
{
	tracking_model_t *m = model;

	return (kf_model_cost_t){
		.control_bytes = m->control_bytes,
		.memory_bytes = record_model_held(&m->base) * RECORD_BYTES,
	};
}

const kf_model_ops_t kf_model_tracking = {
	.name = "hash_tracking",
	.create = tracking_create,
	.destroy = record_model_destroy,
	.announce = tracking_announce,
	.adopt = tracking_adopt,
	.kill = tracking_kill,
	.route = tracking_route,
	.cost = tracking_cost,
};
