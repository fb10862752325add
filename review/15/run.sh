#!/usr/bin/env bash
# FAILBACK: a backend starts again under its id while the store does not answer. TROUBLE=0 plays the
# same with a store that answers. Exit codes: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/entry ] && [ -x target/standin-3 ] || exit 2
TROUBLE="${TROUBLE:-1}" target/standin-3 restart review/15/record.txt
