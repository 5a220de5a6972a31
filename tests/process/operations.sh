#!/bin/sh
# Runs the procedures of docs/operations.md while callers send requests:
# publish, ramp, drain, change of keys, replacement of a balancer.
set -u
build=$1
. "$(dirname "$0")/common.sh"
. "$(dirname "$0")/fleet.inc"

publish() { # KIND FILE
	control "$net.30:8081" publish "$1" "$2" >"$work/control.log" ||
	    fail "publish $1"
}

# change FILE: publishes a new revision after it passed check and diff.
change() {
	"$bin/knapctl" check "$1" >"$work/check" || fail "check $1"
	"$bin/knapctl" diff "$work/published.ini" "$1" >"$work/diff" ||
	    fail "diff $1"
	publish declaration "$1"
	cp "$1" "$work/published.ini"
}

# in_force REVISION SERVER...: succeeds if every server has the revision.
in_force() {
	kf_revision=$1
	shift
	for kf_server in "$@"; do
		has_revision "$kf_server" "$kf_revision" || return 1
	done
}

agree() { # DOCUMENT VERSION ARGUMENT...
	kf_document="document=$1 .*newest_version=$2 .* agree=yes"
	shift 2
	show summary --format kv "$@" | grep -q "$kf_document"
}

start_callers() {
	start callers "$bin/standin-caller" --service "$net.20:111" \
	    --flows 6 --think-ms 10 --duration-s 24 --mix 1=3,2=1 \
	    --non-idempotent 2 --service-tag 1 --seed 3 \
	    --results "$work/results"
	wait_for "first executions" 10 test -s "$work/ledger"
}

# Guards against a ramp that never moves the share or moves it all at once.
# Only the end of the ramp is checked.
test_ramp() {
	now_s=$(date +%s)
	declaration 4 | sed -e "s/^ramp_start_s = 1000000/ramp_start_s = $now_s/" \
	    -e 's/^ramp_s = 100$/ramp_s = 6/' \
	    -e 's/^ramp_from_percent = 100$/ramp_from_percent = 25/' \
	    -e 's/^ramp_from_percent = 0$/ramp_from_percent = 75/' \
	    -e 's/^share_percent = 25$/share_percent = 40/' \
	    -e 's/^share_percent = 75$/share_percent = 60/' >"$work/ramp.ini"
	change "$work/ramp.ini"
	wait_for "revision 4" 20 in_force 4 "$net.1" "$net.2"
	wait_for "end of the ramp" 30 ramp_done
}

ramp_done() {
	both selectors --format kv >"$work/ramp"
	[ "$(grep -c "selector=old declared_percent=40.00 \
effective_percent=40.00 ramp=done" "$work/ramp")" -eq 2 ]
}

# Guards against an upstream that is declared as draining but keeps its load.
test_drain() {
	sed -e '/^state = draining/d' -e 's/^revision = .*/revision = 5/' \
	    -e 's/^\[upstream o-2\]/&\nstate = draining/' \
	    "$work/published.ini" >"$work/drain.ini"
	change "$work/drain.ini"
	wait_for "o-2 without load" 20 drained
}

drained() {
	both upstreams --format kv | grep 'upstream=o-2' >"$work/drained"
	[ "$(grep -c 'drain=declared load=0 ' "$work/drained")" -eq 2 ]
}

# Guards against a new key that makes tokens sealed with the old key unusable.
test_keys() {
	{
		cat conf/kowhai/keys.ini
		printf '[key k3]\nid = 3\n'
		printf 'secret = 00112233445566778899aabbccddeeff\n'
		printf 'not_before_s = %d\n' "$(($(date +%s) + 3))"
		printf 'not_after_s = 1830297600\n'
	} >"$work/keys.ini"
	"$bin/knapctl" check --kind keys "$work/keys.ini" >"$work/check" ||
	    fail "check keys"
	publish keys "$work/keys.ini"
	version=$(value version "$work/control.log")
	wait_for "keys in force" 20 agree keys "$version" \
	    --server "$net.1:7200" --server "$net.2:7200"
	# Waits until not_before_s of the new key, from when it seals new tokens.
	sleep 4
}

# Guards against a planned replacement that breaks a flow.  b5 joins, the fabric
# stops sending to b2, and b2 must exit with status 0 when it is stopped.
test_replace() {
	{
		vm_list
		printf '[vm b5]\naddress = %s:7000\nzone = akl-b\n' "$net.7"
	} >"$work/vms.ini"
	publish vms "$work/vms.ini"
	settings b5 akl-b "$net.7" "$net.1" >"$work/b5.ini"
	start b5 "$bin/knapweedd" --config "$work/b5.ini"
	wait_for "b5 serves" 30 joined
	control "$net.20:7402" add "$net.7:7300" >"$work/control.log"
	control "$net.20:7402" remove "$net.2:7300" >"$work/control.log"
	stop b2
	expect "status of b2" "$status" 0
	sed '/^\[vm b2\]/,/^zone/d' "$work/vms.ini" >"$work/vms2.ini"
	publish vms "$work/vms2.ini"
	wait_for "owners after b2" 30 replaced
}

joined() {
	show --server "$net.1:7200" --server "$net.7:7200" all --format kv \
	    >"$work/joined" || return 1
	grep -q 'server=b5 state=serving .* revision=5 ' "$work/joined" &&
	    [ "$(grep -c 'vm=b5 .*liveness=alive' "$work/joined")" -eq 2 ]
}

replaced() {
	show --server "$net.1:7200" --server "$net.7:7200" upstreams \
	    --format kv >"$work/replaced" || return 1
	! grep -q -e 'owner=b2' -e 'backup=b2' -e 'owner=-' "$work/replaced"
}

# Guards against an operation that breaks flows or loses requests of a caller.
# The callers exit by themselves after --duration-s; a signal would leave
# requests unfinished.
test_callers() {
	wait "$(pid_of callers)"
	status=$?
	expect "status of the callers" "$status" 0
	for key in broken_flows unknown_outcome unfinished; do
		expect $key "$(value $key "$work/callers.log")" 0
	done
	expect_some answered "$(value answered "$work/callers.log")"
	"$bin/standin-check" --ledger "$work/ledger" \
	    --results "$work/results" >"$work/check.log" ||
	    fail "$(cat "$work/check.log")"
}

# Guards against sanitizer reports that go unnoticed: they make the exit status
# differ from 0.
test_stop() {
	for name in b1 b5; do
		stop $name
		expect "status of $name" "$status" 0
	done
}

start_platform
start_upstreams
start_fabric "$net.1:7300" "$net.2:7300"
start_fleet
cp "$work/docs/declaration.ini" "$work/published.ini"
start_callers
test_ramp
test_drain
test_keys
test_replace
test_callers
test_stop
cat "$work/diff" "$work/callers.log" "$work/check.log"
