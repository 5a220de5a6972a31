#include <gtest/gtest.h>

#include <string>

#include "support/forwarder_world.h"

namespace {

using namespace kf_test;

/* Guards against a zone that gets flows although it is evacuated, because items
 * for many other zones came first. */
TEST(Directory, AnyNumberOfZonesMayBeEvacuated)
{
	kf_directory_t *d = kf_directory_new(kf_name_key("home"));
	kf_upstream_info_t info = MakeUpstream(1, "u", "s", "last", 1);
	kf_change_t change;

	for (int i = 0; i < 1000; i++)
		ASSERT_EQ(KF_OK,
		    kf_directory_set_evacuated(
			d, kf_name_key(std::to_string(i).c_str()), true));
	ASSERT_EQ(KF_OK, kf_directory_put(d, &info, 0, &change));
	ASSERT_EQ(
	    KF_OK, kf_directory_set_evacuated(d, kf_name_key("last"), true));
	EXPECT_EQ(1001u, kf_directory_evacuated_count(d));
	EXPECT_FALSE(kf_target_eligible(kf_directory_at(d, 0), 0));
	for (int i = 0; i < 1000; i++)
		kf_directory_set_evacuated(
		    d, kf_name_key(std::to_string(i).c_str()), false);
	EXPECT_FALSE(kf_target_eligible(kf_directory_at(d, 0), 0));
	kf_directory_set_evacuated(d, kf_name_key("last"), false);
	EXPECT_TRUE(kf_target_eligible(kf_directory_at(d, 0), 0));
	EXPECT_EQ(0u, kf_directory_evacuated_count(d));
	kf_directory_delete(d);
}

} // namespace
