# Guards against balancers that disagree, or revert, when two operators publish
# different content under the same revision.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_start kowhai 6
load_all 10
sleep 1
share_change "$work/one.ini" 2 20 80
share_change "$work/other.ini" 2 70 30
publish declaration "$work/one.ini"
publish declaration "$work/other.ini"
wait_for "one content everywhere" "$settle_s" \
    in_force 2 "$version" 1 2 3 4 5 6
sleep 2
in_force 2 "$version" 1 2 3 4 5 6 || fail "a balancer reverted"
load_wait
fleet_check planned
