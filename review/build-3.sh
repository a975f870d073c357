#!/bin/bash
# Builds the stand-ins of the cases 11 to 13 into target/. The entry program is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
exec go build -o target/ ./review/_stand3/review3
