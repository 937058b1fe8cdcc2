#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case4 ] && [ -x target/lagoonrouter ] || exit 2
exec timeout -k 5 110 target/review/case4 review/4/record.txt
