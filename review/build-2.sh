#!/usr/bin/env bash
# Builds the stand-ins and clients of cases 6 to 10 into target/review-2, from
# the library that the build of the deploy file has made.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
objects=()
for source in review/standin-2/*.cpp; do
    object=target/review-2/$(basename "$source" .cpp).o
    g++ -std=c++20 -O1 -DBOOST_LOG_DYN_LINK -Isrc -I. -Ireview/standin-2 \
        -I/usr/include/jsoncpp -c "$source" -o "$object" &
    objects+=("$object")
done
for job in $(jobs -p); do
    wait "$job"
done
g++ -o target/review-2/review-2 "${objects[@]}" target/libpoplarramp_core.a \
    -lboost_log -lboost_program_options -lboost_thread -lboost_filesystem \
    -ljsoncpp -ljsonrpccpp-server -ljsonrpccpp-common -lpthread
