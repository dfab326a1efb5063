#!/bin/sh
# Builds the stand-ins of the review's scripts, beside the deployed programs, with the Go toolchain
# alone: they have no dependencies.
set -eu
cd "$(dirname "$0")/standins"
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -o ../../target/standins .
