#include <gtest/gtest.h>

#include <sstream>
#include <string>
#include <vector>

#include "kf/platform_packet.h"
#include "kf/platform_published.h"
#include "kf/platform_store.h"

namespace {

using Bytes = std::vector<uint8_t>;

Bytes
FromHex(const std::string &hex)
{
	Bytes bytes;

	for (size_t i = 0; i + 1 < hex.size(); i += 2)
		bytes.push_back(
		    (uint8_t)std::stoul(hex.substr(i, 2), nullptr, 16));
	return bytes;
}

/* The SYN given as an example in the platform's protocol description. */
const char kSyn[] = "11223344000000000100644000"
		    "07c612000101bb9c4100000000"
		    "0000a1b2c3d5";

/* Guards against fields that are read from the wrong offset. */
TEST(PlatformPacket, DecodesThePublishedExample)
{
	Bytes syn = FromHex(kSyn);
	kf_packet_t p;

	ASSERT_EQ(KF_OK, kf_platform_packet_decode(syn.data(), syn.size(), &p));
	EXPECT_EQ(0x64400007u, p.client.ip);
	EXPECT_EQ(40001, p.client.port);
	EXPECT_EQ(0xc6120001u, p.address.ip);
	EXPECT_EQ(443, p.address.port);
	EXPECT_EQ(0x11223344u, p.sequence);
	EXPECT_TRUE(p.syn);
	EXPECT_FALSE(p.fin);
	EXPECT_FALSE(p.rst);
	EXPECT_EQ(0u, p.token);
}

/* Guards against a reset that the client does not match to its flow. */
TEST(PlatformPacket, ResetMatchesThePublishedExample)
{
	Bytes syn = FromHex(kSyn), reset(KF_PLATFORM_HEADER_BYTES);
	kf_packet_t p;

	ASSERT_EQ(KF_OK, kf_platform_packet_decode(syn.data(), syn.size(), &p));
	kf_platform_packet_reset(reset.data(), &p);
	EXPECT_EQ(FromHex("00000000000000008000c6120001644000079c4101bb"
			  "00000000000000000000"),
	    reset);
}

/* Guards against a reset outside the receive window of an open flow. */
TEST(PlatformPacket, ResetOfAnOpenFlowHasTheAcknowledgedNumber)
{
	Bytes data = FromHex(kSyn), reset(KF_PLATFORM_HEADER_BYTES);
	kf_packet_t p;

	data[8] = 4;
	data[7] = 0x2a;
	ASSERT_EQ(
	    KF_OK, kf_platform_packet_decode(data.data(), data.size(), &p));
	kf_platform_packet_reset(reset.data(), &p);
	EXPECT_EQ(0x2a, reset[3]);
}

/* Guards against a token that changes bytes covered by the checksum. */
TEST(PlatformPacket, SetTokenChangesOnlyTheToken)
{
	Bytes before = FromHex(kSyn), after = before;
	kf_packet_t p;

	kf_platform_packet_set_token(after.data(), 0x01020304);
	ASSERT_EQ(
	    KF_OK, kf_platform_packet_decode(after.data(), after.size(), &p));
	EXPECT_EQ(0x01020304u, p.token);
	for (size_t i = 0; i < before.size(); i++) {
		if (i < 22 || i >= 26) {
			EXPECT_EQ(before[i], after[i]) << i;
		}
	}
}

/* Guards against forwarding truncated packets, packets with a wrong length and
 * packets of upstreams. */
TEST(PlatformPacket, RejectsInvalidPackets)
{
	Bytes syn = FromHex(kSyn);
	kf_packet_t p;

	EXPECT_EQ(
	    KF_ERR_TRUNCATED, kf_platform_packet_decode(syn.data(), 31, &p));
	syn.push_back(0);
	EXPECT_EQ(KF_ERR_INVALID,
	    kf_platform_packet_decode(syn.data(), syn.size(), &p));
	syn.pop_back();
	syn[8] = 1 | 4;
	EXPECT_EQ(KF_ERR_INVALID,
	    kf_platform_packet_decode(syn.data(), syn.size(), &p));
}

TEST(PlatformPacket, PrefixIsTheBigEndianId)
{
	uint8_t prefix[KF_PLATFORM_PREFIX_BYTES];

	kf_platform_packet_prefix(prefix, 0x7f3a91c2);
	EXPECT_EQ(FromHex("000000007f3a91c2"), Bytes(prefix, prefix + 8));
}

kf_status_t
DecodeUpstream(
    const std::string &key, const std::string &text, kf_upstream_info_t *info)
{
	return kf_platform_upstream_decode(
	    key.c_str(), (const uint8_t *)text.data(), text.size(), info);
}

const std::string kEntry =
    "{\"Service\":\"huvo11a\",\"Address\":\"10.128.0.9:8080\",\"Zone\":"
    "\"akl-a\",\"Version\":\"v1\",\"Slots\":3,\"State\":\"ready\","
    "\"ColdLeftMs\":1500,\"Seq\":4,\"born\":1764800000123}";

/* Guards against an era that is taken from what is no positive integer. */
TEST(PlatformStore, EraIsAPositiveInteger)
{
	EXPECT_EQ(7u, kf_platform_store_era("7"));
	for (const char *value :
	    { "", "0", "-1", "+1", "1x", " 1", "99999999999999999999" })
		EXPECT_EQ(0u, kf_platform_store_era(value)) << value;
	EXPECT_EQ(0u, kf_platform_store_era(nullptr));
}

TEST(PlatformPublished, DecodesAnUpstream)
{
	kf_upstream_info_t info;

	ASSERT_EQ(KF_OK, DecodeUpstream("servers/i-7f3a91c2", kEntry, &info));
	EXPECT_EQ(0x7f3a91c2u, info.id);
	EXPECT_STREQ("i-7f3a91c2", info.name);
	EXPECT_EQ(kf_name_key("huvo11a"), info.service);
	EXPECT_EQ(kf_name_key("akl-a"), info.zone);
	EXPECT_EQ(0x0a800009u, info.address.ip);
	EXPECT_EQ(8080, info.address.port);
	EXPECT_EQ(3u, info.slots);
	EXPECT_EQ(1500000, info.cold_left_us);
	EXPECT_EQ(1764800000123, info.born_ms);
	EXPECT_FALSE(info.draining);
}

std::string
EntryWithReplacement(const std::string &from, const std::string &to)
{
	std::string text = kEntry;

	text.replace(text.find(from), from.size(), to);
	return text;
}

/* Guards against using malformed entries of other writers as upstreams. */
TEST(PlatformPublished, RejectsMalformedEntries)
{
	const std::string bad[] = {
		"",
		"\xff\xfe",
		"[]",
		"7",
		"{}",
		EntryWithReplacement("\"Service\":\"huvo11a\",", ""),
		EntryWithReplacement("\"huvo11a\"", "17"),
		EntryWithReplacement("\"huvo11a\"", "\"\""),
		EntryWithReplacement("10.128.0.9:8080", "10.128.0.9"),
		EntryWithReplacement("10.128.0.9:8080", "10.128.0.999:80"),
		EntryWithReplacement("\"Zone\":\"akl-a\",", ""),
		EntryWithReplacement("\"Slots\":3", "\"Slots\":\"3\""),
		EntryWithReplacement("\"Slots\":3", "\"Slots\":0"),
		EntryWithReplacement("\"Slots\":3", "\"Slots\":3.5"),
		EntryWithReplacement("\"ready\"", "\"asleep\""),
		EntryWithReplacement("\"ready\"", "1"),
		EntryWithReplacement(
		    "\"ColdLeftMs\":1500", "\"ColdLeftMs\":-1"),
		EntryWithReplacement("1764800000123", "\"now\""),
	};
	kf_upstream_info_t info;

	for (const std::string &text : bad)
		EXPECT_EQ(KF_ERR_INVALID,
		    DecodeUpstream("servers/i-7f3a91c2", text, &info))
		    << text;
	for (const char *key : { "servers/", "servers/i-", "servers/i-xyz",
		 "servers/i-00000000", "servers/i-11112222333344445" })
		EXPECT_EQ(KF_ERR_INVALID, DecodeUpstream(key, kEntry, &info))
		    << key;
}

/* Guards against an upstream that gets no flows because a number of its entry
 * is large or a fraction. */
TEST(PlatformPublished, NumbersOfAnEntryMayBeLargeOrFractions)
{
	kf_upstream_info_t info;

	ASSERT_EQ(KF_OK,
	    DecodeUpstream("servers/i-7f3a91c2",
		EntryWithReplacement("\"Slots\":3", "\"Slots\":5000000"),
		&info));
	EXPECT_EQ(1000000u, info.slots);
	ASSERT_EQ(KF_OK,
	    DecodeUpstream("servers/i-7f3a91c2",
		EntryWithReplacement(
		    "\"ColdLeftMs\":1500", "\"ColdLeftMs\":1499.5"),
		&info));
	EXPECT_EQ(1499500, info.cold_left_us);
	ASSERT_EQ(KF_OK,
	    DecodeUpstream("servers/i-7f3a91c2",
		EntryWithReplacement(
		    "\"ColdLeftMs\":1500", "\"ColdLeftMs\":7200000"),
		&info));
	EXPECT_EQ(INT64_C(7200000000), info.cold_left_us);
}

/* Guards against rejecting an entry that has no start time. */
TEST(PlatformPublished, StartTimeMayBeAbsent)
{
	kf_upstream_info_t info;

	ASSERT_EQ(KF_OK,
	    DecodeUpstream("servers/i-7f3a91c2",
		EntryWithReplacement(",\"born\":1764800000123", ""), &info));
	EXPECT_EQ(0, info.born_ms);
}

std::string refused_parts;

void
RecordPart(void *, const char *part, const char *name)
{
	refused_parts +=
	    std::string(part) + " " + name + ": " + kf_status_message() + "\n";
}

kf_route_table_t *
DecodeRouteTable(
    const std::string &text, const kf_route_table_t *previous = nullptr)
{
	refused_parts.clear();
	return kf_platform_routes_decode((const uint8_t *)text.data(),
	    text.size(), previous, RecordPart, nullptr);
}

std::string
ConfigJson(const std::string &routes)
{
	return "{\"Version\":7,\"Routes\":[" + routes +
	    "],\"Services\":[],\"Limits\":{\"IdleTimeoutMs\":15000}}";
}

std::string
RouteJson(const std::string &host, const std::string &prefix,
    const std::string &target)
{
	return "{\"Name\":\"r-1\",\"Host\":\"" + host + "\",\"Prefix\":\"" +
	    prefix +
	    "\",\"Type\":\"unsafe\",\"TimeoutMs\":2000,\"LatencyGoalMs\":300,"
	    "\"Priority\":1," +
	    target + ",\"MaxAttempts\":2}";
}

TEST(PlatformPublished, DecodesRoutes)
{
	kf_route_table_t *t = DecodeRouteTable(ConfigJson(
	    RouteJson("198.18.0.1", "/8443/", "\"Service\":\"orders\"") + "," +
	    RouteJson("198.18.0.2", "/80/",
		"\"Split\":[{\"Service\":\"orders\",\"Weight\":90},"
		"{\"Service\":\"certs\",\"Weight\":10}]")));

	ASSERT_NE(nullptr, t);
	EXPECT_EQ(7u, t->version);
	EXPECT_EQ(15000000, t->idle_timeout_us);
	const kf_route_t *one = kf_route_table_find(t, { 0xc6120001u, 8443 });
	ASSERT_NE(nullptr, one);
	EXPECT_EQ(2000000, one->timeout_us);
	EXPECT_EQ(300000, one->latency_goal_us);
	EXPECT_EQ(1u, one->priority);
	EXPECT_FALSE(one->idempotent);
	EXPECT_EQ(kf_name_key("orders"), kf_route_service(one, 12345));
	const kf_route_t *two = kf_route_table_find(t, { 0xc6120002u, 80 });
	ASSERT_NE(nullptr, two);
	EXPECT_EQ(kf_name_key("orders"), kf_route_service(two, 89));
	EXPECT_EQ(kf_name_key("certs"), kf_route_service(two, 90));
	EXPECT_EQ(nullptr, kf_route_table_find(t, { 0xc6120001u, 80 }));
	kf_route_table_delete(t);
}

/* Returns a Split of count services s0, s1 ... with weights 1, 2 ... */
std::string
SplitJson(size_t count)
{
	std::string list;

	for (size_t i = 0; i < count; i++)
		list += (i == 0 ? "" : ",") + std::string("{\"Service\":\"s") +
		    std::to_string(i) +
		    "\",\"Weight\":" + std::to_string(i + 1) + "}";
	return "\"Split\":[" + list + "]";
}

/* Guards against a configuration that is refused for the number of services
 * that a route names, and against flows divided by other weights. */
TEST(PlatformPublished, SplitMayNameAnyNumberOfServices)
{
	for (size_t count : { 1, 8, 9, 1000, 20000 }) {
		kf_route_table_t *t = DecodeRouteTable(ConfigJson(
		    RouteJson("198.18.0.1", "/443/", SplitJson(count)) + "," +
		    RouteJson("198.18.0.1", "/80/", "\"Service\":\"orders\"")));

		ASSERT_NE(nullptr, t) << count;
		const kf_route_t *split =
		    kf_route_table_find(t, { 0xc6120001u, 443 });
		ASSERT_NE(nullptr, split);
		ASSERT_EQ(count, split->share_count);
		uint64_t sum = 0;
		for (size_t i = 0; i < count; i++) {
			std::string name = "s" + std::to_string(i);

			EXPECT_EQ(kf_name_key(name.c_str()),
			    kf_route_service(split, sum));
			sum += i + 1;
			EXPECT_EQ(kf_name_key(name.c_str()),
			    kf_route_service(split, sum - 1));
		}
		EXPECT_EQ(kf_name_key("s0"), kf_route_service(split, sum));
		EXPECT_EQ(kf_name_key("orders"),
		    kf_route_service(
			kf_route_table_find(t, { 0xc6120001u, 80 }), 7));
		kf_route_table_delete(t);
	}
}

/* Guards against shares of a table that has been deleted, in the routes that
 * the next one keeps as removed. */
TEST(PlatformPublished, RemovedRoutesHaveNoShares)
{
	kf_route_table_t *first = DecodeRouteTable(
	    ConfigJson(RouteJson("198.18.0.1", "/443/", SplitJson(9))));
	ASSERT_NE(nullptr, first);
	kf_route_table_t *second = DecodeRouteTable(
	    ConfigJson(RouteJson("198.18.0.1", "/80/", SplitJson(9))), first);
	ASSERT_NE(nullptr, second);
	kf_route_table_delete(first);
	const kf_route_t *route =
	    kf_route_table_find(second, { 0xc6120001u, 443 });
	ASSERT_NE(nullptr, route);
	EXPECT_TRUE(route->removed);
	EXPECT_EQ(0u, kf_route_service(route, 12345));
	kf_route_table_delete(second);
}

std::string
ServicesJson(const std::string &services)
{
	return "{\"Version\":7,\"Routes\":[],\"Services\":" + services + "}";
}

/* Guards against a rate of cold upstreams that is cut off to a whole number, or
 * not read. */
TEST(PlatformPublished, ReadsColdRatesOfServices)
{
	kf_route_table_t *t = DecodeRouteTable(
	    ServicesJson("[{\"Name\":\"a\",\"ColdStartS\":2.5,\"ColdPerS\":"
			 "3.25},{\"Name\":\"b\",\"ColdPerS\":4},"
			 "{\"ColdPerS\":9},{\"Name\":\"c\"}]"));

	ASSERT_NE(nullptr, t);
	EXPECT_EQ(2500000, t->services[0].cold_start_us);
	EXPECT_EQ(3.25, kf_route_table_cold_per_s(t, kf_name_key("a")));
	EXPECT_EQ(4, kf_route_table_cold_per_s(t, kf_name_key("b")));
	EXPECT_EQ(0, kf_route_table_cold_per_s(t, kf_name_key("c")));
	EXPECT_EQ(0, kf_route_table_cold_per_s(t, kf_name_key("d")));
	kf_route_table_delete(t);
}

/* Guards against a service that cannot be read and keeps the configuration out
 * of force, or whose cold upstreams get more than the strictest limit. */
TEST(PlatformPublished, UnreadableServiceCostsOnlyItself)
{
	const std::pair<const char *, const char *> bad[] = {
		{ "[{\"Name\":1,\"ColdPerS\":9}",
		    "service -: Name is not a "
		    "non-empty string\n" },
		{ "[{\"Name\":\"a\",\"ColdPerS\":-1}",
		    "service a: ColdPerS is not a number of 0 or more\n" },
		{ "[{\"Name\":\"a\",\"ColdPerS\":\"9\"}",
		    "service a: ColdPerS is not a number of 0 or more\n" },
		{ "[{\"Name\":\"a\",\"ColdStartS\":null}",
		    "service a: ColdStartS is not a number of 0 or more\n" },
		{ "[7", "" },
	};

	for (const auto &service : bad) {
		kf_route_table_t *t =
		    DecodeRouteTable(ServicesJson(std::string(service.first) +
			",{\"Name\":\"b\",\"ColdPerS\":4}]"));

		ASSERT_NE(nullptr, t) << service.first;
		EXPECT_EQ(service.second, refused_parts) << service.first;
		EXPECT_EQ(0, kf_route_table_cold_per_s(t, kf_name_key("a")));
		EXPECT_EQ(0, kf_route_table_cold_per_s(t, kf_name_key("")));
		EXPECT_EQ(4, kf_route_table_cold_per_s(t, kf_name_key("b")));
		kf_route_table_delete(t);
	}
	kf_route_table_t *t = DecodeRouteTable(ServicesJson("{}"));
	ASSERT_NE(nullptr, t);
	EXPECT_EQ("services -: Services is not a list\n", refused_parts);
	EXPECT_EQ(1u, t->parts_refused);
	kf_route_table_delete(t);
}

/* Guards against a zone that is not evacuated, for the length of its name, or
 * one without a name. */
TEST(PlatformPublished, ReadsEvacuations)
{
	const char *key = "op/evacuate/akl-a";
	const std::string zone(188, 'z');
	kf_upstream_info_t info;

	EXPECT_EQ(KF_PUBLISHED_EVACUATION, kf_platform_item_kind(key));
	EXPECT_STREQ("akl-a", kf_platform_evacuated_zone(key));
	EXPECT_EQ(nullptr, kf_platform_evacuated_zone("op/evacuate/"));
	EXPECT_STREQ(
	    "key 'op/evacuate/' does not end in a zone", kf_status_message());
	ASSERT_EQ(KF_OK,
	    DecodeUpstream("servers/i-7f3a91c2",
		EntryWithReplacement("akl-a", zone), &info));
	EXPECT_EQ(info.zone,
	    kf_name_key(
		kf_platform_evacuated_zone(("op/evacuate/" + zone).c_str())));
	EXPECT_EQ(
	    KF_OK, kf_platform_evacuation_check((const uint8_t *)"{}", 2));
	EXPECT_EQ(KF_ERR_INVALID,
	    kf_platform_evacuation_check((const uint8_t *)"{", 1));
}

/* Guards against taking for a configuration what is none: all routes would be
 * removed. */
TEST(PlatformPublished, RejectsWhatIsNoConfiguration)
{
	const std::string bad[] = {
		"",
		"7",
		"[]",
		"{}",
		"{\"Version\":7}",
		"{\"Version\":7,\"Routes\":{}}",
		"{\"Version\":\"7\",\"Routes\":[]}",
		"{\"Version\":0,\"Routes\":[]}",
		"{\"Version\":7.5,\"Routes\":[]}",
		"{\"Version\":7,\"Routes\":[]",
		"{\"Version\":7,\"Routes\":[]}x",
	};

	for (const std::string &text : bad)
		EXPECT_EQ(nullptr, DecodeRouteTable(text)) << text;
}

/* Guards against a route that cannot be read and keeps the configuration out of
 * force, so that other routes are neither added nor removed; and against flows
 * of a route that go to a service which only a part of it names. */
TEST(PlatformPublished, UnreadableRouteCostsOnlyItself)
{
	const std::string service = "\"Service\":\"orders\"";
	const std::string good = RouteJson("198.18.0.9", "/9/", service);
	/* The route, and what is reported of it. */
	const std::pair<std::string, std::string> no_address[] = {
		{ "7", "route -: Host is not a non-empty string\n" },
		{ "{}", "route -: Host is not a non-empty string\n" },
		{ RouteJson("host", "/443/", service),
		    "route r-1: Host 'host' is not an IPv4 address\n" },
		{ RouteJson("2001:db8::1", "/443/", service),
		    "route r-1: Host '2001:db8::1' is not an IPv4 address\n" },
		{ RouteJson("198.18.0.1", "443", service),
		    "route r-1: Prefix '443' is not a port between slashes\n" },
		{ RouteJson("198.18.0.1", "/70000/", service),
		    "route r-1: Prefix '/70000/' is not a port between "
		    "slashes\n" },
	};
	const std::pair<std::string, std::string> no_service[] = {
		{ RouteJson("198.18.0.1", "/443/", "\"Split\":[]"),
		    "route r-1: Service is not a non-empty string\n" },
		{ RouteJson("198.18.0.1", "/443/", "\"Service\":9"),
		    "route r-1: Service is not a non-empty string\n" },
		{ RouteJson("198.18.0.1", "/443/",
		      "\"Split\":[{\"Service\":\"orders\"}]"),
		    "share r-1: Weight is not a number of 0 or more\n" },
		{ RouteJson("198.18.0.1", "/443/",
		      "\"Split\":[{\"Service\":9,\"Weight\":1}]"),
		    "share r-1: Service is not a non-empty string\n" },
	};

	for (const auto &route : no_address) {
		kf_route_table_t *t =
		    DecodeRouteTable(ConfigJson(route.first + "," + good));

		ASSERT_NE(nullptr, t) << route.first;
		EXPECT_EQ(route.second, refused_parts);
		EXPECT_EQ(1u, t->parts_refused);
		EXPECT_EQ(1u, t->count);
		EXPECT_NE(nullptr, kf_route_table_find(t, { 0xc6120009u, 9 }));
		kf_route_table_delete(t);
	}
	for (const auto &route : no_service) {
		kf_route_table_t *t =
		    DecodeRouteTable(ConfigJson(route.first + "," + good));

		ASSERT_NE(nullptr, t) << route.first;
		EXPECT_EQ(route.second, refused_parts);
		const kf_route_t *r =
		    kf_route_table_find(t, { 0xc6120001u, 443 });
		ASSERT_NE(nullptr, r);
		EXPECT_FALSE(r->removed);
		EXPECT_EQ(0u, kf_route_service(r, 12345));
		EXPECT_EQ(kf_name_key("orders"),
		    kf_route_service(
			kf_route_table_find(t, { 0xc6120009u, 9 }), 12345));
		kf_route_table_delete(t);
	}
}

/* Guards against a share that cannot be read and takes the others with it. */
TEST(PlatformPublished, UnreadableShareLeavesItsFlowsToTheOthers)
{
	kf_route_table_t *t =
	    DecodeRouteTable(ConfigJson(RouteJson("198.18.0.1", "/443/",
		"\"Split\":[{\"Service\":\"a\",\"Weight\":10},"
		"{\"Service\":\"b\",\"Weight\":-1},"
		"{\"Service\":\"c\",\"Weight\":\"5\"},7,"
		"{\"Service\":\"d\",\"Weight\":20}]")));

	ASSERT_NE(nullptr, t);
	EXPECT_EQ(3u, t->parts_refused);
	const kf_route_t *route = kf_route_table_find(t, { 0xc6120001u, 443 });
	ASSERT_NE(nullptr, route);
	for (uint64_t point = 0; point < 30; point++)
		EXPECT_EQ(kf_name_key(point < 10 ? "a" : "d"),
		    kf_route_service(route, point));
	kf_route_table_delete(t);
}

/* Returns the part of count flows that a service gets. */
double
PartOf(const kf_route_t *route, const char *service)
{
	int flows = 0;

	for (uint64_t i = 0; i < 100000; i++)
		flows +=
		    kf_route_service(route, i * UINT64_C(0x9e3779b97f4a7c15)) ==
		    kf_name_key(service);
	return flows / 100000.0;
}

/* Guards against weights that are refused, cut off or overflow. */
TEST(PlatformPublished, WeightsMayBeFractionsOrLarge)
{
	for (const char *weights : { "0.25 0.75", "1e18 3e18", "1e300 3e300",
		 "0.000001 0.000003", "5 15" }) {
		std::istringstream in(weights);
		std::string a, b;

		in >> a >> b;
		kf_route_table_t *t =
		    DecodeRouteTable(ConfigJson(RouteJson("198.18.0.1", "/443/",
			"\"Split\":[{\"Service\":\"a\",\"Weight\":" + a +
			    "},{\"Service\":\"b\",\"Weight\":" + b + "}]")));

		ASSERT_NE(nullptr, t) << weights;
		EXPECT_EQ("", refused_parts);
		const kf_route_t *route =
		    kf_route_table_find(t, { 0xc6120001u, 443 });
		EXPECT_NEAR(0.25, PartOf(route, "a"), 0.01) << weights;
		EXPECT_NEAR(0.75, PartOf(route, "b"), 0.01) << weights;
		kf_route_table_delete(t);
	}
}

/* Guards against a weight near the smallest number, whose scale overflows. */
TEST(PlatformPublished, WeightsMayBeTiny)
{
	kf_route_table_t *t =
	    DecodeRouteTable(ConfigJson(RouteJson("198.18.0.1", "/443/",
		"\"Split\":[{\"Service\":\"a\",\"Weight\":1e-310},"
		"{\"Service\":\"b\",\"Weight\":1e-310},"
		"{\"Service\":\"c\",\"Weight\":0}]")));

	ASSERT_NE(nullptr, t);
	EXPECT_EQ("", refused_parts);
	EXPECT_NEAR(0.5, PartOf(&t->routes[0], "a"), 0.01);
	EXPECT_NEAR(0.5, PartOf(&t->routes[0], "b"), 0.01);
	kf_route_table_delete(t);
}

/* Guards against times, priorities and limits that are refused for being
 * fractions or large, or that keep a route out of force. */
TEST(PlatformPublished, GoalsMayBeFractionsOrLargeOrUnreadable)
{
	const char *head = "{\"Name\":\"r\",\"Host\":\"198.18.0.1\","
			   "\"Prefix\":\"/443/\",\"Service\":\"s\",";
	kf_route_table_t *t = DecodeRouteTable(ConfigJson(std::string(head) +
	    "\"Type\":\"safe\",\"TimeoutMs\":1500.5,\"LatencyGoalMs\":1e30,"
	    "\"Priority\":5000000000}"));

	ASSERT_NE(nullptr, t);
	EXPECT_EQ("", refused_parts);
	EXPECT_EQ(1500500, t->routes[0].timeout_us);
	EXPECT_EQ(INT64_C(2147483647000), t->routes[0].latency_goal_us);
	EXPECT_EQ(2147483647u, t->routes[0].priority);
	kf_route_table_delete(t);
	t = DecodeRouteTable(ConfigJson(std::string(head) +
	    "\"TimeoutMs\":\"1\",\"LatencyGoalMs\":300,\"Priority\":-1}"));
	ASSERT_NE(nullptr, t);
	EXPECT_EQ("type r: Type is not a non-empty string\n"
		  "goals r: Priority is not a number of 0 or more\n",
	    refused_parts);
	EXPECT_FALSE(t->routes[0].idempotent);
	EXPECT_EQ(0, t->routes[0].timeout_us);
	EXPECT_EQ(300000, t->routes[0].latency_goal_us);
	EXPECT_EQ(0u, t->routes[0].priority);
	EXPECT_EQ(kf_name_key("s"), kf_route_service(&t->routes[0], 1));
	kf_route_table_delete(t);
	t = DecodeRouteTable("{\"Version\":1764800000123456789,\"Routes\":[],"
			     "\"Limits\":{\"IdleTimeoutMs\":\"x\"}}");
	ASSERT_NE(nullptr, t);
	EXPECT_EQ("limit IdleTimeoutMs: IdleTimeoutMs is not a number of 0 or "
		  "more\n",
	    refused_parts);
	EXPECT_NEAR(1764800000123456789.0, (double)t->version, 1024);
	EXPECT_EQ(0, t->idle_timeout_us);
	kf_route_table_delete(t);
}

/* Guards against two routes of one address that keep the configuration out of
 * force, or of which VMs choose different ones. */
TEST(PlatformPublished, FirstRouteOfAnAddressIsKept)
{
	std::string routes;

	for (const char *name : { "a", "b", "c", "d", "e", "f", "g", "h" })
		routes += std::string(routes.empty() ? "" : ",") +
		    RouteJson("198.18.0.1", "/443/",
			std::string("\"Service\":\"") + name + "\"");
	kf_route_table_t *t = DecodeRouteTable(
	    ConfigJson(RouteJson("198.18.0.2", "/443/", "\"Service\":\"z\"") +
		"," + routes));

	ASSERT_NE(nullptr, t);
	EXPECT_EQ(2u, t->count);
	EXPECT_EQ(7u, t->parts_refused);
	EXPECT_EQ("route -: routes r-1 and r-1 have the same address\n",
	    refused_parts);
	EXPECT_EQ(kf_name_key("a"),
	    kf_route_service(
		kf_route_table_find(t, { 0xc6120001u, 443 }), 12345));
	kf_route_table_delete(t);
}

std::string recorded_changes;

void
RecordChange(void *, const kf_item_change_t *change)
{
	recorded_changes += std::string(change->key) + "@" +
	    std::to_string(change->revision) + "=" +
	    (change->removed
		    ? "removed"
		    : std::string((const char *)change->value, change->len)) +
	    " ";
}

std::string refused_items;

void
RecordRefusedItem(void *, const char *key)
{
	refused_items += std::string(key) + ": " + kf_status_message() + "\n";
}

const kf_platform_reader_t kReader = { nullptr, RecordChange, RecordRefusedItem,
	nullptr };

/* Decodes a listing; last_key gets the key after which the next page begins. */
kf_status_t
DecodeList(const std::string &text, kf_platform_answer_t *answer,
    std::string *last_key = nullptr)
{
	recorded_changes.clear();
	refused_items.clear();
	kf_status_t status =
	    kf_platform_list_decode(text.data(), text.size(), answer, &kReader);
	if (last_key != nullptr)
		*last_key = answer->last_key == nullptr ? "" : answer->last_key;
	kf_platform_answer_free(answer);
	return status;
}

TEST(PlatformStore, DecodesListingsAndChanges)
{
	const std::string list =
	    "{\"items\":[{\"Key\":\"a\",\"Value\":\"bm9kZS0x\",\"Rev\":412,"
	    "\"Created\":412,\"Lease\":7}],\"HasMore\":true,"
	    "\"StoreRevision\":530}";
	const std::string events =
	    "{\"events\":[{\"Key\":\"a\",\"Value\":\"\",\"Rev\":531,"
	    "\"Created\":412,\"Lease\":0},{\"Key\":\"b\",\"Rev\":532,"
	    "\"Removed\":true}],\"StoreRevision\":533}";
	kf_platform_answer_t answer;
	std::string last_key;

	ASSERT_EQ(KF_OK, DecodeList(list, &answer, &last_key));
	EXPECT_EQ("a@412=node-1 ", recorded_changes);
	EXPECT_TRUE(answer.more);
	EXPECT_EQ("a", last_key);
	EXPECT_EQ(530u, answer.revision);
	recorded_changes.clear();
	ASSERT_EQ(KF_OK,
	    kf_platform_watch_decode(
		events.data(), events.size(), &answer, &kReader));
	EXPECT_EQ("a@531= b@532=removed ", recorded_changes);
	EXPECT_EQ(533u, answer.revision);
	EXPECT_EQ(nullptr, answer.last_key);
}

/* Guards against delivering some items of a response that is cut off or no
 * response of the store, and against a page that ends the listing early. */
TEST(PlatformStore, RejectsMalformedResponses)
{
	const std::string good = "{\"Key\":\"a\",\"Value\":\"\",\"Rev\":1}";
	const std::string bad[] = {
		"",
		"{}",
		"{\"items\":[" + good + "]}",
		"{\"items\":{},\"StoreRevision\":5}",
		"{\"items\":[" + good + "],\"StoreRevision\":0}",
		"{\"items\":[" + good + "],\"StoreRevision\":5",
		"{\"items\":[" + good + "],\"StoreRevision\":5}}",
		"{\"items\":[" + good + ",{\"Key\":\"b",
		"{\"items\":[" + good +
		    ",{\"Key\":\"b\\u0x00\"}],\"StoreRevision\":5}",
		"{\"items\":[],\"HasMore\":true,\"StoreRevision\":5}",
		"{\"items\":[{}],\"HasMore\":true,\"StoreRevision\":5}",
	};
	kf_platform_answer_t answer;

	for (const std::string &text : bad) {
		EXPECT_NE(KF_OK, DecodeList(text, &answer)) << text;
		EXPECT_EQ("", recorded_changes) << text;
	}
}

std::string
ListJson(const std::string &item)
{
	return "{\"items\":[{\"Key\":\"a\",\"Value\":\"QQ==\",\"Rev\":1}," +
	    item +
	    ",{\"Key\":\"z\",\"Value\":\"Wg==\",\"Rev\":3}],"
	    "\"StoreRevision\":5}";
}

/* Guards against an item that cannot be read and makes all others of its answer
 * unreadable. */
TEST(PlatformStore, UnreadableItemCostsOnlyItself)
{
	const std::pair<std::string, std::string> bad[] = {
		{ "{}", "-: Key is not a non-empty string\n" },
		{ "7", "-: Key is not a non-empty string\n" },
		{ "null", "-: Key is not a non-empty string\n" },
		{ "{\"Key\":7,\"Value\":\"\",\"Rev\":2}",
		    "-: Key is not a non-empty string\n" },
		{ "{\"Key\":\"b\",\"Value\":\"\",\"Rev\":0}",
		    "b: Rev is not a positive integer\n" },
		{ "{\"Key\":\"b\",\"Value\":\"\",\"Rev\":\"2\"}",
		    "b: Rev is not a positive integer\n" },
		{ "{\"Key\":\"b\",\"Value\":\"\",\"Rev\":9007199254740994}",
		    "b: Rev is not a positive integer\n" },
		{ "{\"Key\":\"b\",\"Value\":\"\"}",
		    "b: Rev is not a positive integer\n" },
		{ "{\"Key\":\"" + std::string(801, 'k') +
			"\",\"Value\":\"\",\"Rev\":2}",
		    std::string(801, 'k') +
			": Key is longer than 800 bytes\n" },
	};
	kf_platform_answer_t answer;

	for (const auto &item : bad) {
		ASSERT_EQ(KF_OK, DecodeList(ListJson(item.first), &answer))
		    << item.first;
		EXPECT_EQ("a@1=A z@3=Z ", recorded_changes) << item.first;
		EXPECT_EQ(item.second, refused_items) << item.first;
	}
}

/* Guards against a value that stays in force although what was written in its
 * place cannot be read. */
TEST(PlatformStore, UnreadableValueReplacesTheOneBefore)
{
	kf_platform_answer_t answer;

	for (const char *value : { "", ",\"Value\":7", ",\"Value\":null",
		 ",\"Value\":\"e30\"", ",\"Value\":\"e3!0\"",
		 ",\"Value\":\"e30=e30=\"", ",\"Value\":\"e===\"",
		 ",\"Value\":\"e30=\\u0000\"", ",\"Removed\":1" }) {
		ASSERT_EQ(KF_OK,
		    DecodeList(
			ListJson(std::string("{\"Key\":\"b\",\"Rev\":2") +
			    value + "}"),
			&answer))
		    << value;
		EXPECT_EQ("a@1=A b@2= z@3=Z ", recorded_changes) << value;
		EXPECT_EQ("", refused_items) << value;
	}
}

/* Guards against a key with a NUL character, or half of a surrogate pair, that
 * makes the answer unreadable or is taken for another key; and against a next
 * page that does not begin after it. */
TEST(PlatformStore, KeysMayHaveAnyCharacter)
{
	const struct {
		std::string json, key, after;
	} keys[] = {
		{ "b\\u0000", "b\xc0\x80", "b%00" },
		{ "\\u0000b\\u0000c",
		    "\xc0\x80"
		    "b\xc0\x80"
		    "c",
		    "%00b%00c" },
		{ std::string("b\0c", 3),
		    "b\xc0\x80"
		    "c",
		    "b%00c" },
		{ "b\\\\u0000", "b\\u0000", "b%5cu0000" },
		{ "b\\\\\\u0000", "b\\\xc0\x80", "b%5c%00" },
		{ "b\\ud83d\\ude00", "b\xf0\x9f\x98\x80", "b%f0%9f%98%80" },
		{ "b\\udcff", "b\xed\xb3\xbf", "b%ed%b3%bf" },
		{ "b\\ud83d\\u0041",
		    "b\xed\xa0\xbd"
		    "A",
		    "b%ed%a0%bdA" },
		{ "b\\ud83d\\ud83d\\ude00", "b\xed\xa0\xbd\xf0\x9f\x98\x80",
		    "b%ed%a0%bd%f0%9f%98%80" },
		{ "b\\u00e4\\/\\\"\\n", "b\xc3\xa4/\"\n", "b%c3%a4%2f%22%0a" },
	};
	kf_platform_answer_t answer;
	std::string last_key;

	for (const auto &key : keys) {
		ASSERT_EQ(KF_OK,
		    DecodeList("{\"items\":[{\"Key\":\"b\",\"Value\":\"QQ==\","
			       "\"Rev\":1},{\"Key\":\"" +
			    key.json +
			    "\",\"Value\":\"Wg==\",\"Rev\":3}],"
			    "\"HasMore\":true,\"StoreRevision\":5}",
			&answer, &last_key))
		    << key.json;
		EXPECT_EQ("b@1=A " + key.key + "@3=Z ", recorded_changes);
		EXPECT_EQ("", refused_items);
		EXPECT_EQ(key.key, last_key);
		char *path = kf_platform_list_path(
		    KF_PLATFORM_LIST_UPSTREAMS, last_key.c_str(), false);
		EXPECT_EQ("/knapweedfield/kv-range?Prefix=servers/&after=" +
			key.after,
		    path);
		free(path);
	}
}

/* Guards against a name that is cut at a NUL character and taken for another
 * one: an address, a service or a state that nobody wrote. */
TEST(PlatformPublished, NulCharactersInValues)
{
	const std::string route =
	    RouteJson("198.18.0.1", "/443/", "\"Service\":\"orders\\u0000x\"");
	kf_upstream_info_t info;

	for (const char *field : { "10.128.0.9:8080", "ready" })
		EXPECT_EQ(KF_ERR_INVALID,
		    DecodeUpstream("servers/i-7f3a91c2",
			EntryWithReplacement(
			    field, std::string(field) + "\\u0000"),
			&info))
		    << field;
	ASSERT_EQ(KF_OK,
	    DecodeUpstream("servers/i-7f3a91c2",
		EntryWithReplacement("huvo11a", "huvo11a\\u0000"), &info));
	EXPECT_NE(kf_name_key("huvo11a"), info.service);
	/* cJSON reads a bad escape as NUL. */
	for (const char *escape : { "\\uZZZZ", "\\u0x00", "\\u00", "\\u" })
		EXPECT_EQ(KF_ERR_INVALID,
		    DecodeUpstream("servers/i-7f3a91c2",
			EntryWithReplacement(
			    "huvo11a", std::string("huvo11a") + escape),
			&info))
		    << escape;
	/* A field that is not used, and the text of an escape. */
	ASSERT_EQ(KF_OK,
	    DecodeUpstream("servers/i-7f3a91c2",
		EntryWithReplacement("\"v1\"", "\"\\u0000\\ud800\\\\u0000\""),
		&info));
	EXPECT_EQ(kf_name_key("huvo11a"), info.service);
	EXPECT_EQ(KF_ERR_INVALID,
	    DecodeUpstream("servers/i-7f3a91c2\xc0\x80", kEntry, &info));
	EXPECT_EQ(KF_ERR_INVALID,
	    DecodeUpstream(
		"servers/i-7f3a91c2", kEntry + std::string("\0", 1), &info));

	kf_route_table_t *t = DecodeRouteTable(ConfigJson(route + "," +
	    RouteJson("198.18.0.1\\u0000", "/80/", "\"Service\":\"orders\"")));
	ASSERT_NE(nullptr, t);
	EXPECT_EQ(1u, t->count);
	EXPECT_NE(kf_name_key("orders"), kf_route_service(&t->routes[0], 1));
	EXPECT_NE(0u, kf_route_service(&t->routes[0], 1));
	kf_route_table_delete(t);
}

/* Guards against a name that begins a record of its own in what is shown to
 * operators, and against one that is compared by the part that is shown. */
TEST(PlatformPublished, NamesAreShownInPart)
{
	const std::string name(100, 's');
	kf_upstream_info_t info, other;

	ASSERT_EQ(KF_OK,
	    DecodeUpstream("servers/a\nb-7f3a91c2",
		EntryWithReplacement("huvo11a", "x\\nrecord=vm\\u001b"),
		&info));
	EXPECT_STREQ("a?b-7f3a91c2", info.name);
	EXPECT_STREQ("x?record=vm?", info.service_name);
	EXPECT_EQ(kf_name_key("x\nrecord=vm\x1b"), info.service);
	ASSERT_EQ(KF_OK,
	    DecodeUpstream("servers/i-7f3a91c2",
		EntryWithReplacement("huvo11a", name + "1"), &info));
	ASSERT_EQ(KF_OK,
	    DecodeUpstream("servers/i-7f3a91c2",
		EntryWithReplacement("huvo11a", name + "2"), &other));
	EXPECT_STREQ(info.service_name, other.service_name);
	EXPECT_NE(info.service, other.service);
}

/* Guards against keys whose characters change the query string. */
TEST(PlatformStore, PathsEscapeKeys)
{
	char path[KF_PLATFORM_PATH_BYTES];
	char *list;

	list = kf_platform_list_path(KF_PLATFORM_LIST_UPSTREAMS, nullptr, true);
	EXPECT_STREQ("/knapweedfield/kv-range?Prefix=servers/&IsStale=1", list);
	free(list);
	list =
	    kf_platform_list_path(KF_PLATFORM_LIST_OPERATOR, "a&b/c d", false);
	EXPECT_STREQ(
	    "/knapweedfield/kv-range?Prefix=op/&after=a%26b%2fc+d", list);
	free(list);
	list = kf_platform_list_path(KF_PLATFORM_LIST_OPERATOR, "plain", true);
	EXPECT_STREQ(
	    "/knapweedfield/kv-range?Prefix=op/&after=plain&IsStale=1", list);
	free(list);
	kf_platform_watch_path(path, 411, 1000);
	EXPECT_STREQ(
	    "/knapweedfield/kv-watch?Prefix=&after=411&WaitMs=1000", path);
}

} // namespace
