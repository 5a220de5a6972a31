# Guards against checks that cannot fail: the ledgers and results of a sound run
# are changed in one place each, and the check must report it.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

# The checks end the shell by `fail`, so each runs in a subshell, which must
# not end the fleet.
must_fail() { # WHAT COMMAND...
	kf_what=$1
	shift
	(
		trap - EXIT
		"$@"
	) >"$work/doctored.out" 2>&1 && fail "check passed: $kf_what"
	grep -q -- "$kf_what" "$work/doctored.out" ||
	    fail "not reported: $kf_what: $(cat "$work/doctored.out")"
	echo "seen failing: $kf_what"
}

# doctor FILE SED-SCRIPT WHAT CHECK...: the file is put back afterwards.
doctor() {
	kf_doctored=$1
	cp "$kf_doctored" "$work/sound"
	sed "$2" "$work/sound" >"$kf_doctored"
	cmp -s "$kf_doctored" "$work/sound" && fail "nothing changed: $2"
	shift 2
	must_fail "$@"
	cp "$work/sound" "$kf_doctored"
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
doctor "$work/ledger-1" "/$order /p" doubled=1 check_ledgers
doctor "$work/ledger-1" "/$lookup /s/service=1/service=2/" misrouted=1 \
    check_ledgers
doctor "$work/results-1" "/$order /s/answered/not_run/" false_not_run=1 \
    check_ledgers
doctor "$work/ledger-1" "/$order /d" lost_answered=1 check_ledgers
doctor "$work/caller-1.log" '/^event=summary/s/wrong_answer=0/wrong_answer=1/' \
    "wrong_answer: got '1'" fleet_check planned
doctor "$work/caller-1.log" '/^event=summary/s/broken_flows=0/broken_flows=1/' \
    "broken_flows: got '1'" fleet_check planned
doctor "$work/caller-1.log" \
    '/^event=summary/s/broken_flows=0/broken_flows=1/' \
    "a flow without a request in doubt broke" fleet_check death
doctor "$work/caller-1.log" \
    '/non_idempotent=0/s/unknown_outcome=0/unknown_outcome=1/' \
    "unknown outcomes of idempotent" fleet_check death
doctor "$work/balancer-1.log" \
    '/document_accepted subject=declaration/{h;s/revision=1/revision=2/;p;x;}' \
    "a declaration was reverted" check_never_reverts
doctor "$work/balancer-1.log" '1s/^/x: runtime error: y\n/' \
    "sanitizer report" check_sanitizers
