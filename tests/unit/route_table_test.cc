#include <gtest/gtest.h>

#include <vector>

#include "kf/route_table.h"

namespace {

kf_route_table_t *
MakeTable(uint64_t version, uint32_t first, uint32_t count,
    const kf_route_table_t *previous)
{
	const kf_route_share_t share = { 7, 1 };
	std::vector<kf_route_t> routes(count);

	for (uint32_t i = 0; i < count; i++) {
		routes[i].address = { first + i, 443 };
		routes[i].shares = &share;
		routes[i].share_count = 1;
	}
	return kf_route_table_new(
	    version, 0, routes.data(), routes.size(), previous);
}

/* Guards against routes, as many as the target has, of which some are not
 * refused once a version removes them, while it keeps older ones. */
TEST(RouteTable, AllRoutesThatAVersionRemovesAreKept)
{
	kf_route_table_t *t = MakeTable(1, 1, 6000, nullptr), *next;

	next = MakeTable(2, 100000, 30000, t);
	kf_route_table_delete(t);
	t = MakeTable(3, 200000, 10, next);
	kf_route_table_delete(next);
	for (uint32_t i = 0; i < 30000; i++) {
		const kf_route_t *r =
		    kf_route_table_find(t, { 100000 + i, 443 });

		ASSERT_NE(nullptr, r) << i;
		EXPECT_TRUE(r->removed);
		EXPECT_EQ(0u, kf_route_service(r, 1));
	}
	EXPECT_EQ((size_t)10 + 30000 + KF_ROUTE_MAX_REMOVED, t->count);
	EXPECT_EQ(
	    7u, kf_route_service(kf_route_table_find(t, { 200009, 443 }), 1));
	kf_route_table_delete(t);
}

} // namespace
