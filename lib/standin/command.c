#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "kf/standin.h"

struct kf_sim_control {
	kf_sim_loop_t *loop;
	const kf_sim_command_t *table;
	void *ctx;
	int fd;
};

static int
command_split(char *line, char **argv)
{
	char *save = NULL;
	char *word;
	int argc = 0;

	for (word = strtok_r(line, " \t\r\n", &save); word != NULL;
	     word = strtok_r(NULL, " \t\r\n", &save)) {
		if (argc == KF_SIM_MAX_ARGS)
			return -1;
		argv[argc++] = word;
	}
	return argc;
}

static kf_status_t
command_dispatch(
    const kf_sim_command_t *table, void *ctx, int argc, char **argv, FILE *out)
{
	const kf_sim_command_t *command;

	if (argc <= 0)
		return kf_status_set(KF_ERR_INVALID, "malformed command");
	for (command = table; command->name != NULL; command++)
		if (strcmp(command->name, argv[0]) == 0)
			break;
	if (command->name == NULL)
		return kf_status_set(
		    KF_ERR_NOT_FOUND, "unknown command '%s'", argv[0]);
	if (argc - 1 < command->min_args || argc - 1 > command->max_args)
		return kf_status_set(KF_ERR_INVALID, "usage: %s %s",
		    command->name, command->usage);
	return command->run(ctx, argc, argv, out);
}

void
kf_sim_command_run(const kf_sim_command_t *table, void *ctx, const char *line,
    char *answer, size_t cap)
{
	char copy[KF_SIM_COMMAND_BYTES];
	char *argv[KF_SIM_MAX_ARGS];
	kf_status_t status;
	char *pairs = NULL;
	size_t len = 0;
	FILE *out;

	out = open_memstream(&pairs, &len);
	if (out == NULL) {
		snprintf(answer, cap, "status=no_memory\n");
		return;
	}
	snprintf(copy, sizeof(copy), "%s", line);
	status =
	    command_dispatch(table, ctx, command_split(copy, argv), argv, out);
	fclose(out);
	if (status == KF_OK)
		snprintf(answer, cap, "status=ok%s%s\n", len > 0 ? " " : "",
		    len > 0 ? pairs : "");
	else
		snprintf(answer, cap, "status=%s message=\"%s\"\n",
		    kf_status_name(status), kf_status_message());
	free(pairs);
}

static void
control_on_datagram(void *ctx)
{
	kf_sim_control_t *control = ctx;
	char line[KF_SIM_COMMAND_BYTES];
	static char answer[KF_SIM_DATAGRAM_BYTES / 2];
	kf_addr_t src;
	ssize_t n;

	while ((n = kf_sim_udp_recv(control->fd, &src, (uint8_t *)line,
		    sizeof(line) - 1)) >= 0) {
		line[n] = '\0';
		kf_sim_command_run(
		    control->table, control->ctx, line, answer, sizeof(answer));
		printf("event=command %s", answer);
		kf_sim_udp_send(
		    control->fd, src, (uint8_t *)answer, strlen(answer));
	}
}

kf_sim_control_t *
kf_sim_control_new(kf_sim_loop_t *loop, kf_addr_t addr,
    const kf_sim_command_t *table, void *ctx)
{
	kf_sim_control_t *control;

	control = calloc(1, sizeof(*control));
	if (control == NULL) {
		kf_status_set(KF_ERR_NO_MEMORY, "no memory");
		return NULL;
	}
	control->loop = loop;
	control->table = table;
	control->ctx = ctx;
	if (kf_sim_udp_open(addr, &control->fd) != KF_OK ||
	    kf_sim_loop_add(loop, control->fd, control_on_datagram, control) !=
		KF_OK) {
		kf_sim_control_delete(control);
		return NULL;
	}
	return control;
}

void
kf_sim_control_delete(kf_sim_control_t *control)
{
	if (control == NULL)
		return;
	if (control->fd >= 0) {
		kf_sim_loop_remove(control->loop, control->fd);
		close(control->fd);
	}
	free(control);
}

kf_status_t
kf_sim_parse_probability(const char *text, double *value)
{
	char *end;
	double v;

	v = strtod(text, &end);
	if (end == text || *end != '\0' || !(v >= 0 && v <= 1))
		return kf_status_set(KF_ERR_INVALID,
		    "'%s' is not a probability from 0 to 1", text);
	*value = v;
	return KF_OK;
}

static kf_status_t
parse_digits(const char *text, uint64_t max, uint64_t *value, const char **end)
{
	uint64_t v = 0;
	const char *p;

	for (p = text; *p >= '0' && *p <= '9' && v <= max; p++)
		v = v * 10 + (uint64_t)(*p - '0');
	*end = p;
	if (p == text || v > max || p - text > 19)
		return kf_status_set(KF_ERR_INVALID,
		    "'%s' is not a number from 0 to %llu", text,
		    (unsigned long long)max);
	*value = v;
	return KF_OK;
}

kf_status_t
kf_sim_parse_u64(const char *text, uint64_t max, uint64_t *value)
{
	const char *end;
	kf_status_t status;
	uint64_t v = 0;

	status = parse_digits(text, max, &v, &end);
	if (status != KF_OK)
		return status;
	if (*end != '\0')
		return kf_status_set(
		    KF_ERR_INVALID, "'%s' is not a number", text);
	*value = v;
	return KF_OK;
}

kf_status_t
kf_sim_parse_range(
    const char *text, uint64_t max, uint64_t *low, uint64_t *high)
{
	const char *end;
	kf_status_t status;
	uint64_t a = 0;
	uint64_t b;

	status = parse_digits(text, max, &a, &end);
	if (status != KF_OK)
		return status;
	b = a;
	if (*end == '-')
		status = kf_sim_parse_u64(end + 1, max, &b);
	else if (*end != '\0')
		status = KF_ERR_INVALID;
	if (status != KF_OK || b < a)
		return kf_status_set(
		    KF_ERR_INVALID, "'%s' is not a range MIN-MAX", text);
	*low = a;
	*high = b;
	return KF_OK;
}

error_t
kf_sim_argp_result(struct argp_state *state, kf_status_t status)
{
	if (status == KF_ERR_UNSUPPORTED)
		return ARGP_ERR_UNKNOWN;
	if (status != KF_OK)
		argp_error(state, "%s", kf_status_message());
	return 0;
}
