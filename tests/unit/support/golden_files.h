#ifndef KF_TEST_GOLDEN_FILES_H
#define KF_TEST_GOLDEN_FILES_H

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

/*
 * Runs sessions of commands and compares their output with the files under
 * tests/golden.  A line that starts with "> " is a command and is followed by
 * its output.  If KF_GOLDEN_UPDATE is set, the files are rewritten instead.
 */
namespace kf_test {

inline std::filesystem::path
GoldenDir(const std::string &name)
{
	return std::filesystem::path(__FILE__).parent_path() / ".." / ".." /
	    "golden" / name;
}

/* Returns the names of the session files, without suffix. */
inline std::vector<std::string>
GoldenSessions(const std::string &name)
{
	std::vector<std::string> names;

	for (const auto &entry :
	    std::filesystem::directory_iterator(GoldenDir(name)))
		if (entry.path().extension() == ".txt")
			names.push_back(entry.path().stem().string());
	std::sort(names.begin(), names.end());
	return names;
}

/* Runs the commands of a session; returns the session with their output. */
inline std::string
RunGoldenSession(const std::string &script,
    const std::function<std::string(const std::string &)> &command)
{
	std::istringstream in(script);
	std::string line, out;

	while (std::getline(in, line)) {
		if (line.rfind("# ", 0) == 0 || line.empty())
			out += line + "\n";
		if (line.rfind("> ", 0) != 0)
			continue;
		out += line + "\n" + command(line.substr(2));
	}
	return out;
}

/* Compares a session file with the output of its commands, which it returns. */
inline std::string
GoldenCheck(const std::string &name, const std::string &session,
    const std::function<std::string(const std::string &)> &command)
{
	std::filesystem::path path = GoldenDir(name) / (session + ".txt");
	std::ostringstream expected;
	std::string got;

	expected << std::ifstream(path).rdbuf();
	got = RunGoldenSession(expected.str(), command);
	if (getenv("KF_GOLDEN_UPDATE") != nullptr)
		std::ofstream(path) << got;
	else
		EXPECT_EQ(expected.str(), got);
	return got;
}

} // namespace kf_test

#endif
