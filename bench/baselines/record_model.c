#include <stdlib.h>

#include "record_model.h"

void *
record_model_create(const kf_model_config_t *config, size_t size)
{
	record_model_t *m;
	uint32_t i;

	m = calloc(1, size);
	if (m == NULL)
		abort();
	m->config = *config;
	for (i = 0; i < config->vms; i++) {
		m->records[i] = calloc(config->flows, sizeof(record_t));
		if (m->records[i] == NULL)
			abort();
	}
	return m;
}

void
record_model_destroy(void *model)
{
	record_model_t *m = model;
	uint32_t i;

	for (i = 0; i < m->config.vms; i++)
		free(m->records[i]);
	free(m);
}

uint64_t
record_model_held(const record_model_t *m)
{
	uint64_t held = 0;
	uint32_t vm, flow;

	for (vm = 0; vm < m->config.vms; vm++) {
		for (flow = 0; flow < m->config.flows; flow++)
			held += m->records[vm][flow].upstream != NO_RECORD;
	}
	return held;
}
