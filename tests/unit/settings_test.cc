#include <gtest/gtest.h>

#include <string>

#include "kf/settings.h"
#include "support/settings_errors.h"

namespace {

using namespace kf_test;

kf_settings_t *
Parse(const std::string &text)
{
	errors.clear();
	return kf_settings_parse(
	    "s", text.data(), text.size(), OnError, nullptr);
}

const std::string kVm = "[vm]\n"
			"name = b1\n"
			"zone = akl-a\n"
			"ingress_address = 127.0.0.1:7300\n"
			"peer_address = 127.0.0.1:7100\n"
			"control_address = 127.0.0.1:7000\n"
			"rpc_address = 127.0.0.1:7200\n";
const std::string kPlatform = "[platform]\nurl = http://127.0.0.9:8080\n";

TEST(Settings, DefaultsApply)
{
	kf_settings_t *s = Parse(kVm + kPlatform);

	ASSERT_NE(nullptr, s) << errors;
	EXPECT_EQ(kf_name_id("b1"), s->vm_id);
	EXPECT_EQ(kf_name_id("akl-a"), s->zone);
	EXPECT_EQ(7300, s->ingress_address.port);
	EXPECT_EQ(0, s->metrics_address.port);
	EXPECT_EQ(1u, s->traffic_threads);
	EXPECT_EQ(KF_ENCAPSULATION_PROXY_V2, s->encapsulation);
	EXPECT_EQ(10000, s->poll_wait_ms);
	EXPECT_EQ(1000, s->start_window_ms);
	EXPECT_EQ(0u, s->seed_count);
	EXPECT_EQ(3600, s->token_lifetime_s);
	EXPECT_EQ(0u, s->ingress_packets_per_s);
	EXPECT_EQ(KF_LOG_INFO, s->log_level);
	EXPECT_EQ(200u, s->decisions_per_s);
	EXPECT_STREQ("stderr", s->log_file);
	EXPECT_EQ(4u, s->upstream_paths);
	kf_settings_delete(s);
}

TEST(Settings, ValuesAreRead)
{
	kf_settings_t *s =
	    Parse(kVm + "traffic_threads = 16\n" + "encapsulation = none\n" +
		"metrics_address = 127.0.0.1:7400\n" + kPlatform +
		"seeds = 127.0.0.2:7000  127.0.0.3:7000\n"
		"[log]\nlevel = debug\nfile = /tmp/b1.log\n");

	ASSERT_NE(nullptr, s) << errors;
	EXPECT_EQ(16u, s->traffic_threads);
	EXPECT_EQ(0x7f000001u, s->metrics_address.ip);
	EXPECT_EQ(7400, s->metrics_address.port);
	EXPECT_EQ(KF_ENCAPSULATION_NONE, s->encapsulation);
	ASSERT_EQ(2u, s->seed_count);
	EXPECT_EQ(0x7f000003u, s->seeds[1].ip);
	EXPECT_EQ(KF_LOG_DEBUG, s->log_level);
	EXPECT_STREQ("/tmp/b1.log", s->log_file);
	kf_settings_delete(s);
}

/*
 * Guards against a start with a misspelled key, and against reporting only the
 * first error of a file.
 */
TEST(Settings, ReportsEveryErrorWithItsLine)
{
	EXPECT_EQ(nullptr,
	    Parse("[vm]\n"
		  "name = b 1\n"
		  "traffic_threads = 17\n"
		  "encapsulation = gre\n"
		  "[platform]\n"
		  "seeds = 127.0.0.2:7000 127.0.0.2:7000\n"
		  "[limits]\n"
		  "max_flow = 5\n"
		  "[logs]\n"));
	EXPECT_EQ("s:2: vm: name: 'b 1' is not a name of letters, digits, '.', "
		  "'_', '-'\n"
		  "s:3: vm: traffic_threads: 17 is not in 1 to 16\n"
		  "s:4: vm: encapsulation: 'gre' is not one of: proxy-v2, "
		  "none\n"
		  "s:1: vm: zone: missing\n"
		  "s:1: vm: ingress_address: missing\n"
		  "s:1: vm: peer_address: missing\n"
		  "s:1: vm: control_address: missing\n"
		  "s:1: vm: rpc_address: missing\n"
		  "s:6: platform: seeds: '127.0.0.2:7000' is given twice\n"
		  "s:5: platform: url: missing\n"
		  "s:8: limits: unknown key 'max_flow'\n"
		  "s:9: unknown section 'logs'\n",
	    errors);
}

/*
 * Guards against accepting a file without a section, and so without its
 * required keys.
 */
TEST(Settings, EmptyTextIsRefused)
{
	EXPECT_EQ(nullptr, Parse(""));
	EXPECT_NE(
	    std::string::npos, errors.find("s:0: platform: url: missing"));
}

/* Guards against two UDP sockets on one port. */
TEST(Settings, RefusesSharedPorts)
{
	std::string text = kVm + "traffic_threads = 16\n" + kPlatform;

	text.replace(text.find("7000"), 4, "7115");
	EXPECT_EQ(nullptr, Parse(text));
	EXPECT_EQ(
	    "s:0: vm: control_address is in the port range of peer_address\n",
	    errors);
	text.replace(text.find("7100"), 4, "65530");
	EXPECT_EQ(nullptr, Parse(text));
	EXPECT_NE(std::string::npos, errors.find("go past port 65535"));
}

/* Guards against two TCP listeners on one port. */
TEST(Settings, RefusesMetricsOnAnRpcPort)
{
	EXPECT_EQ(nullptr,
	    Parse(kVm + "metrics_address = 127.0.0.1:7200\n" + kPlatform));
	EXPECT_EQ(
	    "s:0: vm: metrics_address and rpc_address are the same\n", errors);
	EXPECT_EQ(nullptr,
	    Parse(kVm + "metrics_address = 127.0.0.1:7000\n" + kPlatform));
	EXPECT_EQ("s:0: vm: metrics_address and control_address are the same\n",
	    errors);
}

/* Guards against a default that is outside the range of its setting. */
TEST(Settings, EveryDefaultIsValid)
{
	kf_settings_t settings = {};
	size_t count;
	const kf_field_t *fields = kf_settings_fields(&count);

	for (size_t i = 0; i < count; i++) {
		if (fields[i].default_value == nullptr ||
		    *fields[i].default_value == '\0')
			continue;
		EXPECT_EQ(KF_OK,
		    kf_field_parse(
			&fields[i], &settings, fields[i].default_value))
		    << fields[i].key << ": " << kf_status_message();
	}
}

} // namespace
