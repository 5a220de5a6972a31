#ifndef KF_TEST_SETTINGS_ERRORS_H
#define KF_TEST_SETTINGS_ERRORS_H

#include <string>

/* Errors of a document, one "file:line: text" a line. */
namespace kf_test {

inline std::string errors;

inline void
OnError(void *, const char *file, int line, const char *text)
{
	errors +=
	    std::string(file) + ":" + std::to_string(line) + ": " + text + "\n";
}

} // namespace kf_test

#endif
