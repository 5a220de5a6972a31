# Guards against failures while several faults overlap: flows that are reset or
# sent to another upstream, requests that run twice, VMs that do not recover.
# The faults are derived from the seed; scripts/soak runs other seeds.  Seeds
# that have failed are kept in tests/soak-seeds.txt.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc
. tests/process/soak.inc

soak "${SOAK_SEED:-20261204}"
