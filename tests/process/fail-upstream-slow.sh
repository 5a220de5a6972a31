# Guards against answers that are lost or reach another request, and against a
# service that stalls, when an upstream becomes 100 times slower.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_start bengal 4
load_all 10
sleep 2
up slow order-desk-01 100 >"$work/up.log"
load_wait
expect "unknown outcomes of idempotent requests" \
    "$(sum unknown_outcome 'event=procedure .*non_idempotent=0')" 0
fleet_check invariants
