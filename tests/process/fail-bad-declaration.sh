# Guards against a malformed or older declaration that replaces the one in
# force, and against a refusal that logs no reason.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_start bengal 4
load_all 12
sleep 1
share_change "$work/five.ini" 5 20 80
publish declaration "$work/five.ini"
good=$version
wait_for "revision 5 everywhere" "$settle_s" in_force 5 "$good" 1 2 3 4
refusals() {
	cat "$work"/balancer-*.log | grep 'event=document_refused' |
	    grep -c "subject=declaration state=$1 "
}
share_change "$work/bad.ini" 6 20 90
publish declaration "$work/bad.ini"
wait_for "refusal of the malformed declaration" 5 refusals invalid
grep -h 'event=document_refused.*state=invalid' "$work"/balancer-*.log |
    grep -q 'reason="[^"]*shares sum to' || fail "no reason is logged"
share_change "$work/four.ini" 4 30 70
publish declaration "$work/four.ini"
wait_for "refusal of the older declaration" 5 refusals older
sleep 2
in_force 5 "$good" 1 2 3 4 || fail "revision 5 is not in force"
load_wait
fleet_check planned
