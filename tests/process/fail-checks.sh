# Guards against checks that never fail: the ledgers, results and logs of a
# correct run are altered in one place at a time, and the check must report it.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

# must_fail MESSAGE COMMAND...: the check must fail with this message.  A
# check ends its shell by `fail`, so it runs in a subshell without the EXIT
# trap, which would end the fleet.
must_fail() {
	kf_what=$1
	shift
	(
		trap - EXIT
		"$@"
	) >"$work/altered.out" 2>&1 && fail "check passed: $kf_what"
	grep -q -- "$kf_what" "$work/altered.out" ||
	    fail "not reported: $kf_what: $(cat "$work/altered.out")"
	echo "fails as expected: $kf_what"
}

# check_altered FILE SED-SCRIPT MESSAGE CHECK...: alters a file, runs a check
# that must fail, and restores the file.
check_altered() {
	kf_altered=$1
	cp "$kf_altered" "$work/original"
	sed "$2" "$work/original" >"$kf_altered"
	cmp -s "$kf_altered" "$work/original" && fail "nothing changed: $2"
	shift 2
	must_fail "$@"
	cp "$work/original" "$kf_altered"
}

fleet_start kowhai 4
load_all 3
fleet_check planned

# A refill order (procedure 2) of service 1.
order=$(grep 'proc=2 verdict=answered' "$work/results-1" | head -n 1 |
    cut -d ' ' -f 1)
lookup=$(grep 'proc=1 verdict=answered' "$work/results-1" | head -n 1 |
    cut -d ' ' -f 1)
[ -n "$order" ] && [ -n "$lookup" ] || fail "no request to change"
check_altered "$work/ledger-1" "/$order /p" doubled=1 check_ledgers
check_altered "$work/ledger-1" \
    "/$lookup /s/service=1/service=2/" misrouted=1 \
    check_ledgers
check_altered "$work/results-1" \
    "/$order /s/answered/not_run/" false_not_run=1 \
    check_ledgers
check_altered "$work/ledger-1" "/$order /d" lost_answered=1 check_ledgers
check_altered "$work/caller-1.log" \
    '/^event=summary/s/wrong_answer=0/wrong_answer=1/' \
    "wrong_answer: got '1'" fleet_check planned
check_altered "$work/caller-1.log" \
    '/^event=summary/s/broken_flows=0/broken_flows=1/' \
    "broken_flows: got '1'" fleet_check planned
check_altered "$work/caller-1.log" \
    '/^event=summary/s/broken_flows=0/broken_flows=1/' \
    "a flow broke without a request of unknown outcome" fleet_check death
check_altered "$work/caller-1.log" \
    '/non_idempotent=0/s/unknown_outcome=0/unknown_outcome=1/' \
    "unknown outcomes of idempotent" fleet_check death
check_altered "$work/balancer-1.log" \
    '/document_accepted subject=declaration/{h;s/revision=1/revision=2/;p;x;}' \
    "a declaration was reverted" check_never_reverts
check_altered "$work/balancer-1.log" '1s/^/x: runtime error: y\n/' \
    "sanitizer report" check_sanitizers
