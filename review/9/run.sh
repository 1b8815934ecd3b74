#!/usr/bin/env bash
# Starts three processes of the system, kills the leading one five times and
# looks whether an accepted job still ends. TROUBLE=0: without the kills.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/review-2 ] && [ -x target/poplarramp ] || exit 2
exec timeout -k 2 115 target/review-2/review-2 leader-kills review/9 \
    target/poplarramp
