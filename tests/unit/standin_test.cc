#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstring>
#include <string>
#include <vector>

#include "kf/check.h"
#include "kf/standin.h"

namespace {

/* Guards against test traffic to addresses outside 127.0.0.0/8. */
TEST(SimAddr, OnlyLoopbackIsAccepted)
{
	kf_addr_t addr;
	uint32_t ip;

	EXPECT_EQ(KF_OK, kf_sim_addr_parse("127.1.2.3:45", &addr));
	EXPECT_EQ(KF_ERR_INVALID, kf_sim_addr_parse("128.0.0.1:45", &addr));
	EXPECT_EQ(KF_ERR_INVALID, kf_sim_addr_parse("126.0.0.1:45", &addr));
	EXPECT_EQ(KF_ERR_INVALID, kf_sim_addr_parse("0.0.0.0:45", &addr));
	EXPECT_EQ(KF_OK, kf_sim_ip_parse("127.255.0.1", &ip));
	EXPECT_EQ(KF_ERR_INVALID, kf_sim_ip_parse("10.0.0.1", &ip));
	addr.ip = 10u << 24 | 1;
	EXPECT_FALSE(kf_sim_udp_send(-1, addr, nullptr, 0));
}

/* Guards against numbers that overflow or are followed by other text. */
TEST(SimParse, RefusesMalformedNumbers)
{
	uint64_t value = 5, low, high;
	double unit;

	EXPECT_EQ(KF_OK, kf_sim_parse_u64("18", 18, &value));
	EXPECT_EQ(18u, value);
	for (const char *text :
	    { "", "-1", "19", "1x", " 1", "0x1", "99999999999999999999999" })
		EXPECT_NE(KF_OK, kf_sim_parse_u64(text, 18, &value)) << text;
	EXPECT_EQ(18u, value);
	EXPECT_EQ(KF_OK, kf_sim_parse_range("3-9", 10, &low, &high));
	EXPECT_EQ(3u, low);
	EXPECT_EQ(9u, high);
	EXPECT_EQ(KF_OK, kf_sim_parse_range("4", 10, &low, &high));
	EXPECT_EQ(high, low);
	for (const char *text : { "9-3", "3-", "-3", "3-11", "3:9" })
		EXPECT_NE(KF_OK, kf_sim_parse_range(text, 10, &low, &high))
		    << text;
	for (const char *text : { "", "1.1", "-0.1", "nan", "0.5x" })
		EXPECT_NE(KF_OK, kf_sim_parse_probability(text, &unit)) << text;
}

/* Guards against two services or callers that use the same request number. */
RC_GTEST_PROP(SimNumber, FieldsAreKept, ())
{
	auto tag = *rc::gen::inRange<uint32_t>(1, 65536);
	auto caller = *rc::gen::inRange<uint32_t>(0, 32768);
	auto sequence = *rc::gen::arbitrary<uint32_t>();
	auto once = *rc::gen::arbitrary<bool>();
	uint64_t number = kf_sim_number(tag, once, caller, sequence);

	RC_ASSERT(kf_sim_number_tag(number) == tag);
	RC_ASSERT(kf_sim_number_non_idempotent(number) == once);
	RC_ASSERT((number >> 32 & 0x7fff) == caller);
	RC_ASSERT((uint32_t)number == sequence);
}

std::vector<uint8_t>
WriteResult(uint64_t number, size_t filler)
{
	kf_sim_result_t result = {};
	std::vector<uint8_t> buf(KF_SIM_DATAGRAM_BYTES);

	result.number = number;
	result.digest = 99;
	strcpy(result.upstream, "orders-01");
	result.executions = 1;
	result.filler_len = filler;
	buf.resize(kf_sim_result_write(&result, buf.data(), buf.size()));
	return buf;
}

RC_GTEST_PROP(SimResult, RoundTrip, ())
{
	auto number = *rc::gen::arbitrary<uint64_t>();
	auto filler = *rc::gen::inRange<size_t>(0, 300);
	auto buf = WriteResult(number, filler);
	kf_sim_result_t result;

	RC_ASSERT(kf_sim_result_read(buf.data(), buf.size(), &result) == KF_OK);
	RC_ASSERT(result.number == number);
	RC_ASSERT(result.digest == 99u);
	RC_ASSERT(std::string(result.upstream) == "orders-01");
	RC_ASSERT(result.filler_len == filler);
}

/* Guards against a truncated or altered answer that is accepted. */
TEST(SimResult, EveryTruncationAndChangeOfFillerIsSeen)
{
	std::vector<uint8_t> buf = WriteResult(7, 40);
	kf_sim_result_t result;

	for (size_t len = 0; len < buf.size(); len++)
		EXPECT_NE(KF_OK, kf_sim_result_read(buf.data(), len, &result))
		    << len;
	for (size_t i = buf.size() - 40; i < buf.size(); i++) {
		std::vector<uint8_t> changed = buf;
		changed[i] ^= 1;
		EXPECT_NE(KF_OK,
		    kf_sim_result_read(changed.data(), changed.size(), &result))
		    << i;
	}
}

/* Guards against a buffer overrun when a payload does not fit. */
TEST(SimArgs, PayloadThatDoesNotFitIsNotWritten)
{
	uint8_t buf[64];

	EXPECT_EQ(0u, kf_sim_args_write(1, 53, buf, sizeof(buf)));
	EXPECT_EQ(64u, kf_sim_args_write(1, 52, buf, sizeof(buf)));
	EXPECT_EQ(12u, kf_sim_args_write(1, 0, buf, sizeof(buf)));
}

/* Guards against quantiles with an error of more than one bucket's width. */
RC_GTEST_PROP(SimHistogram, QuantileIsWithinResolution, ())
{
	auto values = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(
	    rc::gen::inRange(0, 100000000)));
	auto quantile = *rc::gen::element(0.0, 0.5, 0.9, 0.99);
	static kf_sim_histogram_t histogram;

	memset(&histogram, 0, sizeof(histogram));
	for (int value : values)
		kf_sim_histogram_add(&histogram, value);
	std::sort(values.begin(), values.end());
	int exact = values[(size_t)(quantile * (double)values.size())];
	int64_t found = kf_sim_histogram_quantile(&histogram, quantile);
	RC_ASSERT(found >= exact);
	RC_ASSERT((double)found <= exact * (1 + 1.0 / 32) + 1);
	RC_ASSERT(histogram.max == values.back());
}

TEST(SimHistogram, EmptyAndHugeValues)
{
	static kf_sim_histogram_t histogram;

	EXPECT_EQ(0, kf_sim_histogram_quantile(&histogram, 0.5));
	kf_sim_histogram_add(&histogram, INT64_MAX);
	kf_sim_histogram_add(&histogram, -1);
	EXPECT_EQ(2u, histogram.count);
	EXPECT_EQ(INT64_MAX, kf_sim_histogram_quantile(&histogram, 1));
}

/* Guards against runs with the same seed that differ. */
TEST(SimRandom, SameSeedGivesSameNumbers)
{
	kf_sim_random_t a = { 42 }, b = { 42 }, c = { 43 };

	EXPECT_EQ(kf_sim_random_u64(&a), kf_sim_random_u64(&b));
	EXPECT_NE(kf_sim_random_u64(&a), kf_sim_random_u64(&c));
	for (int i = 0; i < 10000; i++) {
		double unit = kf_sim_random_unit(&a);
		EXPECT_TRUE(unit >= 0 && unit < 1);
		EXPECT_LE(kf_sim_random_exp(&a, 100), 2000);
		EXPECT_LT(kf_sim_random_below(&a, 7), 7u);
	}
}

/* A timer that records when it was due, and stops the loop if it is last. */
struct Fired {
	kf_sim_loop_t *loop;
	std::vector<int64_t> *order;
	size_t expected;
	kf_sim_timer_t timer;
};

void
OnTimer(void *ctx)
{
	Fired *fired = (Fired *)ctx;

	fired->order->push_back(fired->timer.at_us);
	if (fired->order->size() == fired->expected)
		kf_sim_loop_stop(fired->loop);
}

/* Guards against timers lost or reordered when others are cancelled. */
RC_GTEST_PROP(SimTimer, FireInOrderAndCancelledOnesDoNot, ())
{
	auto times = *rc::gen::nonEmpty(
	    rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 1000)));
	auto cancels = *rc::gen::container<std::vector<bool>>(
	    times.size(), rc::gen::arbitrary<bool>());
	std::vector<Fired> fired(times.size());
	std::vector<int64_t> order, expected;
	kf_sim_loop_t *loop = kf_sim_loop_new();

	cancels[0] = false;
	for (size_t i = 0; i < times.size(); i++) {
		fired[i] = Fired{ loop, &order, 0, {} };
		fired[i].timer.fn = OnTimer;
		fired[i].timer.ctx = &fired[i];
		kf_sim_timer_set(loop, &fired[i].timer, times[i] / 2);
		kf_sim_timer_set(loop, &fired[i].timer, times[i]);
	}
	for (size_t i = 0; i < times.size(); i++) {
		if (cancels[i])
			kf_sim_timer_cancel(loop, &fired[i].timer);
		else
			expected.push_back(times[i]);
	}
	for (Fired &f : fired)
		f.expected = expected.size();
	kf_sim_loop_run(loop);
	kf_sim_loop_delete(loop);
	std::sort(expected.begin(), expected.end());
	RC_ASSERT(order == expected);
}

kf_status_t
RunEcho(void *ctx, int argc, char **argv, FILE *out)
{
	(void)ctx;
	if (argc == 3)
		return kf_status_set(KF_ERR_CONFLICT, "no %s", argv[2]);
	fprintf(out, "word=%s", argv[1]);
	return KF_OK;
}

std::string
Answer(const char *line)
{
	static const kf_sim_command_t table[] = {
		{ "echo", 1, 2, "WORD [WORD]", RunEcho },
		{ nullptr, 0, 0, nullptr, nullptr },
	};
	char answer[256];

	kf_sim_command_run(table, nullptr, line, answer, sizeof(answer));
	return answer;
}

/* Guards against an invalid command that is answered with status=ok. */
TEST(SimCommand, AnswersAreOneLine)
{
	EXPECT_EQ("status=ok word=a\n", Answer("echo a"));
	EXPECT_EQ("status=ok word=a\n", Answer("  echo\ta \n"));
	EXPECT_EQ("status=conflict message=\"no b\"\n", Answer("echo a b"));
	EXPECT_EQ("status=not_found message=\"unknown command 'ech'\"\n",
	    Answer("ech a"));
	EXPECT_EQ("status=invalid message=\"usage: echo WORD [WORD]\"\n",
	    Answer("echo"));
	EXPECT_EQ("status=invalid message=\"malformed command\"\n", Answer(""));
	EXPECT_EQ("status=invalid message=\"malformed command\"\n",
	    Answer("1 2 3 4 5 6 7 8 9"));
}

class SimCheck : public ::testing::Test {
      protected:
	void Ledger(uint64_t number, unsigned service)
	{
		kf_sim_check_ledger_line(check,
		    ("request=" + std::to_string(number) +
			" upstream=a service=" + std::to_string(service) +
			" proc=1\n")
			.c_str());
	}
	void Result(uint64_t number, const char *verdict)
	{
		kf_sim_check_result_line(check,
		    ("request=" + std::to_string(number) +
			" proc=1 verdict=" + verdict + "\n")
			.c_str());
	}
	kf_sim_check_counts_t Counts()
	{
		return kf_sim_check_counts(check);
	}
	void TearDown() override
	{
		kf_sim_check_delete(check);
	}
	kf_sim_check_t *check = kf_sim_check_new();
	const uint64_t lookup = kf_sim_number(1, false, 2, 3);
	const uint64_t order = kf_sim_number(65535, true, 2, 3);
};

/* Guards against a checker that reports allowed outcomes as faults. */
TEST_F(SimCheck, AllowedOutcomesPass)
{
	Result(lookup, "answered");
	Ledger(lookup, 1);
	Ledger(lookup, 1);
	Result(order, "unknown");
	Ledger(order, 65535);
	Result(order + 1, "unknown");
	Result(order + 2, "not_run");
	Ledger(order + 3, 0);
	kf_sim_check_counts_t counts = Counts();
	EXPECT_TRUE(kf_sim_check_passed(&counts));
	EXPECT_EQ(4u, counts.requests);
	EXPECT_EQ(4u, counts.executions);
	EXPECT_EQ(1u, counts.repeated);
	EXPECT_EQ(1u, counts.unreported);
}

/* Guards against a checker that overlooks a broken invariant. */
TEST_F(SimCheck, EachBrokenInvariantFails)
{
	Result(order, "unknown");
	Ledger(order, 65535);
	Ledger(order, 65535);
	EXPECT_EQ(1u, Counts().doubled);
	Ledger(lookup, 2);
	EXPECT_EQ(1u, Counts().misrouted);
	Result(lookup, "not_run");
	EXPECT_EQ(1u, Counts().false_not_run);
	Result(order + 1, "answered");
	EXPECT_EQ(1u, Counts().lost_answered);
	EXPECT_EQ(0u, Counts().malformed);
	Result(lookup, "answered");
	EXPECT_EQ(1u, Counts().malformed);
}

/* Guards against accepting a line cut off when its writer was killed. */
TEST_F(SimCheck, EveryCutLedgerLineIsMalformed)
{
	std::string line = "request=17 upstream=a service=1 proc=1\n";

	for (size_t len = 0; len < line.size(); len++)
		EXPECT_EQ(KF_ERR_INVALID,
		    kf_sim_check_ledger_line(
			check, line.substr(0, len).c_str()))
		    << len;
	EXPECT_EQ(0u, Counts().executions);
	EXPECT_EQ(line.size(), Counts().malformed);
}

/* Guards against a table that loses entries when it grows. */
TEST_F(SimCheck, ManyRequestsAreKept)
{
	for (uint32_t i = 0; i < 20000; i++) {
		Ledger(lookup + i, 1);
		Result(lookup + i, "answered");
	}
	kf_sim_check_counts_t counts = Counts();
	EXPECT_EQ(20000u, counts.requests);
	EXPECT_EQ(0u, counts.lost_answered);
	EXPECT_EQ(0u, counts.unreported);
	EXPECT_EQ(0u, counts.repeated);
}

} // namespace
