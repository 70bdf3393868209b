#!/usr/bin/env bash
# Plays the case: exit status 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/jasminewing ] && [ -x target/review-standin ] || exit 2
exec target/review-standin cleared review/5
