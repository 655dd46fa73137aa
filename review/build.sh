#!/bin/sh
# Builds the stand-ins of the scripted cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
c++ -std=c++17 -O2 -Wall -Wextra -pthread -o target/review/review-case review/standin/*.cpp
