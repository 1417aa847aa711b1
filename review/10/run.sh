#!/usr/bin/env bash
# Runs the case of this folder; see claim.txt and ../run-case-2.sh.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../run-case-2.sh" DarkCase "$folder"
