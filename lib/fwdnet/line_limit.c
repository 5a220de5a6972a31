#include "line_limit.h"

bool
line_limit_allows(line_limit_t *l, int64_t now_ms)
{
	if (now_ms - l->begin_ms >= l->window_ms) {
		l->begin_ms = now_ms;
		l->lines = 0;
	}
	if (l->lines >= l->max_lines) {
		l->suppressed++;
		return false;
	}
	l->lines++;
	return true;
}

uint64_t
line_limit_take_suppressed(line_limit_t *l)
{
	uint64_t suppressed = l->suppressed;

	l->suppressed = 0;
	return suppressed;
}
