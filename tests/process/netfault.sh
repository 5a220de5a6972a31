# Tests the programs built with netfault, which drops datagrams and refuses
# connections by rules from a file.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_balancer=$build/netfault/knapweedd-faulty
bad_rules() { # LINE
	netfault_rules "$1"
	refused "$fleet_balancer" --config "$conf/balancer-1.ini" --check
	grep -q "netfault: $KF_NETFAULT_RULES:2: " "$work/refused.log" ||
	    fail "not reported: $1: $(cat "$work/refused.log")"
}

# Guards against rules that are silently ignored.
fleet_conf kowhai 2
refused "$fleet_balancer" --config "$conf/balancer-1.ini" --check
grep -q 'KF_NETFAULT_RULES:0: environment variable is not set' "$work/refused.log" ||
    fail "missing variable: $(cat "$work/refused.log")"
bad_rules 'drop 127.0.0.1 127.0.0.2'
bad_rules 'cut 127.0.0.1'
bad_rules 'cut 127.0.0.1 127.0.0.2 127.0.0.3'
bad_rules 'cut 127.0.0.1 127.0.0.256'
bad_rules 'cut 127.0.0.9-8 127.0.0.2'
bad_rules 'loss 101 127.0.0.1 127.0.0.2'
bad_rules 'loss 5% 127.0.0.1 127.0.0.2'
bad_rules 'loss 5 127.0.0.1 127.0.0.2 127.0.0.3'
bad_rules 'seed -1'
rm "$KF_NETFAULT_RULES"
refused "$fleet_balancer" --config "$conf/balancer-1.ini" --check

# Guards against a production binary that contains netfault.
if grep -q KF_NETFAULT "$bin/knapweedd"; then
	fail "knapweedd reads KF_NETFAULT_RULES"
fi
grep -q KF_NETFAULT "$fleet_balancer" ||
    fail "$fleet_balancer does not read KF_NETFAULT_RULES"

# Guards against a cut that lets TCP through: a new balancer connects to its
# peers to ask for documents.
netfault_rules '' '' "cut $net.31 $net.32"
start_platform
start_balancer 2
start_balancer 1
sleep 2

# Guards against check_netfault missing a rule without effect: no process has
# the address $net.99.
netfault_rules "loss 50 $net.31 $net.32" "cut $net.99 $net.32"
sleep 2
netfault_rules
sleep 1
expect_some "refused connects" "$(netfault_sum refused 3)"
expect_some "dropped of a used pair" "$(netfault_sum dropped 1)"
(
	trap - EXIT
	check_netfault 2
) >"$work/unused.out" 2>&1 && fail "a rule without effect was not noticed"
grep -q 'dropped by rule 2' "$work/unused.out" ||
    fail "not reported: $(cat "$work/unused.out")"

# Guards against a change at run time that is silently ignored.
netfault_rules 'colour red'
wait_line balancer-1.log 'netfault: .*:2: expected seed, cut or loss'
stop balancer-1
expect "status after malformed rules" "$status" 3
