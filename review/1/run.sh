#!/bin/bash
# WHOLE: an agent that was frozen orders a load on a check that has run out.
here="$(cd "$(dirname "$0")" && pwd)"
"$here/../run-case.sh" PausedAgent "$here"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
