#include <stdlib.h>
#include <string.h>

#include "draft.h"
#include "label_sets.h"
#include "procedure.h"

enum {
	/*
	 * Callers give up after 120 s.  With a longer deadline, requests
	 * would run whose callers no longer wait.
	 */
	KF_DEADLINE_MAX_MS = 120000,
	/* ONC RPC program numbers that RFC 5531 leaves to users. */
	KF_PROGRAM_FIRST = 0x20000000,
	KF_PROGRAM_LAST = 0x3fffffff,
	KF_SLOTS_MAX = 65535,
	KF_RAMP_MAX_S = 366 * 86400,
};

static const char *const class_choices[] = { "urgent", "normal", "bulk", NULL };
static const char *const state_choices[] = { "live", "draining", NULL };
static const char *const zone_choices[] = { "local", "any", NULL };
static const char *const reserved_labels[] = { "service", "zone", "name" };

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static const kf_field_t declaration_fields[] = {
	{ .section = "declaration",
	    .key = "revision",
	    .type = KF_FIELD_U32,
	    .min = 1,
	    .max = UINT32_MAX,
	    .offset = offsetof(kf_draft_t, revision),
	    .text = "the higher revision is in force" },
};

static const kf_field_t service_fields[] = {
	{ .section = "service",
	    .key = "address",
	    .type = KF_FIELD_ADDR,
	    .offset = offsetof(kf_service_draft_t, service.addr),
	    .text = "address callers send to" },
	{ .section = "service",
	    .key = "program",
	    .type = KF_FIELD_U32,
	    .min = KF_PROGRAM_FIRST,
	    .max = KF_PROGRAM_LAST,
	    .default_value = "",
	    .offset = offsetof(kf_service_draft_t, service.program),
	    .text = "ONC RPC program; absent: any" },
	{ .section = "service",
	    .key = "class",
	    .type = KF_FIELD_CHOICE,
	    .choices = class_choices,
	    .default_value = "normal",
	    .offset = offsetof(kf_service_draft_t, service.cls),
	    .text = "class of procedures that state none" },
	{ .section = "service",
	    .key = "deadline_ms",
	    .type = KF_FIELD_I64,
	    .unit = "ms",
	    .min = 1,
	    .max = KF_DEADLINE_MAX_MS,
	    .default_value = "2000",
	    .offset = offsetof(kf_service_draft_t, service.deadline_ms),
	    .text = "time from arrival to refusal" },
};

static kf_status_t
set_labels(void *object, const char *value)
{
	kf_upstream_draft_t *draft = object;
	kf_upstream_t *upstream = &draft->upstream;
	kf_status_t status;
	uint32_t i;
	size_t k;

	status = kf_labels_parse(
	    value, KF_MAX_LABELS, draft->labels, &upstream->label_count);
	for (i = 0; status == KF_OK && i < upstream->label_count; i++) {
		for (k = 0; k < COUNT(reserved_labels); k++) {
			if (strcmp(draft->labels[i].key, reserved_labels[k]) ==
			    0)
				status = kf_status_set(KF_ERR_CONFLICT,
				    "'%s' is reserved", reserved_labels[k]);
		}
	}
	draft->check_info.labels_invalid = status != KF_OK;
	return status;
}

static kf_status_t
set_match(void *object, const char *value)
{
	kf_selector_draft_t *draft = object;
	kf_selector_t *selector = &draft->selector;
	kf_status_t status;

	status = kf_labels_parse(
	    value, KF_MAX_LABELS, draft->match, &selector->match_count);
	draft->check_info.labels_invalid = status != KF_OK;
	return status;
}

static const kf_field_t upstream_fields[] = {
	{ .section = "upstream",
	    .key = "service",
	    .type = KF_FIELD_NAME,
	    .offset = offsetof(kf_upstream_draft_t, check_info.service),
	    .text = "service it belongs to" },
	{ .section = "upstream",
	    .key = "zone",
	    .type = KF_FIELD_NAME,
	    .offset = offsetof(kf_upstream_draft_t, upstream.zone_name),
	    .text = "availability zone" },
	{ .section = "upstream",
	    .key = "address",
	    .type = KF_FIELD_ADDR,
	    .offset = offsetof(kf_upstream_draft_t, upstream.addr),
	    .text = "address requests go to" },
	{ .section = "upstream",
	    .key = "slots",
	    .type = KF_FIELD_U32,
	    .unit = "requests",
	    .min = 1,
	    .max = KF_SLOTS_MAX,
	    .offset = offsetof(kf_upstream_draft_t, upstream.slots),
	    .text = "concurrent requests" },
	{ .section = "upstream",
	    .key = "state",
	    .type = KF_FIELD_CHOICE,
	    .choices = state_choices,
	    .default_value = "live",
	    .offset = offsetof(kf_upstream_draft_t, state),
	    .text = "draining: no new requests" },
	{ .section = "upstream",
	    .key = "labels",
	    .type = KF_FIELD_CUSTOM,
	    .set = set_labels,
	    .unit = "key=value ...",
	    .default_value = "",
	    .text = "what selectors match" },
};

static const kf_field_t selector_fields[] = {
	{ .section = "selector",
	    .key = "service",
	    .type = KF_FIELD_NAME,
	    .offset = offsetof(kf_selector_draft_t, check_info.service),
	    .text = "service whose share it takes" },
	{ .section = "selector",
	    .key = "match",
	    .type = KF_FIELD_CUSTOM,
	    .set = set_match,
	    .unit = "key=value ...",
	    .default_value = "",
	    .text = "labels an upstream must have, all of them" },
	{ .section = "selector",
	    .key = "share_percent",
	    .type = KF_FIELD_PERCENT,
	    .unit = "percent",
	    .max = 100,
	    .offset = offsetof(kf_selector_draft_t, selector.share_percent),
	    .text = "share of the service's flows" },
	{ .section = "selector",
	    .key = "ramp_from_percent",
	    .type = KF_FIELD_PERCENT,
	    .unit = "percent",
	    .max = 100,
	    .default_value = "",
	    .offset = offsetof(kf_selector_draft_t, ramp_from_percent),
	    .text = "share before the ramp" },
	{ .section = "selector",
	    .key = "ramp_start_s",
	    .type = KF_FIELD_I64,
	    .unit = "s",
	    .max = UINT32_MAX,
	    .default_value = "",
	    .offset = offsetof(kf_selector_draft_t, ramp_start_s),
	    .text = "start of the ramp, UTC since 1970" },
	{ .section = "selector",
	    .key = "ramp_s",
	    .type = KF_FIELD_I64,
	    .unit = "s",
	    .min = 1,
	    .max = KF_RAMP_MAX_S,
	    .default_value = "",
	    .offset = offsetof(kf_selector_draft_t, selector.ramp_s),
	    .text = "duration of the ramp" },
	{ .section = "selector",
	    .key = "zone_preference",
	    .type = KF_FIELD_CHOICE,
	    .choices = zone_choices,
	    .default_value = "local",
	    .offset = offsetof(kf_selector_draft_t, selector.zone_preference),
	    .text = "local: upstreams of the own zone first" },
};

static void *
declaration_begin(void *target, const char *name, int line)
{
	(void)name;
	(void)line;
	return target;
}

static void *
service_begin(void *target, const char *name, int line)
{
	kf_service_draft_t *draft = &((kf_draft_t *)target)->service;

	memset(draft, 0, sizeof(*draft));
	memcpy(draft->service.name, name, strlen(name) + 1);
	draft->line = line;
	return draft;
}

static void *
upstream_begin(void *target, const char *name, int line)
{
	kf_upstream_draft_t *draft = &((kf_draft_t *)target)->upstream;

	memset(draft, 0, sizeof(*draft));
	memcpy(draft->upstream.name, name, strlen(name) + 1);
	draft->check_info.line = line;
	return draft;
}

static void *
selector_begin(void *target, const char *name, int line)
{
	kf_selector_draft_t *draft = &((kf_draft_t *)target)->selector;

	memset(draft, 0, sizeof(*draft));
	memcpy(draft->selector.name, name, strlen(name) + 1);
	draft->check_info.line = line;
	draft->selector.share_percent = -1;
	draft->ramp_from_percent = -1;
	draft->ramp_start_s = -1;
	return draft;
}

static void
draft_append(kf_draft_t *draft, kf_array_t *objects, const void *object,
    size_t size, kf_array_t *infos, const kf_check_info_t *check_info)
{
	void *place = kf_array_add(objects, size);
	kf_check_info_t *new_info = kf_array_add(infos, sizeof(*check_info));

	if (place == NULL || new_info == NULL) {
		draft->no_memory = true;
		return;
	}
	memcpy(place, object, size);
	*new_info = *check_info;
}

static const kf_label_t *
draft_intern_labels(kf_draft_t *draft, const kf_label_t *labels, uint32_t count)
{
	const kf_label_t *shared = NULL;

	if (draft->label_sets != NULL)
		shared = kf_label_sets_intern(draft->label_sets, labels, count);
	if (shared == NULL)
		draft->no_memory = true;
	return shared;
}

static void
service_end(void *target, void *object, bool bad)
{
	kf_draft_t *draft = target;
	kf_service_draft_t *service = object;
	kf_service_t *result = &service->service;
	kf_check_info_t check_info = { .line = service->line, .bad = bad };

	result->id = kf_name_id(result->name);
	kf_service_default_procedure_classes(result);
	draft_append(draft, &draft->services, result, sizeof(*result),
	    &draft->service_info, &check_info);
}

static void
upstream_end(void *target, void *object, bool bad)
{
	kf_draft_t *draft = target;
	kf_upstream_draft_t *upstream = object;
	kf_upstream_t *result = &upstream->upstream;

	result->id = kf_name_id(result->name);
	result->zone = kf_name_id(result->zone_name);
	result->draining = upstream->state == 1;
	result->labels =
	    draft_intern_labels(draft, upstream->labels, result->label_count);
	upstream->check_info.bad = bad;
	draft_append(draft, &draft->upstreams, result, sizeof(*result),
	    &draft->upstream_info, &upstream->check_info);
}

/*
 * Removes "service=NAME" from the match.  It must name the service of the
 * selector, because requests never go to upstreams of another service.
 */
static bool
remove_service_match(kf_draft_t *draft, kf_selector_draft_t *draft_selector)
{
	kf_selector_t *selector = &draft_selector->selector;
	kf_label_t *match = draft_selector->match;
	uint32_t i;

	for (i = 0; i < selector->match_count; i++) {
		if (strcmp(match[i].key, "service") == 0)
			break;
	}
	if (i == selector->match_count)
		return true;
	if (strcmp(match[i].value, draft_selector->check_info.service) != 0) {
		kf_reader_error(&draft->reader, draft_selector->check_info.line,
		    "selector %s: matches service '%s', but belongs to '%s'",
		    selector->name, match[i].value,
		    draft_selector->check_info.service);
		return false;
	}
	selector->match_count--;
	memmove(&match[i], &match[i + 1],
	    (selector->match_count - i) * sizeof(match[0]));
	return true;
}

static void
selector_end(void *target, void *object, bool bad)
{
	kf_draft_t *draft = target;
	kf_selector_draft_t *selector = object;
	kf_selector_t *result = &selector->selector;
	bool from = selector->ramp_from_percent >= 0;
	bool start = selector->ramp_start_s >= 0;
	bool duration = result->ramp_s != 0;

	if (!remove_service_match(draft, selector)) {
		selector->check_info.labels_invalid = true;
		bad = true;
	}
	if (!bad && (from != start || start != duration)) {
		kf_reader_error(&draft->reader, selector->check_info.line,
		    "selector %s: ramp_from_percent, ramp_start_s and ramp_s "
		    "are given together or not at all",
		    result->name);
		bad = true;
	}
	result->ramp_from_percent =
	    from ? selector->ramp_from_percent : result->share_percent;
	result->ramp_start_s = start ? selector->ramp_start_s : 0;
	result->match =
	    draft_intern_labels(draft, selector->match, result->match_count);
	selector->check_info.bad = bad;
	draft_append(draft, &draft->selectors, result, sizeof(*result),
	    &draft->selector_info, &selector->check_info);
}

/* Handles the keys "procedure.NUMBER". */
static bool
service_set_procedure(kf_reader_t *reader, void *object, const char *key,
    const char *value, int line)
{
	static const char prefix[] = "procedure.";
	kf_service_draft_t *service = object;
	size_t len = sizeof(prefix) - 1;

	if (strncmp(key, prefix, len) != 0)
		return false;
	if (kf_service_add_procedure(&service->service, key + len, value) !=
	    KF_OK)
		kf_reader_error(reader, line, "%s%.40s: %s",
		    reader->error_prefix, key, kf_status_message());
	return true;
}

const kf_section_t kf_draft_sections[] = {
	{ .kind = "declaration",
	    .fields = declaration_fields,
	    .field_count = COUNT(declaration_fields),
	    .begin = declaration_begin },
	{ .kind = "service",
	    .named = true,
	    .fields = service_fields,
	    .field_count = COUNT(service_fields),
	    .begin = service_begin,
	    .set_unlisted = service_set_procedure,
	    .end = service_end },
	{ .kind = "upstream",
	    .named = true,
	    .fields = upstream_fields,
	    .field_count = COUNT(upstream_fields),
	    .begin = upstream_begin,
	    .end = upstream_end },
	{ .kind = "selector",
	    .named = true,
	    .fields = selector_fields,
	    .field_count = COUNT(selector_fields),
	    .begin = selector_begin,
	    .end = selector_end },
};

const size_t kf_draft_section_count = COUNT(kf_draft_sections);

void
kf_draft_clear(kf_draft_t *draft)
{
	free(draft->services.items);
	free(draft->service_info.items);
	free(draft->upstreams.items);
	free(draft->upstream_info.items);
	free(draft->selectors.items);
	free(draft->selector_info.items);
	free(draft->selector_upstreams.items);
	free(draft->services_by_id);
	kf_label_sets_delete(draft->label_sets);
}
