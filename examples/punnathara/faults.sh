#!/usr/bin/env bash
# Starts the deployment and measures how it recovers from a series of faults, one
# run each: an engine that dies or freezes, blackholed connections, an entry VM
# that is killed or paused, an outage of the log, rolling restarts, several
# faults in one run, and the loss of a zone. The reports are those of measure.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
here=examples/punnathara
pid() { awk -v n="$1" '$1==n{print $2}' "${OUT:-out}/pids" | tail -1; }
fault() { curl -s -XPOST "http://127.0.0.1:$1/faults?target=$2&fault=$3"; }
zones=(kochi thrissur kozhikode)
restart() { # NUMBER of an entry VM: starts it with the flags of start.sh
  bin/lentilmux --name "entry-$1" --zone "${zones[$((($1 - 1) % 3))]}" --seed "$1" \
    --caller-addr "127.0.0.1:$((8100 + $1))" --control-addr "127.0.0.1:$((7100 + $1))" \
    --log-addr 127.0.0.1:9000 --list-addr 127.0.0.1:9000 >>"${OUT:-out}/entry-$1.out" 2>>"${OUT:-out}/entry-$1.log" &
  echo "entry-$1 $!" >>"${OUT:-out}/pids"
}
# Restarts each entry VM in turn: SIGTERM, wait until it has drained, start again.
stop_in_turn() {
  for i in 1 2 3 4 5 6; do
    draining=$(pid "entry-$i")
    kill -TERM "$draining"
    while kill -0 "$draining" 2>/dev/null; do sleep 0.2; done
    restart "$i"
    sleep 3
  done
}
# Injects several faults within one run, about 5 s apart.
inject_several() {
  fault 9001 kochi-2 kill; sleep 5
  fault 9002 thrissur-5 freeze; sleep 5
  kill -9 "$(pid entry-2)"; sleep 3; restart 2; sleep 2
  fault 9003 kozhikode-2 silence; fault 9001 kochi-2 revive; sleep 5
  fault 9002 thrissur-5 thaw; kill -9 "$(pid entry-6)"; sleep 3; restart 6; sleep 5
}

bash $here/start.sh >/dev/null
bash $here/measure.sh fault engine_dies 0.97 "curl -s -XPOST 'http://127.0.0.1:9001/faults?target=kochi-2&fault=kill'"; fault 9001 kochi-2 revive; sleep 4
bash $here/measure.sh fault engine_freezes 0.97 "curl -s -XPOST 'http://127.0.0.1:9001/faults?target=kochi-5&fault=freeze'"; fault 9001 kochi-5 thaw; sleep 4
bash $here/measure.sh fault connections_silent 1 "for w in 2 5 8; do curl -s -XPOST \"http://127.0.0.1:9002/faults?target=thrissur-\$w&fault=silence\"; done"; sleep 2
bash $here/measure.sh fault entry_killed 1 "kill -9 $(pid entry-2)"; restart 2; sleep 4
bash $here/measure.sh fault entry_paused 1 "kill -STOP $(pid entry-3); sleep 6; kill -CONT $(pid entry-3)"; sleep 2
bash $here/measure.sh fault log_outage 1 "curl -s -XPOST 'http://127.0.0.1:9000/faults?target=log&fault=outage'; sleep 6; curl -s -XPOST 'http://127.0.0.1:9000/faults?target=log&fault=restore'"; sleep 2
stop_in_turn & bash $here/measure.sh stops --rate 30 --arrivals even --duration 55s --warmup 2s --bookings 0.1 --lookups 0.1; wait %1 2>/dev/null
inject_several & bash $here/measure.sh in_turn --rate 60 --duration 30s --warmup 4s --bookings 0.1 --lookups 0.1; wait %2 2>/dev/null
sleep 3
RATE=25 bash $here/measure.sh fault zone_dies 1 "kill -9 $(pid entry-1) $(pid entry-4) $(pid engines-kochi)"
bash $here/stop.sh 2>/dev/null
