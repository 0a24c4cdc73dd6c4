#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/endivefall ] && [ -x target/review/world ] || exit 2
exec target/review/world -case 1
