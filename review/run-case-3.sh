#!/usr/bin/env bash
# Runs one case of the third review: run-case-3.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. With TROUBLE=0 the case runs without its disruption.
set -uo pipefail
folder=$(cd "$1" && pwd)
class=$2
cd "$(dirname "$0")/.."
if [ ! -f target/platform/platform.jar ] || [ ! -f "target/review-3/$class.class" ]; then
  echo "run the build of deploy/system.toml and review/build-3.sh first" >&2
  exit 2
fi
timeout --signal=TERM --kill-after=5 115 java -Xmx256m -cp target/review-3 "$class" "$folder/record.txt"
status=$?
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
