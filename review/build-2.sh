#!/usr/bin/env bash
# Builds the stand-ins of the second review into build/review-2. Needs only packages of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
g++ -std=c++17 -O1 -Wall -Wextra -pthread -o build/review-2/standin review/standin-2/*.cpp
