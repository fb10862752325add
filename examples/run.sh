#!/usr/bin/env bash
# Runs a whole deployment on loopback addresses for a bounded time: stand-ins,
# entries, publication, mixed load, a drain under it, and a graceful stop.
# Exits with 0 only if every promise held.
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:?usage: examples/run.sh DEPLOYMENT}
example=examples/$deployment
[ -d "$example" ] || { echo "no deployment $deployment under examples/" >&2; exit 2; }
logs=run/$deployment
mkdir -p "$logs"
pids=()
stop() {
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	wait
}
trap stop EXIT
start() {
	local name=$1
	shift
	"$@" >"$logs/$name.log" 2>&1 &
	pids+=($!)
}
value() { sed -n "s/^$1 = \"\(.*\)\"/\1/p" "$2"; }

platform=$(value platform "$example/teaselctl.toml")
start platform bin/standin platform --address "${platform#http://}"
control=${platform#http://127.0.0.1:}
control=127.0.0.1:$((control + 1))
start backends bin/standin backends --intents "$example/intents" --control "$control"
entries=()
for file in "$example"/entries/*.toml; do
	start "$(basename "$file" .toml)" bin/entry --settings "$file"
	entries+=(--entry "$(value callers-address "$file")")
done
export TEASELCTL_SETTINGS=$example/teaselctl.toml
for _ in $(seq 50); do
	bin/teaselctl publish --wait "$example/intents" >"$logs/publish.log" 2>&1 && break
	sleep 0.1
done
cat "$logs/publish.log"
bin/standin load --intents "$example/intents" "${entries[@]}" --duration 10s --rate 200 &
load=$!
sleep 3
leaving=$(ls "$example/intents/services" | head -1)
bin/teaselctl drain backend-server "${leaving%.toml}-1" --wait
wait "$load"
bin/teaselctl status
