#!/usr/bin/env bash
# Builds the stand-ins and cases of the third review with javac into target/review-3. Needs no network and no library.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
rm -rf "$out"
mkdir -p "$out"
javac -Xlint:all,-try -d "$out" review/1[1-4]/*.java
