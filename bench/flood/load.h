#ifndef LOAD_H
#define LOAD_H

#include "kf/bench_conf.h"
#include "kf/bench_sample.h"
#include "kf/bench_schedule.h"

/* Open-loop load of three classes, one of which exceeds its capacity. */

enum {
	LOAD_BASE_US = 36000000, /* slow start of the upstreams is over */
	LOAD_VMS = 8,
	LOAD_PROC_BULK = 3, /* added to the first service */
	/*
	 * Per class.  A caller sends one request at a time, so a flood whose
	 * requests wait until their deadline needs this many callers.
	 */
	LOAD_CALLERS = 60000,
};

typedef enum flood {
	FLOOD_BULK = 0,	   /* second service, with its own upstreams */
	FLOOD_BULK_SHARED, /* first service, as the other classes */
	FLOOD_URGENT,
	FLOOD_COUNT
} flood_t;

/* Requests of one class in one time window, by outcome. */
typedef struct request_counts {
	uint64_t offered;
	uint64_t answered; /* within the deadline */
	uint64_t late;
	uint64_t refused;
	uint64_t unknown;
	uint64_t finished; /* answered before deadline and end of flood */
} request_counts_t;

typedef enum window { WINDOW_BASE = 0, WINDOW_FLOOD, WINDOW_COUNT } window_t;

typedef struct load_class {
	kf_class_t cls;
	uint32_t service; /* index in the declaration */
	uint32_t proc;
	double rate;	   /* requests per second without the flood */
	double flood_rate; /* requests per second in the flood */
	double capacity;   /* requests per second of its upstreams */
	int64_t service_us;
	int64_t deadline_us;
	request_counts_t window_counts[WINDOW_COUNT];
	kf_sample_t refusal_ms; /* time until a refusal, in the flood */
} load_class_t;

typedef struct load {
	flood_t flood;
	uint64_t seed;
	kf_declref_t *decl;
	int64_t link_us;
	int64_t window_us;
	uint32_t callers; /* of each class */
	load_class_t classes[KF_CLASS_COUNT];
	kf_schedule_t *schedule;
	kf_random_t random;
	void *ctx;
	void (*offer)(void *ctx, uint32_t cls, uint64_t number);
	/* Indexed by request number. */
	struct load_request *requests;
	uint64_t request_count;
	uint64_t request_cap;
	uint64_t not_sent; /* no idle caller for the request */
} load_t;

void load_init(load_t *load, const kf_conf_t *conf, flood_t flood,
    uint64_t seed, int64_t window_us);
void load_free(load_t *load);
/* Offers the load with load->offer until all requests have ended. */
void load_run(load_t *load);

typedef enum load_end { LOAD_ANSWERED, LOAD_REFUSED, LOAD_UNKNOWN } load_end_t;

/* Counts the outcome of a request once; repeated calls are ignored. */
void load_ended(load_t *load, uint64_t number, load_end_t end);
uint32_t load_class_of(const load_t *load, uint64_t number);
/* Random service time, 50 to 150 percent of the mean of the class. */
int64_t load_service_us(load_t *load, uint32_t cls);

const char *flood_name(flood_t flood);
uint32_t flood_class(flood_t flood);

void traffic_run(load_t *load, const kf_conf_t *conf);
void fifo_run(load_t *load, uint32_t limit);
/*
 * Maximum and mean difference between the placed and the declared share during
 * a ramp, in percentage points.
 */
void ramp_run(const kf_conf_t *conf, uint64_t seed, uint32_t per_s, double *max,
    double *mean);

#endif
