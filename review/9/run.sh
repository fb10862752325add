#!/bin/bash
# Plays the case lost-configuration on loopback addresses; see claim.txt. With TROUBLE=0 it leaves the
# disruption out. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/entry ] && [ -x target/review-2/standin-2 ] || exit 2
exec timeout -k 5 110 target/review-2/standin-2 lost-configuration review/9/record.txt
