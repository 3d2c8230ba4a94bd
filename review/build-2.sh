#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into target/review, without a network. The
# scripts also need the build of the deploy file.
set -eu
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target/review
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review/ .
