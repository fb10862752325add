#!/usr/bin/env bash
# Runs a whole deployment on loopback addresses for a limited time: starts the
# stand-ins and the entries, publishes the intents, sends a mixed load, drains a
# backend server under that load, and stops the entries gracefully. Exits with 0
# only if every promise held. Logs are kept under run/DEPLOYMENT.
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:?usage: examples/run.sh DEPLOYMENT}
site=examples/$deployment
[ -d "$site" ] || { echo "no deployment $deployment under examples/" >&2; exit 2; }
logs=run/$deployment
rm -rf "$logs"
mkdir -p "$logs"
export TEASELCTL_SETTINGS=$site/teaselctl.toml

say() { printf '%(%T)T %s\n' -1 "$*"; }
now() { date -u +%Y-%m-%dT%H:%M:%S.%NZ; }

entries=()    # process IDs of the entries
standins=()   # process IDs of the stand-ins, including the load
# stop kills the processes that still run when the script exits.
stop() {
	local pid
	for pid in "${entries[@]}" "${standins[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
}
trap stop EXIT
trap 'exit 130' INT TERM

say "starting the stand-ins: platform, backend servers, network"
for role in platform backends link; do
	bin/standin "$role" --site "$site" >"$logs/$role.log" 2>&1 &
	standins+=($!)
done

say "starting the entries, logs in $logs"
for file in "$site"/entries/*.toml; do
	bin/entry --settings "$file" >"$logs/$(basename "$file" .toml).log" 2>&1 &
	entries+=($!)
done

say "publishing $site/intents"
# The publication fails until the platform listens.
published=
for _ in $(seq 50); do
	if bin/teaselctl publish --wait "$site/intents" >"$logs/publish.log" 2>&1; then published=1; break; fi
	sleep 0.1
done
cat "$logs/publish.log"
[ -n "$published" ] || { echo "the intents could not be published" >&2; exit 1; }

say "sending a mixed load"
bin/standin load --site "$site" --drain "$logs/drain" >"$logs/load.log" 2>&1 &
load_pid=$!
standins+=("$load_pid")
sleep 4
services=("$site"/intents/services/*.toml)
drained_server=$(basename "${services[0]}" .toml)-1
say "draining backend server $drained_server under the load"
drain_start=$(now)
drain_code=0
bin/teaselctl drain backend-server "$drained_server" --wait || drain_code=$?
# At its end, the load reads from this file which server was drained, and when.
echo "$drained_server $drain_start $(now)" >"$logs/drain"
failed=0
[ "$drain_code" = 0 ] || { echo "the drain ended with exit code $drain_code"; failed=1; }
wait "$load_pid" || failed=1
bin/teaselctl status >"$logs/status.log" || failed=1
cat "$logs/load.log"

say "stopping the entries gracefully"
for pid in "${entries[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
for i in "${!entries[@]}"; do
	code=0
	wait "${entries[$i]}" || code=$?
	[ "$code" = 0 ] || { echo "entry-$((i + 1)) ended with exit code $code, see $logs"; failed=1; }
done
entries=()
if [ "$failed" = 0 ]; then say "every promise held"; else say "a promise was broken"; fi
exit "$failed"
