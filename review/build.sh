#!/usr/bin/env bash
# Builds the program that runs the cases, with all of its stand-ins. It needs no module
# beside the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review ./review/_cases
