#include <gtest/gtest.h>

#include <apr_general.h>
#include <fstream>
#include <sstream>

#include "kf/eventlog.h"

namespace {

/* Guards against a key with a line break that looks like a line of a VM. */
TEST(EventLog, ValuesCannotBeginALine)
{
	const std::string path =
	    ::testing::TempDir() + "eventlog_test." + std::to_string(getpid());
	ASSERT_EQ(APR_SUCCESS, apr_initialize());
	kf_eventlog_t *log = kf_eventlog_new("v1", KF_LOG_INFO, path.c_str());

	ASSERT_NE(nullptr, log);
	kf_eventlog_write(log, KF_LOG_INFO, "item_refused", "key=%s revision=7",
	    "a\nts=1 vm=v1 event=ready\x1b[2J\x7f b\xc3\xa4\xc0\x80");
	kf_eventlog_delete(log);
	std::ifstream in(path);
	std::string line, rest;
	std::getline(in, line);
	EXPECT_FALSE(std::getline(in, rest)) << rest;
	EXPECT_NE(std::string::npos,
	    line.find("event=item_refused key=a?ts=1 vm=v1 event=ready?[2J? "
		      "b\xc3\xa4\xc0\x80 revision=7"))
	    << line;
	remove(path.c_str());
}

} // namespace
