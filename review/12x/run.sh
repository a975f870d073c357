#!/bin/bash
# Shows case 13; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review3 ] && [ -x target/sassafrasrock-entry ] || { echo "build first: deploy/system.toml, review/build-3.sh"; exit 2; }
exec target/review3 13 "$PWD/review/13/record.txt"
