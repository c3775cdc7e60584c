#!/usr/bin/env bash
# A tenant becomes isolated by a change of the configuration: rule WALL. TROUBLE=0 leaves it as it was.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/peppergate ] && [ -x target/review/isolation ] || { echo "build target/ and run review/build.sh first" >&2; exit 2; }
timeout -k 5 110 target/review/isolation "$here/record.txt" "${TROUBLE:-1}"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
