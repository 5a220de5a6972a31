# Guards against a declaration that reverts when the platform answers with an
# older one, also at a balancer that starts during that time.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_start bengal 5
load_all 12
share_change "$work/two.ini" 2 20 80
publish declaration "$work/two.ini"
wait_for "revision 2 everywhere" "$settle_s" in_force 2 "$version" 1 2 3 4 5
platform stale 1
stop balancer-5
start_balancer 5
sleep 3
in_force 2 "$version" 1 2 3 4 5 || fail "revision 2 is not in force"
load_wait
fleet_check planned
