#!/bin/bash
# Runs one case: run-case.sh CLASS RECORD, where RECORD is the file that the case writes its record to.
set -uo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
if [ ! -d "$root/target/review" ] || [ ! -f "$root/target/platform/platform.jar" ]; then
  echo "run bin/build-platform and review/build.sh first" >&2
  exit 2
fi
timeout -k 5 118 java -Xmx512m -Dreview.root="$root" -Dreview.record="$2" -cp "$root/target/review" "review.$1"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
