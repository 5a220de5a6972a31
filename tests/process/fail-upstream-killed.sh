# Guards against requests that run twice when an upstream is killed, and against a
# service that does not recover from it.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_solo=orders-01
fleet_start kowhai 4
load_all 10
sleep 3
stop upstreams-solo KILL
load_wait
recovered 11
fleet_check invariants
