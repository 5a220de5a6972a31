#include <stdlib.h>

#include "corpus.h"
#include "measure.h"
#include "meter.h"
#include "series.h"

static const sizes_t upstream_sizes = {
	.full = { 1000, 10000, 80000 },
	.smoke = { 40, 80, 160 },
};

/* Keeps the ratio of 30,000 service addresses to 80,000 upstreams. */
static uint32_t
service_count(uint32_t upstreams)
{
	return upstreams * 3 / 8;
}

static void
parse_once(void *ctx)
{
	kf_declaration_delete(corpus_parse(ctx));
}

void
measure_declaration(const plan_t *plan)
{
	const uint32_t *size = sizes_of(&upstream_sizes, plan);
	series_t text = {
		.name = "declaration.text", .x = "upstreams", .y = "bytes"
	};
	series_t held = {
		.name = "declaration.held", .x = "upstreams", .y = "bytes"
	};
	series_t peak = {
		.name = "declaration.peak", .x = "upstreams", .y = "bytes"
	};
	series_t time = {
		.name = "declaration.parse", .x = "upstreams", .y = "us"
	};
	series_t clashes = {
		.name = "declaration.clashes", .x = "upstreams", .y = "names"
	};

	for (; *size != 0; size++) {
		corpus_t corpus = { *size, service_count(*size), 22, "local" };
		corpus_text_t doc = corpus_write(&corpus);
		kf_declaration_t *decl;
		double before;

		series_add(
		    &time, *size, meter_median_ns(parse_once, &doc) / 1e3);
		meter_peak_reset();
		before = meter_heap_bytes();
		decl = corpus_parse(&doc);
		series_add(&peak, *size, meter_peak_bytes());
		series_add(&held, *size, meter_heap_bytes() - before);
		series_add(&text, *size, (double)doc.len);
		series_add(&clashes, *size, doc.clashes);
		kf_declaration_delete(decl);
		free(doc.text);
	}
	series_print(&text);
	series_print(&held);
	series_print(&peak);
	series_print(&time);
	series_print(&clashes);
	series_print_figure(
	    "declaration.upstream_struct", "bytes", sizeof(kf_upstream_t));
	series_print_figure(
	    "declaration.service_struct", "bytes", sizeof(kf_service_t));
	series_print_figure(
	    "declaration.selector_struct", "bytes", sizeof(kf_selector_t));
}
