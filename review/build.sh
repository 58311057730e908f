#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file. They need nothing outside this repository.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin ./review/_standin
