#include <gtest/gtest.h>

#include <string>

#include "kf/forwarder_settings.h"
#include "support/settings_errors.h"

namespace {

using namespace kf_test;

kf_status_t
Parse(const std::string &text, kf_forwarder_settings_t *settings)
{
	errors.clear();
	*settings = {};
	return kf_settings_table_parse(&kf_forwarder_settings_table, "s",
	    text.data(), text.size(), OnError, nullptr, settings);
}

const std::string kText = "[vm]\n"
			  "name = front-akl-a-1\n"
			  "zone = akl-a\n"
			  "packet_address = 127.0.0.1:8172\n"
			  "ready_address = 127.0.0.1:8167\n"
			  "peer_address = 127.0.0.1:7720\n"
			  "[platform]\n"
			  "store_address = 127.0.0.9:8169\n";

TEST(ForwarderSettings, ValuesAndDefaults)
{
	kf_forwarder_settings_t s;

	ASSERT_EQ(
	    KF_OK, Parse(kText + "seeds = 127.0.0.1:8166,127.0.0.2:8166\n", &s))
	    << errors;
	EXPECT_STREQ("front-akl-a-1", s.name);
	EXPECT_EQ(8172, s.packet_address.port);
	EXPECT_EQ(2u, s.seed_count);
	EXPECT_EQ(0x7f000002u, s.seeds[1].ip);
	EXPECT_STREQ("/ready", s.ready_path);
	EXPECT_EQ(6000, s.grace_ms);
	EXPECT_EQ(250, s.dead_after_ms);
	EXPECT_EQ(KF_LOG_INFO, s.log_level);
	EXPECT_STREQ("stdout", s.log_file);
	EXPECT_EQ(128u, s.sample);
}

kf_status_t
Override(std::initializer_list<const char *> texts, kf_forwarder_settings_t *s)
{
	kf_overrides_t overrides = {};

	EXPECT_EQ(KF_OK, Parse(kText, s)) << errors;
	for (const char *text : texts)
		overrides.texts[overrides.count++] = text;
	return kf_settings_table_override(
	    &kf_forwarder_settings_table, &overrides, OnError, nullptr, s);
}

TEST(ForwarderSettings, ShortestBoundCounts)
{
	kf_forwarder_settings_t s;

	ASSERT_EQ(KF_OK, Parse(kText, &s)) << errors;
	EXPECT_EQ(3000000, kf_forwarder_shortest_bound_us(&s));
	ASSERT_EQ(KF_OK,
	    Parse(kText + "[bounds]\ndrain_ms = 6000\napply_ms = 5000\n", &s))
	    << errors;
	EXPECT_EQ(5000000, kf_forwarder_shortest_bound_us(&s));
	ASSERT_EQ(KF_OK,
	    Parse(
		kText + "[bounds]\napply_ms = 5000\nevacuate_ms = 2000\n", &s))
	    << errors;
	EXPECT_EQ(2000000, kf_forwarder_shortest_bound_us(&s));
	EXPECT_EQ(
	    KF_ERR_INVALID, Parse(kText + "[bounds]\nevacuate_ms = 5\n", &s));
	EXPECT_EQ(
	    KF_ERR_INVALID, Parse(kText + "[bounds]\ndrain_ms = 0\n", &s));
	EXPECT_EQ(
	    "s:10: bounds: drain_ms: 0 is not in 1000 to 600000\n", errors);
}

/* Guards against zone balancing that cannot be switched off. */
TEST(ForwarderSettings, ZoneBalance)
{
	kf_forwarder_settings_t s;

	ASSERT_EQ(KF_OK, Parse(kText, &s)) << errors;
	EXPECT_EQ(KF_SWITCH_ON, s.zone_balance);
	EXPECT_EQ(500u, s.transfer_us_per_kb);
	ASSERT_EQ(KF_OK,
	    Parse(
		kText + "[zones]\nbalance = off\ntransfer_us_per_kb = 0\n", &s))
	    << errors;
	EXPECT_EQ(KF_SWITCH_OFF, s.zone_balance);
	EXPECT_EQ(0u, s.transfer_us_per_kb);
	EXPECT_EQ(KF_ERR_INVALID, Parse(kText + "[zones]\nbalance = 1\n", &s));
	EXPECT_EQ(KF_SWITCH_ON, s.last_resort);
	EXPECT_EQ(KF_OK, Parse(kText + "[zones]\nlast_resort = off\n", &s));
	EXPECT_EQ(KF_SWITCH_OFF, s.last_resort);
}

/* Guards against a bound that the platform does not give and that is 0. */
TEST(ForwarderSettings, CommandLineWinsUnlessEmpty)
{
	kf_forwarder_settings_t s;

	EXPECT_EQ(KF_OK,
	    Override({ "bounds.drain_ms=6000",
			 "bounds.apply_ms=", "bounds.stability_ms=4000" },
		&s));
	EXPECT_EQ(4000, s.stability_ms);
	EXPECT_EQ(6000, s.drain_bound_ms);
	EXPECT_EQ(3000, s.apply_bound_ms);
	EXPECT_EQ(KF_OK, Override({ "vm.name=other" }, &s));
	EXPECT_STREQ("other", s.name);
}

/* Guards against a limit of cold upstreams where the deployment has none, and
 * against fractions that are refused. */
TEST(ForwarderSettings, ColdLimitIsOffUnlessGiven)
{
	kf_forwarder_settings_t s;

	EXPECT_EQ(KF_OK,
	    Override({ "bounds.cold_excess=", "bounds.cold_slack=" }, &s));
	EXPECT_EQ(0, s.cold_excess);
	EXPECT_EQ(0, s.cold_slack);
	EXPECT_EQ(KF_OK,
	    Override({ "bounds.cold_excess=1.5", "bounds.cold_slack=5" }, &s));
	EXPECT_EQ(1.5, s.cold_excess);
	EXPECT_EQ(5, s.cold_slack);
	EXPECT_EQ(KF_ERR_INVALID,
	    Override({ "bounds.cold_excess=nan", "bounds.cold_slack=-1",
			 "bounds.cold_slack=5s" },
		&s));
	EXPECT_EQ("--set:0: 'nan' is not a number from 0 to 1000\n"
		  "--set:0: '-1' is not a number from 0 to 1000000\n"
		  "--set:0: '5s' is not a number from 0 to 1000000\n",
	    errors);
}

TEST(ForwarderSettings, RefusesWrongOverrides)
{
	kf_forwarder_settings_t s;

	EXPECT_EQ(KF_ERR_INVALID,
	    Override({ "bounds.drain_ms", "bounds.drain=1", "bound.drain_ms=1",
			 "bounds.drain_ms=soon" },
		&s));
	EXPECT_EQ("--set:0: 'bounds.drain_ms' is not SECTION.KEY=VALUE\n"
		  "--set:0: 'bounds.drain=1' names no setting\n"
		  "--set:0: 'bound.drain_ms=1' names no setting\n"
		  "--set:0: 'soon' is not a whole number\n",
	    errors);
	EXPECT_EQ(
	    KF_ERR_INVALID, Override({ "vm.peer_address=127.0.0.1:8172" }, &s));
	EXPECT_EQ("--set:0: vm: packet_address and peer_address are the same\n",
	    errors);
}

/*
 * Guards against a start with invalid settings, and against reporting only the
 * first error of a file.
 */
TEST(ForwarderSettings, ReportsEveryError)
{
	kf_forwarder_settings_t s;
	std::string text = kText;

	text.replace(text.find("7720"), 4, "8172");
	EXPECT_EQ(KF_ERR_INVALID, Parse(text, &s));
	EXPECT_EQ(
	    "s:0: vm: packet_address and peer_address are the same\n", errors);
	EXPECT_EQ(KF_ERR_INVALID,
	    Parse("[vm]\nname = a b\nready_path = ready\n"
		  "[stop]\ngrace_ms = 10\n[platform]\nseeds = x\n",
		&s));
	EXPECT_EQ("s:2: vm: name: 'a b' is not a name of letters, digits, '.', "
		  "'_', '-'\n"
		  "s:3: vm: ready_path: 'ready' is not a path of up to 127 "
		  "bytes\n"
		  "s:1: vm: zone: missing\n"
		  "s:1: vm: packet_address: missing\n"
		  "s:1: vm: ready_address: missing\n"
		  "s:1: vm: peer_address: missing\n"
		  "s:5: stop: grace_ms: 10 is not in 1000 to 600000\n"
		  "s:7: platform: seeds: address 'x' has no port\n"
		  "s:6: platform: store_address: missing\n",
	    errors);
}

} // namespace
