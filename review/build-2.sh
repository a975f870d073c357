#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 9.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand2 ./review/_stand2
