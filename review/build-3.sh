#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15: one program, target/rig. The project's own program
# comes from the build command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig ./review/rig
