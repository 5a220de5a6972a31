#ifndef KF_TEST_SETTINGS_ERRORS_H
#define KF_TEST_SETTINGS_ERRORS_H

#include <string>

/* Collects the errors of a document, each as a line "file:line: text". */
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
