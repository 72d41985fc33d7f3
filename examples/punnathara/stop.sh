#!/usr/bin/env bash
# Stops the deployment that start.sh started: sends SIGTERM to each process in
# the file pids and waits until all have exited.
cd "$(dirname "$0")/../.."
while read -r _ pid; do kill "$pid" 2>/dev/null; done <"${OUT:-out}/pids"
while read -r _ pid; do while kill -0 "$pid" 2>/dev/null; do sleep 0.1; done; done <"${OUT:-out}/pids"
