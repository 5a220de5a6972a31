#ifndef RECORD_MODEL_H
#define RECORD_MODEL_H

#include <stddef.h>

#include "kf/bench_model.h"

enum { NOT_HELD = 0 };

/* A flow's record at one balancer. */
typedef struct record {
	uint32_t upstream; /* or NOT_HELD */
	int64_t from_us;   /* on its way until then */
} record_t;

/* First member of the models that keep flow records. */
typedef struct record_model {
	kf_model_config_t config;
	record_t *records[KF_MODEL_VMS_MAX];
} record_model_t;

/* A model of size bytes; what follows its record_model_t is zero. */
void *record_model_create(const kf_model_config_t *config, size_t size);
void record_model_destroy(void *model);

/* Records held at all balancers. */
uint64_t record_model_held(const record_model_t *m);

#endif
