#!/usr/bin/env bash
set -uo pipefail
. "$(dirname "$0")/../run-case.sh"
