#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <rpc/rpc.h>
#include <rpc/rpc_com.h>

#include <errno.h>
#include <string.h>
#include <unistd.h>

#include "kf/control_server.h"

enum {
	LISTEN_BACKLOG = 16,
	LISTEN_MAX = 4,
	/* Setting a limit also makes the connections non-blocking. */
	RECORD_MAX_BYTES = KF_RPC_TEXT_MAX + 65536,
};

/* Globals, as the RPC library passes no context to a dispatch function. */
static kf_control_server_ops_t server_ops;
static kf_addr_t listen_addrs[LISTEN_MAX];
static int listen_addr_count;

static bool_t
no_results(XDR *xdrs, ...)
{
	(void)xdrs;
	return TRUE;
}

static uint32_t
caller_ip(SVCXPRT *xprt)
{
	const struct sockaddr_in *sin = svc_getrpccaller(xprt)->buf;

	return ntohl(sin->sin_addr.s_addr);
}

static void
serve_status(SVCXPRT *xprt)
{
	kf_rpc_status status;

	memset(&status, 0, sizeof(status));
	server_ops.status(server_ops.ctx, &status);
	svc_sendreply(xprt, (xdrproc_t)xdr_kf_rpc_status, &status);
	server_ops.release(server_ops.ctx);
}

static void
serve_fetch(SVCXPRT *xprt)
{
	kf_rpc_doc doc;
	u_int kind;

	if (!svc_getargs(xprt, (xdrproc_t)xdr_u_int, &kind)) {
		svcerr_decode(xprt);
		return;
	}
	memset(&doc, 0, sizeof(doc));
	doc.kind = kind;
	server_ops.fetch(server_ops.ctx, caller_ip(xprt), kind, &doc);
	svc_sendreply(xprt, (xdrproc_t)xdr_kf_rpc_doc, &doc);
	server_ops.release(server_ops.ctx);
}

static void
dispatch(struct svc_req *req, SVCXPRT *xprt)
{
	switch (req->rq_proc) {
	case KF_CONTROL_NULL:
		svc_sendreply(xprt, no_results, NULL);
		break;
	case KF_CONTROL_STATUS:
		serve_status(xprt);
		break;
	case KF_CONTROL_FETCH:
		serve_fetch(xprt);
		break;
	default:
		svcerr_noproc(xprt);
		break;
	}
}

static kf_status_t
listen_tcp(kf_addr_t addr, int *out)
{
	struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_port = htons(addr.port),
		.sin_addr.s_addr = htonl(addr.ip),
	};
	char text[KF_ADDR_TEXT_BYTES];
	int fd, on = 1;

	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return kf_status_set(KF_ERR_IO, "socket: %s", strerror(errno));
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 ||
	    listen(fd, LISTEN_BACKLOG) < 0) {
		kf_status_set(KF_ERR_IO, "cannot listen on %s: %s",
		    kf_addr_format(addr, text), strerror(errno));
		close(fd);
		return KF_ERR_IO;
	}
	*out = fd;
	return KF_OK;
}

kf_status_t
kf_control_server_listen(kf_addr_t addr, const kf_control_server_ops_t *ops)
{
	int max = RECORD_MAX_BYTES, fd = -1, i;
	kf_status_t status;
	SVCXPRT *xprt;

	server_ops = *ops;
	for (i = 0; i < listen_addr_count; i++) {
		if (kf_addr_equal(listen_addrs[i], addr))
			return KF_OK;
	}
	if (listen_addr_count == LISTEN_MAX)
		return kf_status_set(
		    KF_ERR_FULL, "too many addresses to listen on for RPC");
	status = listen_tcp(addr, &fd);
	if (status != KF_OK)
		return status;
	listen_addrs[listen_addr_count++] = addr;
	rpc_control(RPC_SVC_CONNMAXREC_SET, &max);
	xprt = svc_vc_create(fd, 0, 0);
	if (xprt == NULL ||
	    !svc_reg(xprt, KF_CONTROL_PROG, KF_CONTROL_VERS, dispatch, NULL)) {
		close(fd);
		return kf_status_set(
		    KF_ERR_IO, "cannot register the RPC server");
	}
	return KF_OK;
}

int
kf_control_server_pollfds(struct pollfd *fds, int max)
{
	int i, count = 0;

	for (i = 0; i < svc_max_pollfd && count < max; i++) {
		if (svc_pollfd[i].fd >= 0)
			fds[count++] = (struct pollfd){
				.fd = svc_pollfd[i].fd,
				.events = svc_pollfd[i].events,
			};
	}
	return count;
}

void
kf_control_server_handle(struct pollfd *fds, int count)
{
	int ready = 0, i;

	for (i = 0; i < count; i++) {
		if (fds[i].revents != 0)
			ready++;
	}
	if (ready > 0)
		svc_getreq_poll(fds, ready);
}
