# Tests each stand-in program by itself.
set -u
build=$1
. "$(dirname "$0")/common.sh"

# Guards against traffic that leaves the loopback network, and against
# misspelt options that are silently ignored.
test_options() {
	refused "$bin/standin-fabric"
	refused "$bin/standin-fabric" --service 10.0.0.1:1 \
	    --encap-address "$net.1:2"
	refused "$bin/standin-fabric" --service "$net.1:1" \
	    --encap-address 192.0.2.1:2
	refused "$bin/standin-fabric" --service "$net.1:7000" \
	    --encap-address "$net.1:7001" --balancer 10.0.0.1:1
	refused "$bin/standin-fabric" --service "$net.1:7000" \
	    --encap-address "$net.1:7001" --drop 1.5
	refused "$bin/standin-fabric" --service "$net.1:7000" \
	    --encap-address "$net.1:7001" --delay-ms 5-1
	refused "$bin/standin-upstream"
	refused "$bin/standin-upstream" --upstream name=a
	refused "$bin/standin-upstream" --upstream name=a,address=10.0.0.1:1
	refused "$bin/standin-upstream" \
	    --upstream "name=a,address=$net.1:7000,slots=0"
	refused "$bin/standin-upstream" \
	    --upstream "name=a,address=$net.1:7000,colour=red"
	refused "$bin/standin-caller"
	refused "$bin/standin-caller" --service 10.0.0.1:1
	refused "$bin/standin-caller" --service "$net.1:7000" --flows 0
	refused "$bin/standin-caller" --service "$net.1:7000" --mix 1
	refused "$bin/standin-caller" --service "$net.1:7000" --mix 1=1 \
	    --non-idempotent 2
	refused "$bin/standin-caller" --service "$net.1:7000" --timeout-ms 200000
	refused "$bin/standin-platform"
	refused "$bin/standin-platform" --listen 10.0.0.1:80
	refused "$bin/standin-platform" --listen "$net.1:8080" --file colour=x
	refused "$bin/standin-control" 10.0.0.1:1 stats
	refused "$bin/standin-check"
	refused "$bin/standin-check" --ledger "$work/none" --results "$work/none"
}

start_upstreams() {
	start upstream "$bin/standin-upstream" --service-time-us 1000 \
	    --queue 4 --seed 7 --ledger "$work/ledger" \
	    --control "$net.10:7001" \
	    --upstream "name=a,address=$net.11:7000,slots=3,service=1" \
	    --upstream "name=b,address=$net.12:7000,slots=1,service=2"
	wait_line upstream.log event=ready
}

call_a() {
	"$bin/standin-caller" --service "$net.11:7000" --duration-s 1 \
	    --service-tag 1 --mix 1=2,2=1 --non-idempotent 2 --seed 3 "$@"
}

# Guards against answers that belong to another request and against
# executions missing from the ledger.
test_straight_calls() {
	call_a --flows 3 --think-ms 5 --results "$work/results" \
	    >"$work/caller.log" || fail "caller failed"
	requests=$(value requests "$work/caller.log")
	expect_some requests "$requests"
	expect answered "$(value answered "$work/caller.log")" "$requests"
	expect wrong "$(value wrong_answer "$work/caller.log")" 0
	expect lines "$(wc -l <"$work/ledger")" "$requests"
	"$bin/standin-check" --ledger "$work/ledger" \
	    --results "$work/results" >"$work/check.log" ||
	    fail "$(cat "$work/check.log")"
	expect executions "$(value executions "$work/check.log")" "$requests"
}

# Guards against a server that refuses what a stock client sends.
test_stock_client() {
	"$bin/standin-caller" --service "$net.11:7000" --stock --caller 2 \
	    >"$work/stock.log" || fail "stock client: $(cat "$work/stock.log")"
	expect answered "$(value answered "$work/stock.log")" 8
}

# Guards against a shed request that is in the ledger, so that it ran although
# its refusal says that it did not.
test_shedding() {
	rm -f "$work/results"
	call_a --caller 3 --flows 40 --think-ms 2 --results "$work/results" \
	    >"$work/shed.log" || fail "caller failed"
	expect_some refused "$(value refused "$work/shed.log")"
	"$bin/standin-check" --ledger "$work/ledger" \
	    --results "$work/results" >"$work/check.log" ||
	    fail "$(cat "$work/check.log")"
}

# Guards against calls for an upstream's earlier incarnation being run.
test_incarnation() {
	"$bin/standin-probe" "$net.12:7000" status >"$work/probe.log" ||
	    fail "no status"
	old=$(value incarnation "$work/probe.log")
	expect slots "$(value slots "$work/probe.log")" 1
	"$bin/standin-probe" "$net.12:7000" call --incarnation "$old" \
	    >"$work/probe.log" || fail "right incarnation refused"
	control "$net.10:7001" restart b >"$work/control.log"
	new=$(value incarnation "$work/control.log")
	[ "$new" -gt "$old" ] || fail "incarnation did not grow"
	"$bin/standin-probe" "$net.12:7000" call --incarnation "$old" \
	    >"$work/probe.log" && fail "wrong incarnation accepted"
	expect auth_stat "$(value auth_stat "$work/probe.log")" 4
}

# Guards against a queued request that starts after its deadline or after
# it was cancelled.
test_deadline_and_cancel() {
	control "$net.10:7001" slow b 1000 >"$work/control.log"
	before=$(wc -l <"$work/ledger")
	"$bin/standin-probe" "$net.12:7000" call --xid 1 --number 21 \
	    --wait-ms 0 --deadline-ms 100000 >"$work/probe.log"
	wait_for "first request" 5 running 1
	"$bin/standin-probe" "$net.12:7000" call --xid 2 --number 22 \
	    --wait-ms 0 --deadline-ms 1 >"$work/probe.log"
	"$bin/standin-probe" "$net.12:7000" call --xid 3 --number 23 \
	    --wait-ms 0 --deadline-ms 100000 >"$work/probe.log"
	"$bin/standin-probe" "$net.12:7000" cancel --xid 3 >"$work/probe.log" ||
	    fail "no answer to cancel"
	expect cancelled "$(value cancel "$work/probe.log")" 1
	"$bin/standin-probe" "$net.12:7000" cancel --xid 1 >"$work/probe.log"
	expect running "$(value cancel "$work/probe.log")" 2
	"$bin/standin-probe" "$net.12:7000" cancel --xid 9 >"$work/probe.log"
	expect unknown "$(value cancel "$work/probe.log")" 0
	wait_for "late request" 30 late_count 1
	control "$net.10:7001" slow b 1 >"$work/control.log"
	expect started "$(wc -l <"$work/ledger")" $((before + 1))
}

running() {
	[ "$(control "$net.10:7001" stats b | value in_flight)" = "$1" ]
}

late_count() {
	[ "$(control "$net.10:7001" stats b | value late)" = "$1" ]
}

# Guards against injected faults without effect, with which tests of the
# balancer prove nothing.
test_upstream_faults() {
	control "$net.10:7001" lie b bad >"$work/control.log"
	"$bin/standin-probe" "$net.12:7000" status >"$work/probe.log"
	expect flags "$(value flags "$work/probe.log")" 4
	control "$net.10:7001" lie b off >"$work/control.log"
	control "$net.10:7001" drain b >"$work/control.log"
	"$bin/standin-probe" "$net.12:7000" status >"$work/probe.log"
	expect draining "$(value flags "$work/probe.log")" 1
	control "$net.10:7001" undrain b >"$work/control.log"
	control "$net.10:7001" freeze a >"$work/control.log"
	rm -f "$work/results"
	call_a --caller 4 --flows 2 --timeout-ms 300 --retransmit-ms 100 \
	    --results "$work/results" >"$work/frozen.log"
	expect answered "$(value answered "$work/frozen.log")" 0
	expect_some unknown "$(value unknown_outcome "$work/frozen.log")"
	expect_some retransmits "$(value retransmits "$work/frozen.log")"
	expect broken "$(value broken_flows "$work/frozen.log")" 2
	control "$net.10:7001" thaw a >"$work/control.log"
	"$bin/standin-probe" "$net.11:7000" status >"$work/probe.log" ||
	    fail "silent after thaw"
	control "$net.10:7001" silence a ANY >"$work/control.log"
	"$bin/standin-probe" "$net.11:7000" status >"$work/probe.log" ||
	    fail "a new source port is silenced too"
	control "$net.10:7001" drain nobody >"$work/control.log" &&
	    fail "unknown upstream accepted"
	control "$net.10:7001" bogus >"$work/control.log" &&
	    fail "unknown command accepted"
}

# Guards against a silenced source port that is still served.
test_silence() {
	start silent "$bin/standin-caller" --service "$net.11:7000" \
	    --caller 5 --flows 1 --think-ms 5 --duration-s 60 \
	    --timeout-ms 300 --retransmit-ms 100 --progress
	wait_line silent.log 'answered=[1-9]'
	control "$net.10:7001" silence a ANY >"$work/control.log"
	wait_line silent.log 'unknown_outcome=[1-9]'
	stop silent
	expect status "$status" 0
	wait_line silent.log event=summary
}

# Guards against a crash on datagrams that are not RPC calls.
test_bad_datagrams() {
	before=$(control "$net.10:7001" stats b | value malformed)
	"$bin/standin-probe" "$net.12:7000" garbage --wait-ms 0 >"$work/probe.log"
	"$bin/standin-probe" "$net.12:7000" status >"$work/probe.log" ||
	    fail "no answer after garbage"
	expect malformed \
	    "$(control "$net.10:7001" stats b | value malformed)" \
	    $((before + 1))
}

call_t() { # CALLER ARGUMENT...
	caller=$1
	shift
	rm -f "$work/results"
	"$bin/standin-caller" --service "$net.13:7000" --duration-s 1 \
	    --caller "$caller" --flows 4 --think-ms 5 --service-tag 3 --seed 3 \
	    --results "$work/results" "$@" >"$work/tokens.log" ||
	    fail "caller failed"
	"$bin/standin-check" --ledger "$work/ledger-t" \
	    --results "$work/results" >"$work/check.log" 2>&1 ||
	    fail "$(cat "$work/check.log")"
}

start_token_upstream() {
	start tokens "$bin/standin-upstream" --tokens --service-time-us 1000 \
	    --ledger "$work/ledger-t" --control "$net.10:7002" \
	    --upstream "name=t,address=$net.13:7000,slots=3,service=3"
	wait_line tokens.log event=ready
}

# Guards against a load generator that treats tokens unlike the stock client,
# which establishes a flow when it has no token and uses the newest one.
test_caller_tokens() {
	call_t 1 --mix 1=1,2=1 --non-idempotent 2
	requests=$(value requests "$work/tokens.log")
	expect_some requests "$requests"
	expect answered "$(value answered "$work/tokens.log")" "$requests"
	expect_some tokens "$(value tokens "$work/tokens.log")"
	call_t 2 --mix 2=1 --non-idempotent 2
	expect established "$(value established "$work/tokens.log")" 4
	expect retried "$(value retried "$work/tokens.log")" 4
}

# Guards against a revoked token that breaks a flow.  Each of the 4 flows is
# refused first without a token, then with the revoked one, then without a token
# again.  An answer in flight during a revocation may bring a valid token, so
# tokens are revoked until there are enough refusals.
test_caller_revoked() {
	before=$(control "$net.10:7002" stats t | value refused)
	start revoked "$bin/standin-caller" --service "$net.13:7000" \
	    --duration-s 60 --caller 3 --flows 4 --service-tag 3 --progress \
	    --mix 2=1 --non-idempotent 2
	wait_line revoked.log 'answered=[1-9]'
	wait_for "refusals without a token" 10 refusals $((before + 4))
	wait_for "refusals of old tokens" 10 revoke_until $((before + 12))
	stop revoked
	# Only requests that the signal interrupted may lack an answer.
	expect answered "$(value answered "$work/revoked.log")" \
	    "$(($(value requests "$work/revoked.log") -
		$(value unfinished "$work/revoked.log")))"
}

revoke_until() {
	control "$net.10:7002" revoke t >"$work/control.log"
	refusals "$1"
}

refusals() {
	[ "$(control "$net.10:7002" stats t | value refused)" -ge "$1" ]
}

# Guards against a non-idempotent request that is repeated, an idempotent one
# that is not retried, and outcomes that are counted wrongly.
test_caller_outcomes() {
	control "$net.10:7002" fail t 3 >"$work/control.log"
	call_t 4 --mix 2=1 --non-idempotent 2
	expect unknown "$(value unknown_outcome "$work/tokens.log")" 3
	expect repeated "$(value repeated "$work/check.log")" 0
	control "$net.10:7002" fail t 3 >"$work/control.log"
	before=$(wc -l <"$work/ledger-t")
	call_t 5 --mix 1=1
	expect unknown "$(value unknown_outcome "$work/tokens.log")" 0
	# One request may fail more than once, so count executions.
	expect executions "$(($(wc -l <"$work/ledger-t") - before))" \
	    "$(($(value requests "$work/tokens.log") + 3))"
	control "$net.10:7002" refuse t 3 >"$work/control.log"
	call_t 6 --mix 1=1
	expect refused "$(value refused "$work/tokens.log")" 3
	control "$net.10:7002" refuse t 3 >"$work/control.log"
	call_t 7 --mix 1=1 --retry-refused
	expect refused "$(value refused "$work/tokens.log")" 0
	control "$net.10:7002" corrupt t 1 >"$work/control.log"
	call_t 8 --mix 1=1
	expect wrong "$(value wrong_answer "$work/tokens.log")" 1
	stop tokens
}

# Guards against a process that does not end or gives no summary.
test_upstream_stop() {
	stop upstream INT
	expect status "$status" 0
	grep -q event=summary "$work/upstream.log" || fail "no summary"
}

test_fabric() {
	start fabric "$bin/standin-fabric" --service "$net.20:111" \
	    --balancer "$net.21:7300" --balancer 127.0.0.1:7300 \
	    --encap-address "$net.20:7400" --control "$net.20:7401" --seed 5
	wait_line fabric.log event=ready
	"$bin/standin-probe" "$net.20:7400" garbage --wait-ms 0 >"$work/probe.log"
	wait_for "malformed datagram" 5 fabric_count malformed 1
	control "$net.20:7401" remove 127.0.0.1:7300 >"$work/control.log"
	"$bin/standin-probe" "$net.20:111" call --wait-ms 0 >"$work/probe.log"
	wait_for "sent datagram" 5 fabric_count to_balancers 1
	control "$net.20:7401" cut "$net.21" >"$work/control.log"
	"$bin/standin-probe" "$net.20:111" call --wait-ms 0 >"$work/probe.log"
	wait_for "cut datagram" 5 fabric_count cut 1
	control "$net.20:7401" heal "$net.21" >"$work/control.log"
	control "$net.20:7401" drop 1 >"$work/control.log"
	"$bin/standin-probe" "$net.20:111" call --wait-ms 0 >"$work/probe.log"
	wait_for "dropped datagram" 5 fabric_count dropped 1
	control "$net.20:7401" drop 0 >"$work/control.log"
	control "$net.20:7401" duplicate 1 >"$work/control.log"
	control "$net.20:7401" delay-ms 1-5 >"$work/control.log"
	"$bin/standin-probe" "$net.20:111" call --wait-ms 0 >"$work/probe.log"
	wait_for "delayed copies" 5 fabric_count delayed 2
	control "$net.20:7401" remove "$net.21:7300" >"$work/control.log"
	"$bin/standin-probe" "$net.20:111" call --wait-ms 0 >"$work/probe.log"
	wait_for "no balancer" 5 fabric_count no_balancer 1
	control "$net.20:7401" add 10.0.0.1:1 >"$work/control.log" &&
	    fail "address outside loopback accepted"
	control "$net.20:7401" quit >"$work/control.log"
	stop fabric
	expect status "$status" 0
	grep -q event=summary "$work/fabric.log" || fail "no summary"
}

fabric_count() {
	[ "$(control "$net.20:7401" stats | value "$1")" = "$2" ]
}

get() { # PATH [CURL-ARGUMENT...]: the status in $code
	path=$1
	shift
	code=$(curl -s --max-time 10 -o "$work/body" -D "$work/headers" \
	    -w '%{http_code}' "$@" "http://$net.30:8080$path")
	version=$(tr -d '\r' <"$work/headers" | sed -n 's/^X-Version: //p')
}

test_platform_reads() {
	mkdir "$work/docs"
	echo one >"$work/docs/declaration.ini"
	start platform "$bin/standin-platform" --listen "$net.30:8080" \
	    --control "$net.30:8081" --dir "$work/docs" --first-version 7
	wait_line platform.log event=ready
	# Guards against two platforms on one address, with which a test
	# could read documents of another test.
	refused "$bin/standin-platform" --listen "$net.30:8080"
	get /v1/doc/declaration
	expect "first read" "$code $version $(cat "$work/body")" "200 7 one"
	get '/v1/doc/declaration?after=7'
	expect unchanged "$code" 304
	get '/v1/doc/declaration?after=7&wait_ms=50'
	expect "after wait" "$code" 304
	get /v1/doc/vms
	expect "missing document" "$code" 404
	get /v1/doc/other
	expect "unknown kind" "$code" 404
	get '/v1/doc/declaration?after=x'
	expect "bad number" "$code" 400
	# Guards against documents that can be written over HTTP.
	get /v1/doc/declaration -X PUT -d two
	expect put "$code" 405
	get /v1/doc/declaration -X POST -d two
	expect post "$code" 405
	get /v1/doc/declaration
	expect "after writes" "$(cat "$work/body")" one
}

# Guards against a watch that misses a change.
test_platform_watch() {
	curl -s --max-time 20 \
	    "http://$net.30:8080/v1/doc/declaration?after=7&wait_ms=15000" \
	    >"$work/watched" &
	watcher=$!
	wait_for "a waiting watch" 5 platform_count waiting 1
	echo two >"$work/docs/declaration.ini.new"
	mv "$work/docs/declaration.ini.new" "$work/docs/declaration.ini"
	wait "$watcher" || fail "watch failed"
	expect watched "$(cat "$work/watched")" two
	echo three >"$work/three"
	control "$net.30:8081" publish declaration "$work/three" \
	    >"$work/control.log"
	expect version "$(value version "$work/control.log")" 9
	get '/v1/doc/declaration?after=8'
	expect published "$code $(cat "$work/body")" "200 three"
}

platform_count() {
	[ "$(control "$net.30:8081" stats | value "$1")" = "$2" ]
}

test_platform_faults() {
	control "$net.30:8081" stale 1 >"$work/control.log"
	get /v1/doc/declaration
	expect stale "$version $(cat "$work/body")" "8 two"
	control "$net.30:8081" stale 0 >"$work/control.log"
	control "$net.30:8081" slow 50 >"$work/control.log"
	get /v1/doc/declaration
	expect slow "$code $version" "200 9"
	control "$net.30:8081" slow 0 >"$work/control.log"
	control "$net.30:8081" lag-vms 300000 >"$work/control.log"
	echo '[vm a]' >"$work/vms"
	control "$net.30:8081" publish vms "$work/vms" >"$work/control.log"
	get /v1/doc/vms
	expect lagging "$code" 404
	control "$net.30:8081" lag-vms 0 >"$work/control.log"
	get /v1/doc/vms
	expect "lag over" "$code" 200
	control "$net.30:8081" down >"$work/control.log"
	get /v1/doc/declaration
	expect down "$code" 000
	control "$net.30:8081" up >"$work/control.log"
	get /v1/doc/declaration
	expect up "$code $version" "200 9"
	head -c 1048576 /dev/zero >"$work/largest"
	control "$net.30:8081" publish declaration "$work/largest" \
	    >"$work/control.log" || fail "1 MB refused"
	get /v1/doc/declaration
	expect size "$(wc -c <"$work/body")" 1048576
	head -c 1048577 /dev/zero >"$work/large"
	control "$net.30:8081" publish declaration "$work/large" \
	    >"$work/control.log" && fail "more than 1 MB accepted"
	stop platform
	expect status "$status" 0
	grep -q event=summary "$work/platform.log" || fail "no summary"
}

# check_finds COUNTER RESULTS LEDGER: standin-check must count one fault.
check_finds() {
	printf '%b' "$2" >"$work/check-results"
	printf '%b' "$3" >"$work/check-ledger"
	"$bin/standin-check" --results "$work/check-results" \
	    --ledger "$work/check-ledger" >"$work/check.log" 2>&1 &&
	    fail "checker passed: $1"
	expect "$1" "$(value "$1" "$work/check.log")" 1
}

# Guards against a checker that overlooks a broken invariant.  422212465065985
# is a non-idempotent request of service 1, 281474976710657 an idempotent one.
test_check() {
	order=request=422212465065985
	lookup=request=281474976710657
	check_finds doubled "$order verdict=answered\n" \
	    "$order service=1\n$order service=1\n"
	check_finds misrouted "$lookup verdict=answered\n" \
	    "$lookup service=2\n"
	check_finds false_not_run "$order verdict=not_run\n" \
	    "$order service=1\n"
	check_finds lost_answered "$order verdict=answered\n" ""
	check_finds malformed "$order verdict=odd\n" ""
	check_finds malformed "$order verdict=unknown\n" "request=x\n"
}

test_options
start_upstreams
test_straight_calls
test_stock_client
test_shedding
test_incarnation
test_deadline_and_cancel
test_upstream_faults
test_silence
test_bad_datagrams
test_upstream_stop
start_token_upstream
test_caller_tokens
test_caller_revoked
test_caller_outcomes
test_fabric
test_platform_reads
test_platform_watch
test_platform_faults
test_check
