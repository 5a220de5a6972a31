# Guards against a configuration that is refused, also by VMs that start and by
# one that gets it from another VM, because a route, a share or a service of it
# cannot be read.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc

# route_json HOST PORT FIELDS: prints a route.
route_json() {
	printf '{"Name":"r-%s","Host":"%s","Prefix":"/%s/",' "$2" "$1" "$2"
	printf '"Type":"safe","TimeoutMs":2000,"Priority":1,%s}' "$3"
}

# wait_metric VM NAME VALUE
wait_metric() {
	wait_for "$2 of v$1" 10 sh -c \
	    "curl -s 'http://$net.$1:7720/metrics' | grep -qx '$2 $3'"
}

start_packets
# A route without an IPv4 address, one whose port is no number, one with neither
# a readable share nor a service, one with one of two shares, and goals and
# limits of other types.
world put op/config "{\"Version\":6,\"Routes\":[\
$(route_json 2001:db8::1 443 '"Service":"orders"'),\
$(route_json 198.18.0.7 https '"Service":"orders"'),\
$(route_json 198.18.0.2 443 '"Service":7'),\
$(route_json 198.18.0.1 443 '"LatencyGoalMs":300.5,"Split":[
{"Service":"orders","Weight":0.5},{"Service":"certs","Weight":"9"}]' |
	tr -d '\n'),\
$(route_json 198.18.0.1 8443 '"LatencyGoalMs":"x","Service":"certs"')],\
\"Services\":[7,{\"Name\":\"certs\",\"ColdPerS\":\"x\"}],\
\"Limits\":{\"IdleTimeoutMs\":-1}}"
for vm in 1 2 3; do
	wait_metric "$vm" knapweed_config_version 6
	wait_metric "$vm" knapweed_config_parts_refused 7
done
expect "lines about parts" \
    "$(grep -c event=config_part_refused "$work/v1.log")" 7
"$bin/knapctl" packets --server "$net.1:7720" >"$work/state.out"
grep -q ' config_version=6 config_parts_refused=7 ' "$work/state.out" ||
    fail "no line in knapctl packets: $(cat "$work/state.out")"

# Once for VMs that read the version as a change, once after all have started
# again, and once for VMs that get it from v1 while the store is silent.
for step in change restart peer; do
	case $step in
	restart)
		restart_all
		;;
	peer)
		world store silent
		for vm in 2 3; do
			stop "v$vm" KILL
			start_vm "$vm"
		done
		wait_line v3.log event=ready 20
		wait_stat in_rotation 3
		;;
	esac
	echo "step=$step"
	expect_served 198.18.0.1:443 orders
	expect_served 198.18.0.1:8443 certs
done

# New flows of the route without a readable service are refused at once.
runs=$(stat runs)
world clients 50 198.18.0.2:443 certs
run_requests 20
end_clients
expect "runs without a service" "$(stat runs)" "$runs"
[ "$(stat refused)" -ge 20 ] || fail "not refused at once"
check_rules
