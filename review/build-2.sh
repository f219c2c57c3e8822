#!/usr/bin/env bash
# Builds every stand-in that the scripts of cases 6 to 10 start. It comes after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-driver-2 ./review/driver-2
