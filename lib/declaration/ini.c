#include <ini.h>

#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "kf/ini.h"

typedef struct source {
	const char *p;
	const char *end;
	const kf_ini_handler_t *handler;
	void *ctx;
	int line;
	bool expects_pair; /* the current line must be a pair */
} source_t;

static pthread_once_t configured = PTHREAD_ONCE_INIT;

/* The default line limit of libinih, 200 bytes, is too low for label lists. */
static void
configure_inih(void)
{
	ini_use_stack = false;
	ini_initial_alloc = KF_INI_LINE_BYTES;
	ini_max_line = KF_INI_LINE_BYTES;
}

/* Reports the current line if libinih did not recognize it as a pair. */
static void
source_report_unparsed(source_t *s)
{
	if (s->expects_pair)
		s->handler->malformed(
		    s->ctx, "line is not 'key = value'", s->line);
	s->expects_pair = false;
}

/* Skips leading blanks; returns the length without trailing ones and CR. */
static size_t
source_trim(const char **line, size_t len)
{
	while (len > 0 && strchr(" \t", **line) != NULL && **line != '\0') {
		(*line)++;
		len--;
	}
	while (len > 0 && (*line)[len - 1] != '\0' &&
	    strchr(" \t\r", (*line)[len - 1]) != NULL)
		len--;
	return len;
}

static void
source_pass_section(source_t *s, char *header)
{
	char *close, *name;

	close = strchr(header, ']');
	if (close == NULL) {
		s->handler->malformed(
		    s->ctx, "section header has no ']'", s->line);
		return;
	}
	*close = '\0';
	close += 1 + strspn(close + 1, " \t");
	if (*close != '\0' && *close != ';' && *close != '#')
		s->handler->malformed(
		    s->ctx, "text after a section header", s->line);
	header += strspn(header, " \t");
	name = header + strcspn(header, " \t");
	if (*name != '\0')
		*name++ = '\0';
	name += strspn(name, " \t");
	name[strcspn(name, " \t")] = '\0';
	s->handler->section(s->ctx, header, name, s->line);
}

/* Handles section headers and NUL bytes; returns false to hide the line. */
static bool
source_check_line(source_t *s, char *buf, size_t len)
{
	if (memchr(buf, '\0', len) != NULL) {
		s->handler->malformed(s->ctx, "line holds a NUL byte", s->line);
		return false;
	}
	if (buf[0] == '[') {
		source_pass_section(s, buf + 1);
		return false;
	}
	s->expects_pair = len > 0 && buf[0] != ';' && buf[0] != '#';
	return true;
}

/* Passes one line at a time to libinih; replaces fgets. */
static char *
source_read_line(char *buf, int size, void *stream)
{
	source_t *s = stream;
	const char *line, *eol;
	size_t len;

	source_report_unparsed(s);
	if (s->p == s->end)
		return NULL;
	line = s->p;
	eol = memchr(line, '\n', (size_t)(s->end - line));
	s->p = eol != NULL ? eol + 1 : s->end;
	s->line++;
	len = source_trim(&line, (size_t)((eol != NULL ? eol : s->end) - line));
	if (len >= (size_t)size) {
		s->handler->malformed(s->ctx, "line is too long", s->line);
		len = 0;
	}
	memcpy(buf, line, len);
	buf[len] = '\0';
	if (!source_check_line(s, buf, len))
		buf[0] = '\0';
	return buf;
}

static int
source_on_pair(
    void *ctx, const char *section, const char *key, const char *value)
{
	source_t *s = ctx;

	(void)section;
	s->expects_pair = false;
	s->handler->pair(s->ctx, key, value, s->line);
	return 1;
}

void
kf_ini_parse(
    const char *text, size_t len, const kf_ini_handler_t *handler, void *ctx)
{
	static const char bom[] = "\xef\xbb\xbf";
	source_t s = {
		.p = text,
		.end = text + len,
		.handler = handler,
		.ctx = ctx,
	};

	pthread_once(&configured, configure_inih);
	if (len >= 3 && memcmp(text, bom, 3) == 0)
		s.p += 3;
	if (ini_parse_stream(source_read_line, &s, source_on_pair, &s) == -2)
		handler->malformed(ctx, "out of memory", 0);
	source_report_unparsed(&s);
}
