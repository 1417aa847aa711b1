#!/usr/bin/env bash
# Runs one of the cases 6 to 10: run-case-2.sh CLASS FOLDER. Needs the build of the deploy file and
# review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't
# run. With TROUBLE=0 the case runs without its disruption.
set -uo pipefail
folder=$(cd "$2" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
if [ ! -f "$root/target/platform/platform.jar" ] || [ ! -f "$root/target/review-2/$1.class" ]; then
  echo "the deploy file and review/build-2.sh must be built first" >&2
  exit 2
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
timeout -k 5 112 java -Xmx256m -cp "$root/target/review-2" "$1" "$root" "$work" "$folder/record.txt"
status=$?
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
