# Guards against a draining upstream that still gets new requests after a few
# seconds, or whose flows break.  One upstream is declared draining, another
# reports it.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_start kowhai 4
load_all 16
sleep 2
change "$work/drained.ini" 2 '
    section == "[upstream orders-01]" && $1 == "labels" {
	print "state = draining" }'
publish declaration "$work/drained.ini"
up drain orders-02 >"$work/up.log"
sleep "$settle_s"
in_force 2 "$version" 1 2 3 4 || fail "revision 2 is not in force"
# Requests under way end within their deadline of 2 s.
sleep 2
declared=$(executions orders-01)
reported=$(executions orders-02)
expect_some "requests before the drain" "$declared"
expect_some "requests before the drain" "$reported"
load_wait
expect "requests of the upstream declared draining" \
    "$(executions orders-01)" "$declared"
expect "requests of the upstream that reports its drain" \
    "$(executions orders-02)" "$reported"
fleet_check planned
