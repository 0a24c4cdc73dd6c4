#!/usr/bin/env bash
# Three in five submissions name the same rack (affinity), as when many want the same data.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 plays it without that field.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/endivefall ] && [ -x target/rig ] || exit 2
exec target/rig rack target/endivefall review/12/record.txt "${SEED:-1}"
