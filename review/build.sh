#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/driver ./review/driver
