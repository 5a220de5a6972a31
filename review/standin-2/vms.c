/*
 * The forwarders, as processes, and the routers in front of them.
 */
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "world.h"

enum {
	DATAGRAM_PORT = 8172,
	READY_PORT = 8167,
	STORE_PORT = 8169,
	PEER_PORT = 7720,
	STORE_HOST = 100,
	CHECK_MS = 500,
	MISSES = 2,
	MAX_WORDS = 32,
	TEXT_BYTES = 8192,
	VALUE_BYTES = 256,
};

vm_t vms[MAX_VMS];
int vm_count;

static int64_t next_check_ms;
static char work_dir[] = "/tmp/review-2.XXXXXX";
static bool has_work_dir;

void
vm_add(const char *zone)
{
	vm_t *vm = &vms[vm_count];

	if (vm_count == MAX_VMS)
		cannot_run("too many VMs");
	if (!has_work_dir && mkdtemp(work_dir) == NULL)
		cannot_run("cannot create a temporary folder");
	has_work_dir = true;
	*vm = (vm_t){ .host = 1 + vm_count, .check_fd = -1 };
	snprintf(vm->zone, sizeof(vm->zone), "%s", zone);
	vm_count++;
}

/* The platform's value of a placeholder. */
static void
placeholder(const vm_t *vm, const char *name, char value[VALUE_BYTES])
{
	int i;

	value[0] = '\0';
	if (strcmp(name, "NodeName") == 0)
		snprintf(value, VALUE_BYTES, "front-%s-%d", vm->zone, vm->host);
	else if (strcmp(name, "Zone") == 0)
		snprintf(value, VALUE_BYTES, "%s", vm->zone);
	else if (strcmp(name, "Ip") == 0)
		snprintf(value, VALUE_BYTES, "%s", ip_text(vm->host));
	else if (strcmp(name, "Listen.DatagramAddr") == 0)
		snprintf(value, VALUE_BYTES, "%s:%d", ip_text(vm->host),
		    DATAGRAM_PORT);
	else if (strcmp(name, "Listen.Ready") == 0)
		snprintf(
		    value, VALUE_BYTES, "%s:%d", ip_text(vm->host), READY_PORT);
	else if (strcmp(name, "InternalPortRange.0") == 0)
		snprintf(value, VALUE_BYTES, "%d", PEER_PORT);
	else if (strcmp(name, "platform.Address") == 0)
		snprintf(value, VALUE_BYTES, "%s:%d", ip_text(STORE_HOST),
		    STORE_PORT);
	else if (strcmp(name, "Seeds") == 0)
		for (i = 0; i < 3 && i < vm_count; i++)
			snprintf(value + strlen(value),
			    VALUE_BYTES - strlen(value), "%s%s:8166",
			    i > 0 ? "," : "", ip_text(vms[i].host));
	else if (strcmp(name, "Bounds.GraceS") == 0)
		snprintf(value, VALUE_BYTES, "%d", bounds.grace_s);
	else if (strcmp(name, "Bounds.DrainMs") == 0)
		snprintf(value, VALUE_BYTES, "%d", bounds.drain_ms);
	else if (strcmp(name, "Bounds.ApplyMs") == 0)
		snprintf(value, VALUE_BYTES, "%d", bounds.apply_ms);
	else if (strcmp(name, "Bounds.EvacuateMs") == 0) {
		if (bounds.evacuate_ms > 0)
			snprintf(value, VALUE_BYTES, "%d", bounds.evacuate_ms);
	} else if (strcmp(name, "Bounds.ColdExcess") == 0) {
		if (bounds.cold_excess > 0)
			snprintf(value, VALUE_BYTES, "%g", bounds.cold_excess);
	} else if (strcmp(name, "Bounds.ColdSlack") == 0) {
		if (bounds.cold_slack > 0)
			snprintf(value, VALUE_BYTES, "%g", bounds.cold_slack);
	} else
		cannot_run("placeholder {{%s}} is not known", name);
}

/* Fills in the placeholders of a text. */
static void
render(const vm_t *vm, const char *from, char to[TEXT_BYTES])
{
	char name[64], value[VALUE_BYTES];
	const char *open, *close_at;
	size_t used = 0;

	to[0] = '\0';
	while ((open = strstr(from, "{{")) != NULL &&
	    (close_at = strstr(open, "}}")) != NULL) {
		snprintf(name, sizeof(name), "%.*s", (int)(close_at - open - 2),
		    open + 2);
		placeholder(vm, name, value);
		used += (size_t)snprintf(to + used, TEXT_BYTES - used, "%.*s%s",
		    (int)(open - from), from, value);
		if (used >= TEXT_BYTES)
			cannot_run("settings are too long");
		from = close_at + 2;
	}
	snprintf(to + used, TEXT_BYTES - used, "%s", from);
}

static void
read_file(const char *path, char text[TEXT_BYTES])
{
	FILE *file = fopen(path, "r");
	size_t len;

	if (file == NULL)
		cannot_run("cannot read %s", path);
	len = fread(text, 1, TEXT_BYTES - 1, file);
	text[len] = '\0';
	fclose(file);
}

/* Copies the string of a key of the deploy file's only role. */
static void
deploy_string(const char *key, char text[TEXT_BYTES])
{
	char deploy[TEXT_BYTES], prefix[64], *at, *end;

	read_file("deploy/system.toml", deploy);
	snprintf(prefix, sizeof(prefix), "\n%s = \"", key);
	at = strstr(deploy, prefix);
	end = at == NULL ? NULL : strchr(at + strlen(prefix), '"');
	if (end == NULL)
		cannot_run("deploy/system.toml has no %s", key);
	snprintf(text, TEXT_BYTES, "%.*s", (int)(end - at - strlen(prefix)),
	    at + strlen(prefix));
}

/* Writes the settings file of a VM; returns its path. */
static const char *
write_settings(const vm_t *vm)
{
	static char path[128];
	char template_path[TEXT_BYTES], template_text[TEXT_BYTES];
	char text[TEXT_BYTES];
	FILE *file;

	deploy_string("template", template_path);
	read_file(template_path, template_text);
	render(vm, template_text, text);
	snprintf(path, sizeof(path), "%s/node-%d.conf", work_dir, vm->host);
	file = fopen(path, "w");
	if (file == NULL)
		cannot_run("cannot write %s", path);
	fputs(text, file);
	fclose(file);
	return path;
}

static int
open_log(const vm_t *vm)
{
	char path[128];

	snprintf(path, sizeof(path), "%s/vm-%d.log", work_dir, vm->host);
	return open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

void
vm_start(int i)
{
	char run[TEXT_BYTES], words[TEXT_BYTES], *argv[MAX_WORDS + 1];
	char *word, *rest = words;
	vm_t *vm = &vms[i];
	const char *settings = write_settings(vm);
	int count = 0, log = open_log(vm);
	pid_t pid;

	deploy_string("run", run);
	render(vm, run, words);
	while ((word = strsep(&rest, " ")) != NULL && count < MAX_WORDS) {
		if (strcmp(word, "/etc/knapweedfield/node.conf") == 0)
			word = (char *)(uintptr_t)settings;
		argv[count++] = word;
	}
	argv[count] = NULL;
	pid = fork();
	if (pid < 0)
		cannot_run("cannot fork");
	if (pid == 0) {
		dup2(log, STDOUT_FILENO);
		dup2(log, STDERR_FILENO);
		execv(argv[0], argv);
		_exit(127);
	}
	close(log);
	vm->pid = pid;
	vm->starts++;
	record("vm start host=%d zone=%s", vm->host, vm->zone);
}

void
vm_kill(int i, int sig)
{
	if (vms[i].pid == 0)
		return;
	record("vm signal host=%d signal=%d", vms[i].host, sig);
	kill(vms[i].pid, sig);
	if (sig == SIGKILL) {
		waitpid(vms[i].pid, NULL, 0);
		vms[i].pid = 0;
	}
}

void
vms_start_all(void)
{
	int i, in_rotation = 0;
	int64_t until_ms = now_ms() + 10000;

	for (i = 0; i < vm_count; i++)
		vm_start(i);
	while (in_rotation < vm_count) {
		if (now_ms() > until_ms)
			cannot_run("the VMs are not ready after 10 s");
		run_for(50);
		for (in_rotation = 0, i = 0; i < vm_count; i++)
			in_rotation += vms[i].in_rotation;
	}
}

static void
end_check(vm_t *vm, bool ready)
{
	if (vm->check_fd >= 0) {
		unwatch(vm->check_fd);
		close(vm->check_fd);
		vm->check_fd = -1;
	}
	vm->misses = ready ? 0 : vm->misses + 1;
	if (ready || vm->misses >= MISSES) {
		if (vm->in_rotation != ready)
			record(
			    "router host=%d in_rotation=%d", vm->host, ready);
		vm->in_rotation = ready;
	}
}

static void
on_check_answer(void *ctx, int fd)
{
	char answer[256];
	ssize_t n = recv(fd, answer, sizeof(answer) - 1, MSG_DONTWAIT);

	answer[n > 0 ? n : 0] = '\0';
	end_check(ctx, strncmp(answer, "HTTP/1.1 200", 12) == 0);
}

static void
begin_check(vm_t *vm)
{
	static const char request[] =
	    "GET /knapweedfield/readiness HTTP/1.1\r\nHost: vm\r\n"
	    "Connection: close\r\n\r\n";
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons(READY_PORT),
		.sin_addr.s_addr = htonl(ip_number(vm->host)),
	};

	if (vm->check_fd >= 0) { /* no answer for CHECK_MS */
		end_check(vm, false);
		return;
	}
	/* On loopback, connect ends at once. */
	vm->check_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (vm->check_fd < 0 ||
	    connect(vm->check_fd, (struct sockaddr *)&to, sizeof(to)) < 0 ||
	    send(vm->check_fd, request, sizeof(request) - 1, MSG_NOSIGNAL) <
		0) {
		if (vm->check_fd >= 0)
			close(vm->check_fd);
		vm->check_fd = -1;
		end_check(vm, false);
		return;
	}
	watch(vm->check_fd, on_check_answer, vm);
}

void
vms_tick(void)
{
	int i, status;

	for (i = 0; i < vm_count; i++)
		if (vms[i].pid != 0 &&
		    waitpid(vms[i].pid, &status, WNOHANG) == vms[i].pid) {
			record(
			    "vm ended host=%d status=%d", vms[i].host, status);
			vms[i].pid = 0;
		}
	if (now_ms() < next_check_ms)
		return;
	next_check_ms = now_ms() + CHECK_MS;
	for (i = 0; i < vm_count; i++)
		begin_check(&vms[i]);
}

const vm_t *
router_pick(const char *zone, uint32_t hash)
{
	const vm_t *ready[MAX_VMS], *all[MAX_VMS], *elsewhere[MAX_VMS];
	uint32_t ready_count = 0, count = 0, elsewhere_count = 0;
	int i;

	for (i = 0; i < vm_count; i++) {
		if (strcmp(vms[i].zone, zone) != 0) {
			if (vms[i].in_rotation)
				elsewhere[elsewhere_count++] = &vms[i];
			continue;
		}
		all[count++] = &vms[i];
		if (vms[i].in_rotation)
			ready[ready_count++] = &vms[i];
	}
	if (ready_count == 0 && elsewhere_count > 0)
		return elsewhere[hash % elsewhere_count];
	if (count == 0)
		return NULL;
	return ready_count * 2 < count ? all[hash % count]
				       : ready[hash % ready_count];
}

/* Ends all VMs.  Their logs remain if REVIEW_KEEP is set. */
void
vms_end(void)
{
	char command[256];
	int i;

	for (i = 0; i < vm_count; i++)
		if (vms[i].pid != 0) {
			kill(vms[i].pid, SIGCONT);
			kill(vms[i].pid, SIGKILL);
			waitpid(vms[i].pid, NULL, 0);
			vms[i].pid = 0;
		}
	if (!has_work_dir)
		return;
	if (getenv("REVIEW_KEEP") != NULL) {
		fprintf(stderr, "logs: %s\n", work_dir);
		return;
	}
	for (i = 0; i < vm_count; i++) {
		snprintf(command, sizeof(command), "%s/node-%d.conf", work_dir,
		    vms[i].host);
		unlink(command);
		snprintf(command, sizeof(command), "%s/vm-%d.log", work_dir,
		    vms[i].host);
		unlink(command);
	}
	rmdir(work_dir);
}
