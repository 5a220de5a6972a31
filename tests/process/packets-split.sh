# Guards against a configuration that is refused because one route divides its
# flows among many services: changes are not in force, and after a restart of all
# VMs none is ready.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc

# route_json PORT TARGET: prints a route of the address 198.18.0.1.
route_json() {
	printf '{"Name":"r-%s","Host":"198.18.0.1","Prefix":"/%s/",' "$1" "$1"
	printf '"Type":"safe","TimeoutMs":2000,"LatencyGoalMs":300,'
	printf '"Priority":1,%s}' "$2"
}

# split_json COUNT: prints a Split whose last service, orders, gets all flows.
split_json() {
	printf '"Split":['
	for number in $(seq 2 "$1"); do
		printf '{"Service":"idle-%s","Weight":0},' "$number"
	done
	printf '{"Service":"orders","Weight":100}]'
}

# put_config VERSION COUNT PORT: publishes a Split over COUNT services for port
# 443, and a plain route for another port.
put_config() {
	world put op/config "{\"Version\":$1,\"Routes\":[$(route_json 443 \
	    "$(split_json "$2")"),$(route_json "$3" \
	    '"Service":"certs"')],\"Services\":[],\"Limits\":{}}"
}

start_packets
expect_served 198.18.0.2:443 certs
put_config 6 9 8443
sleep 3
expect "version of v1" "$(metric 1 knapweed_config_version)" 6
expect_served 198.18.0.1:443 orders
expect_served 198.18.0.1:8443 certs
runs=$(stat runs)
world clients 50 198.18.0.2:443 certs
run_requests 20
end_clients
expect "runs on the dropped route" "$(stat runs)" "$runs"

put_config 7 100 9443
restart_all
expect_served 198.18.0.1:443 orders
expect_served 198.18.0.1:9443 certs
check_rules
