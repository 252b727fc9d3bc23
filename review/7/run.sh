#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec target/review-2/cases silent-store review/7
