#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "support/repeating_server.h"

extern "C" {
#include "kf/http_client.h"
}

namespace {

using namespace kf_test;

void
OnDone(void *ctx, uint32_t, const http_answer_t *answer)
{
	auto *bodies = static_cast<std::vector<std::string> *>(ctx);

	bodies->push_back(answer->error != nullptr
		? answer->error
		: std::string(answer->body, answer->len));
}

/*
 * Guards against a late second copy of an answer of the store or of another VM
 * that is taken as the answer to the next request.
 */
TEST(HttpClient, LateCopyOfAnAnswerIsNotTaken)
{
	RepeatingServer server;
	std::vector<std::string> bodies;
	io_loop_t *loop = io_loop_new();
	http_client_t *client = http_client_new(loop, 4096);

	for (const char *path : { "/1", "/2", "/3" }) {
		size_t count = bodies.size();

		ASSERT_EQ(KF_OK,
		    http_client_get(client, server.address, path, 5000, 0,
			OnDone, &bodies));
		while (bodies.size() == count) {
			io_loop_wait(loop, 100);
			http_client_run(client);
		}
	}
	http_client_delete(client);
	io_loop_delete(loop);
	EXPECT_EQ((std::vector<std::string>{ "/1", "/2", "/3" }), bodies);
}

} // namespace
