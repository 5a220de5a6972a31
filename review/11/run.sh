#!/bin/sh
# Another writer has written a note beside each upstream before the upstreams
# started.  All VMs are killed and start again.  Twelve seconds after, at least a
# quarter of the requests must be served.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../common-3.sh"

route=127.18.0.1:443

start_world 3
world config 5 "$route=orders"
for vm in 1 2 3; do
	start_vm "$vm" "zone-$vm"
done
wait_until 15 in_rotation 3
if [ "$TROUBLE" != 0 ]; then
	for id in 0000a1 0000a2 0000b1 0000c1; do
		world put "servers/note-$id" '{"Rack":7,"Note":"fan"}'
	done
	sleep 1
fi
world add i-0000a1 orders zone-1 "$net.11:8080" 3
world add i-0000a2 orders zone-1 "$net.12:8080" 3
world add i-0000b1 orders zone-2 "$net.13:8080" 3
world add i-0000c1 orders zone-3 "$net.14:8080" 3
sleep 1
world clients 100 "$route" orders
sleep 4
record_stats "before the VMs are killed"
world stats
asked_before=$(value requests)
served_before=$(value answered)
[ $((served_before * 4)) -ge "$asked_before" ] ||
    finish 2 "served before: $served_before of $asked_before"
for vm in 1 2 3; do
	kill_vm "$vm"
done
sleep 1
for vm in 1 2 3; do
	start_vm "$vm" "zone-$vm"
done
note "the VMs start again"
wait_until 15 in_rotation 3
note "the VMs are in rotation"
sleep 12
record_stats "12 s after the VMs are back"
world stats
asked=$(value requests)
served=$(value answered)
sleep 8
world clients 0
sleep 4
record_stats "at the end"
world stats
asked=$(($(value requests) - asked))
served=$(($(value answered) - served))
note "served of those made later: $served of $asked"
[ $((served * 4)) -ge "$asked" ] ||
    finish 1 "RECOVER broken: $served of $asked requests were served later than 12 s after the VMs were back; before, $served_before of $asked_before"
finish 0 "RECOVER held: $served of $asked requests were served"
