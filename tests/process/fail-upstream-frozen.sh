# Guards against a frozen upstream that keeps receiving requests, and against
# its late answers, after it thaws, being taken as answers to other requests.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_start kowhai 4
load_all 14
sleep 3
up freeze orders-02 >"$work/up.log"
sleep 6
before=$(up stats orders-02 | value received)
sleep 2
after=$(up stats orders-02 | value received)
up thaw orders-02 >"$work/up.log"
load_wait
echo "received_while_frozen_per_s=$(((after - before) / 2))"
# Probes go on; the upstream's share of the load is 6 requests a second.
[ $((after - before)) -le 8 ] || fail "a frozen upstream still gets work"
recovered 11
fleet_check invariants
