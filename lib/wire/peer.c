#include <string.h>

#include "kf/peer.h"

kf_status_t
kf_peer_encode(kf_peer_msg *msg, uint8_t *buf, size_t cap, size_t *len)
{
	XDR xdrs;
	bool_t ok;

	xdrmem_create(&xdrs, (char *)buf, (u_int)cap, XDR_ENCODE);
	ok = xdr_kf_peer_msg(&xdrs, msg);
	*len = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	if (!ok)
		return kf_status_set(
		    KF_ERR_FULL, "peer message does not fit in %zu bytes", cap);
	return KF_OK;
}

kf_status_t
kf_peer_decode(const uint8_t *buf, size_t len, kf_peer_msg *msg)
{
	XDR xdrs;
	bool_t ok;

	memset(msg, 0, sizeof(*msg));
	xdrmem_create(&xdrs, (char *)buf, (u_int)len, XDR_DECODE);
	ok = xdr_kf_peer_msg(&xdrs, msg) && xdr_getpos(&xdrs) == len;
	xdr_destroy(&xdrs);
	if (!ok) {
		kf_peer_free(msg);
		return kf_status_set(KF_ERR_INVALID, "malformed peer message");
	}
	return KF_OK;
}

void
kf_peer_free(kf_peer_msg *msg)
{
	xdr_free((xdrproc_t)xdr_kf_peer_msg, (char *)msg);
	memset(msg, 0, sizeof(*msg));
}
