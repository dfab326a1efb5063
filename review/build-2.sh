#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, in the root of the repository. They use
# the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cd review/standins-2
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-2/standins2 .
