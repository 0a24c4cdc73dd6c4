#!/usr/bin/env bash
# Builds the stand-ins of the cases; the build of the deploy file builds the project's own programs.
set -eu
cd "$(dirname "$0")/.."
go build -o target/bed ./review/bed
