#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#include "kf/control_client.h"

static kf_status_t
connect_error(int fd, kf_addr_t server, int error)
{
	char text[KF_ADDR_TEXT_BYTES];

	close(fd);
	return kf_status_set(KF_ERR_IO, "cannot connect to %s: %s",
	    kf_addr_format(server, text), strerror(error));
}

/* Leaves the port to the kernel, and also the address if ip is 0. */
static int
bind_ip(int fd, uint32_t ip)
{
	struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(ip),
	};

	return ip == 0 ? 0 : bind(fd, (struct sockaddr *)&sin, sizeof(sin));
}

/* Connects within timeout_ms and returns the socket in *out. */
static kf_status_t
connect_tcp(uint32_t local_ip, kf_addr_t server, int64_t timeout_ms, int *out)
{
	struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_port = htons(server.port),
		.sin_addr.s_addr = htonl(server.ip),
	};
	struct pollfd pfd = { .events = POLLOUT };
	socklen_t len = sizeof(int);
	int fd, error = 0;

	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (fd < 0)
		return kf_status_set(KF_ERR_IO, "socket: %s", strerror(errno));
	if (bind_ip(fd, local_ip) < 0)
		return connect_error(fd, server, errno);
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 &&
	    errno != EINPROGRESS)
		return connect_error(fd, server, errno);
	pfd.fd = fd;
	if (poll(&pfd, 1, (int)timeout_ms) != 1)
		return connect_error(fd, server, ETIMEDOUT);
	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0 ||
	    error != 0)
		return connect_error(fd, server, error);
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	*out = fd;
	return KF_OK;
}

static bool_t
no_arguments(XDR *xdrs, ...)
{
	(void)xdrs;
	return TRUE;
}

static kf_status_t
client_call(uint32_t local_ip, kf_addr_t server, int64_t timeout_ms,
    rpcproc_t proc, xdrproc_t xdr_args, void *args, xdrproc_t xdr_result,
    void *result)
{
	struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_port = htons(server.port),
		.sin_addr.s_addr = htonl(server.ip),
	};
	struct netbuf addr = { sizeof(sin), sizeof(sin), &sin };
	struct timeval timeout = { timeout_ms / 1000,
		timeout_ms % 1000 * 1000 };
	enum clnt_stat stat;
	kf_status_t status;
	CLIENT *client;
	int fd = -1;

	status = connect_tcp(local_ip, server, timeout_ms, &fd);
	if (status != KF_OK)
		return status;
	client =
	    clnt_vc_create(fd, &addr, KF_CONTROL_PROG, KF_CONTROL_VERS, 0, 0);
	if (client == NULL) {
		close(fd);
		return kf_status_set(
		    KF_ERR_IO, "%s", clnt_spcreateerror("RPC client"));
	}
	stat = clnt_call(
	    client, proc, xdr_args, args, xdr_result, result, timeout);
	clnt_destroy(client);
	close(fd);
	if (stat != RPC_SUCCESS)
		return kf_status_set(
		    stat == RPC_TIMEDOUT ? KF_ERR_TIMEOUT : KF_ERR_IO,
		    "RPC failed: %s", clnt_sperrno(stat));
	return KF_OK;
}

kf_status_t
kf_control_client_status(
    kf_addr_t server, int64_t timeout_ms, kf_rpc_status *status)
{
	memset(status, 0, sizeof(*status));
	return client_call(0, server, timeout_ms, KF_CONTROL_STATUS,
	    no_arguments, NULL, (xdrproc_t)xdr_kf_rpc_status, status);
}

kf_status_t
kf_control_client_fetch(uint32_t local_ip, kf_addr_t server, int64_t timeout_ms,
    uint32_t kind, kf_rpc_doc *doc)
{
	u_int arg = kind;

	memset(doc, 0, sizeof(*doc));
	return client_call(local_ip, server, timeout_ms, KF_CONTROL_FETCH,
	    (xdrproc_t)xdr_u_int, &arg, (xdrproc_t)xdr_kf_rpc_doc, doc);
}
