#include <string.h>

#include "kf/placement.h"
#include "record_model.h"

enum {
	/* Flow id, upstream, time of the last packet. */
	RECORD_BYTES = 8 + 4 + 4,
};

typedef struct owner_model {
	record_model_t base;
	kf_model_view_t views[KF_MODEL_VMS_MAX];
	double placed[KF_MODEL_VMS_MAX][KF_MODEL_UPSTREAMS_MAX];
	uint64_t control_bytes;
} owner_model_t;

static void *
owner_create(const kf_model_config_t *config)
{
	return record_model_create(config, sizeof(owner_model_t));
}

static void
owner_announce(void *model, int64_t now_us, const kf_model_view_t *next)
{
	(void)model;
	(void)now_us;
	(void)next;
}

static uint32_t
owner_of(const owner_model_t *m, uint32_t members, uint32_t flow)
{
	uint64_t score, best = 0;
	uint32_t i, owner = 0;

	for (i = 0; i < m->base.config.vms; i++) {
		if ((members & (1U << i)) == 0)
			continue;
		score = kf_rendezvous_score(i, m->base.config.seed, flow);
		if (score >= best) {
			best = score;
			owner = i;
		}
	}
	return owner;
}

/* Sends records to their new owners, limited to bytes_per_s. */
static void
hand_over(owner_model_t *m, int64_t now_us, uint32_t vm)
{
	uint64_t sent_bytes = 0;
	uint32_t flow, owner;

	for (flow = 0; flow < m->base.config.flows; flow++) {
		record_t *record = &m->base.records[vm][flow];

		if (record->upstream == NO_RECORD)
			continue;
		owner = owner_of(m, m->views[vm].vms, flow);
		if (owner == vm)
			continue;
		sent_bytes += RECORD_BYTES;
		m->base.records[owner][flow] = (record_t){
			.upstream = record->upstream,
			.valid_from_us = now_us + m->base.config.link_us +
			    (int64_t)((double)sent_bytes * 1e6 /
				m->base.config.bytes_per_s),
		};
		record->upstream = NO_RECORD;
	}
	m->control_bytes += sent_bytes;
}

static void
owner_adopt(
    void *model, int64_t now_us, uint32_t vm, const kf_model_view_t *view)
{
	owner_model_t *m = model;
	bool members_differ = m->views[vm].vms != view->vms;

	m->views[vm] = *view;
	if (members_differ)
		hand_over(m, now_us, vm);
}

static void
owner_kill(void *model, uint32_t vm)
{
	owner_model_t *m = model;

	memset(m->base.records[vm], 0, m->base.config.flows * sizeof(record_t));
}

static int
view_index(const kf_model_view_t *view, uint32_t upstream)
{
	uint32_t i;

	for (i = 0; i < view->count; i++) {
		if (view->ids[i] == upstream && view->weights[i] > 0)
			return (int)i;
	}
	return -1;
}

/* Chooses the upstream with the fewest flows of this owner per weight. */
static uint32_t
place(owner_model_t *m, uint32_t vm)
{
	const kf_model_view_t *view = &m->views[vm];
	double *placed = m->placed[vm];
	uint32_t i, best = 0;

	for (i = 1; i < view->count; i++) {
		if (view->weights[i] > 0 &&
		    (view->weights[best] <= 0 ||
			placed[i] / view->weights[i] <
			    placed[best] / view->weights[best]))
			best = i;
	}
	placed[best]++;
	return view->ids[best];
}

static kf_model_route_t
owner_route(void *model, int64_t now_us, uint32_t vm, uint32_t flow)
{
	owner_model_t *m = model;
	uint32_t owner = owner_of(m, m->views[vm].vms, flow);
	record_t *record = &m->base.records[owner][flow];
	kf_model_route_t route = { 0 };

	if (record->upstream != NO_RECORD && record->valid_from_us <= now_us) {
		route.coordinated = true;
		if (view_index(&m->views[owner], record->upstream) < 0)
			record->upstream = place(m, owner);
	} else
		*record = (record_t){ .upstream = place(m, owner) };
	route.upstream = record->upstream;
	return route;
}

static kf_model_cost_t
owner_cost(void *model)
{
	owner_model_t *m = model;

	return (kf_model_cost_t){
		.control_bytes = m->control_bytes,
		.memory_bytes = record_model_held(&m->base) * RECORD_BYTES,
	};
}

const kf_model_ops_t kf_model_owner = {
	.name = "owner_handover",
	.create = owner_create,
	.destroy = record_model_destroy,
	.announce = owner_announce,
	.adopt = owner_adopt,
	.kill = owner_kill,
	.route = owner_route,
	.cost = owner_cost,
};
