#!/usr/bin/env bash
# Starts a small deployment of separate processes on loopback: a stand-in store
# and origin, two entries, two engines and one plain service with an agent each.
# Stops all of them on Ctrl-C. Usage: docs/walk/start.sh BINARY [DIR]
set -euo pipefail
bin=$1
dir=${2:-$(mktemp -d)}
mkdir -p "$dir"
export CURRANTUSHER_OPERATOR_TOKEN=${CURRANTUSHER_OPERATOR_TOKEN:-walk}
pids=()
stop() { kill "${pids[@]}" 2>/dev/null || true; wait; }
trap stop EXIT
start() {
  local name=$1
  shift
  "$bin" "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}

"$bin" keys create "$dir/keys" --instances entry-1,entry-2,agent-1,agent-2,agent-3
start store standin store --listen 127.0.0.1:9000 --list-lag 500ms
start origin standin origin --listen 127.0.0.1:9300
start engine-1 standin engine --listen 127.0.0.1:9101
start engine-2 standin engine --listen 127.0.0.1:9102
start service-1 standin service --listen 127.0.0.1:9201
sleep 1

daemon() {
  local name=$1 role=$2 data_centre=$3 region=$4
  shift 4
  start "$name" "$role" --instance "$name" --data-centre "$data_centre" --region "$region" \
    --ca "$dir/keys/ca.pem" --cert "$dir/keys/$name.pem" --key "$dir/keys/$name.key" "$@"
}
daemon entry-1 entry bern-west mittelland --http-listen 127.0.0.1:7070
daemon entry-2 entry lausanne-nord romandie --http-listen 127.0.0.1:7071
daemon agent-1 agent bern-west mittelland --group label-llm --backend-url http://127.0.0.1:9101 --origin-url http://127.0.0.1:9300
daemon agent-2 agent lausanne-nord romandie --group label-llm --backend-url http://127.0.0.1:9102 --origin-url http://127.0.0.1:9300
daemon agent-3 agent bern-west mittelland --group lot-registry --backend-url http://127.0.0.1:9201
echo "logs and keys are in $dir; stop with Ctrl-C"
wait
