# Guards against a VM that has missed more changes than one answer of the store
# may have, and asks for them again and again: no change is in force any more.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc

start_packets
clients 50
run_requests 20
world store long
world config 9 "$route=orders" 198.18.0.3:443=certs
sleep 3
for vm in 1 2 3; do
	expect "version of v$vm" \
	    "$(metric "$vm" knapweed_config_version)" 9
done
world drain i-0000a1
run_requests 200
grep -q 'event=store_lost .*reason="answer is too long"' "$work/v1.log" ||
    fail "no line about the long answer"
world store up
end_clients
check_rules
world stats
expect failed "$(value failed "$work/answer")" 0
