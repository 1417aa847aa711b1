#!/bin/bash
# Runs one case: run-case.sh CLASS FOLDER
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
if [ ! -d "$here/target/classes" ] || [ ! -f "$here/../target/platform/platform.jar" ]; then
  echo "run bin/build-platform and review/build.sh first" >&2
  exit 2
fi
exec timeout -k 5 118 java -Xmx512m -Dreview.root="$(dirname "$here")" -Dreview.case="$2" -cp "$here/target/classes" "review.$1"
