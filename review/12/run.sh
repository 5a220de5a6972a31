#!/bin/sh
# An upstream is cut off for some seconds.  Later than StabilityMs after the cut
# has healed, flows that were opened to it since then must not be reset when
# routers move them to another VM.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../common-3.sh"

stability_ms=4000
route=127.18.0.1:443

# wait_since MARK MS: waits until this time after the mark, in ms.
wait_since() {
	left_ms=$(($1 + $2 - $(now_ms)))
	[ "$left_ms" -le 0 ] ||
	    sleep "$((left_ms / 1000)).$(printf %03d $((left_ms % 1000)))"
}

# Clients keep a flow open for 50 requests, 0.2 s apart.
start_world 3 --flow-requests 50 --hold-ms 200
for up in 1 2 3 4; do
	world add "i-0000a$up" orders zone-1 "$net.1$up:8080" 3
done
world config 5 "$route=orders"
for vm in 1 2 3; do
	start_vm "$vm" zone-1
done
wait_until 15 in_rotation 3
world clients 40 "$route" orders
sleep 5
[ "$TROUBLE" = 0 ] || world state i-0000a1 silent
cut_ms=$(now_ms)

# Planned work: v1 and then v3 are stopped with SIGTERM, v1 starts again.
kill -TERM "$(cat "$work/v1.pid")"
note "v1 is stopped"
if [ "$TROUBLE" != 0 ]; then
	wait_until 5 grep -q 'event=upstream_dead .*i-0000a1' "$work/v2.log"
	dead_ms=$(now_ms)
	wait_since "$dead_ms" 2050
	world state i-0000a1 runs
else
	wait_since "$cut_ms" 3000
fi
healed_ms=$(now_ms)
note "the cut has lasted $((healed_ms - cut_ms)) ms"
wait "$(cat "$work/v1.pid")" 2>/dev/null
start_vm 1 zone-1
note "v1 starts again"
wait_since "$healed_ms" 3600
kill -TERM "$(cat "$work/v3.pid")"
note "v3 is stopped"
wait_since "$healed_ms" $((stability_ms + 20))
world stats
before=$(value reset_open)
record_stats "$(($(now_ms) - healed_ms)) ms after the cut has healed"
wait_since "$healed_ms" 8000
record_stats "8 s after the cut has healed"
resets=$(($(stat reset_open) - before))
world clients 0
[ "$resets" = 0 ] ||
    finish 1 "FLOW broken: $resets open flows were reset by a VM later than $stability_ms ms after the cut had healed, while their upstream ran"
finish 0 "FLOW held"
