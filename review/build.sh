#!/usr/bin/env bash
# Builds the stand-ins of all cases. Run it after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-harness ./review/_harness
