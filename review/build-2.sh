#!/usr/bin/env bash
# Builds the stand-in of the cases of the second review. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stage ./review/stage
