# Helpers for the process tests; each test sources this file after setting
# `build`.  Every process is ended by its own id when the test ends.
bin=$build/bin
work=$(mktemp -d "${TMPDIR:-/tmp}/kf-test.XXXXXX")
kf_pids=

# Each run derives its own addresses in 127.0.0.0/8 from its process id, so that
# concurrent runs do not conflict and can use fixed ports.
# shellcheck disable=SC2034 # used by the tests
net=127.$((64 + $$ / 250 % 128)).$(($$ % 250 + 1))

fail() {
	echo "FAILED: $*" >&2
	[ -z "${KF_TEST_LOGS:-}" ] || cp -r "$work" "$KF_TEST_LOGS"
	for kf_log in "$work"/*.log; do
		[ -f "$kf_log" ] || continue
		echo "--- $(basename "$kf_log")" >&2
		tail -n 20 "$kf_log" >&2
	done
	exit 1
}

# start NAME PROGRAM ARGUMENT...: runs a program in the background.  Its output
# goes to $work/NAME.log; its process id is in $pid.
start() {
	kf_name=$1
	shift
	"$@" >"$work/$kf_name.log" 2>&1 &
	pid=$!
	kf_pids="$kf_pids $pid"
	echo "$pid" >"$work/$kf_name.pid"
}

pid_of() {
	cat "$work/$1.pid"
}

# stop NAME [SIGNAL]: signals a process (default TERM) and waits for its end;
# its exit status is in $status.
stop() {
	kf_pid=$(pid_of "$1")
	kill -"${2:-TERM}" "$kf_pid" 2>/dev/null
	# The shell reports a process killed by a signal on standard error.
	wait "$kf_pid" 2>/dev/null
	status=$?
	kf_rest=
	for kf_other in $kf_pids; do
		[ "$kf_other" = "$kf_pid" ] || kf_rest="$kf_rest $kf_other"
	done
	kf_pids=$kf_rest
}

stop_all() {
	for kf_pid in $kf_pids; do
		kill -CONT "$kf_pid" 2>/dev/null
		kill -TERM "$kf_pid" 2>/dev/null
	done
	for kf_pid in $kf_pids; do
		kf_left=50
		while [ "$kf_left" -gt 0 ] && kill -0 "$kf_pid" 2>/dev/null; do
			sleep 0.1
			kf_left=$((kf_left - 1))
		done
		kill -KILL "$kf_pid" 2>/dev/null
		wait "$kf_pid" 2>/dev/null
	done
	kf_pids=
}

cleanup() {
	kf_status=$?
	trap - EXIT INT TERM
	stop_all
	if [ -n "${KF_KEEP:-}" ]; then
		echo "logs: $work" >&2
	else
		rm -rf "$work"
	fi
	exit "$kf_status"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# wait_line FILE PATTERN [SECONDS]: waits until a log in $work has a line that
# matches, 10 s by default.
wait_line() {
	kf_left=$((${3:-10} * 20))
	until grep -q -- "$2" "$work/$1" 2>/dev/null; do
		kf_left=$((kf_left - 1))
		[ "$kf_left" -gt 0 ] || fail "no line '$2' in $1"
		sleep 0.05
	done
}

# wait_for DESCRIPTION SECONDS COMMAND...: waits until the command succeeds.
wait_for() {
	kf_what=$1
	kf_left=$(($2 * 20))
	shift 2
	until "$@" >/dev/null 2>&1; do
		kf_left=$((kf_left - 1))
		[ "$kf_left" -gt 0 ] || fail "timed out: $kf_what"
		sleep 0.05
	done
}

# value KEY [FILE...]: the value of the last key=value pair in the input.
value() {
	kf_key=$1
	shift
	cat "$@" | tr ' ' '\n' | sed -n "s/^$kf_key=//p" | tail -n 1
}

# expect WHAT ACTUAL EXPECTED: fails if the two differ.
expect() {
	[ "$2" = "$3" ] || fail "$1: got '$2', expected '$3'"
}

# expect_some WHAT ACTUAL: the number must be above zero.
expect_some() {
	[ "${2:-0}" -gt 0 ] || fail "$1: got '$2', expected more than 0"
}

# control ADDRESS COMMAND...: sends a command to a stand-in program.
control() {
	"$bin/standin-control" "$@"
}

# refused PROGRAM ARGUMENT...: the program must fail within 5 s with a message.
refused() {
	timeout 5 "$@" >"$work/refused.log" 2>&1
	kf_code=$?
	[ "$kf_code" -ne 0 ] && [ "$kf_code" -ne 124 ] ||
	    fail "status $kf_code: $*"
	[ -s "$work/refused.log" ] || fail "no message: $*"
}
