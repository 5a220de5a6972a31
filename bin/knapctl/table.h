#ifndef TABLE_H
#define TABLE_H

#include <stddef.h>

/*
 * NAME
 *	table - prints rows as an aligned table or as key=value lines
 *
 * DESCRIPTION
 *	With FORMAT_KV each row is one line that starts with record=NAME.  A
 *	value that is empty or holds a blank, a tab, a double quote or a
 *	backslash is put in double quotes, and '"' and '\' in it are escaped
 *	by '\'.  A table without rows prints nothing.
 */

typedef enum format {
	FORMAT_TABLE = 0,
	FORMAT_KV,
} format_t;

typedef struct table table_t;

/*
 * Creates an empty table.  columns ends with NULL.  The table keeps both
 * pointers, so record and columns must outlive it.
 */
table_t *table_new(const char *record, const char *const *columns);

/* Adds a cell; cells fill each row from left to right, one for each column. */
void table_add_cell(table_t *table, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Prints the table to stdout and deletes it. */
void table_finish(table_t *table, format_t format);

#endif
