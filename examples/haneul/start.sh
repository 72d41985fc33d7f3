#!/usr/bin/env bash
# Starts the Haneul Bindery Order Desk Router at today's size on loopback, with
# the processes of the Punnathara example and Haneul's zones and configuration.
# stop.sh of that example ends it.
set -euo pipefail
cd "$(dirname "$0")/../.."
export DEPLOYMENT=examples/haneul/deployment.lentil ZONES="daegu-a busan-b gwangju-c"
exec examples/punnathara/start.sh
