#ifndef PLATFORM_H
#define PLATFORM_H

#include "kf/bench_schedule.h"
#include "kf/confdist.h"

/* Simulated configuration service with documents to read and watch. */

typedef struct platform platform_t;

/* text is NULL if there is no newer version or the read failed. */
typedef struct platform_answer {
	uint64_t reader;
	kf_doc_kind_t kind;
	uint64_t version;
	const char *text;
	bool failed;
} platform_answer_t;

typedef void platform_answer_fn(void *ctx, const platform_answer_t *answer);

platform_t *platform_new(kf_schedule_t *schedule, int64_t link_us,
    platform_answer_fn *on_answer, void *ctx);
void platform_delete(platform_t *p);

/* Publishes text as the next version and takes ownership of it. */
void platform_publish(platform_t *p, kf_doc_kind_t kind, char *text);
void platform_set_down(platform_t *p, bool down);
void platform_read(platform_t *p, uint64_t reader, kf_doc_kind_t kind,
    uint64_t after_version, uint32_t wait_ms);
uint64_t platform_version(const platform_t *p, kf_doc_kind_t kind);

/* Total reads, and the peak per second since the previous call. */
uint64_t platform_reads(const platform_t *p);
uint64_t platform_peak_reads(platform_t *p);

#endif
