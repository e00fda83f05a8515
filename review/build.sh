#!/usr/bin/env bash
# Builds the programs of the cases, each with the stand-ins that it starts, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOWORK=$PWD/review/go.work
go build -o target/review/ ./review/quarantine ./review/stray ./review/configs ./review/parts
