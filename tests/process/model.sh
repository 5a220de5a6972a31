#!/bin/sh
# Checks all interleavings of models/at_most_once.pml with spin.  Guards
# against a protocol that runs a request twice or refuses one falsely, and
# against a model that cannot fail: each variant that omits one rule must
# violate an assertion.
set -eu
build=$1
model=$PWD/models/at_most_once.pml
dir=$build/test-output/model
variants=$(sed -n 's/^ \*	\([A-Z_]*\)	.*/\1/p' "$model")
rm -rf "$dir"
mkdir -p "$dir"
cd "$dir"

# Limits: 60 s of CPU, 512 MB, search depth 1000000.
check() { # name spin-option...
	name=$1
	shift
	mkdir "$name"
	(cd "$name" && spin "$@" -a "$model" >spin.log &&
	    gcc -O0 -w -DSAFETY -DMEMLIM=512 -o pan pan.c &&
	    ulimit -t 60 && ./pan -m1000000 >log)
}

fail() {
	echo "$1"
	exit 1
}

check protocol
cat protocol/log
grep -q 'errors: 0' protocol/log || fail "the model of the protocol has errors"
if grep -qE 'max search depth too small|out of memory|interrupted' \
    protocol/log; then
	fail "the search was not complete"
fi
# Guards against a model with unreachable steps.
if grep -E ', state [0-9]+, ' protocol/log | grep -qv -e '-end-'; then
	fail "a step of the model is unreachable"
fi

for variant in $variants; do
	check "$variant" "-D$variant"
	found=$(grep 'assertion violated' "$variant/log") ||
	    fail "variant $variant violates no assertion"
	echo "variant $variant: $found"
done
[ "$(echo "$variants" | wc -w)" -eq 10 ] || fail "a variant is missing"
