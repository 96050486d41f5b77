#!/bin/bash
# Builds the programs of the second review's scripts: each is one source file with its stand-ins, review/standins-2.
# Needs a C++20 compiler and nlohmann-json, which the deploy file names.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    if [ -f "review/$number/script.cpp" ]; then
        c++ -std=c++20 -O1 -pthread -Ireview/standins-2 "review/$number/script.cpp" -o "target/review-2/case-$number"
    fi
done
