#!/usr/bin/env bash
# Builds the stand-ins and the program of each case that has a script, into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.cpp; do
    number=$(dirname "$source")
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread standins/standins.cpp "$source" -o "bin/case-$number.new" && mv "bin/case-$number.new" "bin/case-$number"
done
