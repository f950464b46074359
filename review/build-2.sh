#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start, into
# review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
${CXX:-g++} -std=c++20 -O2 -Wall standin-2/main.cpp -o build/standin-2
