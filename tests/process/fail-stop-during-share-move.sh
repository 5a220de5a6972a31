# Guards against two failures at once: a balancer is suspended for 5 s while
# shares change.  When it resumes it must not use the old shares for new
# requests or run requests again.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_start kowhai 6
load_all 16
sleep 2
share_change "$work/moved.ini" 2 0 100
publish declaration "$work/moved.ini"
balancer 4 STOP
wait_for "revision 2 at the others" "$settle_s" in_force 2 "$version" 1 2 3 5 6
sleep 5
balancer 4 CONT
wait_for "revision 2 at the stopped balancer" "$settle_s" \
    in_force 2 "$version" 4
# Requests under way end within their deadline of 2 s.
sleep 2
old() {
	ini_sections "$declaration" upstream | head -n 7 |
	    sed 's/.*/upstream=& /' >"$work/old"
	grep -cF -f "$work/old" "$work/ledger-1"
}
before=$(old)
expect_some "requests of the old deployment" "$before"
load_wait
expect "requests of the old deployment after the move" "$(old)" "$before"
recovered 11
fleet_check invariants
