#include <ctype.h>
#include <err.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "table.h"

enum { INITIAL_CAPACITY_CELLS = 64 };

struct table {
	const char *record;
	const char *const *columns;
	size_t column_count;
	size_t count;
	size_t capacity;
	char **cells;
};

table_t *
table_new(const char *record, const char *const *columns)
{
	table_t *table;

	table = calloc(1, sizeof(*table));
	if (table == NULL)
		err(1, NULL);
	table->record = record;
	table->columns = columns;
	while (columns[table->column_count] != NULL)
		table->column_count++;
	return table;
}

static void
table_delete(table_t *table)
{
	size_t i;

	for (i = 0; i < table->count; i++)
		free(table->cells[i]);
	free(table->cells);
	free(table);
}

static void
table_reserve(table_t *table)
{
	if (table->count < table->capacity)
		return;
	table->capacity =
	    table->capacity == 0 ? INITIAL_CAPACITY_CELLS : 2 * table->capacity;
	table->cells =
	    reallocarray(table->cells, table->capacity, sizeof(*table->cells));
	if (table->cells == NULL)
		err(1, NULL);
}

void
table_add_cell(table_t *table, const char *fmt, ...)
{
	va_list ap;

	table_reserve(table);
	va_start(ap, fmt);
	if (vasprintf(&table->cells[table->count], fmt, ap) < 0)
		err(1, NULL);
	va_end(ap);
	table->count++;
}

static size_t
column_width(const table_t *table, size_t column)
{
	size_t i, len, width = strlen(table->columns[column]);

	for (i = column; i < table->count; i += table->column_count) {
		len = strlen(table->cells[i]);
		if (len > width)
			width = len;
	}
	return width;
}

/* Prints a column name as a title: in capitals, with blanks instead of '_'. */
static void
print_title(const char *column, int width)
{
	for (; *column != '\0'; column++, width--)
		putchar(*column == '_' ? ' ' : toupper((unsigned char)*column));
	if (width > 0)
		printf("%*s", width, "");
}

static void
print_titles(const table_t *table, const int *widths)
{
	size_t i;

	for (i = 0; i < table->column_count; i++) {
		if (i > 0)
			printf("  ");
		print_title(table->columns[i],
		    i + 1 < table->column_count ? widths[i] : 0);
	}
	putchar('\n');
}

static void
print_row(const table_t *table, char *const *cells, const int *widths)
{
	size_t i, count = table->column_count;

	while (count > 0 && *cells[count - 1] == '\0')
		count--;
	for (i = 0; i + 1 < count; i++)
		printf("%-*s  ", widths[i], cells[i]);
	printf("%s\n", count > 0 ? cells[count - 1] : "");
}

static void
print_aligned(const table_t *table)
{
	int *widths;
	size_t i;

	widths = calloc(table->column_count, sizeof(*widths));
	if (widths == NULL)
		err(1, NULL);
	for (i = 0; i < table->column_count; i++)
		widths[i] = (int)column_width(table, i);
	print_titles(table, widths);
	for (i = 0; i < table->count; i += table->column_count)
		print_row(table, &table->cells[i], widths);
	putchar('\n');
	free(widths);
}

static void
print_value(const char *value)
{
	if (*value != '\0' && strpbrk(value, " \t\"\\") == NULL) {
		fputs(value, stdout);
		return;
	}
	putchar('"');
	for (; *value != '\0'; value++) {
		if (*value == '"' || *value == '\\')
			putchar('\\');
		putchar(*value);
	}
	putchar('"');
}

static void
print_kv(const table_t *table)
{
	size_t i, column;

	for (i = 0; i < table->count; i++) {
		column = i % table->column_count;
		if (column == 0)
			printf("record=%s", table->record);
		printf(" %s=", table->columns[column]);
		print_value(table->cells[i]);
		if (column + 1 == table->column_count)
			putchar('\n');
	}
}

void
table_finish(table_t *table, format_t format)
{
	if (table->count > 0 && format == FORMAT_TABLE)
		print_aligned(table);
	else if (table->count > 0)
		print_kv(table);
	table_delete(table);
}
