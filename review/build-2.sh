#!/usr/bin/env bash
# Builds the scripted cases 6, 7, 9 and 10 into target/review-2, with the stand-ins that they share, which
# stand in review/6. Needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
javac -Xlint:all,-try -d "$out" review/6/*.java review/7/*.java review/9/*.java review/10/*.java
