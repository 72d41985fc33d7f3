#!/usr/bin/env bash
# Starts the Haneul Bindery Order Desk Router at its present size on loopback. It
# runs the start.sh of the Punnathara example with Haneul's availability zones
# and configuration. To stop it, run examples/punnathara/stop.sh.
set -euo pipefail
cd "$(dirname "$0")/../.."
export DEPLOYMENT=examples/haneul/deployment.lentil ZONES="daegu-a busan-b gwangju-c"
exec examples/punnathara/start.sh
