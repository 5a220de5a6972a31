# Guards against VMs that restart and keep using upstreams that drain: the pages
# of a listing that may be stale differ in age, and changes between the oldest
# page and the first one were neither in the listing nor read afterwards.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc

# The first page of 50 items ends before i-0001.., and the upstreams of clients'
# requests are on the second one; what operators publish has a page of its own.
add_upstreams() {
	for i in $(seq 10 66); do
		world add "i-0000$i" certs zone-1 "$net.15:80$i" 3
	done
	for i in $(seq 10 15); do
		world add "i-0001$i" orders zone-1 "$net.11:80$i" 3
	done
}

start_packets
clients 60
# All pages show the upstreams 4 s after they were added.
run_requests 240
world stale_pages 3000
for i in 10 12 14; do
	world drain "i-0001$i"
done
restart_all
# Upstreams that drain may be used for up to 3 s after they began.
run_requests 300
end_clients
check_rules
cat "$work"/v?.log >"$work/all.out"
grep -q 'event=listed .*pages=3' "$work/all.out" ||
    fail "no listing of three pages"
