/*
 * Guards against crashes and leaks while decoding packets, upstream entries,
 * route configurations and responses of the store, and against values accepted
 * from malformed input.
 */
#include <stdlib.h>
#include <string.h>

#include "kf/platform_packet.h"
#include "kf/platform_published.h"
#include "kf/platform_store.h"

static void
on_change(void *ctx, const kf_item_change_t *change)
{
	size_t *delivered = ctx;

	if (change->key == NULL || change->revision == 0 ||
	    (change->removed && change->len != 0))
		abort();
	(*delivered)++;
}

static void
on_refused(void *ctx, const char *key)
{
	size_t *delivered = ctx;

	if (key == NULL)
		abort();
	(*delivered)++;
}

static void
check_packet(const uint8_t *data, size_t size)
{
	uint8_t reset[KF_PLATFORM_HEADER_BYTES];
	kf_packet_t packet;

	if (kf_platform_packet_decode(data, size, &packet) != KF_OK)
		return;
	if (packet.payload_bytes != size - KF_PLATFORM_HEADER_BYTES)
		abort();
	kf_platform_packet_reset(reset, &packet);
}

static void
check_entry(const uint8_t *data, size_t size)
{
	kf_upstream_info_t info;

	if (kf_platform_upstream_decode(
		"servers/i-7f3a91c2", data, size, &info) != KF_OK)
		return;
	if (info.id != 0x7f3a91c2 || info.slots == 0 || info.cold_left_us < 0)
		abort();
}

static void
on_part_refused(void *ctx, const char *part, const char *name)
{
	size_t *refused = ctx;

	if (part == NULL || name == NULL)
		abort();
	(*refused)++;
}

static void
check_routes(const uint8_t *data, size_t size)
{
	kf_route_table_t *table, *next;
	size_t i, refused = 0;

	table = kf_platform_routes_decode(
	    data, size, NULL, on_part_refused, &refused);
	if (table == NULL)
		return;
	if (refused > table->parts_refused)
		abort();
	for (i = 0; i < table->count; i++) {
		const kf_route_t *route = &table->routes[i];

		if (kf_route_table_find(table, route->address) != route ||
		    (route->share_count == 0 &&
			kf_route_service(route, size) != 0))
			abort();
	}
	next = kf_platform_routes_decode(data, size, table, NULL, NULL);
	kf_route_table_delete(next);
	kf_route_table_delete(table);
}

static void
check_answers(const uint8_t *data, size_t size)
{
	kf_platform_answer_t answer;
	size_t delivered = 0;
	const kf_platform_reader_t reader = {
		.change = on_change,
		.refused = on_refused,
		.ctx = &delivered,
	};

	if (kf_platform_list_decode(
		(const char *)data, size, &answer, &reader) != KF_OK
		? delivered > 0
		: delivered != answer.count ||
		    answer.more != (answer.last_key != NULL))
		abort();
	if (answer.last_key != NULL)
		free(kf_platform_list_path(0, answer.last_key, true));
	kf_platform_answer_free(&answer);
	delivered = 0;
	if (kf_platform_watch_decode(
		(const char *)data, size, &answer, &reader) != KF_OK
		? delivered > 0
		: delivered != answer.count)
		abort();
	kf_platform_answer_free(&answer);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	check_packet(data, size);
	check_entry(data, size);
	check_routes(data, size);
	check_answers(data, size);
	return 0;
}
