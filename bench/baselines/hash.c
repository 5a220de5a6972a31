#include <stdlib.h>

#include "kf/bench_model.h"

typedef struct hash_model {
	kf_model_config_t config;
	kf_model_view_t views[KF_MODEL_VMS_MAX];
} hash_model_t;

static void *
hash_create(const kf_model_config_t *config)
{
	hash_model_t *m;

	m = calloc(1, sizeof(*m));
	if (m == NULL)
		abort();
	m->config = *config;
	return m;
}

static void
hash_announce(void *model, int64_t now_us, const kf_model_view_t *next)
{
	(void)model;
	(void)now_us;
	(void)next;
}

static void
hash_adopt(
    void *model, int64_t now_us, uint32_t vm, const kf_model_view_t *view)
{
	hash_model_t *m = model;

	(void)now_us;
	m->views[vm] = *view;
}

static void
hash_kill(void *model, uint32_t vm)
{
	(void)model;
	(void)vm;
}

static kf_model_route_t
hash_route(void *model, int64_t now_us, uint32_t vm, uint32_t flow)
{
	hash_model_t *m = model;

	(void)now_us;
	return (kf_model_route_t){
		.upstream =
		    kf_model_choose(&m->views[vm], m->config.seed, flow),
	};
}

static kf_model_cost_t
hash_cost(void *model)
{
	(void)model;
	return (kf_model_cost_t){ 0 };
}

const kf_model_ops_t kf_model_hash = {
	.name = "hash",
	.create = hash_create,
	.destroy = free,
	.announce = hash_announce,
	.adopt = hash_adopt,
	.kill = hash_kill,
	.route = hash_route,
	.cost = hash_cost,
};
