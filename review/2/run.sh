#!/bin/bash
# RECOVER: one corrupted answer of the origin keeps the newest weights away for good.
here="$(cd "$(dirname "$0")" && pwd)"
"$here/../run-case.sh" SpoiltManifest "$here"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
