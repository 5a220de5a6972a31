#!/bin/sh
# Compares the options in the manual pages with those in --help of the programs.
# Guards against a page that lacks an option or describes a removed one.
set -u
bin=$1/bin
out=$1/test-output/manual
mkdir -p "$out"
failed=0

fail() {
	echo "$*"
	failed=1
}

# Prints the long options of a help text on standard input, one per line.
help_options() {
	sed -n 's/^  \(-., \|    \)--\([a-z-]*\).*/\2/p'
}

# Prints each long option that has a letter as "LETTER LONG", one per line.
help_letters() {
	sed -n 's/^  -\(.\), --\([a-z-]*\).*/\1 \2/p'
}

page_options() {
	sed -n 's/^\.It Fl \(. , \)\{0,1\}-\([a-z-]*\).*/\2/p' "$1"
}

# page PROGRAM HELP: the manual page of PROGRAM must have the same options as
# the help text in the file HELP.
page() {
	page=$(ls man/"$1".[18] 2>/dev/null)
	[ -f "$page" ] || {
		fail "no manual page of $1"
		return
	}
	help_options <"$2" | sort -u >"$out/help"
	page_options "$page" | sort -u >"$out/page"
	[ -s "$out/help" ] || fail "$1: no options in --help"
	diff -u "$out/page" "$out/help" ||
	    fail "$page differs from the options of $1"
	help_letters <"$2" | while read -r letter long; do
		grep -qF ".It Fl $letter , -$long" "$page" ||
		    echo "$page lacks -$letter for --$long"
	done >"$out/letters"
	[ ! -s "$out/letters" ] || fail "$(cat "$out/letters")"
	mandoc -T lint -W warning "$page" || fail "$page: not well-formed"
}

for program in "$bin"/knapweedd "$bin"/knapweed-forwarder "$bin"/standin-*; do
	"$program" --help >"$out/text" || fail "$program --help"
	page "$(basename "$program")" "$out/text"
done
"$bin/knapctl" --help >"$out/text"
for command in $("$bin/knapctl" --help |
    sed -n '/^Commands:/,/^$/s/^  \([a-z]*\) .*/\1/p'); do
	"$bin/knapctl" "$command" --help >>"$out/text"
	grep -q "^\.It Cm $command\$" man/knapctl.1 ||
	    fail "man/knapctl.1 lacks the command $command"
done
page knapctl "$out/text"
[ "$(grep -c '^Usage: ' "$out/text")" -ge 6 ] ||
    fail "fewer than 6 usage lines in the help of knapctl"
# Every manual page must belong to a program.
for page in man/*.[18]; do
	[ -x "$bin/$(basename "$page" | sed 's/\.[18]$//')" ] ||
	    fail "no program of $page"
done
exit $failed
