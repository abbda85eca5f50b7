#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
export REVIEW_ROOT="$(cd "$here/../.." && pwd)"
case="$REVIEW_ROOT/build-review-2/case-$(basename "$here")"
[ -x "$case" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
# The processes that the case starts end with it.
timeout --signal=TERM 115 "$case" "$here/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
