# Guards against the use of malformed or foreign entries of the store, removed
# routes that are still served, and changed settings that are not reread.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc

start_packets
world put servers/i-00000f not-json
world put servers/i-0000ff '{"Service":"orders"}'
world put servers/nobody '{}'
world put other/key text
world put op/config '{"Version":6}'
world add i-0000a9 orders zone-1 "$net.19:8080" 3
clients 100
run_requests 100
end_clients
world stats
expect answered "$(value answered "$work/answer")" \
    "$(value requests "$work/answer")"
check_rules
world runs
expect_some "entry after malformed ones" "$(value i-0000a9 "$work/answer")"
for key in servers/i-00000f servers/i-0000ff servers/nobody op/config; do
	grep -q "event=item_refused key=$key " "$work/v1.log" ||
	    fail "no line about $key"
done

# What others write takes no memory in VMs and in their messages: random text is
# not compressed.
junk=$(head -c 8000 /dev/urandom | base64 -w 0)
world put other/junk "$junk"
world put servers/i-0000ee "$junk"
wait_line v1.log "event=item_refused key=servers/i-0000ee"
bytes=$(curl -s "http://$net.1:7720/changes?after=0&era=0" | wc -c)
[ "$bytes" -gt 0 ] && [ "$bytes" -lt 4000 ] || fail "$bytes bytes of changes"

# Flows to a removed route are refused at once and none of their requests run.
world config 8 198.18.0.2:443=certs
sleep 3
runs=$(stat runs)
refused=$(stat refused)
clients 50
run_requests 20
end_clients
expect "runs without a route" "$(stat runs)" "$runs"
[ "$(stat refused)" -ge $((refused + 20)) ] || fail "not refused at once"

# Settings: a change without a signal, one with an error, and one that needs a
# restart.
sed "s/^seeds = .*/seeds = $net.2:7720/" "$work/v1.ini" >"$work/v1.new"
mv "$work/v1.new" "$work/v1.ini"
wait_line v1.log 'event=reload outcome=taken seeds=1'
echo 'unknown = 1' >>"$work/v1.ini"
kill -HUP "$(pid_of v1)"
wait_line v1.log 'event=reload outcome=refused'
grep -q "event=settings_error .*unknown key" "$work/v1.log" ||
    fail "the error is not named"
forwarder_settings 1 zone-9 >"$work/v1.ini"
kill -HUP "$(pid_of v1)"
wait_line v1.log 'event=reload outcome=partial_needs_restart'
