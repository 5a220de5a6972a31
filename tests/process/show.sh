#!/bin/sh
# Compares the output of "knapctl show" with golden files and checks the
# metrics, with two balancers, a platform, upstreams and a fabric.  With
# KF_UPDATE=1 the golden files are rewritten.
set -u
build=$1
. "$(dirname "$0")/common.sh"
. "$(dirname "$0")/fleet.inc"

# Replaces values that differ between runs: addresses, incarnations, times,
# load, memory of flows, and whether an upstream is still in slow start.
stable() {
	sed -e "s/$net\./NET./g" \
	    -e 's/\(incarnation\)=[0-9]*/\1=N/; s/\([a-z_]*_ms\)=-\{0,1\}[0-9]*/\1=N/g' \
	    -e 's/ load=[0-9]*/ load=N/; s/flow_bytes=[0-9]*/flow_bytes=N/' \
	    -e 's/health=\(cold\|ok\)/health=cold-or-ok/'
}

# golden NAME SECTION: the key=value lines of both balancers must match the
# golden file NAME.
golden() {
	both "$2" --format kv >"$work/raw" || fail "$1: exit $?"
	stable <"$work/raw" >"$work/$1"
	if [ "${KF_UPDATE:-0}" = 1 ]; then
		cp "$work/$1" "$dir/$1.expected"
	fi
	diff -u "$dir/$1.expected" "$work/$1" >&2 || fail "$1: differs"
}

# Guards against a report that is incomplete, or that differs between
# balancers that have the same documents.
test_sections() {
	for section in summary upstreams selectors vms refusals flows; do
		golden $section $section
	done
	both all --format kv | cut -d ' ' -f 1 | uniq >"$work/order"
	expect sections "$(tr '\n' ' ' <"$work/order")" "record=server \
record=document record=upstream record=selector record=vm record=refusal \
record=flows record=counter "
}

# Guards against tables without column titles, also when no section is named.
test_table() {
	both >"$work/table" || fail "exit $?"
	both all --format table >"$work/named" || fail "exit $?"
	for file in table named; do
		for title in '^ADDRESS ' '^DOCUMENT ' '^SERVER .* HEALTH ' \
		    '^SERVER .* RAMP ' '^SERVER .* LIVENESS '; do
			grep -q "$title" "$work/$file" ||
			    fail "no title '$title'"
		done
	done
}

# count SERVER KEY NAME: prints a value of the section refusals (KEY reason) or
# counters (KEY counter).
count() {
	show --server "$1:7200" all --format kv |
	    sed -n "s/.* $2=$3 [a-z]*=//p"
}

count_above() {
	[ "$(count "$1" "$2" "$3")" -gt "$4" ]
}

# Guards against refusals that "knapctl show" does not report.  The call is
# refused because procedure 2 is not idempotent and the call has no token.
test_refusals() {
	expect before "$(count "$net.1" reason no_flow)" 0
	"$bin/standin-probe" "$net.20:111" call --proc 2 >"$work/probe.log"
	expect denied "$?" 1
	expect after "$(count "$net.1" reason no_flow)" 1
	expect refused "$(count "$net.1" counter refused)" 1
	show --server "$net.1:7200" refusals >"$work/table"
	expect rows "$(tail -n +2 "$work/table" | grep -c .)" 1
}

# Guards against unreachable servers that are left out without a message.  b2 is
# stopped, so it accepts a connection but does not answer; the third address
# refuses the connection.
test_unreachable() {
	kill -STOP "$(pid_of b2)"
	"$bin/knapctl" show summary --timeout-ms 300 --format kv \
	    --server "$net.1:7200" --server "$net.2:7200" \
	    --server "$net.3:7200" >"$work/out" 2>"$work/err"
	expect status "$?" 1
	expect unreachable "$(grep -c 'state=unreachable' "$work/out")" 2
	expect reached "$(grep -c 'server=b1 state=serving' "$work/out")" 1
	expect messages "$(wc -l <"$work/err")" 2
	grep -q "^$net.2:7200: " "$work/err" || fail "no message on b2"
	grep -q "^$net.3:7200: " "$work/err" || fail "no message on $net.3"
	grep -q 'document=declaration .* servers=1 ' "$work/out" ||
	    fail "unreachable servers are compared"
	wait_for "b2 dead" 20 sees_dead
	kill -CONT "$(pid_of b2)"
	wait_for "b2 back" 20 fleet_ready
}

sees_dead() {
	show --server "$net.1:7200" vms --format kv |
	    grep -q 'vm=b2 .* liveness=dead'
}

# Guards against a comparison of documents that misses a difference.  b4 is not
# part of the fleet and gets revision 2 from a separate platform.
test_behind() {
	mkdir "$work/docs2"
	declaration 2 >"$work/docs2/declaration.ini"
	cp conf/kowhai/keys.ini "$work/docs2/keys.ini"
	printf '[vm b4]\naddress = %s:7000\nzone = akl-a\n' "$net.5" \
	    >"$work/docs2/vms.ini"
	start platform2 "$bin/standin-platform" --listen "$net.31:8080" \
	    --dir "$work/docs2" --first-version 9
	wait_line platform2.log event=ready
	settings b4 akl-a "$net.5" "$net.6" |
	    sed "s/$net.30/$net.31/; /^metrics_address/d" >"$work/b4.ini"
	start b4 "$bin/knapweedd" --config "$work/b4.ini"
	wait_for "revision 2 on b4" 20 has_revision "$net.5" 2
	both summary --server "$net.5:7200" --format kv >"$work/out" ||
	    fail "exit $?"
	grep -q "document=declaration newest_revision=3 newest_version=7 \
servers=3 agree=no behind=b4" "$work/out" ||
	    fail "difference of declarations not shown"
	grep -q 'document=keys .* agree=no behind="b1 b2"' "$work/out" ||
	    fail "difference of keys not shown"
}

metric() {
	sed -n "s/^$1 //p" "$work/metrics"
}

# get PATH ARGUMENT...: sends a request with curl; sets $code to the HTTP status
# and writes the body to $work/metrics.
get() {
	kf_path=$1
	shift
	code=$(curl -s --max-time 10 -o "$work/metrics" -w '%{http_code}' \
	    "$@" "http://$net.1:7400$kf_path")
}

# Guards against metrics that differ from "knapctl show", a format that scrapers
# refuse, and answers to paths or methods that must be refused.
test_metrics() {
	wait_for "metrics of the refusal" 10 metric_refused
	get /metrics
	expect get "$code" 200
	expect reason "$(metric 'knapweed_reason_total{reason="no_flow"}')" 1
	expect revision "$(metric knapweed_revision)" 3
	expect flows "$(metric knapweed_flows)" 0
	# Each sample must follow the HELP and TYPE lines of its metric.
	awk '/^# HELP / { help = $3; next }
	    /^# TYPE / { if ($3 != help) exit 1; type = $3; next }
	    { sub(/[{ ].*/, ""); if ($0 != type) exit 1 }' "$work/metrics" ||
	    fail "not the text exposition format"
	curl -s -D "$work/head" -o /dev/null "http://$net.1:7400/metrics"
	grep -qi '^content-type: text/plain; version=0.0.4' "$work/head" ||
	    fail "content type"
	get /
	expect root "$code" 404
	get /metrics/x
	expect below "$code" 404
	get /metrics -X POST -d x
	expect post "$code" 405
	get /metrics -X DELETE
	expect delete "$code" 405
	get / -X POST -d x
	expect "post elsewhere" "$code" 404
}

metric_refused() {
	get /metrics
	[ "$(metric knapweed_refused_total)" = 1 ]
}

# Guards against a second process that starts although its metrics port is in
# use.
test_metrics_port_in_use() {
	settings b3 akl-a "$net.4" "$net.1" |
	    sed "s/^metrics_address.*/metrics_address = $net.1:7400/" \
	    >"$work/b3.ini"
	timeout 10 "$bin/knapweedd" --config "$work/b3.ini" \
	    >"$work/b3.log" 2>&1
	expect status "$?" 1
	grep -q "cannot serve metrics on $net.1:7400" "$work/b3.log" ||
	    fail "no message about the port in use"
}

# Guards against sanitizer reports and failures at shutdown that go unnoticed:
# both make the exit status differ from 0.
test_stop() {
	for name in b1 b2 b4; do
		stop $name
		expect "status of $name" "$status" 0
		grep -q 'event=stopped status=ok' "$work/$name.log" ||
		    fail "$name did not log event=stopped status=ok"
	done
}

usage() {
	"$bin/knapctl" "$@" >"$work/usage" 2>&1
	expect "$*" "$?" 2
}

# Guards against wrong arguments that are silently ignored.
test_usage() {
	usage show
	usage show summary
	usage show colour --server "$net.1:7200"
	usage show vms flows --server "$net.1:7200"
	usage show --server "$net.1"
	usage show --server "$net.1:7200" --server "$net.1:7200"
	usage show --server "$net.1:7200" --format xml
	usage show --server "$net.1:7200" --timeout-ms 0
	usage shows --server "$net.1:7200"
}

test_usage
start_platform
start_upstreams
start_fabric "$net.1:7300"
start_fleet
test_sections
test_table
test_refusals
test_metrics
test_metrics_port_in_use
test_behind
test_unreachable
test_stop
