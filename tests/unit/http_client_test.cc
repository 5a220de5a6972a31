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

/* Guards against an answer that is too long and looks like a failed
 * connection, so that it is asked for again and again. */
TEST(HttpClient, AnswerThatIsTooLongIsNamed)
{
	RepeatingServer server;
	bool too_long = false;
	io_loop_t *loop = io_loop_new();
	http_client_t *client = http_client_new(loop, 100);
	const std::string path = "/" + std::string(200, 'x');

	ASSERT_EQ(KF_OK,
	    http_client_get(
		client, server.address, path.c_str(), 5000, 0,
		[](void *ctx, uint32_t, const http_answer_t *answer) {
			EXPECT_STREQ("answer is too long", answer->error);
			*static_cast<bool *>(ctx) = answer->too_long;
		},
		&too_long));
	for (int i = 0; i < 50 && !too_long; i++) {
		io_loop_wait(loop, 100);
		http_client_run(client);
	}
	EXPECT_TRUE(too_long);
	http_client_delete(client);
	io_loop_delete(loop);
}

} // namespace
