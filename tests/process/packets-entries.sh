# Guards against an item of another writer whose key has the number of an
# upstream's id: whatever it says and whenever it is written, read or removed,
# the upstream stays in use and is drained by its own entry.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc

# foreign STATE BORN: prints an entry that sends orders to an upstream of certs.
foreign() {
	printf '{"Service":"orders","Address":"%s","Zone":"zone-1",' \
	    "$net.15:8080"
	printf '"Version":"v1","Slots":3,"State":"%s","ColdLeftMs":0,' "$1"
	printf '"Seq":900,"born":%s}' "$2"
}

upstreams="0000a1 0000a2 0000b1 0000c1 0000d1"

# expect_all_used: each upstream of orders runs requests.
expect_all_used() {
	world runs
	cp "$work/answer" "$work/runs-before"
	expect_served "$route" orders
	world runs
	for id in 0000a1 0000a2 0000b1 0000c1; do
		[ "$(value "i-$id" "$work/answer")" -gt \
		    "$(value "i-$id" "$work/runs-before")" ] ||
		    fail "i-$id runs nothing"
	done
	expect_served 198.18.0.2:443 certs
}

start_world
for id in $upstreams; do
	world put "servers/a-$id" '{"Rack":7,"Note":"fan"}'
done
world config 5 "$route=orders" 198.18.0.2:443=certs
for vm in 1 2 3; do
	start_vm "$vm"
done
wait_stat in_rotation 3
add_upstreams
wait_line v1.log 'event=upstream key=servers/i-0000d1 change=added'
for id in $upstreams; do
	world put "servers/note-$id" '{"Rack":7,"Note":"fan"}'
	world put "servers/$id" "$(foreign ready 1)"
done
world put servers/drained-0000a1 "$(foreign draining 1)"
wait_line v1.log 'event=entries_conflict id=a1 used=i-0000a1'
expect_all_used
expect "hidden at v1" "$(metric 1 knapweed_entries_hidden)" 6
expect "conflicts at v1" "$(metric 1 knapweed_entry_conflicts_total)" 6

# From a listing, in which some of the items come first and some last, and
# from another VM.
restart_all
expect_all_used
world store silent
stop v3 KILL
start_vm 3
wait_line v3.log event=ready 20
wait_stat in_rotation 3
expect_all_used
world store up

for id in $upstreams; do
	world delete "servers/a-$id"
	world delete "servers/note-$id"
	world delete "servers/$id"
done
world delete servers/drained-0000a1
sleep 3
expect_all_used
expect "hidden at v1" "$(metric 1 knapweed_entries_hidden)" 0

# An entry of a later start comes first.  When it goes away, the upstream's own
# entry, which has not changed, is used at once.
world put servers/note-0000a1 "$(foreign draining 9999999999999)"
wait_line v1.log 'event=entries_conflict id=a1 used=note-0000a1'
expect_served "$route" orders
world put servers/note-0000a1 '{}'
wait_line v1.log 'event=entries_conflict id=a1 used=i-0000a1 other=note-0000a1'
sleep 1
expect_all_used

world put servers/z-0000a2 "$(foreign ready 1)"
world drain i-0000a2
sleep 3
expect_served "$route" orders
check_rules
