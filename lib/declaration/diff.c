#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kf/diff.h"
#include "kf/explain.h"
#include "array.h"
#include "draft.h"

enum { VALUE_BYTES = 2048 };

/* A time after the end of every ramp. */
static const int64_t after_ramps_ms = INT64_MAX / 2;

typedef struct differ {
	const kf_declaration_t *old_decl;
	const kf_declaration_t *new_decl;
	int64_t wall_ms;
	kf_array_t entries;
	kf_array_t moves;
	kf_array_t services;
	bool no_memory;
} differ_t;

typedef struct subject {
	const char *object;
	const char *name;
} subject_t;

static void
differ_add_entry(differ_t *differ, subject_t subject, kf_diff_kind_t kind,
    const char *key, const char *old_value, const char *new_value)
{
	kf_diff_entry_t *entry;

	entry = kf_array_add(&differ->entries, sizeof(*entry));
	if (entry == NULL) {
		differ->no_memory = true;
		return;
	}
	entry->object = subject.object;
	entry->name = subject.name;
	entry->kind = kind;
	entry->key = key;
	entry->old_value = strdup(old_value);
	entry->new_value = strdup(new_value);
	if (entry->old_value == NULL || entry->new_value == NULL)
		differ->no_memory = true;
}

static void
differ_compare_text(differ_t *differ, subject_t subject, const char *key,
    const char *old_value, const char *new_value)
{
	if (strcmp(old_value, new_value) != 0)
		differ_add_entry(differ, subject, KF_DIFF_CHANGED, key,
		    old_value, new_value);
}

static void
differ_compare_number(differ_t *differ, subject_t subject, const char *key,
    int64_t old_value, int64_t new_value)
{
	char old_text[24], new_text[24];

	snprintf(old_text, sizeof(old_text), "%" PRId64, old_value);
	snprintf(new_text, sizeof(new_text), "%" PRId64, new_value);
	differ_compare_text(differ, subject, key, old_text, new_text);
}

static void
differ_compare_percent(differ_t *differ, subject_t subject, const char *key,
    double old_value, double new_value)
{
	char old_text[32], new_text[32];

	snprintf(old_text, sizeof(old_text), "%.9g", old_value);
	snprintf(new_text, sizeof(new_text), "%.9g", new_value);
	differ_compare_text(differ, subject, key, old_text, new_text);
}

static void
differ_compare_addr(differ_t *differ, subject_t subject, kf_addr_t old_value,
    kf_addr_t new_value)
{
	char old_text[KF_ADDR_TEXT_BYTES], new_text[KF_ADDR_TEXT_BYTES];

	differ_compare_text(differ, subject, "address",
	    kf_addr_format(old_value, old_text),
	    kf_addr_format(new_value, new_text));
}

static void
differ_compare_labels(differ_t *differ, subject_t subject, const char *key,
    const kf_label_t *old_labels, uint32_t old_count,
    const kf_label_t *new_labels, uint32_t new_count)
{
	char old_text[KF_LABELS_TEXT_BYTES], new_text[KF_LABELS_TEXT_BYTES];

	differ_compare_text(differ, subject, key,
	    kf_labels_format(old_labels, old_count, old_text),
	    kf_labels_format(new_labels, new_count, new_text));
}

static int
procedure_compare(const void *left, const void *right)
{
	const kf_procedure_t *a = left, *b = right;

	return (a->number > b->number) - (a->number < b->number);
}

/* Writes the procedures, sorted by number. */
static const char *
procedures_format(const kf_service_t *service, char buf[VALUE_BYTES])
{
	kf_procedure_t sorted[KF_MAX_PROCEDURES];
	size_t used = 0;
	uint32_t i;

	memcpy(sorted, service->procedures, sizeof(sorted));
	qsort(sorted, service->procedure_count, sizeof(sorted[0]),
	    procedure_compare);
	buf[0] = '\0';
	for (i = 0; i < service->procedure_count; i++)
		used += (size_t)snprintf(buf + used, VALUE_BYTES - used,
		    "%s%" PRIu32 ":%s:%s", i > 0 ? " " : "", sorted[i].number,
		    sorted[i].idempotent ? "idempotent" : "non-idempotent",
		    kf_class_name(sorted[i].cls));
	return buf;
}

static void
diff_service(differ_t *differ, const kf_service_t *a, const kf_service_t *b)
{
	char old_text[VALUE_BYTES], new_text[VALUE_BYTES];
	subject_t subject = { "service", b->name };

	differ_compare_addr(differ, subject, a->addr, b->addr);
	differ_compare_number(
	    differ, subject, "program", a->program, b->program);
	differ_compare_text(differ, subject, "class", kf_class_name(a->cls),
	    kf_class_name(b->cls));
	differ_compare_number(
	    differ, subject, "deadline_ms", a->deadline_ms, b->deadline_ms);
	differ_compare_text(differ, subject, "procedures",
	    procedures_format(a, old_text), procedures_format(b, new_text));
}

static void
diff_upstream(differ_t *differ, const kf_upstream_t *a, const kf_upstream_t *b)
{
	subject_t subject = { "upstream", b->name };

	differ_compare_text(differ, subject, "service",
	    differ->old_decl->services[a->service].name,
	    differ->new_decl->services[b->service].name);
	differ_compare_text(
	    differ, subject, "zone", a->zone_name, b->zone_name);
	differ_compare_addr(differ, subject, a->addr, b->addr);
	differ_compare_number(differ, subject, "slots", a->slots, b->slots);
	differ_compare_text(differ, subject, "state",
	    a->draining ? "draining" : "live",
	    b->draining ? "draining" : "live");
	differ_compare_labels(differ, subject, "labels", a->labels,
	    a->label_count, b->labels, b->label_count);
}

static void
diff_selector(differ_t *differ, const kf_selector_t *a, const kf_selector_t *b)
{
	subject_t subject = { "selector", b->name };

	differ_compare_text(differ, subject, "service",
	    differ->old_decl->services[a->service].name,
	    differ->new_decl->services[b->service].name);
	differ_compare_labels(differ, subject, "match", a->match,
	    a->match_count, b->match, b->match_count);
	differ_compare_percent(differ, subject, "share_percent",
	    a->share_percent, b->share_percent);
	differ_compare_number(differ, subject, "ramp_s", a->ramp_s, b->ramp_s);
	if (a->ramp_s != 0 || b->ramp_s != 0) {
		differ_compare_percent(differ, subject, "ramp_from_percent",
		    a->ramp_from_percent, b->ramp_from_percent);
		differ_compare_number(differ, subject, "ramp_start_s",
		    a->ramp_start_s, b->ramp_start_s);
	}
	differ_compare_text(differ, subject, "zone_preference",
	    kf_zone_preference_name(a->zone_preference),
	    kf_zone_preference_name(b->zone_preference));
}

static void
diff_services(differ_t *differ)
{
	const kf_declaration_t *a = differ->old_decl, *b = differ->new_decl;
	uint32_t i;

	for (i = 0; i < a->service_count; i++) {
		const kf_service_t *service = &a->services[i];
		subject_t subject = { "service", service->name };

		if (kf_declaration_service(b, service->id) == NULL)
			differ_add_entry(
			    differ, subject, KF_DIFF_REMOVED, "", "", "");
	}
	for (i = 0; i < b->service_count; i++) {
		const kf_service_t *service = &b->services[i], *old;
		subject_t subject = { "service", service->name };

		old = kf_declaration_service(a, service->id);
		if (old == NULL)
			differ_add_entry(
			    differ, subject, KF_DIFF_ADDED, "", "", "");
		else
			diff_service(differ, old, service);
	}
}

static void
diff_upstreams(differ_t *differ)
{
	const kf_declaration_t *a = differ->old_decl, *b = differ->new_decl;
	uint32_t i;

	for (i = 0; i < a->upstream_count; i++) {
		const kf_upstream_t *upstream = &a->upstreams[i];
		subject_t subject = { "upstream", upstream->name };

		if (kf_declaration_upstream(b, upstream->id) == NULL)
			differ_add_entry(
			    differ, subject, KF_DIFF_REMOVED, "", "", "");
	}
	for (i = 0; i < b->upstream_count; i++) {
		const kf_upstream_t *upstream = &b->upstreams[i], *old;
		subject_t subject = { "upstream", upstream->name };

		old = kf_declaration_upstream(a, upstream->id);
		if (old == NULL)
			differ_add_entry(
			    differ, subject, KF_DIFF_ADDED, "", "", "");
		else
			diff_upstream(differ, old, upstream);
	}
}

static uint64_t
selector_key(const void *objects, uint32_t i)
{
	return kf_name_id(((const kf_selector_t *)objects)[i].name);
}

typedef struct selector_index {
	const kf_declaration_t *decl;
	uint32_t *order; /* indexes sorted by the hash of the name */
} selector_index_t;

static const kf_selector_t *
selector_find(const selector_index_t *index, const char *name)
{
	const kf_selector_t *selectors = index->decl->selectors;
	size_t low = 0, high = index->decl->selector_count;
	uint32_t id = kf_name_id(name);

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (selector_key(selectors, index->order[middle]) < id)
			low = middle + 1;
		else
			high = middle;
	}
	if (low == index->decl->selector_count ||
	    strcmp(selectors[index->order[low]].name, name) != 0)
		return NULL;
	return &selectors[index->order[low]];
}

static void
diff_selectors_indexed(
    differ_t *differ, const selector_index_t *a, const selector_index_t *b)
{
	uint32_t i;

	for (i = 0; i < a->decl->selector_count; i++) {
		subject_t subject = { "selector", a->decl->selectors[i].name };

		if (selector_find(b, subject.name) == NULL)
			differ_add_entry(
			    differ, subject, KF_DIFF_REMOVED, "", "", "");
	}
	for (i = 0; i < b->decl->selector_count; i++) {
		subject_t subject = { "selector", b->decl->selectors[i].name };
		const kf_selector_t *old = selector_find(a, subject.name);

		if (old == NULL)
			differ_add_entry(
			    differ, subject, KF_DIFF_ADDED, "", "", "");
		else
			diff_selector(differ, old, &b->decl->selectors[i]);
	}
}

static void
diff_selectors(differ_t *differ)
{
	selector_index_t a = { .decl = differ->old_decl };
	selector_index_t b = { .decl = differ->new_decl };

	a.order = kf_sorted_indexes(
	    a.decl->selector_count, selector_key, a.decl->selectors);
	b.order = kf_sorted_indexes(
	    b.decl->selector_count, selector_key, b.decl->selectors);
	if (a.order != NULL && b.order != NULL)
		diff_selectors_indexed(differ, &a, &b);
	else
		differ->no_memory = true;
	free(a.order);
	free(b.order);
}

/* True if the new selector keeps a flow on its old upstream. */
static bool
flow_stays(const differ_t *differ, const kf_upstream_t *old_upstream,
    const kf_selector_t *new_selector)
{
	const kf_upstream_t *upstream;

	upstream = kf_declaration_upstream(differ->new_decl, old_upstream->id);
	return upstream != NULL && !upstream->draining &&
	    kf_addr_equal(upstream->addr, old_upstream->addr) &&
	    kf_selector_matches(new_selector, upstream);
}

/* Returns the fraction of a selector's flows that leave their upstream. */
static double
moved_fraction(const differ_t *differ, const kf_explain_selector_t *from,
    const kf_selector_t *to)
{
	const kf_selector_t *selector = from->selector;
	uint64_t leaving = 0;
	uint32_t i;

	if (from->live_slots == 0)
		return 0;
	for (i = 0; i < selector->upstream_count; i++) {
		const kf_upstream_t *upstream =
		    &differ->old_decl->upstreams[selector->upstreams[i]];

		if (!upstream->draining && !flow_stays(differ, upstream, to))
			leaving += upstream->slots;
	}
	return (double)leaving / (double)from->live_slots;
}

static kf_diff_move_t *
differ_find_or_add_move(
    differ_t *differ, const char *service, const char *from, const char *to)
{
	kf_diff_move_t *moves = differ->moves.items, *move;
	size_t i;

	/* Moves of the current service are at the end of the array. */
	for (i = differ->moves.count; i > 0; i--) {
		move = &moves[i - 1];
		if (move->service != service)
			break;
		if (move->from == from && move->to == to)
			return move;
	}
	move = kf_array_add(&differ->moves, sizeof(*move));
	if (move == NULL) {
		differ->no_memory = true;
		return NULL;
	}
	move->service = service;
	move->from = from;
	move->to = to;
	return move;
}

/*
 * Walks through the share ranges of two explanations of a service in parallel.
 * Adds the percentage of moved flows of each overlap to *sum and to the move
 * between the two selectors.
 */
static void
diff_share_ranges(differ_t *differ, const kf_explanation_t *a,
    const kf_explanation_t *b, bool after_ramps, double *sum)
{
	uint32_t i = 0, j = 0, start = 0, end;
	kf_diff_move_t *move;
	double percent;

	while (i < a->selector_count && j < b->selector_count) {
		const kf_explain_selector_t *from = &a->selectors[i];
		const kf_explain_selector_t *to = &b->selectors[j];

		end = from->end_point < to->end_point ? from->end_point
						      : to->end_point;
		percent = end > start
		    ? moved_fraction(differ, from, to->selector) * 100 *
			(end - start) / KF_SHARE_POINTS
		    : 0;
		i += from->end_point == end;
		j += to->end_point == end;
		start = end;
		*sum += percent;
		if (percent == 0)
			continue;
		move = differ_find_or_add_move(differ, b->service->name,
		    from->selector->name, to->selector->name);
		if (move != NULL && after_ramps)
			move->percent_after_ramps += percent;
		else if (move != NULL)
			move->percent += percent;
	}
}

static void
diff_service_flows(
    differ_t *differ, const kf_service_t *old, const kf_service_t *new)
{
	kf_explanation_t before, after, after_ramps;
	kf_diff_service_t *result;

	result = kf_array_add(&differ->services, sizeof(*result));
	if (result == NULL) {
		differ->no_memory = true;
		return;
	}
	result->service = new->name;
	kf_explain_service(differ->old_decl, old, differ->wall_ms, &before);
	kf_explain_service(differ->new_decl, new, differ->wall_ms, &after);
	kf_explain_service(differ->new_decl, new, after_ramps_ms, &after_ramps);
	diff_share_ranges(differ, &before, &after, false, &result->percent);
	diff_share_ranges(
	    differ, &before, &after_ramps, true, &result->percent_after_ramps);
}

static void
diff_all_flows(differ_t *differ)
{
	const kf_declaration_t *decl = differ->new_decl;
	const kf_service_t *old;
	uint32_t i;

	for (i = 0; i < decl->service_count; i++) {
		old = kf_declaration_service(
		    differ->old_decl, decl->services[i].id);
		if (old != NULL)
			diff_service_flows(differ, old, &decl->services[i]);
	}
}

kf_diff_t *
kf_diff_new(const kf_declaration_t *old_decl, const kf_declaration_t *new_decl,
    int64_t wall_ms)
{
	differ_t differ = {
		.old_decl = old_decl,
		.new_decl = new_decl,
		.wall_ms = wall_ms,
	};
	kf_diff_t *diff;

	diff = calloc(1, sizeof(*diff));
	if (diff == NULL)
		return NULL;
	diff_services(&differ);
	diff_upstreams(&differ);
	diff_selectors(&differ);
	diff_all_flows(&differ);
	diff->old_revision = old_decl->revision;
	diff->new_revision = new_decl->revision;
	diff->entry_count = differ.entries.count;
	diff->entries = differ.entries.items;
	diff->move_count = differ.moves.count;
	diff->moves = differ.moves.items;
	diff->service_count = differ.services.count;
	diff->services = differ.services.items;
	if (!differ.no_memory)
		return diff;
	kf_diff_delete(diff);
	return NULL;
}

void
kf_diff_delete(kf_diff_t *diff)
{
	size_t i;

	if (diff == NULL)
		return;
	for (i = 0; i < diff->entry_count; i++) {
		free(diff->entries[i].old_value);
		free(diff->entries[i].new_value);
	}
	free(diff->entries);
	free(diff->moves);
	free(diff->services);
	free(diff);
}

const char *
kf_diff_kind_name(kf_diff_kind_t kind)
{
	static const char *const names[] = {
		[KF_DIFF_ADDED] = "added",
		[KF_DIFF_REMOVED] = "removed",
		[KF_DIFF_CHANGED] = "changed",
	};

	return names[kind];
}
