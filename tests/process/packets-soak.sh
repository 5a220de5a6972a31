# Guards against promises that break when several faults overlap: flows reset or
# sent elsewhere, requests that run twice, VMs that do not recover.  The seed
# decides on the faults; scripts/soak runs others.  Seeds that have failed are
# kept in tests/soak-seeds.txt.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc
. tests/process/soak.inc

soak "${SOAK_SEED:-20261204}"
