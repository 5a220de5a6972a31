/*
 * NAME
 *	netfault - drops datagrams and refuses connects by address pair
 *
 * DESCRIPTION
 *	Wraps sendto(2), write(2) and connect(2) by the linker option --wrap.
 *	README.md describes the rules file.
 */
#include <sys/socket.h>
#include <sys/stat.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <errno.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum {
	MAX_RULES = 64,
	LINE_BYTES = 256,
	MAX_WORDS = 4,
	CHECK_INTERVAL_MS = 20,
	PER_CENT = 100,
	EXIT_RULES = 3,
	EVENT_BYTES = 128,
};

static const char rules_variable[] = "KF_NETFAULT_RULES";

typedef struct range {
	uint32_t first;
	uint32_t last;
} range_t;

typedef struct rule {
	range_t from;
	range_t to;
	unsigned percent;
	bool cut;
	int line;
	uint64_t matched;
	uint64_t dropped;
	uint64_t refused;
} rule_t;

typedef struct netfault {
	const char *path;
	struct stat stat;
	int64_t checked_ms;
	uint64_t random;
	size_t rule_count;
	rule_t rules[MAX_RULES];
} netfault_t;

/* Guards netfault, as several threads send at the same time. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static netfault_t netfault;

ssize_t __real_sendto(int fd, const void *data, size_t len, int flags,
    const struct sockaddr *to, socklen_t to_len);
ssize_t __real_write(int fd, const void *data, size_t len);
ssize_t __wrap_write(int fd, const void *data, size_t len);
ssize_t __wrap_sendto(int fd, const void *data, size_t len, int flags,
    const struct sockaddr *to, socklen_t to_len);
int __real_connect(int fd, const struct sockaddr *to, socklen_t to_len);
int __wrap_connect(int fd, const struct sockaddr *to, socklen_t to_len);

/* Exits, as a test result without the requested faults is meaningless. */
static _Noreturn void
rules_error(int line, const char *text)
{
	fprintf(stderr, "netfault: %s:%d: %s\n",
	    netfault.path == NULL ? rules_variable : netfault.path, line, text);
	_exit(EXIT_RULES);
}

static int64_t
now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* splitmix64 */
static uint64_t
next_random(void)
{
	uint64_t z = netfault.random += 0x9e3779b97f4a7c15u;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return z ^ (z >> 31);
}

static bool
parse_number(const char *text, uint64_t max, uint64_t *value)
{
	char *end;

	if (*text < '0' || *text > '9')
		return false;
	errno = 0;
	*value = strtoull(text, &end, 10);
	return errno == 0 && *end == '\0' && *value <= max;
}

static bool
parse_range(char *text, range_t *range)
{
	char *dash = strchr(text, '-');
	struct in_addr in;
	uint64_t last;

	if (dash != NULL)
		*dash = '\0';
	if (inet_pton(AF_INET, text, &in) != 1)
		return false;
	range->first = ntohl(in.s_addr);
	range->last = range->first;
	if (dash == NULL)
		return true;
	if (!parse_number(dash + 1, UINT8_MAX, &last) ||
	    last < (range->first & UINT8_MAX))
		return false;
	range->last = (range->first & ~(uint32_t)UINT8_MAX) | (uint32_t)last;
	return true;
}

static void
parse_rule(int line, int words, char **word)
{
	rule_t rule = { .line = line };
	uint64_t percent = PER_CENT;

	rule.cut = strcmp(word[0], "cut") == 0;
	if (!rule.cut && strcmp(word[0], "loss") != 0)
		rules_error(line, "expected seed, cut or loss");
	if (words != (rule.cut ? 3 : 4))
		rules_error(
		    line, "expected cut FROM TO or loss PERCENT FROM TO");
	if (!rule.cut && !parse_number(word[1], PER_CENT, &percent))
		rules_error(line, "PERCENT is not a number from 0 to 100");
	rule.percent = (unsigned)percent;
	if (!parse_range(word[words - 2], &rule.from) ||
	    !parse_range(word[words - 1], &rule.to))
		rules_error(
		    line, "expected FROM and TO as A.B.C.D or A.B.C.D-E");
	if (netfault.rule_count == MAX_RULES)
		rules_error(line, "more than 64 rules");
	netfault.rules[netfault.rule_count++] = rule;
}

static void
parse_line(int line, char *text)
{
	char *word[MAX_WORDS], *next, *rest = NULL;
	int words = 0;

	for (next = strtok_r(text, " \t\n", &rest); next != NULL;
	     next = strtok_r(NULL, " \t\n", &rest)) {
		if (words < MAX_WORDS)
			word[words] = next;
		words++;
	}
	if (words > MAX_WORDS)
		rules_error(line, "more than 4 words");
	if (words == 0)
		return;
	if (strcmp(word[0], "seed") != 0) {
		parse_rule(line, words, word);
		return;
	}
	if (words != 2 || !parse_number(word[1], UINT64_MAX, &netfault.random))
		rules_error(line, "expected seed N");
}

static void
load_rules(void)
{
	char text[LINE_BYTES];
	FILE *file;
	int line = 0;

	file = fopen(netfault.path, "re");
	if (file == NULL || fstat(fileno(file), &netfault.stat) != 0)
		rules_error(0, strerror(errno));
	netfault.rule_count = 0;
	netfault.random = 1;
	while (fgets(text, sizeof(text), file) != NULL) {
		line++;
		if (strchr(text, '\n') == NULL)
			rules_error(line,
			    "line is too long or does not end with a newline");
		if (strchr(text, '#') != NULL)
			*strchr(text, '#') = '\0';
		parse_line(line, text);
	}
	if (ferror(file))
		rules_error(line, "read error");
	fclose(file);
}

/* One write(2) a line, so that other writers of the log cannot split it. */
static void
report_rules(void)
{
	char event[EVENT_BYTES];
	size_t i;
	int len;

	for (i = 0; i < netfault.rule_count; i++) {
		const rule_t *rule = &netfault.rules[i];

		len = snprintf(event, sizeof(event),
		    "event=netfault rule=%d matched=%llu dropped=%llu "
		    "refused=%llu\n",
		    rule->line, (unsigned long long)rule->matched,
		    (unsigned long long)rule->dropped,
		    (unsigned long long)rule->refused);
		if (__real_write(STDERR_FILENO, event, (size_t)len) != len)
			_exit(EXIT_RULES);
	}
}

static bool
stat_differs(const struct stat *a, const struct stat *b)
{
	return a->st_ino != b->st_ino || a->st_size != b->st_size ||
	    a->st_mtim.tv_sec != b->st_mtim.tv_sec ||
	    a->st_mtim.tv_nsec != b->st_mtim.tv_nsec;
}

static void
reload_rules(void)
{
	int64_t now = now_ms();
	struct stat current;

	if (now - netfault.checked_ms < CHECK_INTERVAL_MS)
		return;
	netfault.checked_ms = now;
	if (stat(netfault.path, &current) != 0)
		rules_error(0, strerror(errno));
	if (!stat_differs(&current, &netfault.stat))
		return;
	report_rules();
	load_rules();
}

__attribute__((constructor)) static void
netfault_start(void)
{
	netfault.path = getenv(rules_variable);
	if (netfault.path == NULL)
		rules_error(0, "environment variable is not set");
	load_rules();
}

__attribute__((destructor)) static void
netfault_end(void)
{
	pthread_mutex_lock(&lock);
	report_rules();
	pthread_mutex_unlock(&lock);
}

static bool
range_contains(const range_t *range, const struct sockaddr_in *sin)
{
	uint32_t ip = ntohl(sin->sin_addr.s_addr);

	return ip >= range->first && ip <= range->last;
}

/* Returns the first rule that matches and counts the match, or NULL. */
static rule_t *
find_rule(int fd, const struct sockaddr *to)
{
	const struct sockaddr_in *to_sin = (const struct sockaddr_in *)to;
	struct sockaddr_in from = { 0 };
	socklen_t from_len = sizeof(from);
	size_t i;

	if (to == NULL || to->sa_family != AF_INET ||
	    getsockname(fd, (struct sockaddr *)&from, &from_len) != 0)
		return NULL;
	for (i = 0; i < netfault.rule_count; i++) {
		rule_t *rule = &netfault.rules[i];

		if (!range_contains(&rule->from, &from) ||
		    !range_contains(&rule->to, to_sin))
			continue;
		rule->matched++;
		return rule;
	}
	return NULL;
}

static bool
socket_has_type(int fd, int wanted)
{
	socklen_t len = sizeof(int);
	int type = 0;

	return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &len) == 0 &&
	    type == wanted;
}

static bool
should_drop(int fd, const struct sockaddr *to)
{
	rule_t *rule;
	bool lost = false;

	pthread_mutex_lock(&lock);
	reload_rules();
	rule = find_rule(fd, to);
	if (rule != NULL)
		lost = rule->cut || next_random() % PER_CENT < rule->percent;
	if (lost)
		rule->dropped++;
	pthread_mutex_unlock(&lock);
	return lost;
}

/* knapweedd sends to upstreams by write(2) on connected UDP sockets. */
static bool
should_drop_write(int fd)
{
	struct sockaddr_in to = { 0 };
	socklen_t len = sizeof(to);

	return socket_has_type(fd, SOCK_DGRAM) &&
	    getpeername(fd, (struct sockaddr *)&to, &len) == 0 &&
	    should_drop(fd, (struct sockaddr *)&to);
}

static bool
should_refuse(int fd, const struct sockaddr *to)
{
	rule_t *rule;
	bool refused;

	/* Connecting a UDP socket sends nothing. */
	if (!socket_has_type(fd, SOCK_STREAM))
		return false;
	pthread_mutex_lock(&lock);
	reload_rules();
	rule = find_rule(fd, to);
	refused = rule != NULL && rule->cut;
	if (refused)
		rule->refused++;
	pthread_mutex_unlock(&lock);
	return refused;
}

ssize_t
__wrap_sendto(int fd, const void *data, size_t len, int flags,
    const struct sockaddr *to, socklen_t to_len)
{
	int error = errno;

	if (should_drop(fd, to))
		return (ssize_t)len;
	errno = error;
	return __real_sendto(fd, data, len, flags, to, to_len);
}

ssize_t
__wrap_write(int fd, const void *data, size_t len)
{
	int error = errno;

	if (should_drop_write(fd))
		return (ssize_t)len;
	errno = error;
	return __real_write(fd, data, len);
}

int
__wrap_connect(int fd, const struct sockaddr *to, socklen_t to_len)
{
	int error = errno;

	if (should_refuse(fd, to)) {
		errno = ENETUNREACH;
		return -1;
	}
	errno = error;
	return __real_connect(fd, to, to_len);
}
