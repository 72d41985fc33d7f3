#!/usr/bin/env bash
# Ends the deployment that start.sh started, by process id.
cd "$(dirname "$0")/../.."
while read -r _ pid; do kill "$pid" 2>/dev/null; done <"${OUT:-out}/pids"
while read -r _ pid; do while kill -0 "$pid" 2>/dev/null; do sleep 0.1; done; done <"${OUT:-out}/pids"
