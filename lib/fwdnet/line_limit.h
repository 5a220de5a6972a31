#ifndef KF_LINE_LIMIT_H
#define KF_LINE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	line_limit - limits the log lines of one kind
 *
 * DESCRIPTION
 *	At most a number of lines are allowed in each window of time; the others
 *	are counted.  What causes a line may come with every packet or every
 *	second.
 */

typedef struct line_limit {
	uint32_t max_lines; /* in a window */
	int64_t window_ms;
	int64_t begin_ms; /* of the current window */
	uint32_t lines;	  /* in it */
	uint64_t suppressed;
} line_limit_t;

/* Returns true and counts the line if it may be written.  now_ms is of a clock
 * that does not step back. */
bool line_limit_allows(line_limit_t *limit, int64_t now_ms);

/* Returns the number of lines left out since the last call. */
uint64_t line_limit_take_suppressed(line_limit_t *limit);

#endif
