#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exit code 1: the rule was broken, 0: it held,
# 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-stage budget review/10/record.txt
