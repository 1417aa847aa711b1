#!/bin/bash
# RECOVER: one corrupted answer of the origin keeps the newest weights away for good.
# Writes what was sent, answered and run to record.txt in this folder.
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../run-case.sh" SpoiltManifest "$here/record.txt"
