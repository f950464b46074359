#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
${CXX:-g++} -std=c++20 -O2 -Wall standin/main.cpp -o build/standin
