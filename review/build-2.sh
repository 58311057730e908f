#!/bin/sh
# Builds the stand-ins and checks that the cases 6 to 10 start. Run it after the build of the deploy file, from anywhere.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin-2 ./review/_standin-2
