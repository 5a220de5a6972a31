#ifndef TABLE_H
#define TABLE_H

#include <stddef.h>

/*
 * NAME
 *	table - rows of text, aligned for people or as key=value lines
 *
 * DESCRIPTION
 *	With FORMAT_KV each row is one line that starts with record=NAME.  A
 *	value that is empty or holds a blank or a quote stands in quotes,
 *	with '"' and '\' escaped by '\'.
 */

typedef enum format {
	FORMAT_HUMAN = 0,
	FORMAT_KV,
} format_t;

typedef struct table table_t;

/* columns ends with NULL; both strings are kept by reference. */
table_t *table_new(const char *record, const char *const *columns);

/* Adds the next cell; cells fill rows from left to right. */
void table_cell(table_t *table, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Prints to stdout and deletes the table. */
void table_finish(table_t *table, format_t format);

#endif
