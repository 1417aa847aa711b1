#!/bin/bash
# WHOLE: an agent that was frozen orders a load on a check that has run out.
# Writes what was sent, answered and run to record.txt in this folder.
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../run-case.sh" PausedAgent "$here/record.txt"
