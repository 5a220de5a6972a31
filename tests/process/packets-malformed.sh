# Guards against a malformed datagram, beacon or HTTP request that ends a VM, or
# that changes anything for clients.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc

# send ADDRESS PORT: sends standard input as one datagram.
send() {
	bash -c 'cat >/dev/udp/$0/$1' "$1" "$2" || fail "cannot send to $1:$2"
}

# send_all TEXT: sends the text to the packet port of v1 and to its port for
# beacons, whole and cut to 31 and 5 bytes.
send_all() {
	for port in 8172 7720; do
		printf "%b" "$1" | send "$net.1" "$port"
		printf "%b" "$1" | head -c 31 | send "$net.1" "$port"
		printf "%b" "$1" | head -c 5 | send "$net.1" "$port"
	done
}

# raw PORT TEXT: sends the text to a TCP port of v1 and closes the connection.
raw() {
	bash -c 'exec 3<>/dev/tcp/$0/$1; printf "%b" "$2" >&3; exec 3>&-' \
	    "$net.1" "$1" "$2" || fail "cannot connect to $net.1:$1"
}

start_packets
clients 100
run_requests 50

send_all 'garbage that is neither a packet nor a beacon of any kind'
# The magic of a beacon, then counts that are far beyond the datagram.
send_all 'kfb2\0377\0377\0377\0377\0377\0377\0377\0377\0377\0377\0377\0377'
send_all 'kfb2\0000\0000\0000\0001\0000\0000\0000\0000\0377\0377\0377\0377'
# A packet whose flags are all set and whose length exceeds the datagram.
send_all '\0000\0000\0000\0000\0000\0000\0000\0000\0377\0377\0144\0100\0000\0007\0306\0022\0000\0001\0001\0273\0234\0101\0000\0000\0000\0001\0377\0377\0000\0000\0000\0000'
head -c 2000 /dev/zero | send "$net.1" 8172
head -c 2000 /dev/zero | send "$net.1" 7720
head -c 60000 /dev/zero | send "$net.1" 7720
printf '' | send "$net.1" 8172

for port in 8167 7720; do
	raw "$port" 'GET'
	raw "$port" 'GET / HTTP/9.9\r\n\r\n'
	raw "$port" '\0377\0376\0000\0001garbage\r\n\r\n'
	raw "$port" 'POST /changes HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n'
	raw "$port" "GET /$(head -c 9000 /dev/zero | tr '\0' a) HTTP/1.1\r\n\r\n"
done
for query in 'changes?after=-1' 'changes?after=99999999999999999999999' \
    'changes?after=x' 'explain' 'explain?client=1.2.3.4&address=:' \
    'explain?client=1.2.3.4:99999&address=1.2.3.4:1'; do
	curl -s -m 5 -o "$work/answer" "http://$net.1:7720/$query" ||
	    fail "no response to $query"
done
# The status of a request that is refused.
expect "status of POST" "$(curl -s -m 5 -o "$work/answer" -w '%{http_code}' \
    -X POST -d x "http://$net.1:7720/metrics")" 405

run_requests 100
end_clients
check_rules
world stats
expect answered "$(value answered "$work/answer")" \
    "$(value requests "$work/answer")"
expect "VMs in rotation" "$(stat in_rotation)" 3
expect_some "malformed datagrams" "$(metric 1 knapweed_malformed_total)"
for vm in 1 2 3; do
	kill -0 "$(pid_of "v$vm")" || fail "v$vm has ended"
	stop "v$vm"
	expect "status of v$vm" "$status" 0
done
