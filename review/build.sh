#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. Needs only a C++ compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/$(basename "$source" .cc)" "$source"
done
