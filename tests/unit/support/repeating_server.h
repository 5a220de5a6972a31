#ifndef KF_TEST_REPEATING_SERVER_H
#define KF_TEST_REPEATING_SERVER_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include <string>
#include <thread>
#include <vector>

#include "kf/addr.h"

namespace kf_test {

/*
 * A server that answers "GET PATH" with PATH.  On a connection that is used
 * again it first sends a copy of its previous answer.
 */
class RepeatingServer {
      public:
	RepeatingServer()
	{
		sockaddr_in sin = {};
		socklen_t len = sizeof(sin);

		fd_ = socket(AF_INET, SOCK_STREAM, 0);
		sin.sin_family = AF_INET;
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(0, bind(fd_, (sockaddr *)&sin, sizeof(sin)));
		EXPECT_EQ(0, listen(fd_, 8));
		EXPECT_EQ(0, getsockname(fd_, (sockaddr *)&sin, &len));
		address = { INADDR_LOOPBACK, ntohs(sin.sin_port) };
		acceptor_ = std::thread([this] { Accept(); });
	}
	~RepeatingServer()
	{
		shutdown(fd_, SHUT_RDWR);
		acceptor_.join();
		for (auto &connection : connections_)
			connection.join();
		close(fd_);
	}

	kf_addr_t address;

      private:
	void Accept()
	{
		int fd;

		while ((fd = accept(fd_, nullptr, nullptr)) >= 0)
			connections_.emplace_back([fd] { Serve(fd); });
	}
	static void Serve(int fd)
	{
		std::string request, previous;
		char data[1024];
		ssize_t len;

		while ((len = recv(fd, data, sizeof(data), 0)) > 0) {
			request.append(data, (size_t)len);
			if (request.find("\r\n\r\n") == std::string::npos)
				continue;
			std::string path =
			    request.substr(4, request.find(' ', 4) - 4);
			std::string answer = "HTTP/1.1 200 OK\r\n"
					     "X-Version: 7\r\n"
					     "Content-Length: " +
			    std::to_string(path.size()) + "\r\n\r\n" + path;
			std::string sent = previous + answer;
			send(fd, sent.data(), sent.size(), MSG_NOSIGNAL);
			previous = answer;
			request.clear();
		}
		close(fd);
	}

	int fd_;
	std::thread acceptor_;
	std::vector<std::thread> connections_;
};

} // namespace kf_test

#endif
