#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <string>
#include <vector>

#include "kf/declaration.h"
#include "kf/diff.h"
#include "kf/document.h"
#include "kf/explain.h"
#include "kf/placement.h"

namespace {

std::string errors;

void
OnError(void *, const char *file, int line, const char *text)
{
	errors +=
	    std::string(file) + ":" + std::to_string(line) + ": " + text + "\n";
}

struct Declaration {
	explicit Declaration(const std::string &text)
	{
		errors.clear();
		decl = kf_declaration_parse(
		    "d", text.data(), text.size(), OnError, nullptr);
	}
	~Declaration()
	{
		kf_declaration_delete(decl);
	}
	kf_declaration_t *decl;
};

const std::string kService = "[declaration]\n"
			     "revision = 7\n"
			     "[service orders]\n"
			     "address = 127.0.0.1:2049\n"
			     "procedure.1 = idempotent\n"
			     "procedure.2 = non-idempotent urgent\n";
const std::string kUpstreams = "[upstream a]\n"
			       "service = orders\n"
			       "zone = z1\n"
			       "address = 127.0.1.1:2049\n"
			       "slots = 3\n"
			       "labels = gen=old rack=r1\n"
			       "[upstream b]\n"
			       "service = orders\n"
			       "zone = z2\n"
			       "address = 127.0.1.2:2049\n"
			       "slots = 2\n"
			       "labels = gen=new\n";
const std::string kOld = "[selector old]\n"
			 "service = orders\n"
			 "match = gen=old\n"
			 "share_percent = 75\n";
const std::string kNew = "[selector new]\n"
			 "service = orders\n"
			 "match = gen=new\n"
			 "share_percent = 25\n";
const std::string kGood = kService + kUpstreams + kOld + kNew;

TEST(Declaration, FillsEveryObject)
{
	Declaration d(kNew + kOld + kUpstreams + kService);

	ASSERT_NE(nullptr, d.decl) << errors;
	EXPECT_EQ(7u, d.decl->revision);
	const kf_service_t *service =
	    kf_declaration_service_at(d.decl, { 0x7f000001, 2049 });
	ASSERT_NE(nullptr, service);
	EXPECT_EQ(service, kf_declaration_service(d.decl, service->id));
	EXPECT_EQ(2000, service->deadline_ms);
	EXPECT_TRUE(kf_service_procedure(service, 1).idempotent);
	EXPECT_EQ(KF_CLASS_NORMAL, kf_service_procedure(service, 1).cls);
	EXPECT_EQ(KF_CLASS_URGENT, kf_service_procedure(service, 2).cls);
	EXPECT_FALSE(kf_service_procedure(service, 3).idempotent);
	ASSERT_EQ(2u, service->selector_count);
	const kf_selector_t *selector =
	    &d.decl->selectors[service->first_selector + 1];
	EXPECT_STREQ("old", selector->name);
	ASSERT_EQ(1u, selector->upstream_count);
	EXPECT_STREQ("a", d.decl->upstreams[selector->upstreams[0]].name);
	const kf_upstream_t *b =
	    kf_declaration_upstream(d.decl, kf_name_id("b"));
	ASSERT_NE(nullptr, b);
	EXPECT_EQ(2u, b->slots);
}

/* Guards against a match on zone or name that selects other upstreams. */
TEST(Declaration, MatchesServiceZoneAndName)
{
	Declaration d(kService + kUpstreams +
	    "[selector s]\nservice = orders\nshare_percent = 100\n"
	    "match = service=orders zone=z2 name=b\n");

	ASSERT_NE(nullptr, d.decl) << errors;
	ASSERT_EQ(1u, d.decl->selectors[0].upstream_count);
	EXPECT_EQ(1u, d.decl->selectors[0].upstreams[0]);
}

/* Guards against a parser that stops at the first error. */
TEST(Declaration, ReportsEveryErrorWithItsLine)
{
	Declaration d("stray = 1\n"
		      "[declaration]\n"
		      "revision = 0\n"
		      "no pair\n"
		      "[service orders]\n"
		      "address = 127.0.0.1\n"
		      "colour = red\n"
		      "[upstream a]\n"
		      "service = order\n"
		      "zone = z\n"
		      "address = 127.0.1.1:1\n"
		      "slots = 70000\n"
		      "[rack r]\n");

	EXPECT_EQ(nullptr, d.decl);
	EXPECT_EQ("d:1: 'stray' is not in a section\n"
		  "d:3: declaration: revision: 0 is not in 1 to 4294967295\n"
		  "d:4: line is not 'key = value'\n"
		  "d:6: service orders: address: address '127.0.0.1' has no "
		  "port\n"
		  "d:7: service orders: unknown key 'colour'\n"
		  "d:12: upstream a: slots: 70000 is not in 1 to 65535\n"
		  "d:13: unknown section 'rack'\n"
		  "d:8: upstream a: no service 'order' is declared\n"
		  "d:5: service orders: has no upstream\n"
		  "d:5: service orders: has no selector\n",
	    errors);
}

/* Guards against accepting an invalid declaration; one error per case. */
TEST(Declaration, RefusesContradictions)
{
	const std::string up = "[upstream c]\nservice = orders\nzone = z1\n"
			       "slots = 1\n";
	const std::string sel = "[selector c]\nservice = orders\n";
	const struct {
		std::string text, error;
	} cases[] = {
		{ kGood +
			"[upstream a]\nservice = orders\nzone = z1\n"
			"slots = 1\naddress = 127.0.1.9:1\n",
		    "upstream 'a' is already used at line 7" },
		{ kGood + up + "address = 127.0.1.1:2049\n",
		    "address 127.0.1.1:2049 is already used at line 7" },
		{ kGood + up + "address = 127.0.0.1:2049\n",
		    "address 127.0.0.1:2049 is already used at line 3" },
		{ kGood + up + "address = 0.0.0.0:1\n",
		    "'0.0.0.0:1' is not a unicast address" },
		{ kGood + up + "address = 127.0.1.9:1\nlabels = zone=z\n",
		    "'zone' is reserved" },
		{ kGood + up + "address = 127.0.1.9:1\nlabels = a=b a=c\n",
		    "'a' is given twice" },
		{ kGood + up + "address = 127.0.1.9:1\nslots = 1\n",
		    "slots: given twice" },
		{ kGood + sel + "match = gen=old\nshare_percent = 1\n",
		    "shares sum to 101, not 100" },
		{ kGood + sel + "match = gen=x\nshare_percent = 0\n",
		    "no upstream of service 'orders' matches" },
		{ kGood + sel + "match = service=x\nshare_percent = 0\n",
		    "matches service 'x', but belongs to 'orders'" },
		{ kGood + sel + "share_percent = nan\n",
		    "'nan' is not a percentage" },
		{ kGood + "ramp_s = 5\n", "given together or not at all" },
		{ kGood +
			"ramp_from_percent = 5\nramp_start_s = 9\n"
			"ramp_s = 5\n",
		    "shares before the ramp sum to 80, not 100" },
		{ kGood +
			"[selector old]\nservice = orders\n"
			"share_percent = 0\n",
		    "selector 'old' is already used at line 19" },
		{ kGood + "[service x]\naddress = 127.0.0.2:1\n",
		    "service x: has no selector" },
		{ kGood + "[service orders]\naddress = 127.0.0.2:1\n",
		    "service 'orders' is already used at line 3" },
		{ kGood + "[declaration]\nrevision = 8\n",
		    "declaration: given twice" },
		{ kGood + "[service]\naddress = 127.0.0.2:1\n",
		    "is not a name" },
		{ kService + "procedure.1 = idempotent\n", "given twice" },
		{ kService + "procedure.0 = idempotent\n", "0 is not in 1 to" },
		{ kService + "procedure.3 = urgent\n",
		    "does not start with idempotent" },
		{ kService + "procedure.3 = idempotent fast\n",
		    "'fast' is not a class" },
		{ kService + "program = 5\n", "5 is not in 536870912 to" },
		{ kGood + std::string(KF_DOCUMENT_MAX_BYTES, '\n'),
		    "more than 1048576" },
		{ kGood + std::string(KF_INI_LINE_BYTES, 'x') + "\n",
		    "line is too long" },
		{ kGood + std::string("a\0b=c\n", 6), "NUL byte" },
		{ "", "revision: missing" },
	};

	for (const auto &c : cases) {
		Declaration d(c.text);

		EXPECT_EQ(nullptr, d.decl) << c.error;
		EXPECT_NE(std::string::npos, errors.find(c.error))
		    << c.error << " is not in:\n"
		    << errors;
	}
}

/*
 * Guards against accepting a selector that has a share of the flows but only
 * draining upstreams to place them on.
 */
TEST(Declaration, RefusesShareOfDrainingUpstreams)
{
	Declaration d(
	    kService + kUpstreams + "state = draining\n" + kOld + kNew);

	EXPECT_EQ("d:24: selector new: has a share, but all its upstreams "
		  "are draining\n",
	    errors);
}

const std::string kRamp = kService + kUpstreams +
    "[selector old]\nservice = orders\nmatch = gen=old\n"
    "share_percent = 0\nramp_from_percent = 100\n"
    "ramp_start_s = 1000\nramp_s = 100\n"
    "[selector new]\nservice = orders\nmatch = gen=new\n"
    "share_percent = 100\nramp_from_percent = 0\n"
    "ramp_start_s = 1000\nramp_s = 100\n";

TEST(Declaration, RampIsLinear)
{
	Declaration d(kRamp);

	ASSERT_NE(nullptr, d.decl) << errors;
	EXPECT_EQ(100, kf_selector_share(&d.decl->selectors[0], 999999));
	EXPECT_EQ(75, kf_selector_share(&d.decl->selectors[0], 1025000));
	EXPECT_EQ(0, kf_selector_share(&d.decl->selectors[0], 1100000));
}

/*
 * Guards against ramps with different ends, during which the shares do not sum
 * to 100.
 */
TEST(Declaration, RefusesRampsWithDifferentTimes)
{
	std::string text = kRamp;

	text.replace(text.rfind("ramp_s = 100"), 12, "ramp_s = 200");
	Declaration d(text);
	EXPECT_NE(std::string::npos, errors.find("have different times"));
}

/* Guards against a crash or a refusal without an error on corrupt text. */
TEST(Declaration, DamagedTextIsRefusedWithAReasonOrValid)
{
	rc::check([] {
		std::string text = kGood;
		size_t at = *rc::gen::inRange<size_t>(0, text.size());
		size_t len = *rc::gen::inRange<size_t>(0, 40);
		auto patch = *rc::gen::container<std::string>(
		    rc::gen::arbitrary<char>());

		text.replace(at, len, patch);
		Declaration d(text);
		RC_ASSERT((d.decl == nullptr) == !errors.empty());
	});
}

/*
 * Guards against upstreams that get the labels of another one when label sets
 * are interned.  Some upstreams share a set, and there are more sets than hash
 * buckets.
 */
TEST(Declaration, EveryUpstreamHasItsOwnLabels)
{
	constexpr uint32_t kCount = 3000, kRacks = 2500;
	std::string text = kService;

	for (uint32_t i = 0; i < kCount; i++)
		text += "[upstream u" + std::to_string(i) +
		    "]\nservice = orders\nzone = z\nslots = 1\naddress = "
		    "10.0." +
		    std::to_string(i >> 8) + "." + std::to_string(i & 255) +
		    ":1\nlabels = gen=x rack=r" + std::to_string(i % kRacks) +
		    (i % 2 != 0 ? " row=a\n" : "\n");
	text += "[selector s]\nservice = orders\nshare_percent = 100\n"
		"match = gen=x\n";
	Declaration d(text);

	ASSERT_NE(nullptr, d.decl) << errors.substr(0, 1000);
	for (uint32_t i = 0; i < kCount; i++) {
		const kf_upstream_t &u = d.decl->upstreams[i];
		std::string rack = "r" + std::to_string(i % kRacks);

		ASSERT_EQ(i % 2 != 0 ? 3u : 2u, u.label_count);
		EXPECT_STREQ("x", u.labels[0].value);
		EXPECT_EQ(rack, u.labels[1].value);
		if (i % 2 != 0) {
			EXPECT_STREQ("a", u.labels[2].value);
		}
		if (i >= kRacks) {
			EXPECT_EQ(
			    d.decl->upstreams[i - kRacks].labels, u.labels);
		}
	}
	EXPECT_EQ(kCount, d.decl->selectors[0].upstream_count);
}

/* Guards against quadratic run time: the test would take minutes. */
TEST(Declaration, ParsesEightyThousandUpstreams)
{
	std::string text = kService + kOld + kNew;

	for (uint32_t i = 0; i < 80000; i++) {
		text += "[upstream u" + std::to_string(i) +
		    "]\nservice = orders\nzone = z" + std::to_string(i % 22) +
		    "\nslots = 3\naddress = 10." + std::to_string(i >> 16) +
		    "." + std::to_string(i >> 8 & 255) + "." +
		    std::to_string(i & 255) +
		    ":1\nlabels = gen=" + (i % 2 != 0 ? "old" : "new") + "\n";
	}
	errors.clear();
	kf_declaration_t *decl = kf_declaration_parse_sized(
	    "d", text.data(), text.size(), text.size(), OnError, nullptr);
	ASSERT_NE(nullptr, decl) << errors.substr(0, 1000);
	EXPECT_EQ(40000u, decl->selectors[0].upstream_count);
	kf_declaration_delete(decl);
}

/* Declares a selector with one upstream for each share, given in 1/1000. */
std::string
ServiceWithShares(const std::vector<int> &parts)
{
	std::string text = kService;

	for (size_t i = 0; i < parts.size(); i++) {
		std::string n = std::to_string(i);
		std::string share = std::to_string(parts[i] / 10) + "." +
		    std::to_string(parts[i] % 10);

		text += "[upstream u" + n +
		    "]\nservice = orders\nzone = z\n"
		    "slots = 1\naddress = 127.0.1." +
		    n +
		    ":1\n"
		    "[selector s" +
		    n +
		    "]\nservice = orders\nmatch = "
		    "name=u" +
		    n + "\nshare_percent = " + share + "\n";
	}
	return text;
}

std::vector<int>
RandomShares()
{
	std::vector<int> parts;
	int left = 1000;

	while (left > 0 && parts.size() < 7) {
		parts.push_back(*rc::gen::inRange(0, left + 1));
		left -= parts.back();
	}
	parts.push_back(left);
	return parts;
}

/* Guards against ranges that differ from those balancers place flows by. */
TEST(Explain, RangesAreThoseOfPlacement)
{
	rc::check([] {
		Declaration d(ServiceWithShares(RandomShares()));
		kf_explanation_t e;

		RC_ASSERT(d.decl != nullptr);
		kf_explain_service(d.decl, &d.decl->services[0], 0, &e);
		uint32_t wrong = 0;
		for (uint32_t p = 0; p < KF_SHARE_POINTS; p++)
			wrong += kf_explain_point(&e, p)->selector !=
			    kf_placement_selector(
				d.decl, &d.decl->services[0], p, 0);
		RC_ASSERT(wrong == 0u);
	});
}

/* Guards against an estimate of moved flows that differs from placement. */
TEST(Diff, MovedFlowsAreThoseWithoutTheirUpstream)
{
	rc::check([] {
		std::string text = ServiceWithShares(RandomShares());
		Declaration a(text);
		std::vector<int> parts = RandomShares();
		Declaration b(ServiceWithShares(parts));
		const kf_service_t *service = &a.decl->services[0];
		uint32_t moved = 0;

		for (uint32_t p = 0; p < KF_SHARE_POINTS; p++)
			moved += std::string(kf_placement_selector(
				     a.decl, service, p, 0)
						 ->name) !=
			    kf_placement_selector(
				b.decl, &b.decl->services[0], p, 0)
				->name;
		kf_diff_t *diff = kf_diff_new(a.decl, b.decl, 0);
		RC_ASSERT(diff != nullptr && diff->service_count == 1);
		double percent = diff->services[0].percent;
		kf_diff_delete(diff);
		RC_ASSERT(
		    fabs(percent - moved * 100.0 / KF_SHARE_POINTS) < 1e-9);
	});
}

TEST(VmList, FillsEveryVm)
{
	const std::string text = "[vm v1]\naddress = 127.0.0.1:7000\nzone = z\n"
				 "[vm v2]\naddress = 127.0.0.2:7000\nzone = z\n"
				 "state = leaving\n";
	kf_vm_list_t *list =
	    kf_vm_list_parse("v", text.data(), text.size(), OnError, nullptr);

	ASSERT_NE(nullptr, list);
	ASSERT_EQ(2u, list->count);
	EXPECT_EQ(kf_name_id("v1"), list->vms[0].id);
	EXPECT_EQ(kf_name_id("z"), list->vms[1].zone);
	EXPECT_FALSE(list->vms[0].leaving);
	EXPECT_TRUE(list->vms[1].leaving);
	kf_vm_list_delete(list);
}

/* Guards against two VMs with the same control address. */
TEST(VmList, RefusesRepeatedAddress)
{
	const std::string text =
	    "[vm v1]\naddress = 127.0.0.1:7000\nzone = z\n"
	    "[vm v2]\naddress = 127.0.0.1:7000\nzone = z\n"
	    "[vm v1]\naddress = 127.0.0.3:7000\nzone = z\n";

	errors.clear();
	EXPECT_EQ(nullptr,
	    kf_vm_list_parse("v", text.data(), text.size(), OnError, nullptr));
	EXPECT_EQ("v:7: VM name 'v1' is already used at line 1\n"
		  "v:4: control address 127.0.0.1:7000 is already used at line "
		  "1\n",
	    errors);
}

std::string
Key(const std::string &id, const std::string &secret)
{
	return "[key k" + id + "]\nid = " + id + "\nsecret = " + secret +
	    "\nnot_before_s = 100\nnot_after_s = 200\n";
}

kf_keyring_t *
ParseKeys(const std::string &text)
{
	errors.clear();
	return kf_keys_parse("k", text.data(), text.size(), OnError, nullptr);
}

TEST(Keys, FillsTheRing)
{
	kf_keyring_t *ring =
	    ParseKeys(Key("3", "000102030405060708090a0b0c0d0eFF"));
	uint32_t id = 0;

	ASSERT_NE(nullptr, ring) << errors;
	EXPECT_EQ(KF_OK, kf_keyring_current(ring, 150, &id));
	EXPECT_EQ(3u, id);
	kf_keyring_delete(ring);
}

/* Guards against error messages, which are logged, with a secret in them. */
TEST(Keys, ErrorsDoNotShowTheSecret)
{
	EXPECT_EQ(nullptr,
	    ParseKeys(Key("3", "00010203zz0506070809deadbeef0eff") +
		Key("4", "deadbeef") +
		Key("5", "00112233445566778899aabbccddeeff") +
		Key("5", "00112233445566778899aabbccddeeff")));
	EXPECT_EQ("k:3: key k3: secret: secret is not hexadecimal\n"
		  "k:8: key k4: secret: secret has not 32 hexadecimal digits\n"
		  "k:16: key 5 is given twice\n",
	    errors);
}

} // namespace
