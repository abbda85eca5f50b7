#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into build-review-2/.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
out="$root/build-review-2"
mkdir -p "$out"
for number in 6 7 8 9 10; do
  source="$root/review/$number/case.cc"
  [ -f "$source" ] || continue
  "${CXX:-g++}" -std=c++20 -O1 -g1 -Wall -Wextra -pthread -I"$root/review/common-2" "$source" -o "$out/case-$number"
done
