#!/bin/bash
# EVAC: an order that a frozen store reads after it has woken undoes a newer one.
# Writes what was sent, answered and run to record.txt in this folder.
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../run-case.sh" LateOrder "$here/record.txt"
