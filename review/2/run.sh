#!/usr/bin/env bash
# Plays a part of long prompts that crashes servers. With TROUBLE=0 the part is harmless. Exits
# with 1 if the rule was broken, 0 if it held, 2 if the case could not run. PARTS sets the number
# of parts of a prompt (20).
set -u
cd "$(dirname "$0")/../.."
timeout -k 5 110 target/review/parts review/2/record.txt target/currantusher
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
