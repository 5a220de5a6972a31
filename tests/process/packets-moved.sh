# Guards against resets by a VM that has found an upstream dead, and gets flows
# of it that another VM has opened since the upstream works again.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc

# Clients keep a flow open for 50 requests, 0.2 s apart.
start_world --service-time-us 5000 --non-idempotent 0 --hold-ms 200 \
    --flow-requests 50
for up in 1 2 3 4; do
	world add "i-0000a$up" orders zone-1 "$net.1$up:8080" 3
done
world config 5 "$route=orders"
for vm in 1 2 3; do
	start_vm "$vm"
done
wait_stat in_rotation 3
clients 40
run_requests 1200

# v1 is away while the upstream is cut off, and knows nothing of it.
stop v1 KILL
world state i-0000a1 silent
for vm in 2 3; do
	wait_line "v$vm.log" 'event=upstream_dead upstream=i-0000a1' 20
done
# A flow is reset at once while the evidence is recent.
wait_line v2.log 'event=flow_reset .* evidence=probe evidence_age_ms='
# After the probes 1 s and 2 s after it was found dead the next is at 7 s.
sleep 2.2
world state i-0000a1 runs
start_vm 1
wait_line v1.log event=ready
sleep 3.4
# Routers move the flows of v3, and of v1, to the others.
stop v3 KILL
sleep 0.8
reset_before=$(stat reset_open)
sleep 3
for vm in 2 3; do
	old=$(sed -n 's/.*event=flow_reset.* evidence_age_ms=\([0-9]*\).*/\1/p' \
	    "$work/v$vm.log" | awk '$1 >= 1500' | wc -l)
	expect "flows reset by v$vm on old evidence" "$old" 0
done
expect "open flows reset" "$(stat reset_open)" "$reset_before"
end_clients
