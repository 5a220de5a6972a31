#include <apr_general.h>
#include <poll.h>

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "support/repeating_server.h"

extern "C" {
#include "../../lib/net/fetch.h"
}

namespace {

using namespace kf_test;

/* Waits for the next result and returns its text. */
std::string
TakeText(fetch_t *fetch)
{
	fetch_result_t *result;

	while ((result = fetch_take(fetch)) == nullptr) {
		struct pollfd fd = { fetch_wake_fd(fetch), POLLIN, 0 };

		poll(&fd, 1, 100);
	}
	std::string text(result->text == nullptr ? "" : result->text);
	fetch_result_delete(result);
	return text;
}

/*
 * Guards against a late second copy of a document of the platform that is taken
 * as the answer to the request for another one.
 */
TEST(Fetch, LateCopyOfADocumentIsNotTaken)
{
	ASSERT_EQ(APR_SUCCESS, apr_initialize());
	RepeatingServer server;
	std::string url =
	    "http://127.0.0.1:" + std::to_string(server.address.port);
	fetch_t *fetch = fetch_new(url.c_str(), INADDR_LOOPBACK);

	fetch_platform(fetch, KF_DOC_DECLARATION, 5, 0);
	std::string declaration = TakeText(fetch);
	fetch_platform(fetch, KF_DOC_KEYS, 5, 0);
	std::string keys = TakeText(fetch);
	fetch_delete(fetch);
	EXPECT_NE(std::string::npos, declaration.find("/declaration?"));
	EXPECT_NE(std::string::npos, keys.find("/keys?"));
}

} // namespace
