#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Run it after the build line of
# deploy/system.toml; it needs no network beyond what that build needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/cases-2 ./review/_cases2
