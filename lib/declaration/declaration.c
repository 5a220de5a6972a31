#include <stdlib.h>
#include <string.h>

#include "kf/declaration.h"
#include "label_sets.h"

void
kf_declaration_delete(kf_declaration_t *decl)
{
	if (decl == NULL)
		return;
	free(decl->services);
	free(decl->upstreams);
	free(decl->selectors);
	free(decl->upstreams_by_id);
	free(decl->services_by_id);
	free(decl->services_by_addr);
	free(decl->selector_upstreams);
	kf_label_sets_delete(decl->label_sets);
	free(decl);
}

static int
addr_compare(kf_addr_t a, kf_addr_t b)
{
	if (a.ip != b.ip)
		return a.ip < b.ip ? -1 : 1;
	return (a.port > b.port) - (a.port < b.port);
}

const kf_service_t *
kf_declaration_service_at(const kf_declaration_t *decl, kf_addr_t addr)
{
	size_t low = 0, high = decl->service_count;

	while (low < high) {
		size_t middle = (low + high) / 2;
		const kf_service_t *service =
		    &decl->services[decl->services_by_addr[middle]];
		int order = addr_compare(service->addr, addr);

		if (order == 0)
			return service;
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

const kf_service_t *
kf_declaration_service(const kf_declaration_t *decl, uint32_t id)
{
	size_t low = 0, high = decl->service_count;

	while (low < high) {
		size_t middle = (low + high) / 2;
		const kf_service_t *service =
		    &decl->services[decl->services_by_id[middle]];

		if (service->id == id)
			return service;
		if (service->id < id)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

const kf_upstream_t *
kf_declaration_upstream(const kf_declaration_t *decl, uint32_t id)
{
	size_t low = 0, high = decl->upstream_count;

	while (low < high) {
		size_t middle = (low + high) / 2;
		const kf_upstream_t *upstream =
		    &decl->upstreams[decl->upstreams_by_id[middle]];

		if (upstream->id == id)
			return upstream;
		if (upstream->id < id)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

double
kf_selector_share(const kf_selector_t *selector, int64_t wall_ms)
{
	int64_t elapsed_ms = wall_ms - selector->ramp_start_s * 1000;
	double done;

	if (selector->ramp_s == 0 || elapsed_ms >= selector->ramp_s * 1000)
		return selector->share_percent;
	if (elapsed_ms <= 0)
		return selector->ramp_from_percent;
	done = (double)elapsed_ms / ((double)selector->ramp_s * 1000);
	return selector->ramp_from_percent +
	    (selector->share_percent - selector->ramp_from_percent) * done;
}

/* Selectors can match the zone and the name as if they were labels. */
static const char *
upstream_attribute(const kf_upstream_t *upstream, const char *key)
{
	uint32_t i;

	if (strcmp(key, "zone") == 0)
		return upstream->zone_name;
	if (strcmp(key, "name") == 0)
		return upstream->name;
	for (i = 0; i < upstream->label_count; i++) {
		if (strcmp(upstream->labels[i].key, key) == 0)
			return upstream->labels[i].value;
	}
	return NULL;
}

bool
kf_selector_matches(
    const kf_selector_t *selector, const kf_upstream_t *upstream)
{
	const char *value;
	uint32_t i;

	if (selector->service != upstream->service)
		return false;
	for (i = 0; i < selector->match_count; i++) {
		value = upstream_attribute(upstream, selector->match[i].key);
		if (value == NULL ||
		    strcmp(value, selector->match[i].value) != 0)
			return false;
	}
	return true;
}
