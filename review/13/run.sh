#!/usr/bin/env bash
# REFUSED: a backend fails requests that it has run with 503, and does not say that they have not run.
# TROUBLE=0 plays the same with sound backends. Exit codes: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/entry ] && [ -x target/standin-3 ] || exit 2
TROUBLE="${TROUBLE:-1}" target/standin-3 refused review/13/record.txt
