# Guards against new flows to an evacuated zone: from a VM of that zone, from
# one that is suspended while the zone is evacuated, and from one that starts
# then; and against a zone that is not used again once it is taken back.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc

start_packets --service-time-us 5000 --hold-ms 1000
clients 200
run_requests 200
kill -STOP "$(pid_of v2)"
world evacuate zone-1 yes
stop v3 KILL
start_vm 3
sleep 1.5
kill -CONT "$(pid_of v2)"
run_requests 600
[ "$(metric 1 knapweed_zones_evacuated)" = 1 ] || fail "v1 evacuates no zone"

# A second zone is evacuated with a value that cannot be read.
world put op/evacuate/zone-2 oops
wait_line v1.log "event=zone_evacuated zone=zone-2"
wait_line v1.log "event=item_refused key=op/evacuate/zone-2"
run_requests 200

# Items for zones that nobody has, one with a long name.
for number in $(seq 70); do
	world put "op/evacuate/none-$number" '{}'
done
long=$(printf 'z%.0s' $(seq 180))
world put "op/evacuate/$long" '{}'
wait_line v1.log "event=zone_evacuated zone=$long"

world evacuate zone-1 no
wait_line v1.log "event=zone_returned zone=zone-1"
world runs
before=$(value i-0000a1 "$work/answer")
run_requests 200
world runs
[ "$(value i-0000a1 "$work/answer")" -gt "$before" ] ||
    fail "zone-1 is not used again"
end_clients
check_rules
