#!/usr/bin/env bash
# Starts the Punnathara deployment at its present size on loopback: 6 entry VMs,
# 30 model engines and 3 plain services in three availability zones. Configures
# it and waits up to 20 s until no order to load layers is pending. To stop it,
# run stop.sh.
#
# Reads the environment variables OUT (output directory, default out), ZONES
# (names of the three zones), DEPLOYMENT (configuration file) and ENTRY_FLAGS
# (further flags of lentilmux). Builds the programs into bin, and writes each
# process's output and log and all process IDs (file pids) to the output
# directory.
set -euo pipefail
cd "$(dirname "$0")/../.."
out=${OUT:-out}
mkdir -p "$out" bin
go build -o bin ./cmd/...
rm -f "$out"/*.out "$out"/*.log
: >"$out/pids"

start() { # NAME COMMAND...: runs the command in the background and records its process ID
  local name=$1
  shift
  "$@" >"$out/$name.out" 2>"$out/$name.log" &
  echo "$name $!" >>"$out/pids"
}

read -ra zones <<<"${ZONES:-kochi thrissur kozhikode}"
entries=""
for i in 1 2 3 4 5 6; do
  entries+="${entries:+,}entry-$i=${zones[$(((i - 1) % 3))]}=127.0.0.1:$((7100 + i))"
done

start platform bin/lentilstand --platform-addr 127.0.0.1:9000 --engines 0 --services 3 \
  --service-addr 127.0.0.1:9500 --zones "$(IFS=,; echo "${zones[*]}")" --entries "$entries"
for z in 0 1 2; do
  start "engines-${zones[$z]}" bin/lentilstand --platform-addr "127.0.0.1:$((9001 + z))" --services 0 --engines 10 \
    --engine-prefix "${zones[$z]}-" --engine-addr "127.0.0.1:$((9100 + 100 * z))" --zones "${zones[$z]}" \
    --layers 16,24,12 --rates 2000,3000,1000 --slots 32,48,16 --link 500us
done
for i in 1 2 3 4 5 6; do
  start "entry-$i" bin/lentilmux --name "entry-$i" --zone "${zones[$(((i - 1) % 3))]}" --seed "$i" \
    --caller-addr "127.0.0.1:$((8100 + i))" --control-addr "127.0.0.1:$((7100 + i))" \
    --log-addr 127.0.0.1:9000 --list-addr 127.0.0.1:9000 ${ENTRY_FLAGS:-}
done

for _ in $(seq 50); do
  [ "$(curl -s -o "$out/ready" -w '%{http_code}' http://127.0.0.1:8101/readyz)" = 200 ] && break
  sleep 0.2
done
cat "$out"/platform.out "$out"/engines-*.out >"$out/upstreams.lentil"
bin/lentilctl --addrs 127.0.0.1:7101 --file "$out/upstreams.lentil" >"$out/setup.log"
bin/lentilctl --addrs 127.0.0.1:7102 --file "${DEPLOYMENT:-examples/punnathara/deployment.lentil}" >>"$out/setup.log"
for _ in $(seq 100); do
  pending=$(bin/lentilctl --addrs 127.0.0.1:7101 --output json show orders where state = pending | wc -l)
  [ "$pending" = 0 ] && break
  sleep 0.2
done
bin/lentilctl --addrs 127.0.0.1:7101 show pipelines | cut -c1-60
