#!/bin/sh
# CONFIG: VMs keep asking a VM that froze after it announced a change.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common.inc"
# Time until a killed process runs again.
down=3.5
seeds=$net.11:8166,$net.21:8166,$net.31:8166
for number in 1 2 3 4; do
	start_vm "b$number" akl-b 1 "2$number"
done
for number in 1 2 3; do
	start_vm "a$number" akl-a 0 "1$number"
done
for number in 1 2; do
	start_vm "c$number" akl-c 2 "3$number"
done
world source
