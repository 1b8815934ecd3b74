#!/usr/bin/env bash
# Builds the stand-in of the cases 11 to 15 into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -isystem /usr/include/jsoncpp \
    review/standin-3/*.cpp -o target/review-3/standin -ljsoncpp -pthread
