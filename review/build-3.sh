#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into
# target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra review/standin-3/main.cpp \
    -o target/review-3/standin
