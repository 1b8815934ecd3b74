#!/usr/bin/env bash
# Builds the stand-in that the scripts start, against the library that the build
# of the deploy file has left in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
for source in review/standin/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -Isrc -I. \
        -isystem /usr/include/jsoncpp -DBOOST_LOG_DYN_LINK \
        -DBOOST_ASIO_NO_DEPRECATED -c "$source" \
        -o "$out/$(basename "$source" .cpp).o" &
done
for job in $(jobs -p); do
    wait "$job"
done
g++ -o "$out/review-standin" "$out"/*.o target/libpoplarramp_core.a \
    -lboost_log -lboost_program_options -lboost_thread -ljsonrpccpp-common \
    -ljsonrpccpp-server -ljsoncpp -lpthread
