#!/bin/bash
# EVAC: an order that a frozen store reads after it has woken undoes a newer one.
here="$(cd "$(dirname "$0")" && pwd)"
"$here/../run-case.sh" LateOrder "$here"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
