#ifndef RECORD_MODEL_H
#define RECORD_MODEL_H

#include <stddef.h>

#include "kf/bench_model.h"

enum { NO_RECORD = 0 };

/* The record of a flow on one balancer. */
typedef struct record {
	uint32_t upstream;     /* or NO_RECORD */
	int64_t valid_from_us; /* arrival time at this balancer */
} record_t;

/* Base of the models that keep flow records; must be their first member. */
typedef struct record_model {
	kf_model_config_t config;
	record_t *records[KF_MODEL_VMS_MAX];
} record_model_t;

/* Allocates size bytes; those after the record_model_t are zeroed. */
void *record_model_create(const kf_model_config_t *config, size_t size);
void record_model_destroy(void *model);

/* Number of records, summed over the balancers. */
uint64_t record_model_held(const record_model_t *m);

#endif
