# Guards against a start with invalid settings, with an address in use or with an
# invalid command line, and against limits that differ from the manual page.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc

refused "$bin/knapweed-forwarder"
refused "$bin/knapweed-forwarder" --config "$work/missing.ini"
forwarder_settings 1 zone-1 >"$work/good.ini"
"$bin/knapweed-forwarder" --config "$work/good.ini" --check ||
    fail "good settings are refused"
sed 's/^zone = .*/zone = a b/' "$work/good.ini" >"$work/bad.ini"
refused "$bin/knapweed-forwarder" --config "$work/bad.ini" --check
grep -q 'bad.ini:3: vm: zone:' "$work/refused.log" ||
    fail "the error has no line: $(cat "$work/refused.log")"
start_vm 1
wait_line v1.log event=started
refused "$bin/knapweed-forwarder" --config "$work/good.ini"
grep -q "cannot bind $net.1:8172" "$work/refused.log" ||
    fail "the address is not named: $(cat "$work/refused.log")"
refused "$bin/knapctl" packets --server "$net.1:7720" --timeout-ms 60001
grep -q "60001.* is not a whole number from 1 to 60000" "$work/refused.log" ||
    fail "the limit of the manual page is not named: $(cat "$work/refused.log")"
refused "$bin/standin-packets" --store 10.0.0.1:80
refused "$bin/standin-packets" --vm 127.0.0.1:80
