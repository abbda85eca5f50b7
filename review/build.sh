#!/bin/bash
# Builds the stand-ins that the scripts of this review start, into target/review.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
for source in review/[1-5]/*.cc; do
  [ -e "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review/$(basename "$source" .cc)" "$source" -pthread
done
