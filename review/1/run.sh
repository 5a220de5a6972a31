#!/bin/sh
# DRAIN: VMs that restart read the store's pages with different ages.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common.inc"
# Time until a killed process runs again.
down=1
seeds=$net.1:8166,$net.2:8166,$net.3:8166
start_vm v1 akl-a 0 1
start_vm v2 akl-b 1 2
start_vm v3 akl-c 2 3
world paged
