#!/bin/sh
# Builds the programs of the cases 4 to 8, with their stand-ins, into target/review-2.
# It needs a C++20 compiler only. The daemons come from the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/harness-2/*.cpp; do
  name=$(basename "$source" .cpp)
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/$name"
done
