# Helpers of the scripts of the third review; sourced with `case_dir` set.  The
# programs run in a temporary folder, and what was sent, answered and run goes to
# record.txt of the case.
cd "$case_dir/../.." || exit 2
stand_ins=target/review-3
record=$case_dir/record.txt
TROUBLE=${TROUBLE:-1}
pids=
work=$(mktemp -d "${TMPDIR:-/tmp}/kf-review.XXXXXX") || exit 2
: >"$record" || exit 2

# Addresses of 127.0.0.0/8 from the process id, so that runs do not meet.
net=127.$((64 + $$ / 250 % 128)).$(($$ % 250 + 1))
control=$net.100:9000

note() { # TEXT: writes a line with the time since the start to the record
	echo "$(($(now_ms) - started_ms)) ms: $*" >>"$record"
}

now_ms() {
	date +%s%3N
}
started_ms=$(now_ms)

# finish STATUS TEXT: ends all processes and the script.
finish() {
	trap - EXIT INT TERM
	note "$2"
	echo "$2"
	for pid in $pids; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	if [ -n "${KEEP:-}" ]; then
		echo "logs: $work"
	else
		rm -rf "$work"
	fi
	exit "$1"
}
trap 'finish 2 "the script ended early"' EXIT INT TERM

start() { # NAME PROGRAM ARGUMENT...
	start_name=$1
	shift
	"$@" >>"$work/$start_name.log" 2>&1 &
	pids="$pids $!"
	echo $! >"$work/$start_name.pid"
}

# Bounds of the deployment, as the deploy file passes them.
drain_ms=3000
apply_ms=3000
evacuate_ms=
cold_excess=
cold_slack=

# start_vm NUMBER ZONE: starts a VM with the command of the deploy file and the
# settings that platform/forwarder.conf.in gives.
start_vm() {
	cat >"$work/v$1.conf" <<-EOF
	[vm]
	name = v$1
	zone = $2
	packet_address = $net.$1:8172
	ready_address = $net.$1:8167
	ready_path = /knapweedfield/readiness
	peer_address = $net.$1:7720

	[platform]
	store_address = $net.100:8169
	seeds = $net.1:8166,$net.2:8166

	[stop]
	grace_ms = 6000
	EOF
	start "v$1" target/bin/knapweed-forwarder --config "$work/v$1.conf" \
	    "--set=bounds.drain_ms=$drain_ms" \
	    "--set=bounds.apply_ms=$apply_ms" \
	    "--set=bounds.evacuate_ms=$evacuate_ms" \
	    "--set=bounds.cold_excess=$cold_excess" \
	    "--set=bounds.cold_slack=$cold_slack"
}

# kill_vm NUMBER: SIGKILL, as the loss of a process.
kill_vm() {
	kill -KILL "$(cat "$work/v$1.pid")"
	wait "$(cat "$work/v$1.pid")" 2>/dev/null
	note "v$1 is killed"
}

# start_world VMS ARGUMENT...: starts the store, routers, upstreams and clients.
start_world() {
	[ -x "$stand_ins/standin-packets" ] &&
	    [ -x target/bin/knapweed-forwarder ] ||
	    finish 2 "not built: the deploy file and review/build-3.sh"
	world_vms=$1
	shift
	for vm in $(seq "$world_vms"); do
		set -- "$@" --vm "$net.$vm:8172,$net.$vm:8167"
	done
	start world "$stand_ins/standin-packets" --store "$net.100:8169" \
	    --control "$control" --clients "$net.50:8172" \
	    --ready-path /knapweedfield/readiness --seed 7 "$@"
	wait_until 10 grep -q event=ready "$work/world.log"
}

# wait_until SECONDS COMMAND...: the case cannot run if it never succeeds.
wait_until() {
	left=$(($1 * 20))
	shift
	until "$@" >/dev/null 2>&1; do
		left=$((left - 1))
		[ "$left" -gt 0 ] || finish 2 "never came about: $*"
		sleep 0.05
	done
}

# world COMMAND...: a command to the stand-in; its answer is in $work/answer.
world() {
	"$stand_ins/standin-control" "$control" "$@" >"$work/answer" 2>&1
	grep -q '^status=ok' "$work/answer" ||
	    finish 2 "$*: $(cat "$work/answer")"
	case $1 in
	stats | runs) ;;
	*) note "$*" ;;
	esac
}

# value KEY: a number in the last answer of the stand-in.
value() {
	tr ' ' '\n' <"$work/answer" | sed -n "s/^$1=//p"
}

stat() { # KEY
	world stats
	value "$1"
}

in_rotation() { # COUNT
	[ "$(stat in_rotation)" = "$1" ]
}

# record_stats TEXT: writes what was sent, answered and run so far.
record_stats() {
	world stats
	note "$1: $(cat "$work/answer")"
	world runs
	note "$1: runs$(sed 's/^status=ok//' "$work/answer")"
}

# entry SERVICE ZONE ADDRESS STATE COLD_MS SEQ BORN_MS: an upstream's entry.
entry() {
	printf '{"Service":"%s","Address":"%s","Zone":"%s","Version":"v1",' \
	    "$1" "$3" "$2"
	printf '"Slots":3,"State":"%s","ColdLeftMs":%s,"Seq":%s,"born":%s}' \
	    "$4" "$5" "$6" "$7"
}
