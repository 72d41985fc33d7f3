#!/usr/bin/env bash
# Measures the deployment that start.sh started with lentilload.
#   measure.sh NAME [FLAG of lentilload...]       one run
#   measure.sh fault NAME REMAINING COMMAND...    one run in which COMMAND injects
#     a fault, about 8 s after the warm-up of 4 s; REMAINING is the fraction of
#     the capacity that the fault leaves
# Reads OUT (output directory, default out) and, for runs with a fault, RATE
# (requests per second, default 40). Writes reports to NAME.txt and NAME.json in
# the output directory.
set -euo pipefail
cd "$(dirname "$0")/../.."
out=${OUT:-out}
targets=127.0.0.1:8101,127.0.0.1:8102,127.0.0.1:8103,127.0.0.1:8104,127.0.0.1:8105,127.0.0.1:8106
workspaces=counter=3,phone-desk=2,desk-1=1,desk-2=1,desk-3=1,desk-4=1,desk-5=1,desk-6=1,desk-7=1,desk-8=1
ledger='http://127.0.0.1:9000/ledger?target=service'
common=(--targets "$targets" --control-addr 127.0.0.1:7102 --layers 32
  --ledgers "$ledger-1,$ledger-2,$ledger-3")

if [ "$1" = fault ]; then
  name=$2 remaining=$3
  shift 3
  bin/lentilload "${common[@]}" --workspaces "$workspaces" --arrivals even --rate "${RATE:-40}" --duration 18s --warmup 4s \
    --bookings 0.1 --lookups 0.1 --fault-at 8s --remaining "$remaining" --report "$out/$name.json" >"$out/$name.txt" &
  load=$!
  sleep 12.5
  eval "$*"
  wait "$load" || true
else
  name=$1
  shift
  bin/lentilload "${common[@]}" --workspaces "$workspaces" --report "$out/$name.json" "$@" >"$out/$name.txt" || true
fi
echo "== $name"
cat "$out/$name.txt"
