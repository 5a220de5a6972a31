#include <arpa/inet.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kf/addr.h"

kf_status_t
kf_addr_parse(const char *text, kf_addr_t *addr)
{
	char host[INET_ADDRSTRLEN];
	struct in_addr in;
	const char *colon;
	char *end;
	unsigned long port;
	size_t host_len;

	colon = strchr(text, ':');
	if (colon == NULL)
		return kf_status_set(
		    KF_ERR_INVALID, "address '%s' has no port", text);
	host_len = (size_t)(colon - text);
	if (host_len >= sizeof(host))
		return kf_status_set(
		    KF_ERR_INVALID, "'%s' is not an IPv4 address", text);
	memcpy(host, text, host_len);
	host[host_len] = '\0';
	if (inet_pton(AF_INET, host, &in) != 1)
		return kf_status_set(
		    KF_ERR_INVALID, "'%s' is not an IPv4 address", host);
	port = strtoul(colon + 1, &end, 10);
	if (colon[1] < '0' || colon[1] > '9' || *end != '\0' || port == 0 ||
	    port > UINT16_MAX)
		return kf_status_set(KF_ERR_INVALID,
		    "'%s' is not a port from 1 to 65535", colon + 1);
	addr->ip = ntohl(in.s_addr);
	addr->port = (uint16_t)port;
	return KF_OK;
}

const char *
kf_ip_format(uint32_t ip, char buf[KF_IP_TEXT_BYTES])
{
	snprintf(buf, KF_IP_TEXT_BYTES, "%u.%u.%u.%u", ip >> 24,
	    ip >> 16 & 0xff, ip >> 8 & 0xff, ip & 0xff);
	return buf;
}

const char *
kf_addr_format(kf_addr_t addr, char buf[KF_ADDR_TEXT_BYTES])
{
	char ip[KF_IP_TEXT_BYTES];

	snprintf(buf, KF_ADDR_TEXT_BYTES, "%s:%u", kf_ip_format(addr.ip, ip),
	    addr.port);
	return buf;
}

bool
kf_addr_equal(kf_addr_t a, kf_addr_t b)
{
	return a.ip == b.ip && a.port == b.port;
}
