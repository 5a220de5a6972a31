#!/bin/sh
# Runs the capacity program with small sizes.  Guards against a measurement that
# fails, prints too few points or no fit, or is missing from the output.
# Runs alone: it loads all processors.
set -eu
build=$1
out=$build/test-output/capacity.out
"$build/bin/capacity" --smoke >"$out"

fail() {
	echo "$1"
	cat "$out"
	exit 1
}

for name in declaration.text declaration.held declaration.peak \
    declaration.parse declaration.clashes view.build_16_vms \
    view.held_16_vms view.build_1000_upstreams view.build_16000_vms \
    view.held_16000_vms view.refresh_16000_vms view.change_16000_vms members.held members.tick members.heartbeat_taken \
    members.heartbeat_round members.control_sent members.heartbeats \
    distribution.start_reads distribution.steady_reads distribution.change \
    distribution.zone_reads distribution.zone_restart \
    distribution.region_reads distribution.region_rejoin \
    distribution.outage_reads distribution.return_reads \
    distribution.rack_lost \
    distribution.held_per_vm flows.records flows.begin_finish \
    traffic.served_held traffic.served_tick traffic.declared_held \
    traffic.adopt_declaration traffic.adopt_view traffic.declared_tick \
    traffic.place codecs.token_seal codecs.token_open codecs.call_read \
    codecs.intent_seal_open control.vm_list control.held control.tick \
    control.vm_restart control.busy; do
	points=$(grep -c "^measure=$name [a-z]*=[0-9]* [a-z_]*=[0-9.e+]*$" "$out") ||
	    fail "$name has no points"
	[ "$points" -ge 3 ] || fail "$name has fewer than 3 points"
	grep -Eq "^fit=$name slope=[-+.e0-9]+ intercept=[-+.e0-9]+ residual_percent=[.0-9]+ points=$points " \
	    "$out" || fail "$name has no fit"
done
# A sanitizer's allocator reports no bytes in use, so 0 is allowed.
for name in declaration.upstream_struct declaration.service_struct \
    declaration.selector_struct traffic.empty_core codecs.token codecs.intent \
    codecs.lease; do
	grep -Eq "^figure=$name bytes=[0-9]" "$out" || fail "$name is missing"
done

# The simulation stops after 120 s if a declaration has not reached all VMs.
if grep -E '^measure=distribution\.(change|zone_restart|region_rejoin|rack_lost) ' "$out" |
    grep -q ' s=12[0-9]'; then
	fail "a declaration did not come into force on all VMs within 120 s"
fi
