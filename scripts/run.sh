#!/usr/bin/env bash
# Starts a local deployment on loopback, each part as a process of its own: the simulated outside
# systems, two entry nodes and four agents. Prints a line that begins with "ready" once both entry
# nodes serve requests, and stops all processes on interrupt. Settings, logs and process ids are
# written to RUN_DIR (run by default).
set -euo pipefail
cd "$(dirname "$0")/.."

bin=bin
dir=${RUN_DIR:-run}
base=${RUN_BASE_PORT:-18000}
caller1=${RUN_CALLER_ADDRESS:-127.0.0.1:8080}
caller2=127.0.0.1:$((base + 81))
admin1=127.0.0.1:$((base + 90))
admin2=127.0.0.1:$((base + 91))
log=127.0.0.1:$((base + 1))
store=127.0.0.1:$((base + 2))
hosts=127.0.0.1:$((base + 3))
# RUN_AGENT_SHIFT is added to the agents' ports in the host list, so that a proxy can be placed
# between the entry nodes and the agents.
shift_agents=${RUN_AGENT_SHIFT:-0}
pids=()

stop() {
  trap - INT TERM EXIT
  for ((ix = ${#pids[@]} - 1; ix >= 0; ix--)); do
    kill -TERM "${pids[ix]}" 2>/dev/null || true
    wait "${pids[ix]}" 2>/dev/null || true
  done
}
trap stop EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
  echo "$!" >"$dir/$name.pid"
}

mkdir -p "$dir"
read -r root root_sha < <("$bin/ctl" token | sed 's/token=//; s/sha256=//')
read -r caller caller_sha < <("$bin/ctl" token | sed 's/token=//; s/sha256=//')
read -r operator operator_sha < <("$bin/ctl" token | sed 's/token=//; s/sha256=//')
sed "s/CALLER_SHA256/$caller_sha/; s/OPERATOR_SHA256/$operator_sha/" demo/settings.yaml >"$dir/settings.yaml"

host() {
  printf '{"name":"%s","role":"%s","address":"%s","region":"valle-central","zone":"vc-1"}' "$1" "$2" "$3"
}
printf '[%s,%s,%s,%s,%s,%s]' \
  "$(host entry-1 entry "$admin1")" "$(host entry-2 entry "$admin2")" \
  "$(host runner-1 agent "127.0.0.1:$((base + shift_agents + 21))")" \
  "$(host runner-2 agent "127.0.0.1:$((base + shift_agents + 22))")" \
  "$(host runner-3 agent "127.0.0.1:$((base + shift_agents + 23))")" \
  "$(host ledger-1 agent "127.0.0.1:$((base + shift_agents + 24))")" \
  >"$dir/hosts.json"

entry_settings() {
  cat >"$dir/$1.yaml" <<YAML
place: {name: $1, region: valle-central, zone: vc-1}
caller_address: $2
admin_address: $3
log_url: http://$log
hosts_url: http://$hosts
bootstrap_sha256: $root_sha
drain_grace_ms: 200
YAML
}

agent_settings() {
  cat >"$dir/$1.yaml" <<YAML
place: {name: $1, region: valle-central, zone: vc-1}
listen_address: 127.0.0.1:$2
backend_url: http://127.0.0.1:$3
kind: $4
model: "$5"
services: [$6]
slots: $7
batch_places: ${RUN_BATCH_PLACES:-8}
checks_fencing: $8
resumes: $9
YAML
}

start log "$bin/stand" --listen "$log" log
start store "$bin/stand" --listen "$store" store
start hosts "$bin/stand" --listen "$hosts" hosts --file "$dir/hosts.json"
start engine-1 "$bin/stand" --listen "127.0.0.1:$((base + 11))" engine --name engine-1 ${RUN_ENGINE_FLAGS:-} --store "http://$store" --fencing
start engine-2 "$bin/stand" --listen "127.0.0.1:$((base + 12))" engine --name engine-2 ${RUN_ENGINE_FLAGS:-} --store "http://$store"
start engine-3 "$bin/stand" --listen "127.0.0.1:$((base + 13))" engine --name engine-3 ${RUN_ENGINE_FLAGS:-} --store "http://$store"
start ledger "$bin/stand" --listen "127.0.0.1:$((base + 14))" service --name ledger

agent_settings runner-1 $((base + 21)) $((base + 11)) engine base "" 4 true true
agent_settings runner-2 $((base + 22)) $((base + 12)) engine base "" 4 false true
agent_settings runner-3 $((base + 23)) $((base + 13)) engine base "" 4 false true
agent_settings ledger-1 $((base + 24)) $((base + 14)) service "" ledger 0 false false
for name in runner-1 runner-2 runner-3 ledger-1; do
  start "$name" "$bin/agent" --settings "$dir/$name.yaml"
done

entry_settings entry-1 "$caller1" "$admin1"
entry_settings entry-2 "$caller2" "$admin2"
start entry-1 "$bin/entry" --settings "$dir/entry-1.yaml"
start entry-2 "$bin/entry" --settings "$dir/entry-2.yaml"

cat >"$dir/ctl.yaml" <<YAML
admin_url: http://$admin1
token: $root
YAML

applied=no
for _ in $(seq 100); do
  if "$bin/ctl" --settings "$dir/ctl.yaml" apply --file "$dir/settings.yaml" >"$dir/apply.log" 2>&1; then
    applied=yes
    break
  fi
  sleep 0.1
done
if [ "$applied" = no ]; then
  cat "$dir/apply.log" >&2
  exit 1
fi

probe() {
  curl -sf -o /dev/null "http://$1/v1/chat/completions" -H "Authorization: Bearer $caller" \
    -d '{"model":"batch-sheet@3","max_tokens":1,"messages":[{"role":"user","content":"ready"}]}'
}
for _ in $(seq 150); do
  if probe "$caller1" && probe "$caller2"; then
    echo "ready callers=http://$caller1,http://$caller2 admin=http://$admin1,http://$admin2 token=$caller operator_token=$operator"
    wait
    exit 0
  fi
  sleep 0.1
done
echo "at least one entry node served no request within 15 s; see $dir/*.log" >&2
exit 1
