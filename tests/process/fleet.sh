# Helpers for the tests with injected failures (fail-*.sh).  A test sets
# `build`, sources this file, calls fleet_start, starts load, injects its
# failure and ends with fleet_check.
# shellcheck disable=SC1091 # the path depends on the caller
. "$(dirname "$0")/common.sh"

conf=$work/conf
declaration=$conf/declaration.ini
fabric_control=$net.10:7401
platform_control=$net.10:8081
# Mean service time of the upstreams of the first and the second service.
fleet_service_us="4000 4000"
# An upstream that runs in a process of its own, so that it can be killed.
fleet_solo=
# Seconds in which a revision must be in force on all balancers.
settle_s=3
load_pids=
# Tests with network faults replace these by the programs built with netfault.
fleet_balancer=$bin/knapweedd
fleet_upstream=$bin/standin-upstream

# ini_value FILE SECTION KEY
ini_value() {
	awk -v section="[$2]" -v key="$3" '
	    /^\[/ { inside = $0 == section }
	    inside && $1 == key { sub(/^[^=]*= */, ""); print; exit }' "$1"
}

# ini_sections FILE KIND: names of the sections [KIND NAME].
ini_sections() {
	sed -n "s/^\[$2 \(.*\)\]\$/\1/p" "$1"
}

# first_section FILE KIND
first_section() {
	ini_sections "$1" "$2" | head -n 1
}

# rewrite_addresses FILE: replaces the addresses of a deployment, 127.X.GROUP.N,
# by $net.M.  Group 0 keeps N; group 1 (balancers) gets 31 to 39; groups 2 and 3
# (upstreams) get 101 to 114 and 121 to 129.
rewrite_addresses() {
	# NET is a placeholder: $net itself could match a later expression.
	sed -e 's/127\.[0-9]*\.0\.\([0-9]*\):/NET.\1:/g' \
	    -e 's/127\.[0-9]*\.1\.\([0-9]\):/NET.3\1:/g' \
	    -e 's/127\.[0-9]*\.2\.\([0-9]\):/NET.10\1:/g' \
	    -e 's/127\.[0-9]*\.2\.\([0-9][0-9]\):/NET.1\1:/g' \
	    -e 's/127\.[0-9]*\.3\.\([0-9]\):/NET.12\1:/g' \
	    -e "s/NET/$net/g" "$1"
}

# fleet_conf DEPLOYMENT BALANCERS: writes the settings and documents of the run.
fleet_conf() {
	mkdir -p "$conf"
	for file in "conf/$1"/*.ini; do
		rewrite_addresses "$file" >"$conf/$(basename "$file")"
	done
	awk -v last="$2" '/^\[vm / { n++ } n <= last' "$conf/vms.ini" \
	    >"$conf/vms.new"
	mv "$conf/vms.new" "$conf/vms.ini"
	services=$(ini_sections "$declaration" service)
}

# service_tag NAME: the number of a service in request numbers and ledgers.
service_tag() {
	echo "$services" | grep -nx -- "$1" | cut -d: -f1
}

# up COMMAND UPSTREAM ARGUMENT...: controls one upstream.
up() {
	kf_command=$1
	kf_upstream=$2
	shift 2
	if [ "$kf_upstream" = "$fleet_solo" ]; then
		kf_port=8100
	else
		kf_port=$((8100 + $(service_tag "$(ini_value "$declaration" \
		    "upstream $kf_upstream" service)")))
	fi
	control "$net.10:$kf_port" "$kf_command" "$kf_upstream" "$@" ||
	    fail "$kf_command $kf_upstream"
}

platform() {
	control "$platform_control" "$@" >"$work/platform-control.log" ||
	    fail "platform $*: $(cat "$work/platform-control.log")"
}

fabric() {
	control "$fabric_control" "$@" >"$work/fabric-control.log" ||
	    fail "fabric $*: $(cat "$work/fabric-control.log")"
}

start_platform() {
	mkdir -p "$work/docs"
	cp "$declaration" "$conf/keys.ini" "$conf/vms.ini" "$work/docs"
	start platform "$bin/standin-platform" --listen "$net.10:8080" \
	    --control "$platform_control" --dir "$work/docs"
	wait_line platform.log event=ready 20
}

upstream_option() { # UPSTREAM
	section="upstream $1"
	echo "--upstream"
	echo "name=$1,address=$(ini_value "$declaration" "$section" address),slots=$(ini_value "$declaration" "$section" slots),service=$(service_tag "$(ini_value "$declaration" "$section" service)")"
}

# service_us SERVICE
service_us() {
	echo "$fleet_service_us" | cut -d ' ' -f "$(service_tag "$1")"
}

start_solo() {
	service=$(ini_value "$declaration" "upstream $fleet_solo" service)
	# shellcheck disable=SC2046 # two words
	start upstreams-solo "$fleet_upstream" --seed 9 \
	    --service-time-us "$(service_us "$service")" \
	    --ledger "$work/ledger-solo" --control "$net.10:8100" \
	    $(upstream_option "$fleet_solo")
	wait_line upstreams-solo.log event=ready 20
}

start_upstreams() {
	for service in $services; do
		set --
		for upstream in $(ini_sections "$declaration" upstream); do
			[ "$(ini_value "$declaration" "upstream $upstream" \
			    service)" = "$service" ] || continue
			[ "$upstream" = "$fleet_solo" ] && continue
			# shellcheck disable=SC2046 # two words
			set -- "$@" $(upstream_option "$upstream")
		done
		tag=$(service_tag "$service")
		start "upstreams-$service" "$fleet_upstream" \
		    --seed "$tag" --service-time-us "$(service_us "$service")" \
		    --ledger "$work/ledger-$tag" \
		    --control "$net.10:$((8100 + tag))" "$@"
		wait_line "upstreams-$service.log" event=ready 20
	done
	[ -z "$fleet_solo" ] || start_solo
}

ingress_of() { # BALANCER
	ini_value "$conf/balancer-$1.ini" vm ingress_address
}

start_fabric() { # BALANCERS
	set -- "$(seq 1 "$1")"
	for number in $1; do
		set -- "$@" --balancer "$(ingress_of "$number")"
	done
	shift
	for service in $services; do
		set -- "$@" --service \
		    "$(ini_value "$declaration" "service $service" address)"
	done
	start fabric "$bin/standin-fabric" --encap-address "$net.10:7400" \
	    --control "$fabric_control" --seed 5 "$@"
	wait_line fabric.log event=ready 20
}

# start_balancer NUMBER: the log of an earlier process is kept under another
# name.
start_balancer() {
	kf_log=$work/balancer-$1.log
	[ ! -f "$kf_log" ] ||
	    mv "$kf_log" "$work/balancer-$1.$(date +%s%N).log"
	start "balancer-$1" "$fleet_balancer" \
	    --config "$conf/balancer-$1.ini"
}

balancer() { # NUMBER SIGNAL
	kill -"$2" "$(pid_of "balancer-$1")" || fail "balancer-$1 is gone"
}

# procedures SERVICE KIND: the procedures that are declared "idempotent" or
# "non-idempotent".
procedures() {
	awk -v section="[service $1]" -v kind="$2" '
	    /^\[/ { inside = $0 == section }
	    inside && $1 ~ /^procedure\./ && $3 == kind {
		sub(/^procedure\./, "", $1); print $1 }' "$declaration"
}

# load SERVICE CALLER ARGUMENT...: starts a caller that calls every procedure of
# the service, unless the arguments have --mix.  CALLER is also the seed, unless
# they have --seed.
load() {
	kf_service=$1
	kf_caller=$2
	shift 2
	kf_mix=
	kf_once=
	for kf_procedure in $(procedures "$kf_service" idempotent); do
		kf_mix=$kf_mix,$kf_procedure=2
	done
	for kf_procedure in $(procedures "$kf_service" non-idempotent); do
		kf_mix=$kf_mix,$kf_procedure=1
		kf_once=$kf_once,$kf_procedure
	done
	[ -z "$kf_once" ] || set -- --non-idempotent "${kf_once#,}" "$@"
	start "caller-$kf_caller" "$bin/standin-caller" \
	    --service "$(ini_value "$declaration" \
	    "service $kf_service" address)" \
	    --program "$(ini_value "$declaration" \
	    "service $kf_service" program)" \
	    --bind "$net.200" --service-tag "$(service_tag "$kf_service")" \
	    --caller "$kf_caller" --seed "$kf_caller" --mix "${kf_mix#,}" \
	    --timeout-ms 8000 --results "$work/results-$kf_caller" "$@"
	load_pids="$load_pids $pid"
}

# load_all SECONDS: starts load on all services, well below their capacity.
load_all() {
	kf_number=0
	for kf_each in $services; do
		kf_number=$((kf_number + 1))
		load "$kf_each" "$kf_number" --flows 40 --rate 80 \
		    --duration-s "$1"
	done
}

# Waits until all callers have ended.
load_wait() {
	for kf_pid in $load_pids; do
		wait "$kf_pid" || fail "a caller failed"
	done
	load_pids=
}

# Waits until every service answers.  These callers have numbers above 500,
# which sum leaves out; check_ledgers includes them.
wait_until_served() {
	kf_attempt=500
	for kf_each in $services; do
		kf_answered=0
		while [ "$kf_answered" -eq 0 ]; do
			kf_attempt=$((kf_attempt + 1))
			[ "$kf_attempt" -lt 540 ] || fail "$kf_each not served"
			load "$kf_each" "$kf_attempt" --flows 1 \
			    --duration-s 1 --timeout-ms 1000
			load_wait
			kf_answered=$(value answered \
			    "$work/caller-$kf_attempt.log")
		done
	done
}

# fleet_start DEPLOYMENT BALANCERS
fleet_start() {
	[ -d "$conf" ] || fleet_conf "$1" "$2"
	start_platform
	start_upstreams
	start_fabric "$2"
	for number in $(seq 1 "$2"); do
		start_balancer "$number"
	done
	wait_until_served
}

# accepted BALANCER KIND: revision and version of each document of this kind
# that the balancer accepted, one a line.
accepted() {
	sed -n "s/.* event=document_accepted subject=$2 .* revision=\([0-9]*\) version=\([0-9]*\).*/\1 \2/p" \
	    "$work/balancer-$1.log"
}

# in_force REVISION VERSION BALANCER...: whether this declaration is the last
# that each of them accepted.
in_force() {
	kf_want="$1 $2"
	shift 2
	for kf_balancer in "$@"; do
		[ "$(accepted "$kf_balancer" declaration | tail -n 1)" = \
		    "$kf_want" ] || return 1
	done
}

# publish KIND FILE: publishes a document; its version is in $version.
publish() {
	platform publish "$1" "$2"
	version=$(value version "$work/platform-control.log")
}

# change FILE REVISION AWK-PROGRAM: writes a changed copy of the declaration.
# In the program, `section` is the header line of the current section.
change() {
	awk -v revision="$2" '
	    /^\[/ { section = $0 }
	    $1 == "revision" { $0 = "revision = " revision }
	    '"$3"'
	    { print }' "$declaration" >"$1"
}

# share_change FILE REVISION FIRST SECOND: writes a copy of the declaration in
# which the first selector of the first service has the share FIRST and its
# other selectors have SECOND, in percent.
share_change() {
	change "$1" "$2" '
	    section ~ /^\[selector / && $1 == "service" { of = $3 }
	    section ~ /^\[selector / && $1 == "share_percent" &&
	    of == "'"$(first_section "$declaration" service)"'" {
		$0 = "share_percent = " (moved++ ? '"$4"' : '"$3"') }'
}

# sum KEY PATTERN [CALLER...]: adds up the values of a key in the callers' log
# lines that match; by default of all callers but those of wait_until_served.
sum() {
	kf_key=$1
	kf_pattern=$2
	shift 2
	[ $# -gt 0 ] || set -- $(seq 1 50)
	for kf_each in "$@"; do
		[ -f "$work/caller-$kf_each.log" ] || continue
		grep -- "$kf_pattern" "$work/caller-$kf_each.log"
	done | tr ' ' '\n' | sed -n "s/^$kf_key=//p" |
	    awk '{ n += $1 } END { print n + 0 }'
}

total() { # KEY [CALLER...]
	kf_total=$1
	shift
	sum "$kf_total" '^event=summary' "$@"
}

# executions UPSTREAM: the number of requests that it ran, from the ledgers.
executions() {
	cat "$work"/ledger-* | grep -c "upstream=$1 "
}

# Guards against a declaration that is replaced by an older one.  A fenced
# balancer restarts within the same process without documents, so it may
# accept any.
check_never_reverts() {
	for kf_log in "$work"/balancer-*.log; do
		sed -n -e 's/.* event=started .*/0 0/p' \
		    -e 's/.* event=document_accepted subject=declaration .* revision=\([0-9]*\) version=\([0-9]*\).*/\1 \2/p' \
		    "$kf_log" | awk '
		    $1 > 0 && ($1 < r || ($1 == r && $2 <= v)) { exit 1 }
		    { r = $1; v = $2 }' ||
		    fail "$(basename "$kf_log"): a declaration was reverted"
	done
}

# Guards against errors that only a sanitizer sees.
check_sanitizers() {
	for kf_log in "$work"/*.log; do
		if grep -qE 'ERROR: (Address|Leak)Sanitizer|WARNING: ThreadSanitizer|runtime error:' \
		    "$kf_log"; then
			cat "$kf_log" >&2
			fail "sanitizer report in $(basename "$kf_log")"
		fi
	done
}

# Compares the upstreams' ledgers with the callers' results.
check_ledgers() {
	set --
	for kf_file in "$work"/ledger-*; do
		set -- "$@" --ledger "$kf_file"
	done
	for kf_file in "$work"/results-*; do
		set -- "$@" --results "$kf_file"
	done
	"$bin/standin-check" "$@" >"$work/check.out" 2>&1
	kf_checked=$?
	cat "$work/check.out"
	echo
	[ "$kf_checked" -eq 0 ] || fail "the ledgers contradict the results"
}

# shellcheck disable=SC2120 # the arguments are optional
summary() { # [CALLER...]
	echo "requests=$(total requests "$@") answered=$(total answered "$@")" \
	    "refused=$(total refused "$@")" \
	    "unknown_outcome=$(total unknown_outcome "$@")" \
	    "broken_flows=$(total broken_flows "$@")" \
	    "wrong_answer=$(total wrong_answer "$@")"
}

# netfault_rules [LINE...]: sets the rules of the programs built with netfault
# (*-faulty); without arguments all faults end.  See standin/netfault/README.md.
netfault_rules() {
	KF_NETFAULT_RULES=$work/netfault
	export KF_NETFAULT_RULES
	printf '%s\n' '# rules' "$@" >"$work/netfault.new"
	mv "$work/netfault.new" "$work/netfault"
}

# netfault_sum KEY RULE: the sum over all processes, as logged so far.  RULE 1
# is the first argument of netfault_rules.
netfault_sum() {
	cat "$work"/*.log | grep "event=netfault rule=$(($2 + 1)) " |
	    tr ' ' '\n' |
	    sed -n "s/^$1=//p" | awk '{ n += $1 } END { print n + 0 }'
}

# Guards against rules that drop nothing, so that a test proves nothing.
check_netfault() { # RULES
	for kf_each in $(seq 1 "$1"); do
		kf_dropped=$(netfault_sum dropped "$kf_each")
		kf_matched=$(netfault_sum matched "$kf_each")
		echo "netfault rule $kf_each: dropped=$kf_dropped" \
		    "of $kf_matched"
		expect_some "datagrams dropped by rule $kf_each" "$kf_dropped"
	done
}

# owners BALANCER: the owner of each upstream, as this balancer sees it.
owners() {
	"$bin/knapctl" show upstreams --format kv --timeout-ms 5000 --server \
	    "$(ini_value "$conf/balancer-$1.ini" vm rpc_address)" |
	    tr ' ' '\n' | grep -E '^(upstream|owner)='
}

owners_agree() { # BALANCER...
	kf_want=$(owners "$1")
	[ -n "$kf_want" ] || return 1
	for kf_balancer in "$@"; do
		[ "$(owners "$kf_balancer")" = "$kf_want" ] || return 1
	done
}

# Guards against a new balancer that serves no requests.  It must forward or
# answer some, and answer some if it owns upstreams.  The choice of owners
# depends on incarnations, which are start times: one of two balancers in a
# zone with six upstreams owns none in one run of 64 and then only forwards.
check_takes_part() { # BALANCER
	kf_vm=$(ini_value "$conf/balancer-$1.ini" vm name)
	expect_some "requests that balancer-$1 forwarded or answered" \
	    "$(grep -cE ' event=(forward|answer) ' "$work/balancer-$1.log")"
	[ "$(owners "$1" | grep -cx "owner=$kf_vm")" -gt 0 ] || return 0
	fabric balancers
	tr ' ' '\n' <"$work/fabric-control.log" |
	    grep "^$(ingress_of "$1")=" | grep -q 'received:[1-9]' ||
	    fail "balancer-$1 owns upstreams and answered nothing"
}

# fleet_check MODE: waits for the callers, ends all processes and checks the
# invariants.
#   planned	no flow breaks and every request is answered
#   death	only flows with a non-idempotent request of unknown outcome
#		break
#   invariants	no limit on broken flows
fleet_check() {
	load_wait
	stop_all
	# shellcheck disable=SC2119
	summary
	check_sanitizers
	expect wrong_answer "$(total wrong_answer)" 0
	check_ledgers
	check_never_reverts
	expect_some answered "$(total answered)"
	case $1 in
	planned)
		expect broken_flows "$(total broken_flows)" 0
		expect unknown_outcome "$(total unknown_outcome)" 0
		;;
	death)
		expect "unknown outcomes of idempotent requests" \
		    "$(sum unknown_outcome 'event=procedure .*non_idempotent=0')" 0
		[ "$(total broken_flows)" -le "$(total unknown_outcome)" ] ||
		    fail "a flow broke without a request of unknown outcome"
		;;
	invariants) ;;
	*)
		fail "fleet_check $1"
		;;
	esac
}

# The classes of a service's procedures; a procedure without a class has that of
# its service.
service_classes() { # SERVICE
	awk -v section="[service $1]" '
	    /^\[/ { inside = $0 == section }
	    inside && $1 == "class" { class = $3 }
	    inside && $1 ~ /^procedure\./ { own[++n] = $4 }
	    END { for (i = 1; i <= n; i++) print own[i] ? own[i] : class }' \
	    "$declaration" | sort -u
}

reservation_percent() { # CLASS
	case $1 in
	urgent) echo 60 ;;
	normal) echo 30 ;;
	bulk) echo 10 ;;
	*) fail "class $1" ;;
	esac
}

# reserved_answers SERVICE CLASS SECONDS: how many requests the slots reserved
# for a class can serve.  The classes of a service share its slots in the
# ratio of their reservations.
reserved_answers() {
	kf_slots=0
	for kf_each in $(ini_sections "$declaration" upstream); do
		[ "$(ini_value "$declaration" "upstream $kf_each" \
		    service)" = "$1" ] || continue
		kf_slots=$((kf_slots + $(ini_value "$declaration" \
		    "upstream $kf_each" slots)))
	done
	kf_reserved=0
	for kf_each in $(service_classes "$1"); do
		kf_reserved=$((kf_reserved + $(reservation_percent "$kf_each")))
	done
	echo $((kf_slots * 1000000 * $3 / $(service_us "$1") * \
	    $(reservation_percent "$2") / kf_reserved))
}

# recovered CALLER: after the failure, all requests of new load on the services
# must be answered.  The callers are numbered from CALLER.
recovered() {
	kf_first=$1
	kf_next=$1
	for kf_each in $services; do
		load "$kf_each" "$kf_next" --flows 20 --rate 40 --duration-s 3
		kf_next=$((kf_next + 1))
	done
	load_wait
	expect "answered after the failure" \
	    "$(total answered "$kf_first" $((kf_first + 1)))" \
	    "$(total requests "$kf_first" $((kf_first + 1)))"
}
