# Guards against a request meant for an upstream's earlier incarnation being run
# by the later one at the same address.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_solo=orders-01
fleet_start kowhai 4
load_all 12
sleep 2
up restart orders-01 >"$work/up.log"
sleep 3
stop upstreams-solo KILL
start_solo
load_wait
recovered 11
[ "$(executions orders-01)" -gt 0 ] || fail "orders-01 ran nothing"
fleet_check invariants
